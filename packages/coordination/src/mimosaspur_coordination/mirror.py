"""Maintain a local copy of the objects under some key prefixes."""

import threading
from collections.abc import Callable

from mimosaspur_state.errors import RevisionTooOld
from mimosaspur_state.errors import StoreUnavailable
from mimosaspur_state.objects import ObjectStore
from mimosaspur_state.objects import Snapshot
from mimosaspur_state.objects import StoredObject

INITIAL_BACKOFF_MS = 100
MAX_BACKOFF_MS = 2000
MS_PER_SECOND = 1000

Listener = Callable[[StoredObject], None]


class Mirror:
    """Replicate prefixes with one long-polling watch; the copy stays readable in an outage.

    One thread runs `run` and calls the listeners for every change in the order of versions. An
    object's version never decreases, whatever the order of answers.
    """

    def __init__(
        self,
        store: ObjectStore,
        prefixes: tuple[str, ...],
        *,
        wait_ms: int,
        watch_interval_ms: int = 0,
    ) -> None:
        self.store = store
        self.prefixes = prefixes
        self.wait_ms = wait_ms
        # Pause after each watch, to batch changes where calls to the store are limited.
        self.watch_interval_ms = watch_interval_ms
        self.backoff_ms = INITIAL_BACKOFF_MS
        self.objects: dict[str, StoredObject] = {}
        self.listeners: list[Listener] = []
        self.lock = threading.Lock()
        self.synced = threading.Event()
        self.reachable = False
        # Lets users of derived data detect that it is stale.
        self.change_count = 0

    def get(self, key: str) -> StoredObject | None:
        """Return the copy of an object, or None."""
        with self.lock:
            return self.objects.get(key)

    def list_prefix(self, prefix: str) -> list[StoredObject]:
        """Return the objects whose keys start with a prefix, sorted by key."""
        with self.lock:
            items = [item for key, item in self.objects.items() if key.startswith(prefix)]
        return sorted(items, key=lambda item: item.key)

    def apply_update(self, item: StoredObject) -> None:
        """Apply an object that was read or written elsewhere, unless a newer version is known."""
        self._apply(item)

    def run(self, stop: threading.Event) -> None:
        """List and then watch until stopped; list again if the watch revision is too old."""
        while not stop.is_set():
            try:
                self._watch(self._list(), stop)
            except RevisionTooOld:
                continue
            except StoreUnavailable:
                self._back_off(stop)

    def _list(self) -> int:
        snapshots = [self.store.list(prefix) for prefix in self.prefixes]
        self.reachable = True
        for snapshot in snapshots:
            for item in snapshot.objects:
                self._apply(item)
        self._remove_absent(snapshots)
        self.synced.set()
        # The lists have different revisions: the watch must start from the oldest.
        return min(snapshot.revision for snapshot in snapshots)

    def _remove_absent(self, snapshots: list[Snapshot]) -> None:
        present = {item.key for snapshot in snapshots for item in snapshot.objects}
        oldest = min(snapshot.revision for snapshot in snapshots)
        with self.lock:
            removed = [
                item
                for key, item in self.objects.items()
                if key not in present and item.version <= oldest
            ]
        for item in removed:
            self._apply(StoredObject(item.key, oldest, None))

    def _watch(self, revision: int, stop: threading.Event) -> None:
        wait_ms = self.wait_ms
        while not stop.is_set():
            try:
                changes = self.store.watch(self.prefixes, revision, wait_ms)
            except StoreUnavailable:
                # The copy is still valid: resuming the watch takes fewer calls than listing.
                self._back_off(stop)
                # Polls without waiting, to detect at once that the store is available again.
                wait_ms = 0
                continue
            self.reachable = True
            if wait_ms:
                self.backoff_ms = INITIAL_BACKOFF_MS
            wait_ms = self.wait_ms
            for item in changes.objects:
                self._apply(item)
            revision = max(revision, changes.revision)
            if self.watch_interval_ms:
                stop.wait(self.watch_interval_ms / MS_PER_SECOND)

    def _back_off(self, stop: threading.Event) -> None:
        self.reachable = False
        stop.wait(self.backoff_ms / MS_PER_SECOND)
        self.backoff_ms = min(2 * self.backoff_ms, MAX_BACKOFF_MS)

    def _apply(self, item: StoredObject) -> None:
        with self.lock:
            known = self.objects.get(item.key)
            if known and known.version >= item.version and item.value is not None:
                return
            if known and known.version > item.version:
                return
            self.change_count += 1
            if item.value is None:
                self.objects.pop(item.key, None)
            else:
                self.objects[item.key] = item
        for listener in self.listeners:
            listener(item)
