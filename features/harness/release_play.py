"""Play releases of a whole service, each with a kill of all entries some seconds after it."""

import asyncio
import contextlib
import itertools
import os
import random
from collections.abc import Iterator
from dataclasses import dataclass
from functools import partial
from unittest.mock import patch

from harness.direct_entry import UnavailableStore
from harness.direct_entry import entry_dependencies
from harness.direct_entry import settings_for
from harness.stored_versions import StoredVersions
from harness.virtual_time import VirtualClock
from harness.virtual_time import VirtualTimeLoop
from harness.virtual_time import run_in_virtual_time
from mimosaspur_coordination.fleetports import TargetChanges
from mimosaspur_coordination.fleetports import TargetListing
from mimosaspur_coordination.fleetports import VersionRecord
from mimosaspur_coordination.streams.lookup import VersionSource
from mimosaspur_coordination.streams.streamrecords import StreamRecord
from mimosaspur_coordination.streams.streamrecords import stream_key
from mimosaspur_daemon.direct.entrystate import EntryState
from mimosaspur_daemon.direct.storewatch import StoreWatch
from mimosaspur_daemon.direct.versionrecord import VersionRecordKeeper
from mimosaspur_state.clock import BoottimeClock
from mimosaspur_state.errors import StoreUnavailable
from mimosaspur_state.errors import VersionConflict
from mimosaspur_state.eventlog import EventLog
from mimosaspur_state.fleet import TargetRecord
from mimosaspur_transport.datagrams import Address

SERVICE = "service"
VERSIONS = ("v1", "v1.1", "v1.2", "v1.3")
TARGET_COUNT = 3
ENTRY_COUNT = 4
STORE_S = 0.004
CALL_TIMEOUT_S = 1.0
DATAGRAM_S = 0.001
LOST_SHARE = 0.02
SAMPLE_S = 0.05
# How often each entry begins a stream, and a caller's time limit, which its tries share.
BEGIN_INTERVAL_S = 0.4
LIFETIME_S = 15.0
LONGEST_HOP_S = 6.0
MAX_TRIES = 2
RETRY_AFTER_S = 0.05
# Between two releases, and after the last one: a version may still be remembered as the next joins.
INTERVALS_S = (8.0, 14.0, 14.0, 20.0)
END_S = 10.0
WRITE_FAULTS = ("", "", "lost", "answer lost", "late", "conflict")


def _name(number: int) -> str:
    return f"entry-{number}"


def _address(number: int) -> Address:
    return _name(number), number


@dataclass(slots=True)
class PlayedStream:
    """Hold a stream that a version has begun, until its caller's time limit."""

    key: bytes
    version: str
    until_s: float


@dataclass(slots=True, frozen=True)
class Outcome:
    """Record what an entry concluded of a stream that a caller took up."""

    at_s: float
    began_at: str
    found: str | None
    source: VersionSource | None
    # Whether a target of the version that was found is in the entry's list.
    is_present: bool

    def is_wrong(self) -> bool:
        """Return whether the stream would go on at another version."""
        return self.found is not None and self.found != self.began_at and self.is_present


class ReleaseStore:
    """Hold registrations, their changes and the record of versions."""

    def __init__(self) -> None:
        self.targets: dict[str, TargetRecord] = {}
        # Registrations that were written, and the names of those that were removed.
        self.changes: list[TargetRecord | str] = []
        self.versions = StoredVersions()
        self.changed = asyncio.Event()

    def put(self, record: TargetRecord) -> None:
        """Write a registration."""
        self.targets[record.identity] = record
        self._add_change(record)

    def remove(self, identity: str) -> None:
        """Remove a registration."""
        del self.targets[identity]
        self._add_change(identity)

    def _add_change(self, change: TargetRecord | str) -> None:
        self.changes.append(change)
        self.changed.set()
        self.changed = asyncio.Event()


