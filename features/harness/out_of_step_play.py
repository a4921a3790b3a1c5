"""Play a coordinator and two followers, some of which are out of step while a version changes."""

import asyncio
import contextvars
import random
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import replace
from typing import TypeVar
from unittest.mock import patch

from harness.direct_entry import configuration
from harness.direct_entry import entry_dependencies
from harness.direct_entry import null_log
from harness.direct_entry import settings_for
from harness.direct_fleet import LeaseStore
from harness.followed_list_play import RevisedStore
from harness.process_loop import PROCESS
from harness.process_loop import ProcessLoop
from harness.stored_versions import StoredVersions
from harness.virtual_time import VirtualClock
from harness.virtual_time import run_in_virtual_time
from mimosaspur_coordination.fleetports import ConfigurationChange
from mimosaspur_coordination.fleetports import LeaseRecord
from mimosaspur_coordination.fleetports import TargetChanges
from mimosaspur_coordination.fleetports import TargetListing
from mimosaspur_coordination.fleetports import VersionRecord
from mimosaspur_daemon.direct.election import CoordinatorElection
from mimosaspur_daemon.direct.entrystate import EntryState
from mimosaspur_daemon.direct.storewatch import StoreWatch
from mimosaspur_daemon.direct.versionrecord import VersionRecordKeeper
from mimosaspur_state.clock import BoottimeClock
from mimosaspur_state.errors import StoreUnavailable
from mimosaspur_state.fleet import TargetRecord

T = TypeVar("T")

ENTRIES = ("a", "b", "c")
SERVICE = "service"
OLD, NEW = "v1", "v1.1"
STORE_S = 0.004
CALL_TIMEOUT_S = 1.0
WATCH_MARGIN_S = 0.5
# By then entries are sure that there was one version.
SURE_AFTER_S = 18.0
# The shortest time within which a stream may be resumed.
LIFETIME_S = 15.0
PLAYED_S = 12.0
SAMPLE_S = 0.02
STEP_S = 0.1
FAULT_STEPS = (2, 60)
GAP_STEPS = (1, 10)
DELAY_STEPS = (1, 9)
DELAYED_STEPS = (1, 20)
JOIN_STEPS = (1, 40)
CHANGE_STEPS = (5, 60)


class CommonStore:
    """Hold what all entries read and write."""

    def __init__(self) -> None:
        self.targets = RevisedStore(random.Random(0))
        self.lease = LeaseStore()
        self.versions = StoredVersions()
        self.changed = asyncio.Event()

    def put(self, targets: dict[str, TargetRecord], now_ms: int) -> None:
        """Replace the registrations."""
        self.targets.write(targets, self.targets.revision + 1, now_ms)
        self.changed.set()
        self.changed = asyncio.Event()


class ProcessStore:
    """Give one process access to the store, which answers while the process stands still."""

    def __init__(self, common: CommonStore, process: str, loop: ProcessLoop) -> None:
        self.common = common
        self.process = process
        self.loop = loop

    async def list_targets(self) -> TargetListing:
        """Return all targets."""
        return await self._call(self.common.targets.list_targets, CALL_TIMEOUT_S)

    async def watch_targets(self, revision: int, *, wait_ms: int) -> TargetChanges:
        """Wait for changes after a revision."""

        async def wait() -> TargetChanges:
            if self.common.targets.revision == revision:
                await self._wait(wait_ms)
            changes = await self.common.targets.watch_targets(revision, wait_ms=wait_ms)
            return replace(changes, timed_out=changes.revision == revision)

        return await self._call(wait, wait_ms / 1000 + WATCH_MARGIN_S)

    async def _wait(self, wait_ms: int) -> None:
        waiting = asyncio.ensure_future(self.common.changed.wait())
        await asyncio.wait([waiting], timeout=wait_ms / 1000)
        waiting.cancel()

    async def read_configuration(self) -> ConfigurationChange:
        """Return the configuration."""

        async def read() -> ConfigurationChange:
            return ConfigurationChange(configuration(), 1)

        return await self._call(read, CALL_TIMEOUT_S)

    async def watch_configuration(self, revision: int, *, wait_ms: int) -> ConfigurationChange:
        """Return, after a wait, that nothing has changed."""

        async def wait() -> ConfigurationChange:
            await asyncio.sleep(wait_ms / 1000)
            return ConfigurationChange(None, revision, timed_out=True)

        return await self._call(wait, wait_ms / 1000 + WATCH_MARGIN_S)

    async def read_lease(self) -> LeaseRecord | None:
        """Return the lease."""
        return await self._call(self.common.lease.read_lease, CALL_TIMEOUT_S)

    async def write_lease(self, record: LeaseRecord) -> LeaseRecord:
        """Write the lease if its revision is still the store's."""
        return await self._call(lambda: self.common.lease.write_lease(record), CALL_TIMEOUT_S)

    async def read_versions(self) -> VersionRecord | None:
        """Return the record of versions."""
        return await self._call(self.common.versions.read, CALL_TIMEOUT_S)

    async def write_versions(self, record: VersionRecord) -> VersionRecord:
        """Write the record if its revision is still the store's."""
        return await self._call(lambda: self.common.versions.write(record), CALL_TIMEOUT_S)

    async def _call(self, answer: Callable[[], Awaitable[T]], timeout_s: float) -> T:
        async def travel() -> T:
            await self._travel()
            found = await answer()
            await self._travel()
            return found

        outside = contextvars.Context()
        try:
            async with asyncio.timeout(timeout_s):
                return await self.loop.create_task(travel(), context=outside)
        except TimeoutError:
            raise StoreUnavailable("no answer") from None

    async def _travel(self) -> None:
        await asyncio.sleep(STORE_S / 2 + self.loop.delay_s(self.process))


