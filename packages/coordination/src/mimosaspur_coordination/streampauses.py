"""Predict the longest pause of a stream at an engine, and what to avoid for streams to keep theirs.

Addresses engines of uneven speed under load. Engines read prompts in chunks between the tokens of
the running streams, so a stream pauses for as long as a slow engine reads. Streams that write for
long meet the engine's longest reading; short ones mostly what is queued when they are sent.
"""

import math
from typing import TYPE_CHECKING

from mimosaspur_coordination.prefillspeed import prefill_ms

if TYPE_CHECKING:
    from mimosaspur_coordination.fleetview import Prompt
    from mimosaspur_coordination.fleetview import TargetView

# How engines of the usual speed run: the shortest step, the most prompt tokens in one step, and the
# tokens of a stream in one event, each of which takes a step.
STEP_MS = 8.2
CHUNK_TOKENS = 2_048
EVENT_TOKENS = 3
# Loaded engines are sent some 13,000 prompt tokens a second, twice what they read between two
# events, so a stream that writes for a second meets a full interval.
FULL_READING_MS = 1_000.0
# The corrections follow the pause that 9 in 10 streams keep. A long pause weighs as much as nine
# short ones, because one pause over the limit makes a stream late.
KEPT_SHARE = 0.9
# Largest step of a correction's logarithm. With the share above, five long pauses in a row raise it
# by 2.5, which is how much slower engines have been seen to be for a moment.
MAX_STEP = 0.2
MIN_STEP = 0.04
CORRECTION_BOUNDS = (0.1, 8.0)
# Predictions within a tenth of each other don't differ reliably, so that much over the limit is
# half as bad as any excess.
HALF_EXCESS = 0.1
# The share of the time to the objective that a predicted first event may take up for a longer wait
# to be accepted: single predictions are wrong by up to a factor of two.
IN_TIME_SHARE = 0.5


class PauseCorrection:
    """Track the ratio of measured to predicted pauses that most streams keep."""

    __slots__ = ("measurements", "value")

    def __init__(self) -> None:
        self.value = 1.0
        self.measurements = 0

    def update(self, ratio: float) -> None:
        """Move the correction towards a measured ratio."""
        self.measurements += 1
        step = max(MIN_STEP, MAX_STEP / math.sqrt(self.measurements))
        # At rest, when one ratio in ten is higher: the steps up and down cancel out.
        step *= KEPT_SHARE if ratio > self.value else KEPT_SHARE - 1.0
        minimum, maximum = CORRECTION_BOUNDS
        self.value = min(maximum, max(minimum, self.value * math.exp(step)))


class EnginePauses:
    """Track how long streams pause at one lifetime of an engine.

    `common` is shared by the engines of a service: how much longer pauses are than predicted
    anywhere, such as because engines are slow for moments. `own` is how the engine differs from it.
    """

    __slots__ = ("common", "longest_ms", "own")

    def __init__(self, common: PauseCorrection | None = None) -> None:
        self.common = common or PauseCorrection()
        self.own = PauseCorrection()
        # The longest measured pause of a stream.
        self.longest_ms = 0.0

    def correction(self) -> float:
        """Return the ratio of pauses to expect to predicted ones."""
        return self.common.value * self.own.value

    def record(self, pause_ms: float, *, uncorrected_ms: float) -> None:
        """Update with the longest pause of a stream and the prediction before its correction."""
        if not (math.isfinite(pause_ms) and pause_ms >= 0 and uncorrected_ms > 0):
            return
        ratio = pause_ms / uncorrected_ms
        self.longest_ms = max(self.longest_ms, pause_ms)
        self.own.update(ratio / self.common.value)
        self.common.update(ratio)


class StreamPauses:
    """Measure the pauses of one stream at an engine."""

    __slots__ = ("engine", "last_ms", "longest_ms", "predicted_ms", "recorded_ms", "uncorrected_ms")

    def __init__(self, view: "TargetView", prompt: "Prompt") -> None:
        # The engine's lifetime that the stream was sent to, whatever becomes of the view.
        self.engine = view.pauses
        self.uncorrected_ms = _uncorrected_pause_ms(view, prompt)
        self.predicted_ms = predicted_pause_ms(view, prompt)
        self.last_ms: float | None = None
        self.longest_ms = 0.0
        # The longest pause that was recorded while the stream ran.
        self.recorded_ms = 0.0

    def on_event(self, now_ms: float) -> None:
        """Record an event; a pause beyond the prediction takes effect at once."""
        if self.last_ms is not None:
            self.longest_ms = max(self.longest_ms, now_ms - self.last_ms)
        self.last_ms = now_ms
        if self.longest_ms > max(self.predicted_ms, self.recorded_ms):
            self._record()

    def on_taken(self, now_ms: float) -> None:
        """Record that the caller took the event: its wait doesn't count as a pause."""
        self.last_ms = now_ms

    def on_end(self) -> None:
        """Record the longest pause of a stream that has ended."""
        if self.longest_ms > self.recorded_ms:
            self._record()

    def _record(self) -> None:
        self.recorded_ms = self.longest_ms
        self.engine.record(self.longest_ms, uncorrected_ms=self.uncorrected_ms)


def predicted_pause_ms(view: "TargetView", prompt: "Prompt") -> float:
    """Predict the longest pause of streams at the engine if the prompt were sent there now."""
    return _uncorrected_pause_ms(view, prompt) * view.pauses.correction()


def pause_penalty_ms(
    view: "TargetView", prompt: "Prompt", *, gap_objective_ms: float, spare_ms: float
) -> float:
    """Return the cost of pauses over the limit, less than the time left to the objective.

    A stream that is late because of a pause is as late as one whose first event is late.
    """
    if gap_objective_ms <= 0 or spare_ms <= 0:
        return 0.0
    excess = predicted_pause_ms(view, prompt) / gap_objective_ms - 1.0
    return spare_ms * excess / (excess + HALF_EXCESS) if excess > 0 else 0.0


def pauses_too_long(view: "TargetView", gap_objective_ms: float) -> bool:
    """Return whether a stream at this lifetime of the engine was measured to exceed the limit."""
    return 0 < gap_objective_ms < view.pauses.longest_ms


def _uncorrected_pause_ms(view: "TargetView", prompt: "Prompt") -> float:
    queued = sum(
        max(0.0, tokens)
        for work in (view.own_work, view.others_work)
        for tokens in work.prefill_tokens.values()
    )
    between_events = EVENT_TOKENS * CHUNK_TOKENS * view.paces.token_cost(prompt.model)
    steps_ms = STEP_MS * view.decode_factor
    # Prompts that arrive while the stream writes; its own delays the others.
    later = between_events * min(1.0, prompt.output_tokens * steps_ms / FULL_READING_MS)
    read = min(between_events, queued + max(later, view.prefill_tokens(prompt)))
    return EVENT_TOKENS * steps_ms + prefill_ms(read) * view.prefill_factor
