"""Predict the longest pause of a stream at an engine, and what to avoid for streams to keep theirs.

Addresses engines of uneven speed under load. Engines read prompts in chunks between the tokens of
the running streams, so a stream pauses for as long as a slow engine reads. Streams that write for
long meet the engine's longest reading; short ones mostly what is queued when they are sent.
"""

import math
from typing import TYPE_CHECKING
from weakref import WeakSet

from mimosaspur_coordination.prefillspeed import prefill_ms

if TYPE_CHECKING:
    from mimosaspur_coordination.fleetview import Prompt
    from mimosaspur_coordination.fleetview import TargetView

# How engines are assumed to run until measured pauses correct the predictions: the shortest step,
# the most prompt tokens in one step, and the tokens of a stream in one event, one for each step.
STEP_MS = 8.2
CHUNK_TOKENS = 2_048
EVENT_TOKENS = 3
# Loaded engines are sent some 13,000 prompt tokens a second, twice what they read between two
# events, so a stream that writes for a second meets a full interval.
FULL_READING_MS = 1_000.0
# The corrections follow the pause that 9 in 10 streams keep. A long pause weighs as much as nine
# short ones, because one pause over the limit makes a stream late.
KEPT_SHARE = 0.9
# Largest and smallest step of a correction's logarithm. With the share above, four long pauses in a
# row raise the two corrections together by 2.7: engines are 2.5 times slower for moments.
MAX_STEP = 0.2
MIN_STEP = 0.04
CORRECTION_BOUNDS = (0.1, 8.0)
# Predictions within a tenth of each other don't differ reliably, so that much over the limit is
# half as bad as any excess.
HALF_EXCESS = 0.1
# The share of the time to the objective that a predicted first event may take up for a longer wait
# to be accepted: single predictions are wrong by up to a factor of two.
IN_TIME_SHARE = 0.5
# Weight of the delay that reading a prompt causes to the other requests of the engine: at most some
# of them are long streams, and these may have time to spare.
OTHERS_SHARE = 0.3
# Slots beyond this share are left to long streams: they hold a slot for some seconds.
SCARCE_SLOTS_SHARE = 0.5


class PauseCorrection:
    """Track the ratio of measured to predicted pauses that most streams keep."""

    __slots__ = ("measurements", "paused", "value")

    def __init__(self) -> None:
        self.value = 1.0
        self.measurements = 0
        # The lifetimes of engines at which a stream exceeded its route's limit.
        self.paused: WeakSet[EnginePauses] = WeakSet()

    def update(self, ratio: float, *, exposure: float) -> None:
        """Move the correction by a stream's ratio and the share of a full stream that it wrote."""
        self.measurements += 1
        step = max(MIN_STEP, MAX_STEP / math.sqrt(self.measurements))
        # At rest, when one full stream in ten is above: the steps up and down cancel out.
        step *= KEPT_SHARE if ratio > self.value else (KEPT_SHARE - 1.0) * exposure
        minimum, maximum = CORRECTION_BOUNDS
        self.value = min(maximum, max(minimum, self.value * math.exp(step)))


class EnginePauses:
    """Track how long streams pause at one lifetime of an engine.

    `common` is shared by the engines of a service: how much longer pauses are than predicted
    anywhere, such as because engines are slow for moments. `own` is how the engine differs from it.
    """

    __slots__ = ("__weakref__", "common", "own")

    def __init__(self, common: PauseCorrection | None = None) -> None:
        self.common = common or PauseCorrection()
        self.own = PauseCorrection()

    def correction(self) -> float:
        """Return the ratio of pauses to expect to predicted ones."""
        return self.common.value * self.own.value

    def record(self, ratio: float, *, exposure: float) -> None:
        """Update with the ratio of a stream's longest pause to that of a full interval."""
        if not (math.isfinite(ratio) and ratio >= 0):
            return
        self.own.update(ratio / self.common.value, exposure=exposure)
        self.common.update(ratio, exposure=exposure)


