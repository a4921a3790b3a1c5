"""Read and update placement records in the store for the engine reconciler."""

from collections.abc import Callable

from mimosaspur_coordination import replicas
from mimosaspur_coordination.mirror import Mirror
from mimosaspur_coordination.orders import Assignment
from mimosaspur_daemon.engine_snapshot import EngineSnapshot
from mimosaspur_daemon.engine_snapshot import is_replacement_pending
from mimosaspur_state import keys
from mimosaspur_state.engine import Resident
from mimosaspur_state.errors import StoreUnavailable
from mimosaspur_state.log import log
from mimosaspur_state.objects import ObjectStore
from mimosaspur_state.placement import PlacementRecord
from mimosaspur_state.placement import placement_from_value

PART = "ENGINE"


class EngineRecords:
    """Update one target's records; after a failed call, skip the store until the next round."""

    __slots__ = ("store_available", "mirror", "region", "store", "target")

    def __init__(self, store: ObjectStore, mirror: Mirror, *, region: str, target: str) -> None:
        self.store = store
        self.mirror = mirror
        self.region = region
        self.target = target
        self.store_available = True

    def update(self, change: Callable[..., object], assignment: Assignment) -> bool:
        """Apply a change to a record; return whether it succeeded, else the next round retries."""
        on_update = self.mirror.apply_update
        if not self.store_available:
            return False
        try:
            return bool(
                change(
                    self.store,
                    assignment.item,
                    self.target,
                    assignment.version,
                    on_update=on_update,
                )
            )
        except StoreUnavailable as error:
            log(
                PART,
                "Could not update a placement record; retrying in the next round.",
                error=str(error),
            )
            self.store_available = False
            return False

    def may_unload(self, item: Resident, snapshot: EngineSnapshot) -> bool:
        """Return whether the stored record, not the mirror's copy, allows unloading a resident."""
        base = item.base or item.id
        if item.base and any(assignment.base_id() == base for assignment in snapshot.assignments):
            return not is_replacement_pending(item, snapshot, self.store, self.region)
        if not self.store_available:
            return False
        model, _, version = base.rpartition("@")
        try:
            stored = self.store.get(keys.placement(self.region, model))
        except StoreUnavailable:
            self.store_available = False
            return False
        record = placement_from_value(stored.value) if stored else PlacementRecord(model, 0)
        if stored:
            self.mirror.apply_update(stored)
        if any(replica.version == version for replica in record.on_target(self.target)):
            return False
        entry = snapshot.index.models.get(model)
        if entry is None or entry.version != version:
            return True
        return replicas.is_replaced(record, self.target, version, snapshot.index)
