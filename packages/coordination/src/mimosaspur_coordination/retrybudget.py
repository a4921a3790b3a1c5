"""Limit the retries that the system makes on its own."""

import threading


class RetryBudget:
    """Allow retries as a ratio of the requests, up to a burst."""

    __slots__ = ("burst", "lock", "ratio", "tokens")

    def __init__(self, *, ratio: float, burst: int) -> None:
        self.ratio = ratio
        self.burst = burst
        self.tokens = float(burst)
        self.lock = threading.Lock()

    def record_request(self) -> None:
        """Add a request's share of a retry to the budget."""
        with self.lock:
            self.tokens = min(self.burst, self.tokens + self.ratio)

    def try_spend(self) -> bool:
        """Take one retry from the budget; return whether there was one."""
        with self.lock:
            if self.tokens < 1:
                return False
            self.tokens -= 1
            return True
