"""Decide when an entry reads the instance list, which is long at a large site."""

from collections.abc import Collection

MS_PER_SECOND = 1000
MAX_READ_INTERVAL_MS = 60_000
# The list lags, so what was missing from one reading may stand in the next.
MAX_EARLY_READS = 3
UNLIMITED_RATE = 0.0


class ListReadLimiter:
    """Keep the readings within bytes for each second, each paid for by time; for one task.

    A regular reading waits until its bytes are saved up, at most LONGEST_PAUSE_MS. An early one
    may go into debt for one reading, and the regular ones after it wait the longer.
    """

    def __init__(self, *, interval_ms: int, bytes_per_second: float) -> None:
        self.interval_ms = interval_ms
        self.bytes_per_second = bytes_per_second
        self.size_bytes = 0
        self.budget_bytes = 0.0
        self.refilled_at_ms: int | None = None
        self.last_read_ms: int | None = None
        self.last_read_failed = False
        self.early_reads: dict[str, int] = {}

    def is_due(self, now_ms: int, unresolved: Collection[str] = ()) -> bool:
        """Tell whether to read now; sought names the targets that a reading may tell of."""
        if self.last_read_ms is None:
            return True
        self._refill(now_ms)
        if (
            any(self.early_reads.get(name, 0) < MAX_EARLY_READS for name in unresolved)
            and self._may_borrow()
        ):
            return True
        past_ms = now_ms - self.last_read_ms
        if past_ms < self.interval_ms:
            return False
        return self.last_read_failed or self._is_covered() or past_ms >= MAX_READ_INTERVAL_MS

    def record_read(self, now_ms: int, size_bytes: int, unresolved: Collection[str] = ()) -> None:
        """Note a reading, its size, and the targets that it still does not tell of."""
        self._refill(now_ms)
        # The first reading is free, or whoever just started could seek nobody for long.
        cost_bytes = size_bytes if self.size_bytes else 0
        self.size_bytes = size_bytes
        # A list too long for its rate is read all the same, so what it owes has an end.
        self.budget_bytes = max(self.budget_bytes - cost_bytes, -float(size_bytes))
        self.early_reads = {name: self.early_reads.get(name, 0) + 1 for name in unresolved}
        self.last_read_failed = False
        self.last_read_ms = now_ms

    def exhausted(self) -> list[str]:
        """Return the sought targets for which no early reading is made any more."""
        return [name for name, times in self.early_reads.items() if times >= MAX_EARLY_READS]

    def record_failure(self, now_ms: int) -> None:
        """Note that a reading failed: the next is tried after the plain pause."""
        self.last_read_failed = True
        self.last_read_ms = now_ms

    def _refill(self, now_ms: int) -> None:
        if self.refilled_at_ms is not None:
            gained = (now_ms - self.refilled_at_ms) * self.bytes_per_second / MS_PER_SECOND
            self.budget_bytes = min(float(self.size_bytes), self.budget_bytes + gained)
        self.refilled_at_ms = now_ms

    def _is_covered(self) -> bool:
        return self.bytes_per_second <= UNLIMITED_RATE or self.budget_bytes >= self.size_bytes

    def _may_borrow(self) -> bool:
        return self.bytes_per_second <= UNLIMITED_RATE or (
            not self.last_read_failed and self.budget_bytes > 0
        )
