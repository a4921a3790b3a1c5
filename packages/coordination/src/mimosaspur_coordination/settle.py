"""Make conditional writes whose answers may be lost, and find out what became of them."""

import threading
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any

from mimosaspur_state.errors import StoreUnavailable
from mimosaspur_state.errors import VersionConflict
from mimosaspur_state.objects import ObjectStore
from mimosaspur_state.objects import StoredObject

TRIES = 5
FIRST_PAUSE_MS = 50
LONGEST_PAUSE_MS = 400
MS_PER_SECOND = 1000

IsOurs = Callable[[Any], bool]


class Settlement(Enum):
    """Name what is known of a write."""

    DONE = "done"
    CONFLICT = "conflict"
    UNSETTLED = "unsettled"


@dataclass(slots=True, frozen=True)
class Settled:
    """Tell what became of a write, and what was last seen in its place."""

    settlement: Settlement
    stored: StoredObject | None = None


def create_settled(
    store: ObjectStore, key: str, value: object, is_ours: IsOurs, *, tries: int = TRIES
) -> Settled:
    """Create an object; is_ours tells our own write, which must carry its own id, from others'."""
    return _settle(store, key, is_ours, lambda: store.create(key, value), tries)


def update_settled(
    store: ObjectStore,
    key: str,
    value: object,
    version: int,
    is_ours: IsOurs,
    *,
    tries: int = TRIES,
) -> Settled:
    """Replace an object at this version; is_ours must still tell ours when others followed it."""
    return _settle(store, key, is_ours, lambda: store.update(key, value, version), tries)


def delete_settled(store: ObjectStore, key: str, version: int, *, tries: int = TRIES) -> Settled:
    """Delete an object at this version; one that is gone counts as deleted."""

    def delete() -> int:
        store.delete(key, version)
        return version

    return _settle(store, key, lambda value: value is None, delete, tries)


def read_settled(store: ObjectStore, key: str, *, tries: int = TRIES) -> StoredObject | None:
    """Read an object in a bounded number of tries; raise StoreUnavailable."""
    pause_ms = FIRST_PAUSE_MS
    for _ in range(tries - 1):
        try:
            return store.get(key)
        except StoreUnavailable:
            pause_ms = _pause(pause_ms)
    return store.get(key)


def _settle(
    store: ObjectStore, key: str, is_ours: IsOurs, write: Callable[[], int], tries: int
) -> Settled:
    pause_ms = FIRST_PAUSE_MS
    for _ in range(tries):
        try:
            write()
            return Settled(Settlement.DONE)
        except VersionConflict:
            return _read_back(store, key, is_ours, tries)
        except StoreUnavailable:
            pause_ms = _pause(pause_ms)
        # Writing again is safe: the condition lets at most one of our writes take effect.
        if _is_seen(store, key, is_ours):
            return Settled(Settlement.DONE)
    return Settled(Settlement.UNSETTLED)


def _read_back(store: ObjectStore, key: str, is_ours: IsOurs, tries: int) -> Settled:
    # The conflict may be with our own earlier write, whose answer was lost.
    try:
        stored = read_settled(store, key, tries=tries)
    except StoreUnavailable:
        return Settled(Settlement.UNSETTLED)
    if is_ours(stored.value if stored else None):
        return Settled(Settlement.DONE, stored)
    return Settled(Settlement.CONFLICT, stored)


def _is_seen(store: ObjectStore, key: str, is_ours: IsOurs) -> bool:
    try:
        stored = store.get(key)
    except StoreUnavailable:
        return False
    return is_ours(stored.value if stored else None)


def _pause(pause_ms: int) -> int:
    threading.Event().wait(pause_ms / MS_PER_SECOND)
    return min(2 * pause_ms, LONGEST_PAUSE_MS)
