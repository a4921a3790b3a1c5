"""Limit how often an entry reads the instance list, which is large at a large site."""

from collections.abc import Collection

MS_PER_SECOND = 1000
MAX_READ_INTERVAL_MS = 60_000
# The list lags, so a target missing from one read may appear in the next.
MAX_EARLY_READS = 3
UNLIMITED_RATE = 0.0


class ListReadLimiter:
    """Keep reads of the list within a byte rate; not thread-safe.

    A regular read waits until the budget covers the list's size, at most MAX_READ_INTERVAL_MS.
    An early read may overdraw the budget by one list, which delays the regular reads after it.
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
        """Return whether to read now; a read may resolve the unresolved targets."""
        if self.last_read_ms is None:
            return True
        self._refill(now_ms)
        if (
            any(self.early_reads.get(name, 0) < MAX_EARLY_READS for name in unresolved)
            and self._may_borrow()
        ):
            return True
        elapsed_ms = now_ms - self.last_read_ms
        if elapsed_ms < self.interval_ms:
            return False
        return self.last_read_failed or self._is_covered() or elapsed_ms >= MAX_READ_INTERVAL_MS

    def record_read(self, now_ms: int, size_bytes: int, unresolved: Collection[str] = ()) -> None:
        """Record a read, its size and the targets that it left unresolved."""
        self._refill(now_ms)
        # The first read is free, so that a new process can resolve targets early.
        cost_bytes = size_bytes if self.size_bytes else 0
        self.size_bytes = size_bytes
        # Bounds the debt when the list is too large for the rate.
        self.budget_bytes = max(self.budget_bytes - cost_bytes, -float(size_bytes))
        self.early_reads = {name: self.early_reads.get(name, 0) + 1 for name in unresolved}
        self.last_read_failed = False
        self.last_read_ms = now_ms

    def exhausted(self) -> list[str]:
        """Return the unresolved targets that no longer trigger early reads."""
        return [name for name, count in self.early_reads.items() if count >= MAX_EARLY_READS]

    def record_failure(self, now_ms: int) -> None:
        """Record a failed read; the next one follows after the regular interval."""
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
