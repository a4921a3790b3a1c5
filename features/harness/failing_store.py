"""Simulate a platform store that fails in one way, in virtual time."""

import asyncio

from harness.direct_entry import configuration
from mimosaspur_coordination.fleetports import ConfigurationChange
from mimosaspur_coordination.fleetports import LeaseRecord
from mimosaspur_coordination.fleetports import TargetChanges
from mimosaspur_coordination.fleetports import TargetListing
from mimosaspur_coordination.fleetports import VersionRecord
from mimosaspur_state.errors import RevisionTooOld
from mimosaspur_state.errors import StoreUnavailable
from mimosaspur_state.errors import VersionConflict
from mimosaspur_state.fleet import TargetRecord

ANSWER_S = 0.004
# The port's timeout of a call, and what it adds to a watch's own wait.
CALL_TIMEOUT_S = 1.0
WATCH_SLACK_S = 0.5
UNREACHABLE = ("127.0.0.1", 9)


class FailingStore:
    """Answer within ms, except for one kind of call that fails in one way."""

    def __init__(self, calls: str, behaviour: str) -> None:
        self.failing = calls
        self.behaviour = behaviour
        self.calls = 0
        self.counts: dict[str, int] = {}
        # The holder is unreachable.
        self.lease = LeaseRecord("entry-9", UNREACHABLE, 1, 1)
        self.targets = {
            name: TargetRecord(name, "service", UNREACHABLE, "here") for name in ("x", "y")
        }
        # Changes of targets in the order of their revisions, and the event that the next one sets.
        self.changes: list[tuple[str, TargetRecord | None]] = []
        self.changed = asyncio.Event()

    def change(self, name: str, record: TargetRecord | None) -> None:
        """Register a target, or remove it if there is no record."""
        if record:
            self.targets[name] = record
        else:
            del self.targets[name]
        self.changes.append((name, record))
        self.changed.set()
        self.changed = asyncio.Event()

    async def list_targets(self) -> TargetListing:
        """Return the targets."""
        await self._call("lists")
        return TargetListing(dict(self.targets), len(self.changes))

    async def watch_targets(self, revision: int, *, wait_ms: int) -> TargetChanges:
        """Wait for changes."""
        waited = asyncio.create_task(self._watch("watches", wait_ms))
        if len(self.changes) == revision:
            changed = asyncio.create_task(self.changed.wait())
            await asyncio.wait({waited, changed}, return_when=asyncio.FIRST_COMPLETED)
            changed.cancel()
        if waited.done() or len(self.changes) == revision:
            await waited
        waited.cancel()
        news = dict(self.changes[revision:])
        changes = [record for record in news.values() if record]
        gone = [name for name, record in news.items() if not record]
        return TargetChanges(changes, gone, len(self.changes))

    async def read_configuration(self) -> ConfigurationChange:
        """Return the configuration."""
        await self._call("reads")
        return ConfigurationChange(configuration(), 1)

    async def watch_configuration(self, revision: int, *, wait_ms: int) -> ConfigurationChange:
        """Wait for changes that never come."""
        await self._watch("watches", wait_ms)
        return ConfigurationChange(None, revision)

    async def read_lease(self) -> LeaseRecord | None:
        """Return the lease."""
        await self._call("reads of the lease")
        return self.lease

    async def write_lease(self, record: LeaseRecord) -> LeaseRecord:
        """Write the lease."""
        await self._call("writes of the lease")
        if self.failing == "writes of the lease":
            raise VersionConflict("orders", 1)
        self.lease = record
        return record

    async def read_versions(self) -> VersionRecord | None:
        """Return no record of versions."""
        await self._call("reads of versions")
        return None

    async def write_versions(self, record: VersionRecord) -> VersionRecord:
        """Write the record of versions."""
        await self._call("writes of versions")
        return VersionRecord(record.services, record.revision + 1)

    async def _watch(self, kind: str, wait_ms: int) -> None:
        self.calls += 1
        if self._fails(kind) and self.behaviour == "return at once":
            await asyncio.sleep(ANSWER_S)
            return
        if self._fails(kind):
            await self._fail(wait_ms / 1000 + WATCH_SLACK_S)
        await asyncio.sleep(wait_ms / 1000)

    async def _call(self, kind: str) -> None:
        self.calls += 1
        if self._fails(kind) and self.failing != "writes of the lease":
            await self._fail(CALL_TIMEOUT_S)
        await asyncio.sleep(ANSWER_S)

    def _fails(self, kind: str) -> bool:
        if self.failing not in ("calls", kind):
            return False
        self.counts[kind] = self.counts.get(kind, 0) + 1
        return self.behaviour != "fail every other time" or self.counts[kind] % 2 == 1

    async def _fail(self, given_up_s: float) -> None:
        if self.behaviour == "are never answered":
            await asyncio.sleep(given_up_s)
            raise StoreUnavailable("no answer")
        await asyncio.sleep(ANSWER_S)
        if self.behaviour == "find no history":
            raise RevisionTooOld
        raise StoreUnavailable("refused")
