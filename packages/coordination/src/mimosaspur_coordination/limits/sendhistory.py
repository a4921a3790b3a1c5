"""Count what this entry has sent to each target in the last seconds."""

from collections import deque
from collections.abc import Collection

from mimosaspur_state.clock import Clock

WINDOW_MS = 4_000
# Bounds the memory for a target; more than this in a window counts as this many.
MAX_SENDS = 1_000


class SendHistory:
    """Keep the times of recent sends by target."""

    __slots__ = ("clock", "sent_ms")

    def __init__(self, *, clock: Clock) -> None:
        self.clock = clock
        self.sent_ms: dict[str, deque[int]] = {}

    def record(self, target: str) -> None:
        """Record that a request is sent to a target now."""
        times = self.sent_ms.setdefault(target, deque(maxlen=MAX_SENDS))
        times.append(self.clock.now_ms())
        self._expire(times)

    def count(self, target: str) -> int:
        """Return how many requests were sent to a target within the window."""
        times = self.sent_ms.get(target)
        if times is None:
            return 0
        self._expire(times)
        return len(times)

    def retain(self, targets: Collection[str]) -> None:
        """Drop the history of all other targets."""
        self.sent_ms = {key: times for key, times in self.sent_ms.items() if key in targets}

    def _expire(self, times: deque[int]) -> None:
        oldest_ms = self.clock.now_ms() - WINDOW_MS
        while times and times[0] < oldest_ms:
            times.popleft()
