"""Track the bundle in force; its generation never decreases."""

import json
import threading
import zlib
from collections.abc import Callable

from mimosaspur_state import keys
from mimosaspur_state.bundle import Bundle
from mimosaspur_state.bundle import BundleIndex
from mimosaspur_state.bundle import bundle_from_value
from mimosaspur_state.errors import MimosaspurError
from mimosaspur_state.errors import StoreUnavailable
from mimosaspur_state.log import log
from mimosaspur_state.objects import ObjectStore
from mimosaspur_state.objects import StoredObject
from mimosaspur_state.records import Head
from mimosaspur_state.records import WrittenBundle

STORE_RETRY_INTERVAL_S = 0.2
PEER_REQUEST_RETRY_MS = 500
PART = "BUNDLE"


class BundleHolder:
    """Store the newest bundle that this process has received."""

    def __init__(self) -> None:
        self.index: BundleIndex | None = None
        self.lock = threading.Lock()
        self.changed = threading.Condition(self.lock)
        self.listeners: list[Callable[[BundleIndex], None]] = []
        self.last_request = (0, 0)

    def current(self) -> BundleIndex | None:
        """Return the index of the bundle in force, or None before the first."""
        return self.index

    def generation(self) -> int:
        """Return the generation in force, 0 before the first."""
        return self.index.generation if self.index else 0

    def apply_if_newer(self, generation: int, bundle: Bundle) -> bool:
        """Put a bundle in force if it is newer; return whether it was."""
        index = BundleIndex.build(generation, bundle)
        with self.lock:
            if generation <= self.generation():
                return False
            self.index = index
            self.changed.notify_all()
        log(PART, "Put a bundle in force.", generation=generation, bundle=bundle.name)
        for listener in self.listeners:
            listener(index)
        return True

    def wait_for(self, generation: int, timeout_s: float) -> bool:
        """Wait until a generation or a newer one is in force; return whether it is."""
        with self.lock:
            return self.changed.wait_for(lambda: self.generation() >= generation, timeout_s)

    def should_request(self, generation: int, now_ms: int) -> bool:
        """Return whether to request a newer bundle from a peer, one peer at a time."""
        with self.lock:
            if generation <= self.generation():
                return False
            requested, requested_ms = self.last_request
            if generation <= requested and now_ms - requested_ms < PEER_REQUEST_RETRY_MS:
                return False
            self.last_request = (generation, now_ms)
            return True

    def encode_current(self) -> tuple[int, bytes] | None:
        """Return the generation and the compressed bundle, or None before the first."""
        index = self.index
        if index is None:
            return None
        return index.generation, zlib.compress(json.dumps(index.bundle.to_value()).encode())

    def apply_encoded(self, generation: int, packed: bytes) -> bool:
        """Apply a peer's compressed bundle; return whether it was valid and newer."""
        try:
            bundle = bundle_from_value(json.loads(zlib.decompress(packed)))
        except (zlib.error, ValueError, MimosaspurError) as error:
            log(PART, "Ignored an invalid bundle from a peer.", error=str(error))
            return False
        return self.apply_if_newer(generation, bundle)


class BundleFetcher:
    """Follow the head object and fetch the bundle that it names."""

    def __init__(self, store: ObjectStore, holder: BundleHolder) -> None:
        self.store = store
        self.holder = holder
        self.latest_head: Head | None = None
        self.wake = threading.Event()

    def on_change(self, item: StoredObject) -> None:
        """Handle a change under the mirror's prefixes."""
        if item.key == keys.HEAD and item.value is not None:
            self.latest_head = Head.from_value(item.value)
            self.wake.set()

    def run(self, stop: threading.Event) -> None:
        """Fetch the bundle that the head names until stopped."""
        while not stop.is_set():
            self.wake.wait(1)
            self.wake.clear()
            head = self.latest_head
            if head and head.current.generation > self.holder.generation():
                self._fetch(head, stop)

    def _fetch(self, head: Head, stop: threading.Event) -> None:
        roll = head.current
        try:
            stored = self.store.get(keys.bundle(roll.bundle))
        except StoreUnavailable:
            stop.wait(STORE_RETRY_INTERVAL_S)
            self.wake.set()
            return
        if stored is None:
            log(PART, "The head names a bundle that doesn't exist; retrying.", bundle=roll.bundle)
            return
        written = WrittenBundle.from_value(stored.value)
        if written.digest != roll.digest:
            log(
                PART,
                "The stored bundle's digest differs from the rolled one; retrying.",
                bundle=roll.bundle,
            )
            return
        self.holder.apply_if_newer(roll.generation, written.bundle)
