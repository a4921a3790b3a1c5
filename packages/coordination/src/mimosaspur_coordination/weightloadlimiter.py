"""Keep loads from the weight store within its rate."""

from collections import deque

from mimosaspur_state.clock import Clock

# The store counts when loads begin, we count when they are ordered: some room is left.
USED_RATE_SHARE = 0.9


class WeightLoadLimiter:
    """Count loads in a sliding window."""

    __slots__ = ("clock", "started_ms", "window_ms")

    def __init__(self, window_ms: int, *, clock: Clock) -> None:
        self.window_ms = window_ms
        self.clock = clock
        self.started_ms: deque[int] = deque()

    def allows(self, loads_per_s: float) -> bool:
        """Tell whether another load may begin; a rate of 0 is no limit."""
        oldest_ms = self.clock.now_ms() - self.window_ms
        while self.started_ms and self.started_ms[0] < oldest_ms:
            self.started_ms.popleft()
        most = max(1.0, loads_per_s * self.window_ms / 1000 * USED_RATE_SHARE)
        return not loads_per_s or len(self.started_ms) + 1 <= most

    def record(self, n: int = 1) -> None:
        """Count loads that begin now."""
        self.started_ms.extend([self.clock.now_ms()] * n)
