"""Limit the rate of loads from the weight store."""

from collections import deque

from mimosaspur_state.clock import Clock

# Leaves room, because the store counts loads when they start and this counts them when ordered.
USED_RATE_SHARE = 0.9


class WeightLoadLimiter:
    """Limit loads in a sliding window."""

    __slots__ = ("clock", "started_ms", "window_ms")

    def __init__(self, window_ms: int, *, clock: Clock) -> None:
        self.window_ms = window_ms
        self.clock = clock
        self.started_ms: deque[int] = deque()

    def allows(self, loads_per_s: float) -> bool:
        """Return whether another load may start; a rate of 0 means no limit."""
        oldest_ms = self.clock.now_ms() - self.window_ms
        while self.started_ms and self.started_ms[0] < oldest_ms:
            self.started_ms.popleft()
        max_loads = max(1.0, loads_per_s * self.window_ms / 1000 * USED_RATE_SHARE)
        return not loads_per_s or len(self.started_ms) + 1 <= max_loads

    def record(self, n: int = 1) -> None:
        """Record loads that start now."""
        self.started_ms.extend([self.clock.now_ms()] * n)
