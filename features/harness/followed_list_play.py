"""Play an entry that gets the list of targets from coordinators, and sometimes from the store."""

import asyncio
import itertools
import random
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import replace
from typing import TypeVar
from unittest.mock import patch

from harness.direct_entry import UnavailableStore
from harness.direct_entry import entry_dependencies
from harness.direct_entry import null_log
from harness.direct_entry import settings_for
from harness.virtual_time import VirtualClock
from harness.virtual_time import VirtualTimeLoop
from harness.virtual_time import run_in_virtual_time
from mimosaspur_coordination.fleetports import TargetChanges
from mimosaspur_coordination.fleetports import TargetListing
from mimosaspur_coordination.storeera import REVISIONS_PER_ERA
from mimosaspur_coordination.streams.versionhistory import VersionHistory
from mimosaspur_daemon.direct.entrystate import EntryState
from mimosaspur_daemon.direct.fleetchanges import FleetChanges
from mimosaspur_daemon.direct.fleetchanges import ReportBuilder
from mimosaspur_daemon.direct.fleetchanges import SentState
from mimosaspur_daemon.direct.storechanges import CONFIGURATION
from mimosaspur_daemon.direct.storechanges import StoreChanges
from mimosaspur_daemon.direct.storechanges import apply_store_changes
from mimosaspur_daemon.direct.storewatch import StoreWatch
from mimosaspur_protocol.peermessages import LENGTH_BYTES
from mimosaspur_protocol.peermessages import FleetReport
from mimosaspur_protocol.peermessages import decode_peer
from mimosaspur_state.clock import BoottimeClock
from mimosaspur_state.fleet import TargetRecord

T = TypeVar("T")

Registrations = dict[str, TargetRecord]

IDENTITIES = 5
STEPS = 250
MAX_STEP_S = 0.12


class RevisedStore(UnavailableStore):
    """Hold the registrations at all revisions, and since when each one was the newest."""

    def __init__(self, chooser: random.Random) -> None:
        self.chooser = chooser
        self.era = 0
        self.starts = 0
        self.revision = 1
        self.states: dict[int, Registrations] = {1: {}}
        self.since_ms = {1: 0}

    def change(self, now_ms: int) -> None:
        """Register a target, remove one, or write another object."""
        targets = dict(self.states[self.revision])
        identity = f"i-{self.chooser.randrange(IDENTITIES)}"
        action = self.chooser.randrange(4)
        if action == 0:
            targets.pop(identity, None)
        elif action == 1 and identity in targets:
            targets[identity] = replace(targets[identity], leaving=True)
        elif action == 2:
            self.starts += 1
            version = self.chooser.choice(("v1", "v1.1"))
            address = ("127.0.0.1", 9)
            targets[identity] = TargetRecord(
                identity, "s", address, "north", started_ms=self.starts, version=version
            )
        self.write(targets, self.revision + 1, now_ms)

    def restore(self, now_ms: int) -> None:
        """Go back to an earlier revision, without targets that have started since."""
        now = self.states[self.revision]
        earlier = self.states[self.chooser.choice(list(self.states))]
        kept = {
            name: record
            for name, record in earlier.items()
            if name in now and record.is_same_lifetime(now[name])
        }
        self.era += 1
        self.write(kept, self.era * REVISIONS_PER_ERA + self.chooser.randrange(1, 9), now_ms)

    def was_current(self, targets: Registrations, since_ms: int) -> bool:
        """Return whether these were the registrations at some time since then."""
        for revision in reversed(self.states):
            if self.states[revision] == targets:
                return True
            # What was written in the same ms may have come after the question.
            if self.since_ms[revision] < since_ms:
                return False
        return False

    def write(self, targets: Registrations, revision: int, now_ms: int) -> None:
        """Replace the registrations."""
        self.revision = revision
        self.states[revision] = targets
        self.since_ms[revision] = now_ms

    async def list_targets(self) -> TargetListing:
        """Return all targets."""
        return TargetListing(dict(self.states[self.revision]), self.revision)

    async def watch_targets(self, revision: int, *, wait_ms: int) -> TargetChanges:
        """Return what has changed since a revision."""
        now = self.states[self.revision]
        revisions = range(revision, self.revision + 1)
        states = [self.states[each] for each in revisions]
        # What has come and gone meanwhile is told, too.
        told = {
            name
            for before, after in itertools.pairwise(states)
            for name in {*before, *after}
            if before.get(name) != after.get(name)
        }
        return TargetChanges(
            [now[name] for name in told & now.keys()], sorted(told - now.keys()), self.revision
        )


class _SlowStore(UnavailableStore):
    """Give one entry access to the store; answers take a while."""

    def __init__(self, store: RevisedStore, longest_answer_s: float) -> None:
        self.store = store
        self.longest_answer_s = longest_answer_s

    async def list_targets(self) -> TargetListing:
        """Return all targets."""
        return await self._answered(await self.store.list_targets())

    async def watch_targets(self, revision: int, *, wait_ms: int) -> TargetChanges:
        """Return what has changed since a revision."""
        return await self._answered(await self.store.watch_targets(revision, wait_ms=wait_ms))

    async def _answered(self, answer: T) -> T:
        if self.longest_answer_s:
            await asyncio.sleep(self.store.chooser.uniform(0.0, self.longest_answer_s))
        return answer


