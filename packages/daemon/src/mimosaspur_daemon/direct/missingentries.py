"""Track entries that don't report to the coordinator though they may have callers."""

from mimosaspur_state.clock import Clock

# By then all entries that can reach a new coordinator follow it.
FOLLOW_GRACE_MS = 1_500
# An entry that has been away for longer has ended, or its machine has been replaced.
RETENTION_MS = 15_000


class MissingEntries:
    """Track entries that were lost without leaving, and those that a new coordinator expects."""

    __slots__ = ("clock", "expected", "lost_ms", "started_ms")

    def __init__(self, *, expected: int, clock: Clock) -> None:
        self.clock = clock
        self.started_ms = clock.now_ms()
        # Entries that followed the last coordinator, without itself.
        self.expected = expected
        self.lost_ms: dict[str, int] = {}

    def on_connect(self, instance: str) -> None:
        """Count an entry as reporting again."""
        self.lost_ms.pop(instance, None)

    def on_lost(self, instance: str) -> None:
        """Count an entry as missing."""
        self.lost_ms[instance] = self.clock.now_ms()

    def all_report(self, *, reporting: int) -> bool:
        """Return whether no entry is missing while this many report."""
        now_ms = self.clock.now_ms()
        age_ms = now_ms - self.started_ms
        if age_ms < FOLLOW_GRACE_MS or (reporting < self.expected and age_ms < RETENTION_MS):
            return False
        self.lost_ms = {
            instance: lost_ms
            for instance, lost_ms in self.lost_ms.items()
            if now_ms - lost_ms < RETENTION_MS
        }
        return not self.lost_ms
