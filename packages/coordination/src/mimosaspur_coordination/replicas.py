"""Change a target's own replicas in placement records by conditional update."""

from collections.abc import Callable

from mimosaspur_state.bundle import BundleIndex
from mimosaspur_state.errors import StoreUnavailable
from mimosaspur_state.errors import VersionConflict
from mimosaspur_state.objects import ObjectStore
from mimosaspur_state.objects import StoredObject
from mimosaspur_state.placement import PlacementRecord
from mimosaspur_state.placement import Replica
from mimosaspur_state.placement import ReplicaState
from mimosaspur_state.placement import placement_from_value

MAX_ATTEMPTS = 5

Edit = Callable[[PlacementRecord], PlacementRecord | None]
OnUpdate = Callable[[StoredObject], None]


def mark_ready(
    store: ObjectStore, item: StoredObject, target: str, version: str, *, on_update: OnUpdate
) -> bool:
    """Turn a replica from LOAD to READY; tell whether it is READY; raise StoreUnavailable."""

    def edit(record: PlacementRecord) -> PlacementRecord | None:
        if _state_of(record, target, version) is not ReplicaState.LOAD:
            return None
        return record.with_replica(Replica(target, version, ReplicaState.READY))

    record = _update(store, item, edit, on_update)
    return _state_of(record, target, version) is ReplicaState.READY


def mark_lost(
    store: ObjectStore, item: StoredObject, target: str, version: str, *, on_update: OnUpdate
) -> None:
    """Turn a READY replica that is gone back to LOAD, drop a LEAVING one; may raise."""

    def edit(record: PlacementRecord) -> PlacementRecord | None:
        state = _state_of(record, target, version)
        if state is ReplicaState.READY:
            return record.with_replica(Replica(target, version, ReplicaState.LOAD))
        if state is ReplicaState.LEAVING:
            return record.without(target, version)
        return None

    _update(store, item, edit, on_update)


def remove_replaced(
    store: ObjectStore,
    item: StoredObject,
    target: str,
    version: str,
    *,
    index: BundleIndex,
    on_update: OnUpdate,
) -> bool:
    """Remove a LEAVING replica that is replaced; tell whether it is out; raise StoreUnavailable."""

    def edit(record: PlacementRecord) -> PlacementRecord | None:
        if _state_of(record, target, version) is not ReplicaState.LEAVING:
            return None
        if not is_replaced(record, target, version, index):
            return None
        return record.without(target, version)

    record = _update(store, item, edit, on_update)
    return _state_of(record, target, version) is None


def is_replaced(record: PlacementRecord, target: str, version: str, index: BundleIndex) -> bool:
    """Tell whether a model can do without one replica: another is READY, or it isn't served."""
    entry = index.models.get(record.model)
    if entry is None:
        return True
    return any(
        replica.version == entry.version and (replica.target, replica.version) != (target, version)
        for replica in record.ready()
    )


def _state_of(record: PlacementRecord | None, target: str, version: str) -> ReplicaState | None:
    if record is None:
        return None
    for replica in record.on_target(target):
        if replica.version == version:
            return replica.state
    return None


def _update(
    store: ObjectStore, item: StoredObject, edit: Edit, learn: OnUpdate
) -> PlacementRecord | None:
    """Write an edit and return the record as it then stands, None if it was deleted."""
    current: StoredObject | None = item
    for _ in range(MAX_ATTEMPTS):
        if current is None:
            return None
        record = placement_from_value(current.value)
        wanted = edit(record)
        # An edit that has nothing to do may rest on an old copy: the first is only a hint.
        if wanted is None and current is not item:
            return record
        if wanted is not None and _try_write(store, current, wanted, learn):
            return wanted
        current = store.get(item.key)
        if current is not None:
            learn(current)
    raise StoreUnavailable(f"{item.key}: not settled after {MAX_ATTEMPTS} tries")


def _try_write(
    store: ObjectStore, current: StoredObject, wanted: PlacementRecord, learn: OnUpdate
) -> bool:
    value = wanted.to_value()
    try:
        version = store.update(current.key, value, current.version)
    except (VersionConflict, StoreUnavailable):
        # Reading back settles it: at the same version it is written again.
        return False
    learn(StoredObject(current.key, version, value))
    return True
