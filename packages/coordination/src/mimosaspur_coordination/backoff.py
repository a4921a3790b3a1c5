"""Delay calls to a failing dependency exponentially, so that many processes don't overload it."""

import random

# The delay doubles with each failure in a row.
INITIAL_DELAY_MS = 250
# 1.2 s with jitter: a longer delay after a dependency has recovered would do harm.
MAX_DELAY_MS = 800
# Maximum random extension of a delay, so that processes don't retry at the same time.
JITTER_RATIO = 0.5


class Backoff:
    """Compute the delay before the next call from the number of consecutive failures."""

    __slots__ = ("failures", "initial_delay_ms", "max_delay_ms", "undelayed_failures")

    def __init__(
        self,
        *,
        initial_delay_ms: int = INITIAL_DELAY_MS,
        max_delay_ms: int = MAX_DELAY_MS,
        undelayed_failures: int = 1,
    ) -> None:
        self.initial_delay_ms = initial_delay_ms
        self.max_delay_ms = max_delay_ms
        # Initial failures that are retried at once, as most failures are transient.
        self.undelayed_failures = undelayed_failures
        self.failures = 0

    def record_failure(self) -> None:
        """Count a failure."""
        self.failures += 1

    def record_success(self) -> None:
        """Reset the failure count."""
        self.failures = 0

    def delay_s(self) -> float:
        """Return the seconds to wait before the next call."""
        delayed_failures = self.failures - self.undelayed_failures
        if delayed_failures < 1:
            return 0.0
        # Bounds the shift during outages of many hours.
        doublings = min(delayed_failures - 1, 16)
        delay_ms = min(self.max_delay_ms, self.initial_delay_ms << doublings)
        return delay_ms * (1 + random.random() * JITTER_RATIO) / 1000