class Entry:
    """Read the store for one entry."""

    def __init__(
        self,
        instance: str,
        store: RevisedStore,
        clock: VirtualClock,
        *,
        longest_answer_s: float = 0.0,
    ) -> None:
        self.store = store
        slow = _SlowStore(store, longest_answer_s)
        log = null_log(instance)
        dependencies = entry_dependencies(instance, clock=clock, log=log, store=slow)
        self.state = EntryState(settings_for(instance), dependencies)
        self.watch = StoreWatch(self.state)
        self.revision = 0

    async def read(self, *, watched: bool) -> None:
        """Read the list, or what has changed in it since it was last read."""
        continues = self.revision and self.revision // REVISIONS_PER_ERA == self.store.era
        if watched and continues:
            self.revision = await self.watch._watch_targets(self.revision)
        else:
            self.revision = await self.watch._list_targets()
        self.state.freshness.confirm(CONFIGURATION, age_ms=0)


class Coordinator(Entry):
    """Compute the updates of a coordinator for one follower."""

    def __init__(self, instance: str, store: RevisedStore, clock: VirtualClock) -> None:
        super().__init__(instance, store, clock)
        self.changes = StoreChanges(self.state)
        self.sent = SentState()

    def next_frame(self) -> bytes:
        """Return the next update on a link."""
        self.changes.update()
        shared = self.changes if self.changes.shareable() else None
        base = FleetReport(1, True, 1, [], [], {})
        builder = ReportBuilder(base, FleetChanges(), shared, [], [], [], [], [], [], {}, [], None)
        frame = builder.frame(self.sent)
        self.sent = builder.state_after(self.sent)
        return frame


def apply_frame(state: EntryState, frame: bytes) -> None:
    """Apply what an update of a coordinator says of the store."""
    message = decode_peer(frame[LENGTH_BYTES:])
    assert isinstance(message, FleetReport)
    if message.store:
        apply_store_changes(state, message.store)


class FollowedListPlay:
    """Play one entry, two coordinators and their store, and judge the entry's list."""

    def __init__(self, seed: int, *, longest_answer_s: float) -> None:
        self.chooser = random.Random(seed)
        self.store = RevisedStore(self.chooser)
        self.longest_answer_s = longest_answer_s
        # Updates that are on their way, each with the number of the report that it answers.
        self.frames: list[tuple[int, bytes]] = []
        self.reports = 0
        self.confirmed = 0
        # How often the entry's list was confirmed though it wasn't current, and wasn't the store's
        # at the revision that it claims.
        self.wrongly_confirmed = 0
        self.wrong_lists = 0

    def play(self) -> None:
        """Play all steps."""
        loop = VirtualTimeLoop()
        clock = VirtualClock(loop)
        with patch.object(BoottimeClock, "now_ms", lambda _: clock.now_ms()):
            run_in_virtual_time(self._play(clock), loop)

    async def _play(self, clock: VirtualClock) -> None:
        self.clock = clock
        self.entry = Entry("entry", self.store, clock, longest_answer_s=self.longest_answer_s)
        self.coordinators = [Coordinator(name, self.store, clock) for name in ("one", "two")]
        self.linked = self.coordinators[0]
        for each in (self.entry, *self.coordinators):
            await each.read(watched=False)
        steps: dict[Callable[[], Awaitable[None]], int] = {
            self._change: 6,
            self._restore: 1,
            self._coordinator_reads: 6,
            self._entry_reads: 2,
            self._send: 6,
            self._deliver: 8,
            self._change_link: 1,
        }
        confirm = VersionHistory.confirm

        def judge(history: VersionHistory, *, age_ms: int) -> None:
            if history is self.entry.state.stream_versions.history:
                self.confirmed += 1
                since_ms = clock.now_ms() - age_ms
                self.wrongly_confirmed += not self.store.was_current(self._list(), since_ms)
            confirm(history, age_ms=age_ms)

        with patch.object(VersionHistory, "confirm", judge):
            for _ in range(STEPS):
                await asyncio.sleep(self.chooser.uniform(0.001, MAX_STEP_S))
                (step,) = self.chooser.choices(list(steps), list(steps.values()))
                await step()
                claimed = self.store.states[self.entry.state.fleet.revision]
                self.wrong_lists += self._list() != claimed

    def _list(self) -> Registrations:
        views = self.entry.state.fleet.targets
        return {name: replace(view.record, residents=None) for name, view in views.items()}

    async def _change(self) -> None:
        self.store.change(self.clock.now_ms())

    async def _restore(self) -> None:
        self.store.restore(self.clock.now_ms())

    async def _coordinator_reads(self) -> None:
        await self.chooser.choice(self.coordinators).read(watched=self.chooser.random() < 0.8)

    async def _entry_reads(self) -> None:
        reading = asyncio.create_task(self.entry.read(watched=self.chooser.random() < 0.5))
        others = (self._change, self._linked_reads, self._send, self._deliver)
        await asyncio.sleep(0)
        while not reading.done():
            await self.chooser.choice(others)()
            await asyncio.sleep(self.chooser.uniform(0.0, MAX_STEP_S))
        reading.result()

    async def _linked_reads(self) -> None:
        await self.linked.read(watched=True)

    async def _send(self) -> None:
        self.reports += 1
        self.entry.state.report_times.on_sent(self.reports)
        self.frames.append((self.reports, self.linked.next_frame()))

    async def _deliver(self) -> None:
        if not self.frames:
            return
        number, frame = self.frames.pop(0)
        self.entry.state.report_times.on_answered(number)
        apply_frame(self.entry.state, frame)

    async def _change_link(self) -> None:
        self.frames.clear()
        self.entry.state.on_coordinator_lost()
        self.linked = self.chooser.choice(self.coordinators)
        self.linked.sent = SentState()
