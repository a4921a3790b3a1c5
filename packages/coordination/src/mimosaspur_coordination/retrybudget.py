"""Bound what the system itself sends again."""

import threading


class RetryBudget:
    """Allow retries in proportion to requests, up to a burst."""

    __slots__ = ("burst", "lock", "ratio", "tokens")

    def __init__(self, *, ratio: float, burst: int) -> None:
        self.ratio = ratio
        self.burst = burst
        self.tokens = float(burst)
        self.lock = threading.Lock()

    def record_request(self) -> None:
        """Count a caller's request."""
        with self.lock:
            self.tokens = min(self.burst, self.tokens + self.ratio)

    def try_spend(self) -> bool:
        """Take one retry if the budget has it."""
        with self.lock:
            if self.tokens < 1:
                return False
            self.tokens -= 1
            return True