class EntryStore(UnavailableStore):
    """Give one entry access to the store, with faults of its writes."""

    def __init__(self, common: ReleaseStore, chooser: random.Random, *, faults: bool) -> None:
        self.common = common
        self.chooser = chooser
        self.faults = faults

    async def list_targets(self) -> TargetListing:
        """Return all targets."""
        await asyncio.sleep(STORE_S)
        return TargetListing(dict(self.common.targets), len(self.common.changes))

    async def watch_targets(self, revision: int, *, wait_ms: int) -> TargetChanges:
        """Wait for changes after a revision."""
        await asyncio.sleep(STORE_S / 2)
        if len(self.common.changes) == revision:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.common.changed.wait(), wait_ms / 1000)
        changes = self.common.changes[revision:]
        last = len(self.common.changes)
        await asyncio.sleep(STORE_S / 2)
        written = [each for each in changes if isinstance(each, TargetRecord)]
        removed = [each for each in changes if isinstance(each, str)]
        return TargetChanges(written, removed, last, timed_out=not changes)

    async def read_versions(self) -> VersionRecord | None:
        """Return the record of versions."""
        await asyncio.sleep(STORE_S / 2)
        record = self.common.versions.record
        await asyncio.sleep(STORE_S / 2)
        return record

    async def write_versions(self, record: VersionRecord) -> VersionRecord:
        """Write the record if its revision is still the store's, unless a fault comes between."""
        fault = self.chooser.choice(WRITE_FAULTS) if self.faults else ""
        await asyncio.sleep(STORE_S / 2)
        if fault == "conflict":
            raise VersionConflict("versions", record.revision)
        if fault == "late":
            late_s = self.chooser.uniform(CALL_TIMEOUT_S, 4 * CALL_TIMEOUT_S)
            asyncio.get_running_loop().call_later(late_s, self._write_late, record)
        if fault in ("late", "lost"):
            await asyncio.sleep(CALL_TIMEOUT_S)
            raise StoreUnavailable("no answer")
        written = self.common.versions.write_now(record)
        if fault == "answer lost":
            await asyncio.sleep(CALL_TIMEOUT_S)
            raise StoreUnavailable("no answer")
        await asyncio.sleep(STORE_S / 2)
        return written

    def _write_late(self, record: VersionRecord) -> None:
        with contextlib.suppress(VersionConflict):
            self.common.versions.write_now(record)


class PlayedEntry:
    """Run one process of an entry: what it knows of targets, versions and streams."""

    def __init__(self, number: int, play: "ReleasePlay") -> None:
        self.number = number
        name = _name(number)
        store = EntryStore(play.store, play.random, faults=play.faults)
        dependencies = entry_dependencies(name, clock=play.clock, log=play.log, store=store)
        self.state = EntryState(settings_for(name), dependencies)
        self.versions = self.state.stream_versions
        self.versions.address = _address(number)
        self.versions.endpoint.send = partial(  # type: ignore[method-assign]
            play.send, sender=number
        )
        self.versions.update_entries(play.addresses, [], complete=True)
        self.tasks = [
            asyncio.create_task(StoreWatch(self.state).follow_targets()),
            asyncio.create_task(VersionRecordKeeper(self.state).run()),
        ]

    def kill(self) -> None:
        """End all that the process does."""
        assert not any(task.done() for task in self.tasks), self.tasks
        for task in [*self.tasks, *self.versions.tasks]:
            task.cancel()

    def present(self) -> frozenset[str]:
        """Return the versions in its list of targets."""
        known = self.versions.history.services.get(SERVICE)
        return known.present if known else frozenset()


