"""Read the store's record of software versions, and keep it up to date while coordinating."""

import asyncio
import random

from mimosaspur_coordination.backoff import Backoff
from mimosaspur_coordination.storeera import REVISIONS_PER_ERA
from mimosaspur_coordination.streams.versionrecorder import VersionRecorder
from mimosaspur_daemon.direct.entrystate import EntryState
from mimosaspur_state.errors import StoreUnavailable
from mimosaspur_state.errors import VersionConflict

POLL_S = 0.05
# Resumptions wait for the first read.
FIRST_POLL_S = 0.01
# Time for the coordinator to record a new version before the other entries read it, with jitter so
# that they don't all call at once. Both together are less than the time until they may use it.
READ_DELAY_S = 0.3
READ_JITTER_S = 0.7
# An entry records a version itself if the coordinator hasn't by then.
WRITE_DELAY_MS = 4_000


class VersionRecordKeeper:
    """Keep an entry's history of versions in line with the store's record."""

    def __init__(self, state: EntryState) -> None:
        self.state = state
        self.versions = state.stream_versions
        self.recorder = VersionRecorder(self.versions.history)
        self.backoff = Backoff()
        # Whether an answer was lost, or the record was changed by another entry.
        self.is_unsure = False
        # Since when the record has been found to lack a version; None if it lacks none.
        self.lacking_since_ms: int | None = None
        # The store's era when the record was read: after a restore it may be an older one.
        self.era = 0

    async def run(self) -> None:
        """Read and write the record for as long as the process runs."""
        while True:
            was_read = self.versions.history.has_read_record()
            await asyncio.sleep(POLL_S if was_read else FIRST_POLL_S)
            try:
                if self._is_read_due():
                    await self._read()
                    self.backoff.record_success()
                if self.state.coordinating or self._must_stand_in():
                    await self._write()
            except (StoreUnavailable, VersionConflict):
                self.is_unsure = True
                self.backoff.record_failure()
                await asyncio.sleep(self.backoff.delay_s())

    def _is_read_due(self) -> bool:
        history = self.versions.history
        if not history.is_current():
            return False
        due = history.is_record_due()
        if not due:
            self.lacking_since_ms = None
        return due or self.is_unsure or self._store_era() > self.era

    def _store_era(self) -> int:
        return self.state.fleet.revision // REVISIONS_PER_ERA

    async def _read(self) -> None:
        history = self.versions.history
        first = not history.has_read_record()
        waits = not self.state.coordinating or self.lacking_since_ms is not None
        if waits and not first:
            await asyncio.sleep(READ_DELAY_S + random.random() * READ_JITTER_S)
        asked_ms, era = history.clock.now_ms(), self._store_era()
        record = await self.state.dependencies.store.read_versions()
        self.is_unsure, self.era = False, era
        self.recorder.apply(record)
        self.versions.apply_record(record, asked_ms=asked_ms)
        if history.is_record_due() and self.lacking_since_ms is None:
            self.lacking_since_ms = asked_ms

    def _must_stand_in(self) -> bool:
        """Return whether the coordinator seems unable to record a version."""
        if self.lacking_since_ms is None:
            return False
        return self.versions.history.clock.now_ms() - self.lacking_since_ms >= WRITE_DELAY_MS

    async def _write(self) -> None:
        history = self.versions.history
        if self.is_unsure or not history.has_read_record():
            return
        record = self.recorder.next_record()
        if record is None:
            return
        asked_ms = history.clock.now_ms()
        written = await self.state.dependencies.store.write_versions(record)
        self.recorder.apply(written)
        self.versions.apply_record(written, asked_ms=asked_ms)
        services = {service: sorted(versions) for service, versions in written.services.items()}
        self.state.log.always("versions_recorded", services=services)
