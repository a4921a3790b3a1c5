"""Define the port to the platform's object API."""

from dataclasses import dataclass
from typing import Any
from typing import Protocol

ABSENT = 0


@dataclass(slots=True, frozen=True)
class StoredObject:
    """Hold one object as read; value is None for a deletion seen by a watch."""

    key: str
    version: int
    value: Any


@dataclass(slots=True, frozen=True)
class Snapshot:
    """Hold a listing and the store's revision at which it was taken."""

    revision: int
    objects: list[StoredObject]


class ObjectStore(Protocol):
    """Read, write and watch the platform's objects.

    Every call raises StoreUnavailable when no answer came in time; a write may then have
    taken effect all the same.
    """

    def get(self, key: str) -> StoredObject | None:
        """Return the object, or None if it is absent."""
        ...

    def list(self, prefix: str) -> Snapshot:
        """Return every object whose key starts with the prefix."""
        ...

    def create(self, key: str, value: Any) -> int:
        """Create the object and return its version; raise VersionConflict if it exists."""
        ...

    def update(self, key: str, value: Any, version: int) -> int:
        """Replace the object at this version; raise VersionConflict at another one."""
        ...

    def delete(self, key: str, version: int) -> None:
        """Delete the object at this version; raise VersionConflict at another one."""
        ...

    def watch(self, prefixes: tuple[str, ...], since: int, wait_ms: int) -> Snapshot:
        """Return the changes after a revision, empty after wait_ms; may raise RevisionTooOld."""
        ...
