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

MAX_ATTEMPTS = 5
INITIAL_BACKOFF_MS = 50
MAX_BACKOFF_MS = 400
MS_PER_SECOND = 1000

IsOwnWrite = Callable[[Any], bool]


class WriteOutcome(Enum):
    """Name what is known of a write."""

    DONE = "done"
    CONFLICT = "conflict"
    UNSETTLED = "unsettled"


@dataclass(slots=True, frozen=True)
class WriteResult:
    """Tell what became of a write, and what was last seen in its place."""

    outcome: WriteOutcome
    stored: StoredObject | None = None


def create_confirmed(
    store: ObjectStore,
    key: str,
    value: object,
    is_own_write: IsOwnWrite,
    *,
    max_attempts: int = MAX_ATTEMPTS,
) -> WriteResult:
    """Create an object; is_ours tells our own write, which must carry its own id, from others'."""
    return _write_confirmed(
        store, key, is_own_write, lambda: store.create(key, value), max_attempts
    )


def update_confirmed(
    store: ObjectStore,
    key: str,
    value: object,
    version: int,
    is_own_write: IsOwnWrite,
    *,
    max_attempts: int = MAX_ATTEMPTS,
) -> WriteResult:
    """Replace an object at this version; is_ours must still tell ours when others followed it."""
    return _write_confirmed(
        store, key, is_own_write, lambda: store.update(key, value, version), max_attempts
    )


def delete_confirmed(
    store: ObjectStore, key: str, version: int, *, max_attempts: int = MAX_ATTEMPTS
) -> WriteResult:
    """Delete an object at this version; one that is gone counts as deleted."""

    def delete() -> int:
        store.delete(key, version)
        return version

    return _write_confirmed(store, key, lambda value: value is None, delete, max_attempts)


def read_with_retries(
    store: ObjectStore, key: str, *, max_attempts: int = MAX_ATTEMPTS
) -> StoredObject | None:
    """Read an object in a bounded number of tries; raise StoreUnavailable."""
    pause_ms = INITIAL_BACKOFF_MS
    for _ in range(max_attempts - 1):
        try:
            return store.get(key)
        except StoreUnavailable:
            pause_ms = _back_off(pause_ms)
    return store.get(key)


def _write_confirmed(
    store: ObjectStore, key: str, is_ours: IsOwnWrite, write: Callable[[], int], tries: int
) -> WriteResult:
    pause_ms = INITIAL_BACKOFF_MS
    for _ in range(tries):
        try:
            write()
            return WriteResult(WriteOutcome.DONE)
        except VersionConflict:
            return _read_back(store, key, is_ours, tries)
        except StoreUnavailable:
            pause_ms = _back_off(pause_ms)
        # Writing again is safe: the condition lets at most one of our writes take effect.
        if _is_applied(store, key, is_ours):
            return WriteResult(WriteOutcome.DONE)
    return WriteResult(WriteOutcome.UNSETTLED)


def _read_back(store: ObjectStore, key: str, is_ours: IsOwnWrite, tries: int) -> WriteResult:
    # The conflict may be with our own earlier write, whose answer was lost.
    try:
        stored = read_with_retries(store, key, max_attempts=tries)
    except StoreUnavailable:
        return WriteResult(WriteOutcome.UNSETTLED)
    if is_ours(stored.value if stored else None):
        return WriteResult(WriteOutcome.DONE, stored)
    return WriteResult(WriteOutcome.CONFLICT, stored)


def _is_applied(store: ObjectStore, key: str, is_ours: IsOwnWrite) -> bool:
    try:
        stored = store.get(key)
    except StoreUnavailable:
        return False
    return is_ours(stored.value if stored else None)


def _back_off(pause_ms: int) -> int:
    threading.Event().wait(pause_ms / MS_PER_SECOND)
    return min(2 * pause_ms, MAX_BACKOFF_MS)
