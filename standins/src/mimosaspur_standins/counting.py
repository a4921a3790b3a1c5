"""Count calls in any one second."""

from collections import deque

from .base import MS_PER_SECOND
from .base import now_ms


class SlidingWindow:
    """Remember the calls of the last second and the most in any; the caller locks."""

    def __init__(self) -> None:
        self.times: deque[float] = deque()
        self.peak = 0

    def count(self) -> int:
        """Tell how many calls the last second saw."""
        oldest = now_ms() - MS_PER_SECOND
        while self.times and self.times[0] <= oldest:
            self.times.popleft()
        return len(self.times)

    def add(self) -> None:
        """Note a call."""
        self.times.append(now_ms())
        self.peak = max(self.peak, self.count())

    def allow(self, limit: int) -> bool:
        """Note a call if the last second has room for it; 0 is no limit."""
        if limit and self.count() >= limit:
            return False
        self.add()
        return True
