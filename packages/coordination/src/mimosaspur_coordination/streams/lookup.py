"""Find out from other entries which version began a stream."""

from collections.abc import Collection
from enum import Enum

from mimosaspur_coordination.streams.streamrecords import StreamRecord


class VersionSource(Enum):
    """List how a stream's version is known."""

    RECORD = "record"
    PEER = "peer"
    # No other version can have begun it.
    ONLY_VERSION = "only_version"


class VersionLookup:
    """Collect the answers of the entries that were asked about one stream."""

    __slots__ = ("complete", "found", "unanswered", "versions")

    def __init__(self, asked: Collection[str], *, versions: Collection[str]) -> None:
        self.unanswered = set(asked)
        # The versions that this entry and those that have answered know of the service.
        self.versions = set(versions)
        # Whether one that has answered is sure of all versions that may have begun a stream.
        self.complete = False
        self.found: StreamRecord | None = None

    def add_answer(
        self,
        entry: str,
        record: StreamRecord | None,
        *,
        versions: Collection[str],
        complete: bool,
    ) -> None:
        """Add the answer of one entry, which may be sure of all versions there were."""
        self.unanswered.discard(entry)
        self.versions.update(versions)
        self.complete = self.complete or complete
        if record and (self.found is None or record.change > self.found.change):
            self.found = record

    def is_decided(self) -> bool:
        """Return whether no further answer is needed."""
        return self.found is not None or not self.unanswered

    def result(self) -> tuple[str, VersionSource] | None:
        """Return the stream's version and how it is known, None if it is unknown."""
        if self.found:
            return self.found.version, VersionSource.PEER
        if self.complete and not self.unanswered and len(self.versions) == 1:
            return next(iter(self.versions)), VersionSource.ONLY_VERSION
        return None
