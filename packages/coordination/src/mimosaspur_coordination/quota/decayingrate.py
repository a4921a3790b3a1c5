"""Measure a rate that follows its callers within seconds."""

import math

# A workspace's callers come and go within seconds; a shorter time would follow single requests.
TIME_CONSTANT_MS = 2_000


class DecayingRate:
    """Hold an amount a second, in which what is older counts for less."""

    __slots__ = ("at_ms", "per_s")

    def __init__(self, now_ms: int) -> None:
        self.per_s = 0.0
        self.at_ms = now_ms

    def add(self, amount: float, now_ms: int) -> None:
        """Count an amount."""
        self.per_s = self.at(now_ms) + amount * 1000 / TIME_CONSTANT_MS
        self.at_ms = now_ms

    def add_rate(self, per_s: float, now_ms: int) -> None:
        """Go on from a rate that was measured elsewhere."""
        self.per_s = self.at(now_ms) + per_s
        self.at_ms = now_ms

    def at(self, now_ms: int) -> float:
        """Return the rate at a time."""
        return self.per_s * math.exp((self.at_ms - now_ms) / TIME_CONSTANT_MS)
