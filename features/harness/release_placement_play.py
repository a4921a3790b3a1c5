"""Play a release of a share of a service's engines in virtual time, with streams that break off."""

import asyncio
import contextlib
from dataclasses import replace

from harness.direct_engine import EnginePorts
from harness.direct_engine import SimulatedEngine
from harness.direct_entry import configuration
from harness.direct_entry import engine_spec
from harness.direct_entry import entry_dependencies
from harness.direct_entry import model_spec
from harness.direct_entry import settings_for
from harness.recorded_log import RecordedLog
from harness.virtual_time import VirtualClock
from harness.virtual_time import VirtualTimeLoop
from mimosaspur_coordination.fleetports import LeaseRecord
from mimosaspur_coordination.fleetview import Prompt
from mimosaspur_coordination.orderlease import OrderLease
from mimosaspur_daemon.direct.configurationexchange import ConfigurationExchange
from mimosaspur_daemon.direct.coordinator import Coordinator
from mimosaspur_daemon.direct.entryreport import build_entry_report
from mimosaspur_daemon.direct.entrystate import EntryState
from mimosaspur_daemon.direct.streamcontinuation import StreamContinuation
from mimosaspur_daemon.direct.targetchooser import TargetChooser
from mimosaspur_state.fleet import TargetRecord

OLD, NEW = "v1", "v2"
PLACES = 3
LOAD_S = 1.0
TIMEOUT_MS = 15_000
INTERVAL_S = 0.05
# The new engines register, and the old ones say that they leave.
RELEASE_S = 2.0
# The old engines that leave are gone.
GONE_S = 4.0
END_S = 14.0
STREAMS_PER_MODEL = 4
# A caller takes its stream up again this often, up to this long after it was broken off.
RETRY_S = 0.5
RETRY_LIMIT_S = 5.0
# A new stream has begun in time within this.
BEGIN_LIMIT_S = 2.0


