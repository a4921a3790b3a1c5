"""Track for which crashes the evidence of all entries has reached the coordinator."""

from mimosaspur_state.clock import Clock

# By then all entries that can reach a first coordinator follow it.
FOLLOW_GRACE_MS = 1_500
# An entry that has been away for longer has ended, or its machine has been replaced.
RETENTION_MS = 15_000
MISSING = -1


class MissingEntries:
    """Track entries that don't report though they may have callers, and evidence that was lost.

    An entry that comes back with the process that it had reports all that it saw meanwhile.
    """

    __slots__ = ("clock", "complete_since_ms", "expected", "lost_ms", "started_ms")

    def __init__(self, *, expected: int, complete_since_ms: int | None, clock: Clock) -> None:
        self.clock = clock
        self.started_ms = clock.now_ms()
        # Entries of the last coordinator, itself included; 0 if none is known.
        self.expected = expected
        # Evidence of crashes before may have been lost.
        self.complete_since_ms = self.started_ms if complete_since_ms is None else complete_since_ms
        self.lost_ms: dict[str, int] = {}

    def on_connect(self, instance: str, *, new_process: bool) -> None:
        """Count an entry as reporting."""
        was_missing = self.lost_ms.pop(instance, None) is not None
        if new_process and (was_missing or self.expected):
            self.complete_since_ms = self.clock.now_ms()

    def on_lost(self, instance: str) -> None:
        """Count an entry as missing."""
        self.lost_ms[instance] = self.clock.now_ms()

    def covered_ms(self, *, reporting: int) -> int:
        """Return for how long all evidence is here, MISSING while an entry doesn't report."""
        now_ms = self.clock.now_ms()
        self._write_off(now_ms, reporting)
        joining = not self.expected and now_ms - self.started_ms < FOLLOW_GRACE_MS
        if self.lost_ms or joining or reporting < self.expected:
            return MISSING
        # Entries that join later are new ones.
        self.expected = 0
        return now_ms - self.complete_since_ms

    def _write_off(self, now_ms: int, reporting: int) -> None:
        """Stop waiting for entries that have been away for too long; their evidence is lost."""
        ended = [key for key, lost_ms in self.lost_ms.items() if now_ms - lost_ms >= RETENTION_MS]
        for instance in ended:
            del self.lost_ms[instance]
        never_came = reporting < self.expected and now_ms - self.started_ms >= RETENTION_MS
        if never_came:
            self.expected = 0
        if ended or never_came:
            self.complete_since_ms = now_ms
