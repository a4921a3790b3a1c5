"""Cache decoded placement records, one for each version in a mirror."""

import threading
from dataclasses import dataclass

import msgspec

from mimosaspur_coordination.mirror import Mirror
from mimosaspur_state.log import log
from mimosaspur_state.objects import StoredObject
from mimosaspur_state.placement import PlacementRecord
from mimosaspur_state.placement import placement_from_value

PART = "RECORDS"


@dataclass(slots=True, frozen=True)
class DecodedRecord:
    """Pair a stored object with its decoded record, None if it is invalid."""

    item: StoredObject
    record: PlacementRecord | None


@dataclass(slots=True, frozen=True)
class RecordListing:
    """Cache the records under a prefix at one change count of the mirror."""

    changes: int
    records: tuple[tuple[StoredObject, PlacementRecord], ...]


class RecordCache:
    """Cache the decoded records of a mirror; thread-safe."""

    def __init__(self, mirror: Mirror) -> None:
        self.mirror = mirror
        self.decoded: dict[str, DecodedRecord] = {}
        self.listings: dict[str, RecordListing] = {}
        self.lock = threading.Lock()

    def get(self, key: str) -> PlacementRecord | None:
        """Return the mirrored record or None; raise ValidationError if it is invalid."""
        item = self.mirror.get(key)
        if item is None:
            with self.lock:
                self.decoded.pop(key, None)
            return None
        return self._require_record(item)

    def all(self, prefix: str) -> list[tuple[StoredObject, PlacementRecord]]:
        """Return the records under a prefix by key; raise ValidationError if one is invalid."""
        items = self.mirror.list_prefix(prefix)
        found = [(item, self._require_record(item)) for item in items]
        self._evict_absent(prefix, items)
        return found

    def readable(self, prefix: str) -> tuple[tuple[StoredObject, PlacementRecord], ...]:
        """Return the valid records under a prefix by key; log the invalid ones.

        Returns the same tuple until the mirror changes.
        """
        # Read the count first: a concurrent change is then read twice, never missed.
        changes = self.mirror.change_count
        listing = self.listings.get(prefix)
        if listing is not None and listing.changes == changes:
            return listing.records
        items = self.mirror.list_prefix(prefix)
        decoded = [self._decoded(item) for item in items]
        found = tuple((it.item, it.record) for it in decoded if it.record is not None)
        self._evict_absent(prefix, items)
        self.listings[prefix] = RecordListing(changes, found)
        return found

    def _require_record(self, item: StoredObject) -> PlacementRecord:
        record = self._decoded(item).record
        # Decoding an invalid record again raises its ValidationError.
        return placement_from_value(item.value) if record is None else record

    def _decoded(self, item: StoredObject) -> DecodedRecord:
        cached = self.decoded.get(item.key)
        # Compare by identity: a recreated key may reuse version numbers.
        if cached is not None and cached.item is item:
            return cached
        with self.lock:
            decoded = DecodedRecord(item, _decode_record(item))
            self.decoded[item.key] = decoded
        return decoded

    def _evict_absent(self, prefix: str, items: list[StoredObject]) -> None:
        present = {item.key for item in items}
        with self.lock:
            gone = [key for key in self.decoded if key.startswith(prefix) and key not in present]
            for key in gone:
                del self.decoded[key]


def _decode_record(item: StoredObject) -> PlacementRecord | None:
    try:
        return placement_from_value(item.value)
    except msgspec.ValidationError as error:
        log(PART, "Failed to decode a placement record.", key=item.key, error=str(error))
        return None
