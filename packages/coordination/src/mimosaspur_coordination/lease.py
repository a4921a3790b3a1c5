"""Share out the planner duty so that one entry plans at a time.

The lease only saves work. Two holders at once do no harm: every move is a conditional update
of one placement record, so the slower one is refused.
"""

from mimosaspur_state.clock import Clock
from mimosaspur_state.errors import StoreUnavailable
from mimosaspur_state.errors import VersionConflict
from mimosaspur_state.objects import ObjectStore
from mimosaspur_state.objects import StoredObject
from mimosaspur_state.records import PlannerLease


class DutyLease:
    """Hold a lease in the object API; its time runs on our own monotonic clock only."""

    def __init__(
        self,
        store: ObjectStore,
        key: str,
        holder: str,
        incarnation: str,
        clock: Clock,
        lease_ms: int,
    ) -> None:
        self.store = store
        self.key = key
        self.holder = holder
        self.incarnation = incarnation
        self.clock = clock
        self.lease_ms = lease_ms
        self.seen_version: int | None = None
        self.seen_ms = 0

    def hold(self) -> bool:
        """Take or renew the lease; return False if another holds it or the store is silent."""
        try:
            return self._hold()
        except (StoreUnavailable, VersionConflict):
            return False

    def release(self) -> None:
        """Give the lease up, so that another need not wait for it to run out."""
        try:
            found = self.store.get(self.key)
            if found and self._is_mine(found):
                self.store.delete(self.key, found.version)
        except (StoreUnavailable, VersionConflict):
            return

    def _hold(self) -> bool:
        found = self.store.get(self.key)
        if found is None:
            self.store.create(self.key, self._lease(1).to_value())
            return True
        if not self._is_mine(found) and not self._is_expired(found):
            return False
        beat = PlannerLease.from_value(found.value).beat + 1
        self.store.update(self.key, self._lease(beat).to_value(), found.version)
        return True

    def _lease(self, beat: int) -> PlannerLease:
        return PlannerLease(self.holder, self.incarnation, beat)

    def _is_mine(self, found: StoredObject) -> bool:
        lease = PlannerLease.from_value(found.value)
        return (lease.holder, lease.incarnation) == (self.holder, self.incarnation)

    def _is_expired(self, found: StoredObject) -> bool:
        now_ms = self.clock.now_ms()
        # Every beat is a write, so the version tells whether it stood still.
        if found.version != self.seen_version:
            self.seen_version = found.version
            self.seen_ms = now_ms
        return now_ms - self.seen_ms >= self.lease_ms
