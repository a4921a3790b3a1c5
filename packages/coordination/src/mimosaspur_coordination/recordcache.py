"""Decode placement records once for each version that a mirror holds."""

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
    """Join an object with the record that it holds; None if it can't be read."""

    item: StoredObject
    record: PlacementRecord | None


@dataclass(slots=True, frozen=True)
class RecordListing:
    """Hold what is under a prefix, as of a number of changes of the mirror."""

    changes: int
    records: tuple[tuple[StoredObject, PlacementRecord], ...]


class RecordCache:
    """Keep the decoded records of a mirror; safe from any thread."""

    def __init__(self, mirror: Mirror) -> None:
        self.mirror = mirror
        self.decoded: dict[str, DecodedRecord] = {}
        self.listings: dict[str, RecordListing] = {}
        self.lock = threading.Lock()

    def get(self, key: str) -> PlacementRecord | None:
        """Return a record as mirrored, or None; raise ValidationError if it is unreadable."""
        item = self.mirror.get(key)
        if item is None:
            with self.lock:
                self.decoded.pop(key, None)
            return None
        return self._require_record(item)

    def all(self, prefix: str) -> list[tuple[StoredObject, PlacementRecord]]:
        """Return the records under a prefix by key; raise ValidationError if one is unreadable."""
        items = self.mirror.list_prefix(prefix)
        found = [(item, self._require_record(item)) for item in items]
        self._evict_absent(prefix, items)
        return found

    def readable(self, prefix: str) -> tuple[tuple[StoredObject, PlacementRecord], ...]:
        """Return the records under a prefix by key, without unreadable ones, which are logged.

        While nothing changes in the mirror it is the same tuple.
        """
        # Counted before the reading: a change in between is then read twice, never missed.
        changes = self.mirror.change_count
        listed = self.listings.get(prefix)
        if listed is not None and listed.changes == changes:
            return listed.records
        items = self.mirror.list_prefix(prefix)
        decoded = [self._decoded(item) for item in items]
        found = tuple((it.item, it.record) for it in decoded if it.record is not None)
        self._evict_absent(prefix, items)
        self.listings[prefix] = RecordListing(changes, found)
        return found

    def _require_record(self, item: StoredObject) -> PlacementRecord:
        record = self._decoded(item).record
        # Who must not go on without it gets the reader's own error.
        return placement_from_value(item.value) if record is None else record

    def _decoded(self, item: StoredObject) -> DecodedRecord:
        known = self.decoded.get(item.key)
        # A mirror keeps one object for each version, and a key made anew may count anew.
        if known is not None and known.item is item:
            return known
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
        log(PART, "A placement record is unreadable.", key=item.key, error=str(error))
        return None
