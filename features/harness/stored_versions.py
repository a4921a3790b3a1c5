"""Keep the store's record of versions in memory."""

from dataclasses import replace

from mimosaspur_coordination.fleetports import VersionRecord
from mimosaspur_state.errors import VersionConflict


class StoredVersions:
    """Hold the record, and write it only on its current revision."""

    __slots__ = ("record",)

    def __init__(self) -> None:
        self.record: VersionRecord | None = None

    async def read(self) -> VersionRecord | None:
        """Return the record."""
        return self.record

    async def write(self, record: VersionRecord) -> VersionRecord:
        """Write the record; raise VersionConflict if its revision isn't the store's."""
        return self.write_now(record)

    def write_now(self, record: VersionRecord) -> VersionRecord:
        """Do what `write` does."""
        known = self.record.revision if self.record else 0
        if record.revision != known:
            raise VersionConflict("versions", known)
        self.record = replace(record, revision=known + 1)
        return self.record
