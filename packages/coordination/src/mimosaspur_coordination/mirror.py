"""Keep a local copy of the objects under some prefixes."""

import threading
from collections.abc import Callable

from mimosaspur_state.errors import RevisionTooOld
from mimosaspur_state.errors import StoreUnavailable
from mimosaspur_state.objects import ObjectStore
from mimosaspur_state.objects import Snapshot
from mimosaspur_state.objects import StoredObject

FIRST_PAUSE_MS = 100
LONGEST_PAUSE_MS = 2000

Listener = Callable[[StoredObject], None]


class Mirror:
    """Follow prefixes by one long watch; what was read last stays usable in an outage.

    One task runs `run`; listeners are called from it, for every change and in the order of
    versions. An object's version never goes back, whatever the order of answers.
    """

    def __init__(self, store: ObjectStore, prefixes: tuple[str, ...], *, wait_ms: int) -> None:
        self.store = store
        self.prefixes = prefixes
        self.wait_ms = wait_ms
        self.objects: dict[str, StoredObject] = {}
        self.listeners: list[Listener] = []
        self.lock = threading.Lock()
        self.listed = threading.Event()
        self.reachable = False

    def get(self, key: str) -> StoredObject | None:
        """Return the copy of an object, or None."""
        with self.lock:
            return self.objects.get(key)

    def under(self, prefix: str) -> list[StoredObject]:
        """Return the copies whose keys start with a prefix, by key."""
        with self.lock:
            found = [item for key, item in self.objects.items() if key.startswith(prefix)]
        return sorted(found, key=lambda item: item.key)

    def learn(self, item: StoredObject) -> None:
        """Take in an object read or written elsewhere, unless a newer one is known."""
        self._apply(item)

    def run(self, stop: threading.Event) -> None:
        """List, then watch, until told to stop; start over whenever the watch loses track."""
        pause_ms = FIRST_PAUSE_MS
        while not stop.is_set():
            try:
                revision = self._list()
                pause_ms = FIRST_PAUSE_MS
                self._follow(revision, stop)
            except RevisionTooOld:
                continue
            except StoreUnavailable:
                self.reachable = False
                stop.wait(pause_ms / 1000)
                pause_ms = min(2 * pause_ms, LONGEST_PAUSE_MS)

    def _list(self) -> int:
        snapshots = [self.store.list(prefix) for prefix in self.prefixes]
        self.reachable = True
        for snapshot in snapshots:
            for item in snapshot.objects:
                self._apply(item)
        self._forget_absent(snapshots)
        self.listed.set()
        # The lists were taken one after the other: the watch starts from the oldest.
        return min(snapshot.revision for snapshot in snapshots)

    def _forget_absent(self, snapshots: list[Snapshot]) -> None:
        present = {item.key for snapshot in snapshots for item in snapshot.objects}
        oldest = min(snapshot.revision for snapshot in snapshots)
        with self.lock:
            gone = [
                item
                for key, item in self.objects.items()
                if key not in present and item.version <= oldest
            ]
        for item in gone:
            self._apply(StoredObject(item.key, oldest, None))

    def _follow(self, revision: int, stop: threading.Event) -> None:
        while not stop.is_set():
            changes = self.store.watch(self.prefixes, revision, self.wait_ms)
            for item in changes.objects:
                self._apply(item)
            revision = max(revision, changes.revision)

    def _apply(self, item: StoredObject) -> None:
        with self.lock:
            known = self.objects.get(item.key)
            if known and known.version >= item.version and item.value is not None:
                return
            if known and known.version > item.version:
                return
            if item.value is None:
                self.objects.pop(item.key, None)
            else:
                self.objects[item.key] = item
        for listener in self.listeners:
            listener(item)