class _Entry:
    """Run the parts of an entry that keep its list of targets and its history of versions."""

    def __init__(self, name: str, common: CommonStore, loop: ProcessLoop) -> None:
        self.name = name
        ports = entry_dependencies(
            name,
            clock=VirtualClock(loop),
            store=ProcessStore(common, name, loop),
            log=null_log(name),
        )
        self.state = EntryState(settings_for(name), ports)
        self.election = CoordinatorElection(self.state)
        self.history = self.state.stream_versions.history

    async def run(self) -> None:
        """Run until cancelled."""
        PROCESS.set(self.name)
        server = await self.election.listen()
        self.election.address = server.sockets[0].getsockname()
        watch = StoreWatch(self.state)
        async with asyncio.TaskGroup() as group:
            group.create_task(watch.follow_targets())
            group.create_task(watch.follow_configuration())
            group.create_task(VersionRecordKeeper(self.state).run())
            group.create_task(self.election.run())


class OutOfStepPlay:
    """Play entries that are cut off or stand still as versions join, go and come back."""

    def __init__(self, seed: int, *, disturbed: bool) -> None:
        self.random = random.Random(seed)
        self.disturbed = disturbed
        self.loop = ProcessLoop()
        self.clock = VirtualClock(self.loop)
        # When a stream last could begin at each version, somewhere.
        self.begun_s: dict[str, float] = {}
        # For how long, in all, an entry has taken a version for the only one though a stream of
        # another one could be resumed; and whether a stream could begin at the new one.
        self.wrong_s = 0.0
        self.followed = False
        # In how many samples a follower would have read the store itself.
        self.followers_reads = 0

    def play(self) -> None:
        """Play."""
        random.seed(self.random.random())
        with patch.object(BoottimeClock, "now_ms", lambda _: self.clock.now_ms()):
            run_in_virtual_time(self._play(), self.loop)

    async def _play(self) -> None:
        self.common = CommonStore()
        self._register(OLD)
        self.entries = [_Entry(name, self.common, self.loop) for name in ENTRIES]
        tasks = []
        for entry in self.entries:
            tasks.append(asyncio.create_task(entry.run()))
            await asyncio.sleep(self.random.uniform(0.0, 0.3))
        await asyncio.sleep(SURE_AFTER_S)
        self.followed = sum(each.state.coordinating for each in self.entries) == 1
        others = [asyncio.create_task(self._change())]
        if self.disturbed:
            others.append(asyncio.create_task(self._disturb()))
        for _ in range(round(PLAYED_S / SAMPLE_S)):
            await asyncio.sleep(SAMPLE_S)
            self._sample()
            for task in tasks:
                assert not task.done(), task
        for task in (*tasks, *others):
            task.cancel()

    async def _disturb(self) -> None:
        while True:
            out = self.random.sample(self.entries, self.random.choice((1, 1, 2)))
            if self.random.random() < 0.5:
                delay_s = self.random.randint(*DELAY_STEPS) * STEP_S
                self.loop.delays_s = {entry.name: delay_s for entry in out}
                await asyncio.sleep(self.random.randint(*DELAYED_STEPS) * STEP_S)
                self.loop.delays_s = {}
            for_s = self.random.randint(*FAULT_STEPS) * STEP_S
            for entry in out:
                if self.random.random() < 0.5:
                    self.loop.freeze(entry.name, for_s=for_s)
                else:
                    self.loop.cut(entry.name, for_s=for_s)
            await asyncio.sleep(for_s + self.random.randint(*GAP_STEPS) * STEP_S)

    async def _change(self) -> None:
        """Let the new version join, go and come back, and now and then the old one go."""
        await asyncio.sleep(self.random.randint(*JOIN_STEPS) * STEP_S)
        self._register(OLD, NEW)
        while True:
            # Long enough for streams to begin at it, or not.
            await asyncio.sleep(self.random.randint(*CHANGE_STEPS) * STEP_S)
            self._register(*self.random.choice(((OLD, NEW), (OLD,), (NEW,))))

    def _register(self, *versions: str) -> None:
        targets = {
            f"i-{each}": TargetRecord(
                f"i-{each}", SERVICE, ("127.0.0.1", 9), "north", version=each, started_ms=1
            )
            for each in versions
        }
        self.common.put(targets, self.clock.now_ms())

    def _sample(self) -> None:
        now_s = self.loop.time()
        store = self.common.targets
        registered = {each.version for each in store.states[store.revision].values()}
        running = [each for each in self.entries if each.name not in self.loop.frozen]
        for entry in running:
            known = entry.history.services[SERVICE].present
            for version in known & registered:
                if entry.history.may_begin(SERVICE, version):
                    self.begun_s[version] = now_s
            follows = not entry.state.coordinating
            self.followers_reads += follows and not entry.state.freshness.coordinator_is_fresh()
        for entry in running:
            only = entry.history.sole_version(SERVICE)
            if only is None:
                continue
            for version, begun_s in self.begun_s.items():
                if version != only and now_s - begun_s < LIFETIME_S:
                    self.wrong_s += SAMPLE_S
