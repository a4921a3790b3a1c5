"""Play placement by urgency in virtual time: the decisions alone, and a change of coordinator."""

import asyncio
import contextlib
from collections.abc import Callable
from collections.abc import Iterator
from dataclasses import replace

from harness.direct_engine import SimulatedEngine
from harness.direct_entry import configuration
from harness.direct_entry import engine_spec
from harness.direct_entry import entry_dependencies
from harness.direct_entry import model_spec
from harness.direct_entry import settings_for
from harness.late_order_play import MemoryLink
from harness.recorded_log import RecordedLog
from harness.virtual_time import VirtualClock
from harness.virtual_time import VirtualTimeLoop
from mimosaspur_coordination.fleetports import LeaseRecord
from mimosaspur_coordination.modeldemand import Demand
from mimosaspur_coordination.modelplacement import next_swap
from mimosaspur_coordination.orderlease import OrderLease
from mimosaspur_coordination.placementproblem import EngineSnapshot
from mimosaspur_coordination.placementproblem import PlacementProblem
from mimosaspur_coordination.placementproblem import Swap
from mimosaspur_daemon.direct.configurationexchange import ConfigurationExchange
from mimosaspur_daemon.direct.coordinator import Coordinator
from mimosaspur_daemon.direct.entryreport import build_entry_report
from mimosaspur_daemon.direct.entrystate import EntryState
from mimosaspur_daemon.direct.fleetreport import apply_report
from mimosaspur_protocol.peermessages import FleetReport
from mimosaspur_state.fleet import TargetRecord
from mimosaspur_state.policy import policy_without
from mimosaspur_state.routes import Route
from mimosaspur_transport.peerlink import PeerLost

PLACES = 3
STEP_MS = 50
RESIDENCE_MS = 700
URGENT = Demand(fast_tokens=2_000.0, slow_tokens=2_000.0, objective_ms=500.0)
PATIENT_OBJECTIVE_MS = 12_000.0
INTERVAL_S = 0.05
TIMEOUT_S = 20.0


class BurstPlay:
    """Decide and carry out loads over time, with steady urgent demand and patient callers."""

    def __init__(self, engines: int, urgent: int, patient: int, *, repeated: bool) -> None:
        self.urgent = [f"u{n}" for n in range(urgent)]
        self.patient = [f"p{n}" for n in range(patient)]
        idle = [f"i{n}" for n in range(engines * PLACES - urgent)]
        held = [*self.urgent, *idle]
        names = [*held, *self.patient]
        self.spec = engine_spec([model_spec(name) for name in names], loads_per_s=0.0)
        self.engines = [
            EngineSnapshot(
                f"e{n}", dict.fromkeys(held[n::engines], 0), 0, on_disk=tuple(self.patient)
            )
            for n in range(engines)
        ]
        self.repeated = repeated
        self.since_ms = dict.fromkeys(self.patient, 0)
        self.loaded_ms: dict[str, int] = {}
        self.unloaded: set[str] = set()
        self.loads: list[str] = []
        self.longest_wait_ms = 0
        self.max_loading = 0

    def run(self, duration_ms: int) -> None:
        """Decide on loads and carry them out."""
        for now_ms in range(0, duration_ms, STEP_MS):
            for engine in self.engines:
                self._advance(engine, now_ms)
            while swap := next_swap(self._problem(now_ms)):
                self._start(swap)
            loading = sum(bool(engine.loading) for engine in self.engines)
            self.max_loading = max(self.max_loading, loading)

    def _problem(self, now_ms: int) -> PlacementProblem:
        demand = dict.fromkeys(self.urgent, URGENT)
        for model, since_ms in self.since_ms.items():
            wait_ms = now_ms - since_ms
            demand[model] = Demand(
                waiting=1 if model == self.patient[0] else 9,
                waiting_ms=wait_ms,
                objective_ms=PATIENT_OBJECTIVE_MS,
            )
            self.longest_wait_ms = max(self.longest_wait_ms, wait_ms)
        return PlacementProblem(self.spec, self.engines, demand, by_urgency=True)

    def _start(self, swap: Swap) -> None:
        engine = next(each for each in self.engines if each.identity == swap.identity)
        for victim in swap.victims:
            del engine.residents[victim]
            self.unloaded.add(victim)
        engine.loading, engine.free_in_ms = swap.model, swap.load_ms
        self.loads.append(swap.model)

    def _advance(self, engine: EngineSnapshot, now_ms: int) -> None:
        if engine.loading:
            engine.free_in_ms -= STEP_MS
            if engine.free_in_ms <= 0:
                self._finish(engine, now_ms)
        engine.recent = frozenset(
            name
            for name in engine.residents
            if now_ms - self.loaded_ms.get(name, -RESIDENCE_MS) < RESIDENCE_MS
        )

    def _finish(self, engine: EngineSnapshot, now_ms: int) -> None:
        model, engine.loading, engine.free_in_ms = engine.loading, "", 0
        engine.residents[model] = 0
        self.loaded_ms[model] = now_ms
        self.since_ms.pop(model, None)
        if self.repeated:
            # Its callers come again once it has made room for another model.
            for each in self.patient:
                held = any(each in (*one.residents, one.loading) for one in self.engines)
                if not held:
                    self.since_ms.setdefault(each, now_ms)


