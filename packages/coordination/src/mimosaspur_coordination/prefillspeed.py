"""Learn how long engines of one kind take to a first token, from what requests show."""

import math

# Work is counted in tokens of which a common engine reads so many in a millisecond. It is a unit:
# what a token really costs is learnt as the pace of all engines and of each model.
PREFILL_TOKENS_PER_MS = 20.0
# The time to a first token on an idle engine, without reading: two steps and the way there.
INITIAL_BASE_MS = 30.0
MIN_BASE_MS = 5.0
MAX_BASE_MS = 300.0
# How long a stream lasts after its first event, before any was measured.
INITIAL_STREAM_MS = 1_000.0
# Of the tokens that are counted as waiting before a request, so much is still to be read at first.
INITIAL_QUEUE_RATIO = 1.0
MIN_QUEUE_RATIO = 0.1
MAX_QUEUE_RATIO = 1.5
# One measurement says no more than this many times more or less: the queue may have been misjudged.
MAX_CHANGE_RATIO = 4.0
# Weight of one more measurement once many are known: a step of at most 3 in 100 for each.
MIN_LEARNING_RATE = 0.02
# A measurement tells of the queue if a request's own tokens take less than this part of the time.
MAX_OWN_SHARE = 0.5


class AdaptiveEstimate:
    """Hold a positive figure that follows the measured ones: fast at first, then slowly."""

    __slots__ = ("minimum", "measurements", "maximum", "value")

    def __init__(self, value: float, *, minimum: float, maximum: float) -> None:
        self.value = value
        self.minimum = minimum
        self.maximum = maximum
        self.measurements = 0

    def update(self, ratio: float, *, share: float = 1.0) -> float:
        """Take a measured figure over the known one; return by how much the known one changed."""
        weight = share * max(MIN_LEARNING_RATE, 1.0 / (self.measurements + 1))
        clipped = min(MAX_CHANGE_RATIO, max(1.0 / MAX_CHANGE_RATIO, ratio))
        old = self.value
        self.value = min(
            self.maximum, max(self.minimum, old * math.exp(weight * math.log(clipped)))
        )
        self.measurements += 1
        return self.value / old


class PrefillSpeed:
    """Keep what is known of all engines of a kind; what a token of a model costs is learnt apart.

    What counts as queued is read meanwhile, and some of it was kept after all: the part of it that
    a request really waits for is learnt.
    """

    __slots__ = ("base_ms", "adaptive", "queue_ratio", "stream_ms")

    def __init__(self, *, adaptive: bool = True) -> None:
        self.adaptive = adaptive
        # How long a whole stream lasts after its first event.
        self.stream_ms = AdaptiveEstimate(INITIAL_STREAM_MS, minimum=10.0, maximum=60_000.0)
        self.base_ms = AdaptiveEstimate(INITIAL_BASE_MS, minimum=MIN_BASE_MS, maximum=MAX_BASE_MS)
        self.queue_ratio = AdaptiveEstimate(
            INITIAL_QUEUE_RATIO, minimum=MIN_QUEUE_RATIO, maximum=MAX_QUEUE_RATIO
        )

    def queue_ms(self, tokens: float) -> float:
        """Return the time that a request waits behind tokens counted as queued."""
        return prefill_ms(tokens) * self.queue_ratio.value

    def record_first_token(self, *, own_ms: float, queue_ms: float, took_ms: float) -> None:
        """Take the time to a first token beside what was predicted for its two parts."""
        if not self.adaptive:
            return
        predicted_ms = own_ms + queue_ms
        if predicted_ms < self.base_ms.value:
            self.base_ms.update(max(1.0, took_ms - predicted_ms) / self.base_ms.value)
        elif own_ms < MAX_OWN_SHARE * predicted_ms:
            waited_ms = max(1.0, took_ms - self.base_ms.value - own_ms)
            self.queue_ratio.update(waited_ms / queue_ms)


def prefill_ms(tokens: float) -> float:
    """Return the time to read tokens, counted in those of a common model on a common engine."""
    return tokens / PREFILL_TOKENS_PER_MS
