"""Write a stored record that only this instance writes."""

from mimosaspur_state.errors import StoreUnavailable
from mimosaspur_state.errors import VersionConflict
from mimosaspur_state.objects import ABSENT
from mimosaspur_state.objects import ObjectStore
from mimosaspur_state.records import Record


class SingleWriterRecord:
    """Write a record by conditional updates, replacing a predecessor's version."""

    __slots__ = ("key", "store", "version")

    def __init__(self, store: ObjectStore, key: str) -> None:
        self.store = store
        self.key = key
        self.version = ABSENT

    def try_write(self, record: Record) -> bool:
        """Write the record; return whether the write is known to have succeeded."""
        value = record.to_value()
        try:
            if self.version == ABSENT:
                self.version = self.store.create(self.key, value)
            else:
                self.version = self.store.update(self.key, value, self.version)
        except VersionConflict as conflict:
            # An earlier write whose answer was lost, or a predecessor's record.
            self.version = conflict.version
            return False
        except StoreUnavailable:
            return False
        return True

    def try_delete(self) -> None:
        """Try to delete the record once."""
        try:
            self.store.delete(self.key, self.version)
        except (StoreUnavailable, VersionConflict):
            return
        self.version = ABSENT
