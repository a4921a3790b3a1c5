"""Recognize requests that come back after a refusal, by their digests.

Addresses callers that retry once: one that was refused early and has waited as it was told should
be served late rather than be refused again without a forecast.
"""

from collections import OrderedDict

from mimosaspur_state.clock import Clock

# An entry refuses some ten requests a second under the heaviest load, and their callers return
# within seconds.
MAX_REFUSED = 1_000


class RefusedRequests:
    """Keep the digests of requests refused early, until their time limits."""

    __slots__ = ("clock", "ends_ms")

    def __init__(self, *, clock: Clock) -> None:
        self.clock = clock
        # By digest, the oldest first.
        self.ends_ms: OrderedDict[bytes, int] = OrderedDict()

    def add(self, digest: bytes, *, left_s: float) -> None:
        """Remember a refused request whose time limit passes in some seconds."""
        self.ends_ms.pop(digest, None)
        self.ends_ms[digest] = self.clock.now_ms() + round(left_s * 1000)
        while len(self.ends_ms) > MAX_REFUSED:
            self.ends_ms.popitem(last=False)

    def has_returned(self, digest: bytes) -> bool:
        """Return whether a request was refused before, within its time limit."""
        return self.clock.now_ms() <= self.ends_ms.get(digest, 0)
