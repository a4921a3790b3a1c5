"""Measure a rate with exponential decay."""

import math

# Short enough for callers that come and go within seconds, long enough to smooth single requests.
TIME_CONSTANT_MS = 2_000


class DecayingRate:
    """Hold an amount per second that decays exponentially."""

    __slots__ = ("at_ms", "per_s")

    def __init__(self, now_ms: int) -> None:
        self.per_s = 0.0
        self.at_ms = now_ms

    def add(self, amount: float, now_ms: int) -> None:
        """Add an amount."""
        self.per_s = self.at(now_ms) + amount * 1000 / TIME_CONSTANT_MS
        self.at_ms = now_ms

    def add_rate(self, per_s: float, now_ms: int) -> None:
        """Add a rate that was measured elsewhere."""
        self.per_s = self.at(now_ms) + per_s
        self.at_ms = now_ms

    def at(self, now_ms: int) -> float:
        """Return the rate at a time."""
        return self.per_s * math.exp((self.at_ms - now_ms) / TIME_CONSTANT_MS)
