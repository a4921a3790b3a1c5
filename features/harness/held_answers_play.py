"""Play entries to which the network brings the store's answers late, while a version joins."""

import asyncio
import contextlib
import itertools
import random
from collections.abc import Awaitable
from collections.abc import Callable
from typing import TypeVar
from unittest.mock import patch

from harness.direct_entry import UnavailableStore
from harness.direct_entry import entry_dependencies
from harness.direct_entry import null_log
from harness.direct_entry import settings_for
from harness.stored_versions import StoredVersions
from harness.virtual_time import VirtualClock
from harness.virtual_time import VirtualTimeLoop
from harness.virtual_time import run_in_virtual_time
from mimosaspur_coordination.fleetports import TargetChanges
from mimosaspur_coordination.fleetports import TargetListing
from mimosaspur_coordination.fleetports import VersionRecord
from mimosaspur_coordination.streams.versionhistory import VersionHistory
from mimosaspur_daemon.direct.entrystate import EntryState
from mimosaspur_daemon.direct.storewatch import StoreWatch
from mimosaspur_daemon.direct.versionrecord import VersionRecordKeeper
from mimosaspur_state.clock import BoottimeClock
from mimosaspur_state.errors import StoreUnavailable
from mimosaspur_state.fleet import TargetRecord

T = TypeVar("T")

SERVICE = "service"
OLD, NEW = "v1", "v1.1"
STORE_S = 0.004
# The bounds of the platform's client.
CALL_TIMEOUT_S = 1.0
WATCH_MARGIN_S = 0.5
# How often a target of another service changes its registration.
CHANGE_INTERVAL_S = 0.6
# By then entries are sure that there was one version.
SURE_AFTER_S = 18.0
PLAYED_S = 6.0
SAMPLE_S = 0.02
# What was held arrives in between, but no later question is answered.
GAP_S = 0.02
HELD_AGAIN_S = 4.0


def _target(identity: str, service: str, version: str, sequence: int = 0) -> TargetRecord:
    return TargetRecord(
        identity, service, ("127.0.0.1", 9), "north", sequence=sequence, version=version
    )


class CommonStore:
    """Hold the registrations, their changes and the record of versions."""

    def __init__(self) -> None:
        self.targets = {"i-0": _target("i-0", SERVICE, OLD)}
        self.changes: list[TargetRecord] = list(self.targets.values())
        self.versions = StoredVersions()
        self.changed = asyncio.Event()

    def put(self, record: TargetRecord) -> None:
        """Write a registration."""
        self.targets[record.identity] = record
        self.changes.append(record)
        self.changed.set()
        self.changed = asyncio.Event()

    def start(self) -> list["asyncio.Task[None]"]:
        """Start to change a registration of another service again and again."""
        return [asyncio.create_task(self._change())]

    async def _change(self) -> None:
        for sequence in itertools.count():
            self.put(_target("i-other", "other", OLD, sequence))
            await asyncio.sleep(CHANGE_INTERVAL_S)


class LateStore(UnavailableStore):
    """Give one entry access to the store; while the network is held nothing arrives."""

    def __init__(self, common: CommonStore) -> None:
        self.common = common
        self.held_until_s = 0.0
        # Called as the next watch begins.
        self.on_watch: Callable[[], None] | None = None

    def hold_until(self, time_s: float) -> None:
        """Hold what is on its way to or from the store until then."""
        self.held_until_s = time_s

    async def list_targets(self) -> TargetListing:
        """Return all targets."""

        async def read() -> TargetListing:
            return TargetListing(dict(self.common.targets), len(self.common.changes))

        return await self._call(read, CALL_TIMEOUT_S)

    async def watch_targets(self, revision: int, *, wait_ms: int) -> TargetChanges:
        """Wait for changes after a revision."""
        if self.on_watch:
            self.on_watch()

        async def wait() -> TargetChanges:
            if len(self.common.changes) == revision:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self.common.changed.wait(), wait_ms / 1000)
            changes = self.common.changes
            timed_out = len(changes) == revision
            return TargetChanges(changes[revision:], [], len(changes), timed_out=timed_out)

        return await self._call(wait, wait_ms / 1000 + WATCH_MARGIN_S)

    async def read_versions(self) -> VersionRecord | None:
        """Return the record of versions."""
        return await self._call(self.common.versions.read, CALL_TIMEOUT_S)

    async def write_versions(self, record: VersionRecord) -> VersionRecord:
        """Write the record if its revision is still the store's."""
        return await self._call(lambda: self.common.versions.write(record), CALL_TIMEOUT_S)

    async def _call(self, answer: Callable[[], Awaitable[T]], timeout_s: float) -> T:
        try:
            async with asyncio.timeout(timeout_s):
                await self._travel()
                found = await answer()
                await self._travel()
        except TimeoutError:
            raise StoreUnavailable("no answer") from None
        return found

    async def _travel(self) -> None:
        now_s = asyncio.get_running_loop().time()
        await asyncio.sleep(max(STORE_S / 2, self.held_until_s - now_s))


