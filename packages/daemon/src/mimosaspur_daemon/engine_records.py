"""Change and ask the placement records themselves, for one round of the engine keeper."""

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
    """Reach one target's records; after a call without an answer it makes none in this round."""

    __slots__ = ("store_available", "mirror", "region", "store", "target")

    def __init__(self, store: ObjectStore, mirror: Mirror, *, region: str, target: str) -> None:
        self.store = store
        self.mirror = mirror
        self.region = region
        self.target = target
        self.store_available = True

    def update(self, change: Callable[..., object], held: Assignment) -> bool:
        """Make a change in the store; an unsettled one is taken up again in the next round."""
        learn = self.mirror.apply_update
        if not self.store_available:
            return False
        try:
            return bool(change(self.store, held.item, self.target, held.version, on_update=learn))
        except StoreUnavailable as error:
            log(PART, "The object API did not settle a change.", error=str(error))
            self.store_available = False
            return False

    def may_unload(self, item: Resident, situation: EngineSnapshot) -> bool:
        """Tell whether the record itself, not the mirror's copy, lets a resident go."""
        base = item.base or item.id
        if item.base and any(held.base_id() == base for held in situation.assignments):
            return not is_replacement_pending(item, situation, self.store, self.region)
        if not self.store_available:
            return False
        model, _, version = base.rpartition("@")
        try:
            found = self.store.get(keys.placement(self.region, model))
        except StoreUnavailable:
            self.store_available = False
            return False
        record = placement_from_value(found.value) if found else PlacementRecord(model, 0)
        if found:
            self.mirror.apply_update(found)
        if any(replica.version == version for replica in record.on_target(self.target)):
            return False
        entry = situation.index.models.get(model)
        if entry is None or entry.version != version:
            return True
        return replicas.is_replaced(record, self.target, version, situation.index)