class ReleasePlay:
    """Play releases and kills, and callers that take up the streams that broke."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.seed = seed
        self.faults = seed % 2 == 1
        self.addresses: list[tuple[str, Address]] = [
            (_name(number), _address(number)) for number in range(ENTRY_COUNT)
        ]
        self.entries: dict[int, PlayedEntry] = {}
        self.outcomes: list[Outcome] = []
        # Streams that callers may still take up.
        self.streams: list[PlayedStream] = []
        # When an entry took a version for the only one, and in how many samples some did.
        self.wrong_soles: list[tuple[float, str]] = []
        self.sole_count = 0
        self.numbers = itertools.count()
        self.losses: dict[tuple[int, int], random.Random] = {}
        self.callers: set[asyncio.Task[None]] = set()

    def play(self) -> list[Outcome]:
        """Play; return what entries concluded of all streams that callers took up."""
        loop = VirtualTimeLoop()
        self.clock = VirtualClock(loop)
        random.seed(self.seed)
        fd = os.open(os.devnull, os.O_WRONLY)
        self.log = EventLog("play", fd=fd, clock=self.clock)
        with patch.object(BoottimeClock, "now_ms", lambda _: self.clock.now_ms()):
            run_in_virtual_time(self._play(), loop)
        os.close(fd)
        return self.outcomes

    def wrong(self) -> list[Outcome]:
        """Return the streams that would have gone on at another version."""
        return [each for each in self.outcomes if each.is_wrong()]

    def send(self, data: bytes, address: Address, *, sender: int) -> None:
        """Deliver a datagram to the process that is at an address by then, unless it is lost."""

        def deliver() -> None:
            entry = self.entries.get(address[1])
            if entry:
                entry.versions.endpoint.on_datagram(data, _address(sender))

        # One chooser a direction, as the order in which an entry sends to others isn't determined.
        direction = sender, address[1]
        if direction not in self.losses:
            self.losses[direction] = random.Random(f"{self.seed} {direction}")
        losses = self.losses[direction]
        if losses.random() >= LOST_SHARE:
            asyncio.get_running_loop().call_later(DATAGRAM_S, deliver)

    async def _play(self) -> None:
        self.store = ReleaseStore()
        for identity in self._identities(VERSIONS[0]):
            self._register(identity, VERSIONS[0])
        background = [
            asyncio.create_task(self._begin_streams()),
            asyncio.create_task(self._sample()),
        ]
        await self._start_entries()
        # A site that is young, or has served for longer than streams last.
        await asyncio.sleep(self.random.choice((2.0, 6.0, 20.0)))
        for old, new in itertools.pairwise(VERSIONS):
            began_s = asyncio.get_running_loop().time()
            await self._release(old, new)
            interval_s = self.random.choice(INTERVALS_S)
            await asyncio.sleep(began_s + interval_s - asyncio.get_running_loop().time())
        await asyncio.sleep(END_S)
        for task in background:
            assert not task.done(), task
            task.cancel()
        for entry in self.entries.values():
            entry.kill()

    async def _release(self, old: str, new: str) -> None:
        """Replace all targets, and kill all entries some seconds after."""
        loop = asyncio.get_running_loop()
        for identity in self._identities(new):
            loop.call_later(self.random.uniform(0, 0.1), self._register, identity, new)
        leaves_s = self.random.uniform(0.5, 2.5)
        for identity in self._identities(old):
            loop.call_later(leaves_s + self.random.uniform(0, 0.1), self.store.remove, identity)
        await asyncio.sleep(self.random.uniform(1.5, 4.0))
        for entry in self.entries.values():
            entry.kill()
        self.entries.clear()
        await asyncio.sleep(self.random.uniform(1.1, 2.5))
        await self._start_entries()

    async def _start_entries(self) -> None:
        """Start all entries at different moments; one of them coordinates some time after."""
        numbers = self.random.sample(range(ENTRY_COUNT), ENTRY_COUNT)
        for number in numbers:
            await asyncio.sleep(self.random.uniform(0, 0.4))
            self.entries[number] = PlayedEntry(number, self)
        state = self.entries[self.random.choice(numbers)].state
        coordinates_s = self.random.uniform(0, 3.0)
        asyncio.get_running_loop().call_later(coordinates_s, setattr, state, "coordinating", True)

    def _identities(self, version: str) -> Iterator[str]:
        return (f"{version}-{number}" for number in range(TARGET_COUNT))

    def _register(self, identity: str, version: str) -> None:
        address = ("127.0.0.1", 9)
        self.store.put(TargetRecord(identity, SERVICE, address, "north", version=version))

    async def _begin_streams(self) -> None:
        """Begin a stream at each entry again and again, at any version that it may begin at."""
        while True:
            await asyncio.sleep(BEGIN_INTERVAL_S)
            for entry in self.entries.values():
                may_begin = entry.versions.history.may_begin
                allowed = [each for each in sorted(entry.present()) if may_begin(SERVICE, each)]
                if allowed:
                    task = asyncio.create_task(self._call(entry, self.random.choice(allowed)))
                    self.callers.add(task)
                    task.add_done_callback(self.callers.discard)

    async def _sample(self) -> None:
        """Compare what entries take for the only version with the streams that there are."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(SAMPLE_S)
            self.streams = [each for each in self.streams if each.until_s > loop.time()]
            begun = {each.version for each in self.streams}
            for entry in self.entries.values():
                sole = entry.versions.history.sole_version(SERVICE)
                self.sole_count += sole is not None
                if sole in entry.present() and not begun <= {sole}:
                    self.wrong_soles.append((loop.time(), str(sole)))

    async def _call(self, entry: PlayedEntry, version: str) -> None:
        """Begin a stream, and take it up again and again until the caller's time limit."""
        loop = asyncio.get_running_loop()
        key = stream_key(SERVICE, str(next(self.numbers)))
        stream = PlayedStream(key, version, loop.time() + LIFETIME_S)
        self.streams.append(stream)
        await entry.versions.announce(key, StreamRecord(version), service=SERVICE, is_change=False)
        while True:
            await asyncio.sleep(self.random.uniform(0.02, LONGEST_HOP_S))
            if loop.time() >= stream.until_s:
                return
            await self._take_up(stream)

    async def _take_up(self, stream: PlayedStream) -> None:
        """Try to take a stream up at one entry after another for a moment."""
        for _ in range(MAX_TRIES):
            if not self.entries:
                return
            entry = self.random.choice(list(self.entries.values()))
            found = await entry.versions.find(stream.key, service=SERVICE)
            if self.entries.get(entry.number) is not entry:
                continue
            version, source = found or (None, None)
            is_present = version in entry.present()
            now_s = asyncio.get_running_loop().time()
            self.outcomes.append(Outcome(now_s, stream.version, version, source, is_present))
            if version is not None and is_present:
                record = StreamRecord(version)
                await entry.versions.announce(stream.key, record, service=SERVICE, is_change=False)
                return
            await asyncio.sleep(RETRY_AFTER_S)
