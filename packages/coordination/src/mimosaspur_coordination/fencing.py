"""Issue monotonically increasing fencing tokens to the process that sends an engine's orders."""

from mimosaspur_state import keys
from mimosaspur_state.errors import StoreUnavailable
from mimosaspur_state.errors import VersionConflict
from mimosaspur_state.objects import ABSENT
from mimosaspur_state.objects import ObjectStore
from mimosaspur_state.objects import StoredObject
from mimosaspur_state.records import FencingRecord

MAX_ATTEMPTS = 5


def acquire_token(store: ObjectStore, target: str, incarnation: str) -> int:
    """Return this incarnation's token, greater than all earlier ones; raise StoreUnavailable."""
    key = keys.fencing(target)
    for _ in range(MAX_ATTEMPTS):
        item = store.get(key)
        current = FencingRecord.from_value(item.value) if item else FencingRecord(0, "")
        # An earlier attempt succeeded although its answer was lost.
        if current.incarnation == incarnation:
            return current.token
        record = FencingRecord(current.token + 1, incarnation)
        if _try_write(store, key, item, record):
            return record.token
    raise StoreUnavailable(f"{key}: no fencing token acquired after {MAX_ATTEMPTS} attempts")


def newest_token(store: ObjectStore, target: str) -> int:
    """Return the newest issued token, 0 if there is none; raise StoreUnavailable."""
    item = store.get(keys.fencing(target))
    return FencingRecord.from_value(item.value).token if item else 0


def _try_write(
    store: ObjectStore, key: str, item: StoredObject | None, record: FencingRecord
) -> bool:
    version = item.version if item else ABSENT
    try:
        if version == ABSENT:
            store.create(key, record.to_value())
        else:
            store.update(key, record.to_value(), version)
    except (VersionConflict, StoreUnavailable):
        return False
    return True
