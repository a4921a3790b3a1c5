"""Bound repeated arrivals at a service over all entries, each entry keeping to its part."""

import contextlib
from collections import deque
from dataclasses import dataclass

from mimosaspur_coordination.limits.sharelease import ShareLease
from mimosaspur_state.clock import Clock
from mimosaspur_state.directsettings import RetryBounds

# Entries count apart and learn late of one another: a part of the bound is left unused.
USED_SHARE = 0.7


@dataclass(slots=True, frozen=True)
class RetryState:
    """Hold what decides whether another repeat is allowed."""

    requests: int
    repeats: int
    # Repeats that the window allows in all.
    allowed: float
    # This entry's part of the constant.
    part: float


class RetryWindow:
    """Allow repeats in proportion to a window's requests, plus a part of a constant."""

    __slots__ = ("bounds", "clock", "lease", "repeats", "requests")

    def __init__(self, bounds: RetryBounds, *, lease: ShareLease, clock: Clock) -> None:
        self.bounds = bounds
        self.lease = lease
        self.clock = clock
        self.requests: deque[int] = deque()
        self.repeats: deque[int] = deque()

    def count_request(self) -> None:
        """Count a caller's request."""
        self.requests.append(self.clock.now_ms())
        self._expire()

    def allows(self, repeats: int = 1) -> bool:
        """Tell whether the window has so many more repeats."""
        self._expire()
        return len(self.repeats) + repeats <= self._allowance()

    def state(self) -> RetryState:
        """Return what decides about the next repeat."""
        self._expire()
        return RetryState(
            requests=len(self.requests),
            repeats=len(self.repeats),
            allowed=round(self._allowance(), 1),
            part=round(self.lease.share(), 3),
        )

    def try_spend(self, repeats: int = 1) -> bool:
        """Take so many repeats, or none if the window doesn't have all of them."""
        if not self.allows(repeats):
            return False
        self.repeats.extend([self.clock.now_ms()] * repeats)
        return True

    def refund(self, spent_ms: int) -> None:
        """Return a repeat that was taken at a time and not needed."""
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
