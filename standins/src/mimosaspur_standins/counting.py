"""Count calls in a sliding window of one second."""

from collections import deque

from .base import MS_PER_SECOND
from .base import now_ms


class SlidingWindow:
    """Count the calls of the last second and the peak; the caller must hold a lock."""

    def __init__(self) -> None:
        self.times: deque[float] = deque()
        self.peak = 0

    def count(self) -> int:
        """Return the number of calls in the last second."""
        oldest = now_ms() - MS_PER_SECOND
        while self.times and self.times[0] <= oldest:
            self.times.popleft()
        return len(self.times)

    def add(self) -> None:
        """Record a call."""
        self.times.append(now_ms())
        self.peak = max(self.peak, self.count())

    def allow(self, limit: int) -> bool:
        """Record a call if the limit per second allows it; return whether it did (0: no limit)."""
        if limit and self.count() >= limit:
            return False
        self.add()
        return True
