"""Decide what the store's record of versions should hold."""

from collections.abc import Mapping

from mimosaspur_coordination.fleetports import VersionRecord
from mimosaspur_coordination.streams.versionhistory import DISTANT_PAST_MS
from mimosaspur_coordination.streams.versionhistory import ServiceVersions
from mimosaspur_coordination.streams.versionhistory import VersionHistory


class VersionRecorder:
    """Keep the record in line with what an entry knows for sure.

    A version is recorded as in use before streams begin at it, as out of use once it has left, and
    dropped a lifetime later. The step between ensures that a drop that is carried out late fails:
    an entry that uses the version again has changed the record by then.
    """

    __slots__ = ("history", "record", "unused_since_ms")

    def __init__(self, history: VersionHistory) -> None:
        self.history = history
        # As last read or written; None if there is none.
        self.record: VersionRecord | None = None
        # By service and version, since when the record has it as out of use.
        self.unused_since_ms: dict[tuple[str, str], int] = {}

    def apply(self, record: VersionRecord | None) -> None:
        """Apply what was read or written."""
        now_ms = self.history.clock.now_ms()
        services = record.services if record else {}
        unused = [
            (service, version)
            for service, versions in services.items()
            for version, used in versions.items()
            if not used
        ]
        self.unused_since_ms = {key: self.unused_since_ms.get(key, now_ms) for key in unused}
        self.record = record

    def next_record(self) -> VersionRecord | None:
        """Return the record to write, None if it holds what it should."""
        history = self.history
        record = self.record
        recorded = record.services if record and not record.restored else {}
        services: dict[str, dict[str, bool]] = {}
        for service in {*recorded, *history.services}:
            versions = recorded.get(service, {})
            if history.is_complete(service):
                versions = self._next_versions(service, versions)
            if versions:
                services[service] = dict(versions)
        if services == recorded and not (record and record.restored and services):
            return None
        return VersionRecord(services, record.revision if record else 0)

    def _next_versions(self, service: str, recorded: Mapping[str, bool]) -> dict[str, bool]:
        now_ms = self.history.clock.now_ms()
        known = self.history.services.get(service, ServiceVersions())
        versions: dict[str, bool] = {}
        for version in known.present:
            # It is recorded as in use once each entry knows it.
            if self.history.is_known_to_all(service, version):
                versions[version] = True
            elif version in recorded:
                versions[version] = recorded[version]
        for version in (recorded.keys() | known.gone_ms.keys()) - known.present:
            gone_ms = known.gone_ms.get(version, DISTANT_PAST_MS)
            unused_ms = self.unused_since_ms.get((service, version), now_ms)
            if version not in recorded:
                keep = now_ms - gone_ms < self.history.lifetime_ms
            else:
                keep = now_ms - max(gone_ms, unused_ms) < self.history.lifetime_ms
            if keep:
                # A short absence isn't worth a call to the store.
                is_brief = now_ms - gone_ms < self.history.lag_ms
                versions[version] = is_brief and recorded.get(version, False)
        return versions
