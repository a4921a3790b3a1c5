"""Space out the calls to a dependency that fails, so that many processes don't keep it down."""

import random

# The pause doubles with each failure in a row.
INITIAL_DELAY_MS = 250
# What a dependency may miss at most without harm, jitter included, is a second and more.
MAX_DELAY_MS = 800
# Processes that lost a dependency together must not come back together: a pause is longer by up to
# this part of it.
JITTER_RATIO = 0.5


class Backoff:
    """Tell how long to pause after each failure in a row."""

    __slots__ = ("failures", "initial_delay_ms", "undelayed_failures", "max_delay_ms")

    def __init__(
        self,
        *,
        initial_delay_ms: int = INITIAL_DELAY_MS,
        max_delay_ms: int = MAX_DELAY_MS,
        undelayed_failures: int = 1,
    ) -> None:
        self.initial_delay_ms = initial_delay_ms
        self.max_delay_ms = max_delay_ms
        # Failures without a pause: most are of one call.
        self.undelayed_failures = undelayed_failures
        self.failures = 0

    def record_failure(self) -> None:
        """Count a failure."""
        self.failures += 1

    def record_success(self) -> None:
        """Forget the failures: what the dependency is needed for has worked."""
        self.failures = 0

    def delay_s(self) -> float:
        """Return the seconds to wait before the next call."""
        paused = self.failures - self.undelayed_failures
        if paused < 1:
            return 0.0
        # The exponent is bounded, since a dependency may be away for hours.
        doublings = min(paused - 1, 16)
        pause_ms = min(self.max_delay_ms, self.initial_delay_ms << doublings)
        return pause_ms * (1 + random.random() * JITTER_RATIO) / 1000
