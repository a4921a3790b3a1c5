"""Decide when an entry reads the instance list, which is long at a large site."""

from collections.abc import Collection

MS_PER_SECOND = 1000
LONGEST_PAUSE_MS = 60_000
# The list lags, so what was missing from one reading may stand in the next.
EARLY_READINGS = 3
NO_LIMIT = 0.0


class ListPace:
    """Keep the readings within bytes for each second, each paid for by time; for one task.

    A regular reading waits until its bytes are saved up, at most LONGEST_PAUSE_MS. An early one
    may go into debt for one reading, and the regular ones after it wait the longer.
    """

    def __init__(self, *, pause_ms: int, bytes_per_second: float) -> None:
        self.pause_ms = pause_ms
        self.bytes_per_second = bytes_per_second
        self.size_bytes = 0
        self.saved_bytes = 0.0
        self.counted_at_ms: int | None = None
        self.read_at_ms: int | None = None
        self.failed = False
        self.early: dict[str, int] = {}

    def due(self, now_ms: int, sought: Collection[str] = ()) -> bool:
        """Tell whether to read now; sought names the targets that a reading may tell of."""
        if self.read_at_ms is None:
            return True
        self._save(now_ms)
        if any(self.early.get(name, 0) < EARLY_READINGS for name in sought) and self._may_owe():
            return True
        past_ms = now_ms - self.read_at_ms
        if past_ms < self.pause_ms:
            return False
        return self.failed or self._paid() or past_ms >= LONGEST_PAUSE_MS

    def noted(self, now_ms: int, size_bytes: int, sought: Collection[str] = ()) -> None:
        """Note a reading, its size, and the targets that it still does not tell of."""
        self._save(now_ms)
        # The first reading is free, or whoever just started could seek nobody for long.
        cost_bytes = size_bytes if self.size_bytes else 0
        self.size_bytes = size_bytes
        # A list too long for its rate is read all the same, so what it owes has an end.
        self.saved_bytes = max(self.saved_bytes - cost_bytes, -float(size_bytes))
        self.early = {name: self.early.get(name, 0) + 1 for name in sought}
        self.failed = False
        self.read_at_ms = now_ms

    def exhausted(self) -> list[str]:
        """Return the sought targets for which no early reading is made any more."""
        return [name for name, times in self.early.items() if times >= EARLY_READINGS]

    def not_answered(self, now_ms: int) -> None:
        """Note that a reading failed: the next is tried after the plain pause."""
        self.failed = True
        self.read_at_ms = now_ms

    def _save(self, now_ms: int) -> None:
        if self.counted_at_ms is not None:
            gained = (now_ms - self.counted_at_ms) * self.bytes_per_second / MS_PER_SECOND
            self.saved_bytes = min(float(self.size_bytes), self.saved_bytes + gained)
        self.counted_at_ms = now_ms

    def _paid(self) -> bool:
        return self.bytes_per_second <= NO_LIMIT or self.saved_bytes >= self.size_bytes

    def _may_owe(self) -> bool:
        return self.bytes_per_second <= NO_LIMIT or (not self.failed and self.saved_bytes > 0)
