"""Space out the calls to a dependency that fails, so that many processes don't keep it down."""

import random

# The pause doubles with each failure in a row.
FIRST_MS = 250
# What a dependency may miss at most without harm, jitter included, is a second and more.
LONGEST_MS = 800
# Processes that lost a dependency together must not come back together: a pause is longer by up to
# this part of it.
JITTER_PART = 0.5


class Backoff:
    """Tell how long to pause after each failure in a row."""

    __slots__ = ("failures", "first_ms", "free", "longest_ms")

    def __init__(
        self, *, first_ms: int = FIRST_MS, longest_ms: int = LONGEST_MS, free: int = 1
    ) -> None:
        self.first_ms = first_ms
        self.longest_ms = longest_ms
        # Failures without a pause: most are of one call.
        self.free = free
        self.failures = 0

    def failed(self) -> None:
        """Count a failure."""
        self.failures += 1

    def worked(self) -> None:
        """Forget the failures: what the dependency is needed for has worked."""
        self.failures = 0

    def pause_s(self) -> float:
        """Return the seconds to wait before the next call."""
        paused = self.failures - self.free
        if paused < 1:
            return 0.0
        # The exponent is bounded, since a dependency may be away for hours.
        doublings = min(paused - 1, 16)
        pause_ms = min(self.longest_ms, self.first_ms << doublings)
        return pause_ms * (1 + random.random() * JITTER_PART) / 1000
