"""Make conditional writes and determine their outcome even if the answer is lost."""

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
    """Enumerate the possible outcomes of a write."""

    DONE = "done"
    CONFLICT = "conflict"
    UNSETTLED = "unsettled"


@dataclass(slots=True, frozen=True)
class WriteResult:
    """Hold the outcome of a write and the object that was last read back, if any."""

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
    """Create an object; is_own_write must recognize our value, for example by a unique id."""
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
    """Replace an object at a version; is_own_write must also recognize later values."""
    return _write_confirmed(
        store, key, is_own_write, lambda: store.update(key, value, version), max_attempts
    )


def delete_confirmed(
    store: ObjectStore, key: str, version: int, *, max_attempts: int = MAX_ATTEMPTS
) -> WriteResult:
    """Delete an object at a version; an absent object counts as deleted."""

    def delete() -> int:
        store.delete(key, version)
        return version

    return _write_confirmed(store, key, lambda value: value is None, delete, max_attempts)


def read_with_retries(
    store: ObjectStore, key: str, *, max_attempts: int = MAX_ATTEMPTS
) -> StoredObject | None:
    """Read an object with a bounded number of attempts; raise StoreUnavailable."""
    backoff_ms = INITIAL_BACKOFF_MS
    for _ in range(max_attempts - 1):
        try:
            return store.get(key)
        except StoreUnavailable:
            backoff_ms = _back_off(backoff_ms)
    return store.get(key)


def _write_confirmed(
    store: ObjectStore,
    key: str,
    is_own_write: IsOwnWrite,
    write: Callable[[], int],
    max_attempts: int,
) -> WriteResult:
    backoff_ms = INITIAL_BACKOFF_MS
    for _ in range(max_attempts):
        try:
            write()
            return WriteResult(WriteOutcome.DONE)
        except VersionConflict:
            return _read_back(store, key, is_own_write, max_attempts)
        except StoreUnavailable:
            backoff_ms = _back_off(backoff_ms)
        # Retrying is safe: the condition allows at most one of our writes to take effect.
        if _is_applied(store, key, is_own_write):
            return WriteResult(WriteOutcome.DONE)
    return WriteResult(WriteOutcome.UNSETTLED)


def _read_back(
    store: ObjectStore, key: str, is_own_write: IsOwnWrite, max_attempts: int
) -> WriteResult:
    # The conflict may be with an earlier attempt of ours whose answer was lost.
    try:
        stored = read_with_retries(store, key, max_attempts=max_attempts)
    except StoreUnavailable:
        return WriteResult(WriteOutcome.UNSETTLED)
    if is_own_write(stored.value if stored else None):
        return WriteResult(WriteOutcome.DONE, stored)
    return WriteResult(WriteOutcome.CONFLICT, stored)


def _is_applied(store: ObjectStore, key: str, is_own_write: IsOwnWrite) -> bool:
    try:
        stored = store.get(key)
    except StoreUnavailable:
        return False
    return is_own_write(stored.value if stored else None)


def _back_off(backoff_ms: int) -> int:
    threading.Event().wait(backoff_ms / MS_PER_SECOND)
    return min(2 * backoff_ms, MAX_BACKOFF_MS)
