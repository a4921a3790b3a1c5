"""Measure how fast an engine writes from the time between a stream's events."""

import statistics

from mimosaspur_coordination.prefillspeed import AdaptiveEstimate

# The time between events of an engine that reads no prompts, before any was measured.
INITIAL_EVENT_MS = 30.0
# Gaps of a stream from which its usual gap is known.
MIN_GAPS = 4
# Of the gaps, the lower quartile is taken: prompts that the entry doesn't know of yet, and moments
# in which the engine is slow, only ever add to a gap.
QUARTILES = 4


class DecodePace:
    """Track the usual time between events over the engines and models of a service.

    One entry sees too few streams of each model at each engine to tell a slow model from a slow
    engine, so models aren't told apart.
    """

    __slots__ = ("event_ms",)

    def __init__(self) -> None:
        self.event_ms = AdaptiveEstimate(INITIAL_EVENT_MS, minimum=1.0, maximum=1_000.0)

    def ratio(self, gap_ms: float, *, factor: float) -> float:
        """Return measured / predicted time between events, and learn the usual one."""
        ratio = gap_ms / (self.event_ms.value * factor)
        self.event_ms.update(ratio)
        return ratio


class StreamGaps:
    """Collect the gaps of one stream in which its engine read no prompts, as far as is known."""

    __slots__ = ("gaps_ms", "last_ms", "was_reading")

    def __init__(self) -> None:
        self.gaps_ms: list[float] = []
        self.last_ms = 0.0
        self.was_reading = True

    def on_events(self, count: int, *, now_ms: float, is_reading: bool) -> None:
        """Record that events have come, and whether the engine now has prompts to read."""
        if not (is_reading or self.was_reading) and now_ms > self.last_ms:
            self.gaps_ms.append((now_ms - self.last_ms) / max(1, count))
        self.last_ms = now_ms
        self.was_reading = is_reading

    def skip(self) -> None:
        """Leave out the gap before the next events."""
        self.was_reading = True

    def usual_gap_ms(self) -> float | None:
        """Return the stream's usual gap, None if too few were measured."""
        if len(self.gaps_ms) < MIN_GAPS:
            return None
        return statistics.quantiles(self.gaps_ms, n=QUARTILES)[0]
