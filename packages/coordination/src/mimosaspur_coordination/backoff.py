"""Space out the calls to a dependency that fails, so that many processes don't keep it down."""

import random

# The first failure is tried again at once: most are of one call. From the second one in a row on
# the pause doubles, up to the longest.
FIRST_MS = 250
# With jitter 1.8 s, which with a call that fails leaves a change known within 3 s of its return;
# hundreds of entries ask while it is away.
LONGEST_MS = 1_200
# Processes that lost a dependency together must not come back together: a pause is longer by up to
# this part of it.
JITTER_PART = 0.5


class Backoff:
    """Tell how long to pause after each failure in a row."""

    __slots__ = ("failures", "first_ms", "longest_ms")

    def __init__(self, *, first_ms: int = FIRST_MS, longest_ms: int = LONGEST_MS) -> None:
        self.first_ms = first_ms
        self.longest_ms = longest_ms
        self.failures = 0

    def failed(self) -> None:
        """Count a failure."""
        self.failures += 1

    def worked(self) -> None:
        """Forget the failures: what the dependency is needed for has worked."""
        self.failures = 0

    def pause_s(self) -> float:
        """Return the seconds to wait before the next call."""
        if self.failures < 2:
            return 0.0
        # The exponent is bounded, since a dependency may be away for hours.
        doublings = min(self.failures - 2, 16)
        pause_ms = min(self.longest_ms, self.first_ms << doublings)
        return pause_ms * (1 + random.random() * JITTER_PART) / 1000
