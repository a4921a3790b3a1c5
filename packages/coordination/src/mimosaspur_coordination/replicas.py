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

TRIES = 5

Edit = Callable[[PlacementRecord], PlacementRecord | None]
Learn = Callable[[StoredObject], None]


def mark_ready(
    store: ObjectStore, item: StoredObject, target: str, version: str, *, learn: Learn
) -> bool:
    """Turn a replica from LOAD to READY; tell whether it is READY; raise StoreUnavailable."""

    def edit(record: PlacementRecord) -> PlacementRecord | None:
        if _state(record, target, version) is not ReplicaState.LOAD:
            return None
        return record.with_replica(Replica(target, version, ReplicaState.READY))

    record = _change(store, item, edit, learn)
    return _state(record, target, version) is ReplicaState.READY


def mark_lost(
    store: ObjectStore, item: StoredObject, target: str, version: str, *, learn: Learn
) -> None:
    """Turn a READY replica that is gone back to LOAD, drop a LEAVING one; may raise."""

    def edit(record: PlacementRecord) -> PlacementRecord | None:
        state = _state(record, target, version)
        if state is ReplicaState.READY:
            return record.with_replica(Replica(target, version, ReplicaState.LOAD))
        if state is ReplicaState.LEAVING:
            return record.without(target, version)
        return None

    _change(store, item, edit, learn)


def leave(
    store: ObjectStore,
    item: StoredObject,
    target: str,
    version: str,
    *,
    index: BundleIndex,
    learn: Learn,
) -> bool:
    """Remove a LEAVING replica that is replaced; tell whether it is out; raise StoreUnavailable."""

    def edit(record: PlacementRecord) -> PlacementRecord | None:
        if _state(record, target, version) is not ReplicaState.LEAVING:
            return None
        if not replaced(record, target, version, index):
            return None
        return record.without(target, version)

    record = _change(store, item, edit, learn)
    return _state(record, target, version) is None


def replaced(record: PlacementRecord, target: str, version: str, index: BundleIndex) -> bool:
    """Tell whether a model can do without one replica: another is READY, or it isn't served."""
    entry = index.models.get(record.model)
    if entry is None:
        return True
    return any(
        replica.version == entry.version and (replica.target, replica.version) != (target, version)
        for replica in record.ready()
    )


def _state(record: PlacementRecord | None, target: str, version: str) -> ReplicaState | None:
    if record is None:
        return None
    for replica in record.on(target):
        if replica.version == version:
            return replica.state
    return None


def _change(
    store: ObjectStore, item: StoredObject, edit: Edit, learn: Learn
) -> PlacementRecord | None:
    """Write an edit and return the record as it then stands, None if it was deleted."""
    current: StoredObject | None = item
    for _ in range(TRIES):
        if current is None:
            return None
        record = placement_from_value(current.value)
        wanted = edit(record)
        # An edit that has nothing to do may rest on an old copy: the first is only a hint.
        if wanted is None and current is not item:
            return record
        if wanted is not None and _written(store, current, wanted, learn):
            return wanted
        current = store.get(item.key)
        if current is not None:
            learn(current)
    raise StoreUnavailable(f"{item.key}: not settled after {TRIES} tries")


def _written(
    store: ObjectStore, current: StoredObject, wanted: PlacementRecord, learn: Learn
) -> bool:
    value = wanted.to_value()
    try:
        version = store.update(current.key, value, current.version)
    except (VersionConflict, StoreUnavailable):
        # Reading back settles it: at the same version it is written again.
        return False
    learn(StoredObject(current.key, version, value))
    return True