class _Interval:
    """Hold what a stream meets between two events at an engine, before any correction."""

    __slots__ = ("exposure", "full_ms", "own_ms", "predicted_ms")

    def __init__(self, view: "TargetView", prompt: "Prompt") -> None:
        # While the speeds of engines aren't shared, only this entry's own estimate differs from 1.
        step_ms = STEP_MS * view.slowness * view.decode_factor
        ms_per_token = prefill_ms(1.0) * view.slowness * view.prefill_factor
        full = EVENT_TOKENS * CHUNK_TOKENS * view.paces.token_cost(prompt.model)
        own = view.prefill_tokens(prompt)
        # How much of a full interval the stream meets while it writes, 1 for long streams.
        self.exposure = min(1.0, prompt.output_tokens * step_ms / FULL_READING_MS)
        # Prompts that arrive while the stream writes; its own delays the others.
        read = max(full * self.exposure, own)
        for work in (view.own_work, view.others_work):
            read += sum(work.prefill_tokens.values())
        self.full_ms = EVENT_TOKENS * step_ms + full * ms_per_token
        self.own_ms = own * ms_per_token
        self.predicted_ms = EVENT_TOKENS * step_ms + max(0.0, min(full, read)) * ms_per_token


class StreamPauses:
    """Measure the pauses of one stream at an engine."""

    __slots__ = (
        "engine",
        "gap_objective_ms",
        "interval",
        "last_ms",
        "longest_ms",
        "predicted_ms",
        "recorded_ms",
    )

    def __init__(self, view: "TargetView", prompt: "Prompt", *, gap_objective_ms: float) -> None:
        # The engine's lifetime that the stream was sent to, whatever becomes of the view.
        self.engine = view.pauses
        self.gap_objective_ms = gap_objective_ms
        self.interval = _Interval(view, prompt)
        self.predicted_ms = self.interval.predicted_ms * self.engine.correction()
        self.last_ms: float | None = None
        self.longest_ms = 0.0
        # The longest pause that was recorded while the stream ran.
        self.recorded_ms = 0.0

    def on_event(self, now_ms: float) -> bool:
        """Record an event; a pause beyond what is expected takes effect at once.

        Return whether it is the first one at the engine's lifetime that exceeds the limit.
        """
        if self.last_ms is not None:
            self.longest_ms = max(self.longest_ms, now_ms - self.last_ms)
        self.last_ms = now_ms
        expected_ms = self.interval.full_ms * self.engine.correction()
        if self.longest_ms > max(expected_ms, self.recorded_ms):
            self._record()
        paused = self.engine.common.paused
        if not 0 < self.gap_objective_ms < self.longest_ms or self.engine in paused:
            return False
        paused.add(self.engine)
        return True

    def on_taken(self, now_ms: float) -> None:
        """Record that the caller took the event: its wait doesn't count as a pause."""
        self.last_ms = now_ms

    def on_end(self) -> None:
        """Record a stream that has ended without a pause beyond what was expected."""
        if self.longest_ms and not self.recorded_ms:
            self._record()

    def _record(self) -> None:
        self.recorded_ms = self.longest_ms
        ratio = self.longest_ms / self.interval.full_ms
        self.engine.record(ratio, exposure=self.interval.exposure)


def predicted_pause_ms(view: "TargetView", prompt: "Prompt") -> float:
    """Predict the longest pause of streams at the engine if the prompt were sent there now."""
    return _Interval(view, prompt).predicted_ms * view.pauses.correction()


def pause_penalty_ms(
    view: "TargetView", prompt: "Prompt", *, gap_objective_ms: float, spare_ms: float
) -> float:
    """Return the cost of the pauses of this stream and of others that the prompt would cause."""
    if gap_objective_ms <= 0 or spare_ms <= 0:
        return 0.0
    interval = _Interval(view, prompt)
    correction = view.pauses.correction()
    excess = interval.predicted_ms * correction / gap_objective_ms - 1.0
    # A stream that is late because of a pause is as late as one whose first event is late.
    own_ms = spare_ms * excess / (excess + HALF_EXCESS) if excess > 0 else 0.0
    most_ms = IN_TIME_SHARE * spare_ms
    if interval.full_ms * correction > gap_objective_ms:
        # Long streams can't avoid the prompts of shorter ones, so these avoid long streams.
        others_ms = min(most_ms, OTHERS_SHARE * view.request_count() * interval.own_ms)
    else:
        # Long streams keep their pauses here: shorter ones leave them the last slots.
        busy = view.request_count() / view.record.slots if view.record.slots else 0.0
        others_ms = most_ms * min(1.0, max(0.0, busy / SCARCE_SLOTS_SHARE - 1.0))
    return own_ms + (1.0 - interval.exposure) * others_ms


def pauses_too_long(view: "TargetView") -> bool:
    """Return whether a stream exceeded its limit at a present engine of the view's service."""
    return bool(view.pauses.common.paused)