class TakeoverPlay:
    """Run entries whose coordinator is replaced, if asked, while it loads the first model."""

    def __init__(self, loop: VirtualTimeLoop, *, takeover: bool = False, off: str = "") -> None:
        self.takeover = takeover
        self.policy = policy_without(off)
        # What the callers' entry was told 300 ms after the requests, and without a coordinator.
        self.told: dict[str, int] = {}
        self.told_alone: dict[str, int] | None = None
        self.clock = VirtualClock(loop)
        self.engine = SimulatedEngine(residents={"a": set(), "c": set(), "d": set()}, load_s=1.0)
        self.logs: list[RecordedLog] = []
        self.entries = [self._new_entry(number) for number in range(3)]
        self.tasks: list[asyncio.Task[None]] = []

    async def run(self, *, loads: int) -> list[tuple[object, ...]]:
        """Return what was loaded first, what was unloaded for it, and why."""
        term = self._begin_term(0, predecessor="")
        demand = asyncio.create_task(self._demand())
        await asyncio.sleep(2.0)
        with self._waiting("e", urgent=True):
            await self._until(lambda: len(self._loads()) == 1)
        with self._waiting("g", urgent=False):
            self.entries[2].record_rejection(self._route(urgent=True), None, "service", "h")
            await asyncio.sleep(0.3)
            self.told = _forecast(self.entries[2])
            if self.takeover:
                for task in term:
                    task.cancel()
                self.entries[0].coordinating = False
                self.entries[0].on_coordinator_lost()
                await asyncio.sleep(0.05)
                self.told_alone = _forecast(self.entries[2])
                self._begin_term(1, predecessor="entry-0")
            await self._until(lambda: len(self._loads()) == loads)
        demand.cancel()
        return self._loads()

    def _loads(self) -> list[tuple[object, ...]]:
        lines = [line for log in self.logs for line in log.of_kind("swap")]
        return [(each["model"], each["victims"], each["urgency"]) for each in lines]

    def _new_entry(self, number: int) -> EntryState:
        instance = f"entry-{number}"
        self.logs.append(RecordedLog(instance))
        ports = entry_dependencies(
            instance, clock=self.clock, engines=self.engine, log=self.logs[-1]
        )
        state = EntryState(replace(settings_for(instance), policy=self.policy), ports)
        loads = {"load_s": 1.0, "disk_load_s": 1.0, "memory_load_s": 1.0}
        models = [model_spec(name, **loads) for name in "abcdefgh"]
        base = configuration(engine_spec(models, loads_per_s=0.0))
        patient = replace(base.routes[0], objective_ms=6_000, timeout_ms=12_000)
        urgent = replace(base.routes[1], timeout_ms=12_000)
        state.configuration = replace(base, routes=(urgent, patient))
        state.fleet.update([TargetRecord("engine-0", "service", ("127.0.0.1", 1), "here")], [])
        return state

    def _route(self, *, urgent: bool) -> Route:
        configuration = self.entries[0].configuration
        assert configuration
        return configuration.routes[0 if urgent else 1]

    @contextlib.contextmanager
    def _waiting(self, model: str, *, urgent: bool) -> Iterator[None]:
        state = self.entries[2]
        request = state.unmet_request(self._route(urgent=urgent), None, "service", model)
        with state.waiting_for(model, "", request):
            yield

    async def _demand(self) -> None:
        while True:
            for model, urgent, tokens in (("a", True, 50), ("c", False, 50), ("d", False, 200)):
                self._record(model, tokens, urgent=urgent)
            if "e" in self.engine.residents:
                self._record("e", 50, urgent=True)
            await asyncio.sleep(INTERVAL_S)

    def _record(self, model: str, tokens: int, *, urgent: bool) -> None:
        objective_ms = self._route(urgent=urgent).objective_ms
        self.entries[2].record_demand(model, "", tokens=tokens, objective_ms=objective_ms)

    def _begin_term(self, number: int, *, predecessor: str) -> list[asyncio.Task[None]]:
        state = self.entries[number]
        lease = OrderLease(state.settings.instance, handover_ms=100, clock=self.clock)
        record = LeaseRecord(state.settings.instance, ("127.0.0.1", 1), number + 1, 1)
        lease.acquire(record, asked_ms=self.clock.now_ms(), predecessor=predecessor)
        lease.confirmed_ms = self.clock.now_ms() + 60_000
        state.coordinating = True
        coordinator = Coordinator(state, lease, ConfigurationExchange(state))
        own, other = MemoryLink.pair()
        work = [
            coordinator.run(),
            coordinator.serve_member(own),
            self._follow(self.entries[2], other),
        ]
        tasks = [asyncio.create_task(each) for each in work]
        self.tasks += tasks
        return tasks

    async def _follow(self, state: EntryState, link: MemoryLink) -> None:
        state.unmet.report_all()
        state.outstanding_loads.report_all()
        reporting = asyncio.create_task(self._report(state, link))
        try:
            with contextlib.suppress(PeerLost):
                while True:
                    message = await link.receive(timeout_ms=5_000)
                    if isinstance(message, FleetReport):
                        apply_report(state, message)
        finally:
            reporting.cancel()
            state.on_coordinator_lost()

    async def _report(self, state: EntryState, link: MemoryLink) -> None:
        while True:
            link.send(build_entry_report(state))
            await asyncio.sleep(INTERVAL_S)

    async def _until(self, condition: Callable[[], bool]) -> None:
        async with asyncio.timeout(TIMEOUT_S):
            while not condition():
                await asyncio.sleep(0.01)


def _forecast(entry: EntryState) -> dict[str, int]:
    """Return the forecast that an entry was sent."""
    return {name: each.ready_in_ms for name, each in entry.load_outlook.forecasts.items()}
