"""Define the interface to the platform's object API."""

from dataclasses import dataclass
from typing import Any
from typing import Protocol

ABSENT = 0


@dataclass(slots=True, frozen=True)
class StoredObject:
    """Hold one object as read; value is None for a deletion reported by a watch."""

    key: str
    version: int
    value: Any


@dataclass(slots=True, frozen=True)
class Snapshot:
    """Hold a listing and the store revision that it reflects."""

    revision: int
    objects: list[StoredObject]


class ObjectStore(Protocol):
    """Read, write and watch the platform's objects.

    Every call raises StoreUnavailable on a timeout; a write may still take effect.
    """

    def get(self, key: str) -> StoredObject | None:
        """Return the object, or None if it is absent."""
        ...

    def list(self, prefix: str) -> Snapshot:
        """Return all objects whose key starts with the prefix."""
        ...

    def create(self, key: str, value: Any) -> int:
        """Create the object and return its version; raise VersionConflict if it exists."""
        ...

    def update(self, key: str, value: Any, version: int) -> int:
        """Replace the object if it has this version; otherwise raise VersionConflict."""
        ...

    def delete(self, key: str, version: int) -> None:
        """Delete the object if it has this version; otherwise raise VersionConflict."""
        ...

    def watch(self, prefixes: tuple[str, ...], since: int, wait_ms: int) -> Snapshot:
        """Return the changes after a revision, empty after wait_ms; may raise RevisionTooOld."""
        ...