class ReleasePlay:
    """Release engines beside requests for all models, and count the streams that go on."""

    def __init__(self, loop: VirtualTimeLoop, *, engines: int, released: int) -> None:
        self.clock = VirtualClock(loop)
        self.engines: dict[str, SimulatedEngine] = {}
        self.log = RecordedLog("entry")
        count = engines * PLACES
        self.names = [f"m{number}" for number in range(count)]
        # Every second model is in use, so that each engine has room that little is lost by.
        self.used = self.names[::2]
        self.released = [f"old-{number}" for number in range(released)]
        self.records: dict[str, TargetRecord] = {}
        for number in range(engines):
            held = self.names[number::engines]
            self._add(f"old-{number}", OLD, held)
        ports = entry_dependencies(
            "entry", clock=self.clock, engines=EnginePorts(self.engines), log=self.log
        )
        self.state = EntryState(settings_for("entry"), ports)
        seconds = {"load_s": LOAD_S, "disk_load_s": LOAD_S, "memory_load_s": LOAD_S}
        models = [model_spec(name, **seconds) for name in self.names]
        base = configuration(engine_spec(models, loads_per_s=0.0))
        routes = tuple(replace(each, timeout_ms=TIMEOUT_MS) for each in base.routes)
        self.state.configuration = replace(base, routes=routes)
        self.state.fleet.update(list(self.records.values()), [])
        self.coordinator = self._coordinator()
        # By model in use, the engines that held it as its streams began.
        self.holders: dict[str, list[str]] = {}
        self.broken = self.went_on = self.asked = self.began = 0
        self.tasks: list[asyncio.Task[None]] = []

    async def run(self) -> None:
        """Release the engines; count what goes on, and what begins."""
        work = [self.coordinator.run(), self._report(), self._ask()]
        self.tasks += [asyncio.create_task(each) for each in work]
        await asyncio.sleep(RELEASE_S)
        self._start_streams()
        await asyncio.sleep(INTERVAL_S * 2)
        for number, identity in enumerate(self.released):
            self._add(f"new-{number}", NEW, [])
            self.records[identity] = replace(self.records[identity], leaving=True)
        self.state.fleet.update(list(self.records.values()), [])
        leaving = [name for name, held in self.holders.items() if held[0] in self.released]
        # Connections are reset as the engines begin to leave, and the rest ends with them.
        self._break_streams(leaving, STREAMS_PER_MODEL // 2)
        await asyncio.sleep(GONE_S - RELEASE_S)
        self._break_streams(leaving, STREAMS_PER_MODEL - STREAMS_PER_MODEL // 2)
        for identity in self.released:
            del self.records[identity]
        self.state.fleet.update([], self.released)
        await asyncio.sleep(END_S - GONE_S)

    def loads(self) -> int:
        """Return the number of loads that were ordered."""
        return len(self.log.of_kind("swap"))

    def _add(self, identity: str, version: str, models: list[str]) -> None:
        residents: dict[str, set[str]] = {name: set() for name in models}
        self.engines[identity] = SimulatedEngine(residents=residents, load_s=LOAD_S)
        self.records[identity] = TargetRecord(
            identity, "service", ("127.0.0.1", 1), "here", slots=64, version=version
        )

    def _coordinator(self) -> Coordinator:
        lease = OrderLease("entry", handover_ms=100, clock=self.clock)
        lease.acquire(
            LeaseRecord("entry", ("127.0.0.1", 1), 1, 1),
            asked_ms=self.clock.now_ms(),
            predecessor="",
        )
        lease.confirmed_ms = self.clock.now_ms() + 60_000
        self.state.coordinating = True
        return Coordinator(self.state, lease, ConfigurationExchange(self.state))

    async def _report(self) -> None:
        while True:
            self.coordinator.apply_local_report(build_entry_report(self.state))
            await asyncio.sleep(INTERVAL_S)

    async def _ask(self) -> None:
        """Ask for each model in use in turn, all within a second."""
        while True:
            for name in self.used:
                self.tasks.append(asyncio.create_task(self._begin(name)))
                await asyncio.sleep(1.0 / len(self.used))

    async def _begin(self, name: str) -> None:
        self.asked += 1
        self.state.record_demand(name, "", tokens=400, objective_ms=300)
        held = bool(self._holders(name))
        with contextlib.nullcontext() if held else self.state.waiting_for(name, ""):
            for _ in range(round(BEGIN_LIMIT_S / INTERVAL_S)):
                if self._holders(name):
                    self.began += 1
                    return
                await asyncio.sleep(INTERVAL_S)

    def _holders(self, name: str, version: str = "") -> list[str]:
        controllers = self.coordinator.engines.controllers
        return [
            identity
            for identity, record in self.records.items()
            if not record.leaving
            and version in ("", record.version)
            and name in self.engines[identity].residents
            and not (identity in controllers and name in controllers[identity].unloading)
        ]

    def _old_holders(self, name: str) -> list[str]:
        return self._holders(name, OLD)

    def _start_streams(self) -> None:
        self.holders = {name: self._old_holders(name) for name in self.used}
        for name, held in self.holders.items():
            for _ in range(STREAMS_PER_MODEL):
                self.state.fleet.targets[held[0]].on_sent(Prompt(name), rank=0)

    def _break_streams(self, names: list[str], count: int) -> None:
        for name in names:
            view = self.state.fleet.targets[self.holders[name][0]]
            for _ in range(count):
                view.on_end(Prompt(name))
                self.tasks.append(asyncio.create_task(self._take_up(name)))

    async def _take_up(self, name: str) -> None:
        self.broken += 1
        for _ in range(round(RETRY_LIMIT_S / RETRY_S) + 1):
            if self._old_holders(name):
                self.went_on += 1
                return
            await asyncio.sleep(RETRY_S)


def stream_chooser(loop: VirtualTimeLoop, *, version: str, load_ms: int) -> TargetChooser:
    """Return the chooser for a stream of the old version, whose model only a new engine holds.

    The coordinator has told of a load at a version, or that it has just ended.
    """
    ports = entry_dependencies("entry", clock=VirtualClock(loop))
    state = EntryState(settings_for("entry"), ports)
    spec = engine_spec([model_spec("m")])
    state.configuration = configuration(spec)
    records = [
        TargetRecord(name, "service", ("127.0.0.1", 1), "here", slots=64, version=name)
        for name in (OLD, NEW)
    ]
    state.fleet.update(records, [])
    state.fleet.set_residents(NEW, {"m": frozenset()}, frozenset())
    if not load_ms:
        state.fleet.set_residents(version, {"m": frozenset()}, frozenset())
    by_version = {"m": {version: load_ms}} if load_ms else {}
    state.load_outlook.on_update({"m": load_ms}, {}, by_version=by_version)
    route = next(each for each in state.configuration.routes if each.resumable)
    continuation = StreamContinuation(
        state.stream_versions, [], ports.dialect, route=route, service="service"
    )
    continuation.version = OLD
    return TargetChooser(
        state,
        route,
        "service",
        state.configuration.services["service"],
        Prompt("m"),
        continuation=continuation,
        request="r",
        workspace=None,
        arrived_s=loop.time(),
        deadline_s=loop.time() + TIMEOUT_MS / 1000,
    )
