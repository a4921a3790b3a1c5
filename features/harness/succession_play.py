"""Play the succession of coordinators in virtual time: lost answers, freezes, restarts, rolls."""

import asyncio
import itertools
import random
from dataclasses import dataclass
from unittest.mock import patch

from harness.direct_entry import entry_dependencies
from harness.direct_entry import null_log
from harness.direct_entry import settings_for
from harness.direct_fleet import LeaseStore
from harness.memory_network import MemoryLoop
from harness.virtual_time import VirtualClock
from harness.virtual_time import run_in_virtual_time
from mimosaspur_coordination.fleetports import LeaseRecord
from mimosaspur_daemon.direct.election import CoordinatorElection
from mimosaspur_daemon.direct.entrystate import EntryState
from mimosaspur_state.clock import BoottimeClock
from mimosaspur_state.errors import StoreUnavailable

ENTRIES = ("a", "b", "c")
HANDOVER_MS = 3_000
LENGTH_S = 40.0
SAMPLE_S = 0.02
# Probability that an entry that may order does so in a sample.
ORDER_SHARE = 0.3
STORE_S = 0.004
CALL_TIMEOUT_S = 1.0
# Share of the writes that take effect without an answer.
LOST_SHARE = 0.3
FAULT_GAPS_S = (0.5, 6.0)
FREEZES_S = (0.3, 3.0)
RESTART_S = (0.05, 1.5)
FAULTS = ("freeze", "freeze", "kill", "kill", "roll", "freeze the holder", "kill the holder")


@dataclass(slots=True, frozen=True)
class Order:
    """Record an order that an entry might have sent."""

    ms: int
    entry: str
    token: int


class FrozenStore:
    """Give one entry access to the common lease, but while the entry is frozen."""

    def __init__(self, common: LeaseStore, chooser: random.Random) -> None:
        self.common = common
        self.random = chooser
        self.awake = asyncio.Event()
        self.awake.set()

    async def read_lease(self) -> LeaseRecord | None:
        """Return the lease as it is once the entry runs."""
        await asyncio.sleep(STORE_S)
        record = await self.common.read_lease()
        await self.awake.wait()
        return record

    async def write_lease(self, record: LeaseRecord) -> LeaseRecord:
        """Write the lease; the answer may be lost."""
        await asyncio.sleep(STORE_S)
        written = await self.common.write_lease(record)
        if self.random.random() < LOST_SHARE:
            await asyncio.sleep(CALL_TIMEOUT_S)
            raise StoreUnavailable("no answer")
        await self.awake.wait()
        return written

    def __getattr__(self, name: str) -> object:
        return getattr(self.common, name)


class EntryLife:
    """Run one process of an entry."""

    def __init__(self, name: str, store: FrozenStore, loop: MemoryLoop) -> None:
        clock = VirtualClock(loop)
        self.name = name
        self.store = store
        ports = entry_dependencies(name, clock=clock, store=store, log=null_log(name))
        self.state = EntryState(settings_for(name, handover_ms=HANDOVER_MS), ports)
        self.election = CoordinatorElection(self.state)
        self.server: asyncio.Server | None = None
        self.task: asyncio.Task[None] | None = None
        # Whether it has announced its last order.
        self.leaves = False

    async def start(self) -> None:
        """Listen, and coordinate or follow."""
        self.server = await self.election.listen()
        self.election.address = self.server.sockets[0].getsockname()
        self.task = asyncio.create_task(self.election.run())

    def end(self) -> None:
        """End at once."""
        assert self.server
        assert self.task
        self.server.close()
        self.task.cancel()

    def may_order(self) -> bool:
        """Return whether it could send an order now."""
        return self.store.awake.is_set() and self.election.lease.may_order()


class SuccessionPlay:
    """Run three entries, whose orders are judged as the targets see them."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.loop = MemoryLoop()
        self.clock = VirtualClock(self.loop)
        self.common = LeaseStore()
        self.lives: dict[str, EntryLife] = {}
        self.orders: list[Order] = []

    def play(self) -> list[Order]:
        """Return all orders."""
        random.seed(self.random.random())
        with patch.object(BoottimeClock, "now_ms", lambda _: self.clock.now_ms()):
            run_in_virtual_time(self._play(), self.loop)
        return self.orders

    async def _play(self) -> None:
        for name in ENTRIES:
            await self._start(name)
        faults = asyncio.create_task(self._disturb())
        end_s = self.loop.time() + LENGTH_S
        while self.loop.time() < end_s:
            self._order()
            await asyncio.sleep(SAMPLE_S)
        faults.cancel()

    async def _start(self, name: str) -> None:
        life = EntryLife(name, FrozenStore(self.common, self.random), self.loop)
        self.lives[name] = life
        await life.start()

    def _order(self) -> None:
        for life in self.lives.values():
            lease = life.election.lease
            if life.may_order() and self.random.random() < ORDER_SHARE:
                assert lease.record
                lease.record_order()
                self.orders.append(Order(self.clock.now_ms(), life.name, lease.record.token))

    async def _disturb(self) -> None:
        while True:
            await asyncio.sleep(self.random.uniform(*FAULT_GAPS_S))
            fault = self.random.choice(FAULTS)
            name = self.random.choice(list(self.lives) or [""])
            if fault.endswith(" the holder") and self.common.record:
                name = self.common.record.holder
            if name not in self.lives:
                continue
            if fault.startswith("freeze"):
                await self._freeze(self.lives[name])
            elif fault.startswith("kill"):
                await self._restart(name, rolls=False)
            else:
                await self._restart(name, rolls=True)

    async def _freeze(self, life: EntryLife) -> None:
        life.store.awake.clear()
        for_s = self.random.uniform(*FREEZES_S)
        self.loop.call_later(for_s, life.store.awake.set)

    async def _restart(self, name: str, *, rolls: bool) -> None:
        life = self.lives[name]
        if rolls:
            life.state.leaving = True
            life.election.step_down()
            await asyncio.sleep(self.random.uniform(0.1, 1.0))
        life.end()
        del self.lives[name]
        await asyncio.sleep(self.random.uniform(*RESTART_S))
        await self._start(name)


def overlaps(orders: list[Order]) -> list[tuple[Order, Order]]:
    """Return orders of one entry that came too soon after another's, or with a lower token."""
    found = []
    for before, after in itertools.pairwise(orders):
        too_soon = after.entry != before.entry and after.ms - before.ms < HANDOVER_MS
        if too_soon or after.token < before.token:
            found.append((before, after))
    return found
