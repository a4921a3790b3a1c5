"""Learn how long engines of one kind take to a first token, from what requests show."""

import math

# Work is counted in tokens of which a common engine reads so many in a millisecond. It is a unit:
# what a token really costs is learnt as the pace of all engines and of each model.
TOKENS_PER_MS = 20.0
# The time to a first token on an idle engine, without reading: two steps and the way there.
FIRST_BASE_MS = 30.0
LEAST_BASE_MS = 5.0
MOST_BASE_MS = 300.0
# How long a stream lasts after its first event, before any was measured.
FIRST_STREAM_MS = 1_000.0
# Of the tokens that are counted as waiting before a request, so much is still to be read at first.
FIRST_QUEUE_PART = 1.0
LEAST_QUEUE_PART = 0.1
MOST_QUEUE_PART = 1.5
# One measurement says no more than this many times more or less: the queue may have been misjudged.
MOST_CHANGE = 4.0
# Weight of one more measurement once many are known: a step of at most 3 in 100 for each.
NEWEST = 0.02
# A measurement tells of the queue if a request's own tokens take less than this part of the time.
OWN_PART = 0.5


class Learnt:
    """Hold a positive figure that follows the measured ones: fast at first, then slowly."""

    __slots__ = ("least", "measurements", "most", "value")

    def __init__(self, value: float, *, least: float, most: float) -> None:
        self.value = value
        self.least = least
        self.most = most
        self.measurements = 0

    def learn(self, ratio: float, *, share: float = 1.0) -> float:
        """Take a measured figure over the known one; return by how much the known one changed."""
        weight = share * max(NEWEST, 1.0 / (self.measurements + 1))
        clipped = min(MOST_CHANGE, max(1.0 / MOST_CHANGE, ratio))
        old = self.value
        self.value = min(self.most, max(self.least, old * math.exp(weight * math.log(clipped))))
        self.measurements += 1
        return self.value / old


class ReadingSpeed:
    """Keep what is known of all engines of a kind; what a token of a model costs is learnt apart.

    What counts as queued is read meanwhile, and some of it was kept after all: the part of it that
    a request really waits for is learnt.
    """

    __slots__ = ("base", "learns", "queue_part", "stream_ms")

    def __init__(self, *, learns: bool = True) -> None:
        self.learns = learns
        # How long a whole stream lasts after its first event.
        self.stream_ms = Learnt(FIRST_STREAM_MS, least=10.0, most=60_000.0)
        self.base = Learnt(FIRST_BASE_MS, least=LEAST_BASE_MS, most=MOST_BASE_MS)
        self.queue_part = Learnt(FIRST_QUEUE_PART, least=LEAST_QUEUE_PART, most=MOST_QUEUE_PART)

    def queue_ms(self, tokens: float) -> float:
        """Return the time that a request waits behind tokens counted as queued."""
        return reading_ms(tokens) * self.queue_part.value

    def learn(self, *, own_ms: float, queue_ms: float, took_ms: float) -> None:
        """Take the time to a first token beside what was predicted for its two parts."""
        if not self.learns:
            return
        predicted_ms = own_ms + queue_ms
        if predicted_ms < self.base.value:
            self.base.learn(max(1.0, took_ms - predicted_ms) / self.base.value)
        elif own_ms < OWN_PART * predicted_ms:
            waited_ms = max(1.0, took_ms - self.base.value - own_ms)
            self.queue_part.learn(waited_ms / queue_ms)


def reading_ms(tokens: float) -> float:
    """Return the time to read tokens, counted in those of a common model on a common engine."""
    return tokens / TOKENS_PER_MS
