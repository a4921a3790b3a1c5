"""Limit rates by token buckets."""

import threading

from mimosaspur_state.clock import Clock
from mimosaspur_state.clock import Deadline

MS_PER_SECOND = 1000
# A platform counts by the second, so only a part of one may come at once.
BURST_S = 0.25
UNLIMITED_RATE = 0.0


class TokenBucket:
    """Hand out tokens at a rate for each second; a rate of 0 is no limit."""

    __slots__ = ("burst", "clock", "refilled_at_ms", "lock", "per_second", "tokens")

    def __init__(self, per_second: float, *, clock: Clock, burst: float | None = None) -> None:
        self.per_second = per_second
        self.clock = clock
        self.burst = max(1.0, per_second * BURST_S if burst is None else burst)
        self.tokens = self.burst
        self.refilled_at_ms = clock.now_ms()
        self.lock = threading.Lock()

    def take(self, n: int = 1) -> bool:
        """Take n tokens if there is one now; the rest is owed, so that the average holds."""
        with self.lock:
            if self.per_second <= UNLIMITED_RATE:
                return True
            self._refill()
            if self.tokens < 1:
                return False
            self.tokens -= n
            return True

    def wait_ms(self) -> int:
        """Return the milliseconds until there is a token, if nobody else takes it."""
        with self.lock:
            if self.per_second <= UNLIMITED_RATE:
                return 0
            self._refill()
            missing = max(0.0, 1 - self.tokens)
            # Rounded up, or a waiter would wake just before its token.
            return -int(-missing * MS_PER_SECOND // self.per_second)

    def acquire(self, deadline: Deadline) -> bool:
        """Wait for a token until the deadline; tell whether one was taken."""
        pause = threading.Event()
        while not self.take():
            wait_ms = max(1, self.wait_ms())
            if wait_ms > deadline.remaining_ms():
                return False
            pause.wait(wait_ms / MS_PER_SECOND)
        return True

    def _refill(self) -> None:
        now_ms = self.clock.now_ms()
        gained = (now_ms - self.refilled_at_ms) * self.per_second / MS_PER_SECOND
        self.tokens = min(self.burst, self.tokens + gained)
        self.refilled_at_ms = now_ms