class HeldAnswersPlay:
    """Play an entry that is out of step while another one begins streams at a new version."""

    def __init__(self, seed: int, *, coordinating: bool) -> None:
        chooser = random.Random(seed)
        # Both entries read the store; the second one records versions.
        self.coordinating = coordinating
        # Pauses between the starts, so that the entries read the store at any times.
        self.pauses_s = [chooser.uniform(0.0, 0.5) for _ in range(3)]
        # From when the late entry asks: until the network holds what is on its way, until the new
        # version registers, and until the answer arrives, within the client's time limit.
        self.holds_after_s = chooser.uniform(0.0, 0.1)
        self.joins_after_s = chooser.uniform(0.0, 0.5)
        longest_s = WATCH_MARGIN_S + (0.4 if coordinating else 2.0)
        self.arrives_after_s = chooser.uniform(0.5, longest_s)
        # Whether a stream has begun at the new version.
        self.begun = False
        # For how long streams that the new version began would have gone on at the old one.
        self.wrong_s = 0.0

    def play(self) -> float:
        """Play; return for how long the late entry took the old version for the only one."""
        loop = VirtualTimeLoop()
        clock = VirtualClock(loop)
        with patch.object(BoottimeClock, "now_ms", lambda _: clock.now_ms()):
            run_in_virtual_time(self._play(clock), loop)
        return self.wrong_s

    async def _play(self, clock: VirtualClock) -> None:
        common = CommonStore()
        late = _Entry("late", common, clock, coordinating=self.coordinating)
        other = _Entry("other", common, clock, coordinating=True)
        tasks: list[asyncio.Task[None]] = []
        for pause_s, start in zip(
            self.pauses_s, (common.start, late.start, other.start), strict=True
        ):
            await asyncio.sleep(pause_s)
            tasks += start()
        await asyncio.sleep(SURE_AFTER_S)
        late.store.on_watch = lambda: self._hold(late.store, common)
        for _ in range(round(PLAYED_S / SAMPLE_S)):
            await asyncio.sleep(SAMPLE_S)
            self._sample(late.history, other.history)
        for task in tasks:
            assert not task.done(), task
            task.cancel()

    def _hold(self, store: LateStore, common: CommonStore) -> None:
        """Hold the answer to the watch that begins, and what follows it."""
        loop = asyncio.get_running_loop()
        store.on_watch = None
        arrives_s = loop.time() + self.arrives_after_s
        loop.call_later(self.holds_after_s, store.hold_until, arrives_s)
        loop.call_later(self.joins_after_s, common.put, _target("i-1", SERVICE, NEW))
        loop.call_at(arrives_s + GAP_S, store.hold_until, arrives_s + HELD_AGAIN_S)

    def _sample(self, late: VersionHistory, other: VersionHistory) -> None:
        knows_new = NEW in other.recent(SERVICE)
        self.begun |= knows_new and other.may_begin(SERVICE, NEW)
        if self.begun and late.sole_version(SERVICE) == OLD:
            self.wrong_s += SAMPLE_S


class _Entry:
    """Run the parts of an entry that read the store's list of targets and record of versions."""

    def __init__(
        self, instance: str, common: CommonStore, clock: VirtualClock, *, coordinating: bool
    ) -> None:
        self.store = LateStore(common)
        log = null_log(instance)
        dependencies = entry_dependencies(instance, clock=clock, log=log, store=self.store)
        self.state = EntryState(settings_for(instance), dependencies)
        self.state.coordinating = coordinating

    @property
    def history(self) -> VersionHistory:
        """Return what the entry knows of versions."""
        return self.state.stream_versions.history

    def start(self) -> list["asyncio.Task[None]"]:
        """Start to follow the store."""
        return [
            asyncio.create_task(StoreWatch(self.state).follow_targets()),
            asyncio.create_task(VersionRecordKeeper(self.state).run()),
        ]
