"""Store versioned objects and the log of their changes."""

import threading
from collections import deque
from dataclasses import dataclass

from .base import MS_PER_SECOND
from .base import now_ms

MAX_EVENTS = 10_000


@dataclass(slots=True)
class Change:
    """Describe a version of a key; an event with the value None is a deletion."""

    key: str
    version: int
    value: object


class ObjectStore:
    """Create, update, delete, list and watch objects."""

    def __init__(self) -> None:
        self.changed = threading.Condition()
        self.revision = 0
        self.objects: dict[str, Change] = {}
        self.events: deque[Change] = deque(maxlen=MAX_EVENTS)

    def get(self, key: str) -> Change | None:
        """Return an object, or None if absent."""
        with self.changed:
            return self.objects.get(key)

    def version(self, key: str) -> int:
        """Return the version of a key, or 0 if absent."""
        found = self.get(key)
        return found.version if found else 0

    def put(self, key: str, value: object, expected: int) -> tuple[bool, int]:
        """Write if the version is as expected (0 creates); return success and the version."""
        with self.changed:
            if self.version(key) != expected:
                return False, self.version(key)
            self.record_change(key, value)
            self.objects[key] = self.events[-1]
            return True, self.revision

    def delete(self, key: str, expected: int) -> tuple[bool, int]:
        """Delete if the version is as expected; return success and the version."""
        with self.changed:
            if self.version(key) != expected:
                return False, self.version(key)
            del self.objects[key]
            self.record_change(key, None)
            return True, self.revision

    def record_change(self, key: str, value: object) -> None:
        """Log a change and notify watches; the caller must hold the lock."""
        self.revision += 1
        self.events.append(Change(key, self.revision, value))
        self.changed.notify_all()

    def list_page(self, prefix: str, after: str, limit: int) -> tuple[int, list[Change], bool]:
        """Return the revision, one page in key order, and whether more follow."""
        with self.changed:
            keys = sorted(key for key in self.objects if key.startswith(prefix) and key > after)
            page = [self.objects[key] for key in keys[:limit]]
            return self.revision, page, len(keys) > limit

    def watch(
        self, prefixes: tuple[str, ...], since: int, wait_ms: int
    ) -> tuple[int, list[Change]] | None:
        """Wait for changes after a revision; return None if its events are no longer kept."""
        deadline_ms = now_ms() + wait_ms
        scanned = since
        with self.changed:
            while True:
                if scanned < self.revision - len(self.events):
                    return None
                changes = self.events_since(prefixes, scanned)
                remaining_ms = deadline_ms - now_ms()
                if changes or remaining_ms <= 0:
                    return self.revision, changes
                scanned = max(scanned, self.revision)
                self.changed.wait(remaining_ms / MS_PER_SECOND)

    def events_since(self, prefixes: tuple[str, ...], since: int) -> list[Change]:
        """Return the changes after a revision; the caller must hold the lock."""
        found = []
        for event in reversed(self.events):
            if event.version <= since:
                break
            if event.key.startswith(prefixes):
                found.append(event)
        return found[::-1]
