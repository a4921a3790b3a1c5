"""Run two instances' elections in this process, with one store and one engine."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import replace

from harness.direct_engine import LOAD_S
from harness.direct_engine import SimulatedEngine
from harness.direct_entry import UnavailableStore
from harness.direct_entry import configuration
from harness.direct_entry import engine_spec
from harness.direct_entry import entry_dependencies
from harness.direct_entry import model_spec
from harness.direct_entry import settings_for
from mimosaspur_coordination.fleetports import LeaseRecord
from mimosaspur_daemon.direct.election import CoordinatorElection
from mimosaspur_daemon.direct.entrystate import EntryState
from mimosaspur_state.errors import StoreUnavailable
from mimosaspur_state.errors import VersionConflict
from mimosaspur_state.fleet import EngineOrder
from mimosaspur_state.fleet import OrderKind
from mimosaspur_state.fleet import OrderOutcome
from mimosaspur_state.fleet import TargetRecord

HANDOVER_MS = 600
MODELS = ("a", "b", "c", "d", "e", "f")
WAIT_TIMEOUT_S = 12.0
REQUEST_INTERVAL_S = 0.05
# Reads of the lease take this long where they are slow, which is less than the coordinator's
# time-out. A swap's second order follows its first one within the shorter time.
SLOW_READ_S = 0.36
SWAP_ORDERS_S = 0.15
# In this time the step-down is announced and the coordinator has stopped.
STEP_DOWN_S = 0.25


class ManualClock:
    """Return the time that a test has set."""

    def __init__(self, ms: int) -> None:
        self.ms = ms

    def now_ms(self) -> int:
        """Return the time that was set."""
        return self.ms

    def wall_ms(self) -> int:
        """Return the time that was set."""
        return self.ms


class LeaseStore(UnavailableStore):
    """Keep one lease."""

    def __init__(self) -> None:
        self.record: LeaseRecord | None = None
        self.away = False
        # How long a read takes, and when the last one began, on the event loop's clock.
        self.read_s = 0.0
        self.read_began_s = 0.0

    async def read_lease(self) -> LeaseRecord | None:
        """Return the lease."""
        if self.away:
            raise StoreUnavailable("away")
        if self.read_s:
            self.read_began_s = asyncio.get_running_loop().time()
            await asyncio.sleep(self.read_s)
        return self.record

    async def write_lease(self, record: LeaseRecord) -> LeaseRecord:
        """Write the lease if its revision is still the record's."""
        if self.away:
            raise StoreUnavailable("away")
        revision = self.record.revision if self.record else 0
        if record.revision != revision:
            raise VersionConflict("orders", revision)
        self.record = replace(record, revision=revision + 1)
        return self.record


class RecordingEngine(SimulatedEngine):
    """Record the holder and time of each order."""

    def __init__(self, orders: list[tuple[str, float]]) -> None:
        super().__init__(residents={name: set() for name in "abc"})
        self.order_log = orders

    async def order(self, target: TargetRecord, order: EngineOrder) -> OrderOutcome:
        """Record an order and carry it out."""
        self.order_log.append((order.holder, time.monotonic() * 1000))
        return await super().order(target, order)


class TwoInstances:
    """Run two instances whose callers always request a model that isn't loaded."""

    def __init__(self) -> None:
        self.handover_ms = HANDOVER_MS
        self.orders_before_restart = 0
        self.orders_before_step_down = 0
        self.orders: list[tuple[str, float]] = []
        self.store = LeaseStore()
        self.engine = RecordingEngine(self.orders)
        self.states: list[EntryState] = []
        self.elections: list[CoordinatorElection] = []
        self.servers: list[asyncio.Server] = []
        self.tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start both; the first one coordinates."""
        await self._start_one("entry-0")
        await self._until(lambda: bool(self.orders))
        await self._start_one("entry-1")
        await asyncio.sleep(0.5)

    async def hand_over(self) -> None:
        """Make the first instance leave, and wait for orders of the second."""
        self.states[0].leaving = True
        self.elections[0].step_down()
        await self._until(lambda: self.orders[-1][0] == "entry-1")

    async def hand_over_in_swap(self) -> None:
        """Make the first instance leave after an unload, while it reads the lease."""
        self.store.read_s = SLOW_READ_S
        await self._until(self._in_swap_and_read)
        self.orders_before_step_down = len(self.orders)
        await self.hand_over()

    def _in_swap_and_read(self) -> bool:
        """Return whether a swap's second order would come before the read has ended."""
        began_s = self.store.read_began_s
        now_s = asyncio.get_running_loop().time()
        return (
            bool(began_s)
            and now_s < began_s + SLOW_READ_S - SWAP_ORDERS_S
            and self.engine.received[-1].kind is OrderKind.UNLOAD
        )

    async def restart_first(self, pause_s: float) -> None:
        """Stop the first instance and start it again; wait for its orders."""
        self.elections[0].step_down()
        await asyncio.sleep(STEP_DOWN_S)
        for task in self.tasks[:2]:
            task.cancel()
        self.servers[0].close()
        self.orders_before_restart = len(self.orders)
        await asyncio.sleep(pause_s)
        await self._start_one("entry-0")
        await self._until(lambda: len(self.orders) > self.orders_before_restart)

    async def orders_within(self, seconds: float) -> list[str]:
        """Return the holders of the orders given in the next seconds."""
        before = len(self.orders)
        await asyncio.sleep(seconds)
        return [holder for holder, _ in self.orders[before:]]

    def kill_second(self) -> None:
        """End the second instance without a step-down."""
        for task in self.tasks[2:]:
            task.cancel()

    async def stop(self) -> None:
        """Stop both instances."""
        for task in self.tasks:
            task.cancel()
        for server in self.servers:
            server.close()

    async def _start_one(self, instance: str) -> None:
        settings = settings_for(instance, handover_ms=self.handover_ms)
        ports = entry_dependencies(instance, store=self.store, engines=self.engine)
        state = EntryState(settings, ports)
        loads = {"load_s": LOAD_S, "disk_load_s": LOAD_S, "memory_load_s": LOAD_S}
        models = [model_spec(name, **loads) for name in MODELS]
        state.configuration = configuration(engine_spec(models, loads_per_s=0.0))
        state.fleet.update([TargetRecord("engine-0", "service", ("127.0.0.1", 1), "here")], [])
        election = CoordinatorElection(state)
        server = await election.listen()
        election.address = ("127.0.0.1", server.sockets[0].getsockname()[1])
        self.states.append(state)
        self.elections.append(election)
        self.servers.append(server)
        self.tasks.append(asyncio.create_task(election.run()))
        self.tasks.append(asyncio.create_task(self._request_models(state)))

    async def _request_models(self, state: EntryState) -> None:
        while True:
            missing = [name for name in MODELS if name not in self.engine.residents]
            with state.waiting_for(missing[0], ""):
                await asyncio.sleep(REQUEST_INTERVAL_S)

    async def _until(self, condition: Callable[[], bool]) -> None:
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while not condition():
                await asyncio.sleep(0.02)
