"""Limit rates with token buckets."""

import threading

from mimosaspur_state.clock import Clock
from mimosaspur_state.clock import Deadline

MS_PER_SECOND = 1000
# The platform counts calls per second, so a burst may use only part of a second's tokens.
BURST_S = 0.25
UNLIMITED_RATE = 0.0


class TokenBucket:
    """Issue tokens at a rate per second; a rate of 0 means no limit."""

    __slots__ = ("burst", "clock", "lock", "per_second", "refilled_at_ms", "tokens")

    def __init__(self, per_second: float, *, clock: Clock, burst: float | None = None) -> None:
        self.per_second = per_second
        self.clock = clock
        self.burst = max(1.0, per_second * BURST_S if burst is None else burst)
        self.tokens = self.burst
        self.refilled_at_ms = clock.now_ms()
        self.lock = threading.Lock()

    def take(self, n: int = 1) -> bool:
        """Take n tokens if at least one is available; a deficit delays later calls."""
        with self.lock:
            if self.per_second <= UNLIMITED_RATE:
                return True
            self._refill()
            if self.tokens < 1:
                return False
            self.tokens -= n
            return True

    def wait_ms(self) -> int:
        """Return the milliseconds until a token is available if no other caller takes it."""
        with self.lock:
            if self.per_second <= UNLIMITED_RATE:
                return 0
            self._refill()
            missing = max(0.0, 1 - self.tokens)
            # Rounds up, so that a waiter does not wake before its token is available.
            return -int(-missing * MS_PER_SECOND // self.per_second)

    def acquire(self, deadline: Deadline) -> bool:
        """Wait for a token until the deadline; return whether one was taken."""
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
