"""Limit the repeated requests to a service over all entries, each within its share."""

import contextlib
from collections import deque
from dataclasses import dataclass

from mimosaspur_coordination.limits.sharelease import ShareLease
from mimosaspur_state.clock import Clock
from mimosaspur_state.directsettings import RetryBounds

# Leaves room, because entries count separately and are updated with a delay.
USED_SHARE = 0.7


@dataclass(slots=True, frozen=True)
class RetryState:
    """Hold the inputs of the decision on a repeat, for the log."""

    requests: int
    repeats: int
    # Total repeats that the window allows.
    allowed: float
    # This entry's share of the constant.
    part: float


class RetryWindow:
    """Allow repeats as a ratio of the requests in a sliding window, plus a share of a constant."""

    __slots__ = ("bounds", "clock", "lease", "repeats", "requests")

    def __init__(self, bounds: RetryBounds, *, lease: ShareLease, clock: Clock) -> None:
        self.bounds = bounds
        self.lease = lease
        # Must count time in suspend.
        self.clock = clock
        self.requests: deque[int] = deque()
        self.repeats: deque[int] = deque()

    def count_request(self) -> None:
        """Count a caller's request."""
        self.requests.append(self.clock.now_ms())
        self._expire()

    def allows(self, repeats: int = 1) -> bool:
        """Return whether the window allows this many more repeats."""
        self._expire()
        return len(self.repeats) + repeats <= self._allowance()

    def state(self) -> RetryState:
        """Return the current counts for the log."""
        self._expire()
        return RetryState(
            requests=len(self.requests),
            repeats=len(self.repeats),
            allowed=round(self._allowance(), 1),
            part=round(self.lease.share(), 3),
        )

    def try_spend(self, repeats: int = 1, *, now_ms: int | None = None) -> bool:
        """Take all of the repeats or none, by default now; return whether they were taken."""
        if not self.allows(repeats):
            return False
        self.repeats.extend([self.clock.now_ms() if now_ms is None else now_ms] * repeats)
        return True

    def refund(self, spent_ms: int) -> None:
        """Return an unused repeat that was taken at spent_ms."""
        with contextlib.suppress(ValueError):
            self.repeats.remove(spent_ms)

    def _allowance(self) -> float:
        proportional = self.bounds.ratio * len(self.requests)
        return (proportional + self.bounds.slack * self.lease.share()) * USED_SHARE

    def _expire(self) -> None:
        oldest_ms = self.clock.now_ms() - self.bounds.window_ms
        for times in (self.requests, self.repeats):
            while times and times[0] < oldest_ms:
                times.popleft()
