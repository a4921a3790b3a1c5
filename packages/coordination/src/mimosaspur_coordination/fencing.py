"""Take fencing tokens, which only grow, for the sole giver of an engine's orders."""

from mimosaspur_state import keys
from mimosaspur_state.errors import StoreUnavailable
from mimosaspur_state.errors import VersionConflict
from mimosaspur_state.objects import ABSENT
from mimosaspur_state.objects import ObjectStore
from mimosaspur_state.objects import StoredObject
from mimosaspur_state.records import FencingRecord

MAX_ATTEMPTS = 5


def acquire_token(store: ObjectStore, target: str, incarnation: str) -> int:
    """Return this incarnation's token, newer than all before; raise StoreUnavailable."""
    key = keys.fencing(target)
    for _ in range(MAX_ATTEMPTS):
        item = store.get(key)
        known = FencingRecord.from_value(item.value) if item else FencingRecord(0, "")
        # Reading back our own name settles an answer that was lost.
        if known.incarnation == incarnation:
            return known.token
        record = FencingRecord(known.token + 1, incarnation)
        if _try_write(store, key, item, record):
            return record.token
    raise StoreUnavailable(f"{key}: no token after {MAX_ATTEMPTS} tries")


def newest_token(store: ObjectStore, target: str) -> int:
    """Return the newest token handed out, 0 if none; raise StoreUnavailable."""
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
