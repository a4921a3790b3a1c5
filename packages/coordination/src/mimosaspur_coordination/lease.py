"""Elect one entry at a time as the planner by a lease.

The lease only avoids duplicate work. Two concurrent holders are safe: every move is a conditional
update of one placement record, so the slower one is refused.
"""

from mimosaspur_state.clock import Clock
from mimosaspur_state.errors import StoreUnavailable
from mimosaspur_state.errors import VersionConflict
from mimosaspur_state.objects import ObjectStore
from mimosaspur_state.objects import StoredObject
from mimosaspur_state.records import PlannerLease


class DutyLease:
    """Acquire and renew a lease in the object API, timed by the local monotonic clock only."""

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
        """Acquire or renew the lease; return False if another holds it or the store fails."""
        try:
            return self._hold()
        except (StoreUnavailable, VersionConflict):
            return False

    def release(self) -> None:
        """Delete the lease, so that another instance need not wait until it expires."""
        try:
            stored = self.store.get(self.key)
            if stored and self._is_mine(stored):
                self.store.delete(self.key, stored.version)
        except (StoreUnavailable, VersionConflict):
            return

    def _hold(self) -> bool:
        stored = self.store.get(self.key)
        if stored is None:
            self.store.create(self.key, self._lease(1).to_value())
            return True
        if not self._is_mine(stored) and not self._is_expired(stored):
            return False
        beat = PlannerLease.from_value(stored.value).beat + 1
        self.store.update(self.key, self._lease(beat).to_value(), stored.version)
        return True

    def _lease(self, beat: int) -> PlannerLease:
        return PlannerLease(self.holder, self.incarnation, beat)

    def _is_mine(self, stored: StoredObject) -> bool:
        lease = PlannerLease.from_value(stored.value)
        return (lease.holder, lease.incarnation) == (self.holder, self.incarnation)

    def _is_expired(self, stored: StoredObject) -> bool:
        now_ms = self.clock.now_ms()
        # Every renewal is a write, so an unchanged version means no renewal.
        if stored.version != self.seen_version:
            self.seen_version = stored.version
            self.seen_ms = now_ms
        return now_ms - self.seen_ms >= self.lease_ms
