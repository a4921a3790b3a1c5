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
    """Change a replica from LOAD to READY; return whether it is READY; raise StoreUnavailable."""

    def edit(record: PlacementRecord) -> PlacementRecord | None:
        if _state_of(record, target, version) is not ReplicaState.LOAD:
            return None
        return record.with_replica(Replica(target, version, ReplicaState.READY))

    record = _update(store, item, edit, on_update)
    return _state_of(record, target, version) is ReplicaState.READY


def mark_lost(
    store: ObjectStore, item: StoredObject, target: str, version: str, *, on_update: OnUpdate
) -> None:
    """Change a lost READY replica back to LOAD, remove a LEAVING one; raise StoreUnavailable."""

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
    """Remove a replaced LEAVING replica; return whether it is removed; raise StoreUnavailable."""

    def edit(record: PlacementRecord) -> PlacementRecord | None:
        if _state_of(record, target, version) is not ReplicaState.LEAVING:
            return None
        if not is_replaced(record, target, version, index):
            return None
        return record.without(target, version)

    record = _update(store, item, edit, on_update)
    return _state_of(record, target, version) is None


def is_replaced(record: PlacementRecord, target: str, version: str, index: BundleIndex) -> bool:
    """Return whether a replica is dispensable: another is READY, or the model isn't served."""
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
    store: ObjectStore, item: StoredObject, edit: Edit, on_update: OnUpdate
) -> PlacementRecord | None:
    """Apply an edit by conditional update; return the resulting record, None if deleted."""
    current: StoredObject | None = item
    for _ in range(MAX_ATTEMPTS):
        if current is None:
            return None
        record = placement_from_value(current.value)
        wanted = edit(record)
        # The given copy may be stale, so a no-op is confirmed by a fresh read.
        if wanted is None and current is not item:
            return record
        if wanted is not None and _try_write(store, current, wanted, on_update):
            return wanted
        current = store.get(item.key)
        if current is not None:
            on_update(current)
    raise StoreUnavailable(f"{item.key}: update not confirmed after {MAX_ATTEMPTS} attempts")


def _try_write(
    store: ObjectStore, current: StoredObject, wanted: PlacementRecord, on_update: OnUpdate
) -> bool:
    value = wanted.to_value()
    try:
        version = store.update(current.key, value, current.version)
    except (VersionConflict, StoreUnavailable):
        # The caller reads the record back and retries if its version is unchanged.
        return False
    on_update(StoredObject(current.key, version, value))
    return True
