"""Estimate the time to first token of one kind of engine from measured requests."""

import math

# Defines the reference token, in which work is counted. The actual cost of a token is estimated
# by ModelPace.
PREFILL_TOKENS_PER_MS = 20.0
# The time to first token of an idle engine apart from prefill: two engine steps and the network.
INITIAL_BASE_MS = 30.0
MIN_BASE_MS = 5.0
MAX_BASE_MS = 300.0
# The duration of a stream after its first event, before any was measured.
INITIAL_STREAM_MS = 1_000.0
# The share of the queued tokens that a request actually waits for.
INITIAL_QUEUE_RATIO = 1.0
MIN_QUEUE_RATIO = 0.1
MAX_QUEUE_RATIO = 1.5
# Clips the ratio of a measurement, whose queueing time may have been estimated wrongly.
MAX_CHANGE_RATIO = 4.0
# Weight of a measurement once many are known; with the clipping, a step of at most 3 %.
MIN_LEARNING_RATE = 0.02
# Requests whose own prefill takes a larger share of the time say little about the queue.
MAX_OWN_SHARE = 0.5


class AdaptiveEstimate:
    """Track a positive value from measured ratios, with a decreasing learning rate."""

    __slots__ = ("maximum", "measurements", "minimum", "value")

    def __init__(self, value: float, *, minimum: float, maximum: float) -> None:
        self.value = value
        self.minimum = minimum
        self.maximum = maximum
        self.measurements = 0

    def update(self, ratio: float, *, share: float = 1.0) -> float:
        """Apply the ratio of a measurement to the value; return new value / old value."""
        weight = share * max(MIN_LEARNING_RATE, 1.0 / (self.measurements + 1))
        clipped = min(MAX_CHANGE_RATIO, max(1.0 / MAX_CHANGE_RATIO, ratio))
        old = self.value
        self.value = min(
            self.maximum, max(self.minimum, old * math.exp(weight * math.log(clipped)))
        )
        self.measurements += 1
        return self.value / old


class PrefillSpeed:
    """Estimate the base latency and queueing time of all engines of a kind.

    Queued tokens may have been processed or cached meanwhile, so the share of them that a request
    waits for is estimated. The cost of a token per model is estimated by ModelPace.
    """

    __slots__ = ("adaptive", "base_ms", "queue_ratio", "stream_ms")

    def __init__(self, *, adaptive: bool = True) -> None:
        self.adaptive = adaptive
        # The duration of a stream after its first event.
        self.stream_ms = AdaptiveEstimate(INITIAL_STREAM_MS, minimum=10.0, maximum=60_000.0)
        self.base_ms = AdaptiveEstimate(INITIAL_BASE_MS, minimum=MIN_BASE_MS, maximum=MAX_BASE_MS)
        self.queue_ratio = AdaptiveEstimate(
            INITIAL_QUEUE_RATIO, minimum=MIN_QUEUE_RATIO, maximum=MAX_QUEUE_RATIO
        )

    def record_first_token(self, *, own_ms: float, queue_ms: float, took_ms: float) -> None:
        """Update the estimates with a time to first token and the predictions for its two parts."""
        if not self.adaptive:
            return
        predicted_ms = own_ms + queue_ms
        if predicted_ms < self.base_ms.value:
            self.base_ms.update(max(1.0, took_ms - predicted_ms) / self.base_ms.value)
        elif own_ms < MAX_OWN_SHARE * predicted_ms:
            waited_ms = max(1.0, took_ms - self.base_ms.value - own_ms)
            self.queue_ratio.update(waited_ms / queue_ms)


def prefill_ms(tokens: float) -> float:
    """Return the prefill time of a number of reference tokens."""
    return tokens / PREFILL_TOKENS_PER_MS
