"""Run what a soak needs: the store, targets, entries and their configuration."""

import asyncio
import contextlib
import itertools
import random
from pathlib import Path
from typing import Any

from harness.entry_processes import POLL_S
from harness.entry_processes import READY_TIMEOUT_S
from harness.entry_processes import loopback_address
from harness.entry_site import HOST
from mimosaspur_load.processes import Processes
from soak.callers import ROUTES
from soak.callers import Callers
from soak.callers import route_prefix
from soak.engines import MODELS
from soak.engines import SoakEngine
from soak.engines import engine_specification
from soak.network import RelayProcess
from soak.odd import odd_registration
from soak.processes import SoakEntry
from soak.record import STORE
from soak.record import Disturbance
from soak.record import Kind
from soak.record import Record
from soak.record import TargetLife
from soak.schedule import Schedule
from soak.store import SoakStore
from soak.targets import CALM
from soak.targets import EDGE
from soak.targets import ENGINES
from soak.targets import STREAMS
from soak.targets import SoakTarget

SERVERS = "servers"
FIRST_TARGETS = ((CALM, 3), (EDGE, 3), (STREAMS, 3), (ENGINES, 2))
FIRST_VERSION = 1
TIMEOUT_MS = 10_000
SETTLE_S = 2.0
END_S = 3.0
# What a configuration changes.
IDLE_TIMEOUTS_MS = (15_000, 8_000)
OBJECTIVES_MS = (800, 600, 1_000)


class SoakSite:
    """Own the parts of one soak, and end them."""

    def __init__(self, schedule: Schedule, processes: Processes, folder: Path) -> None:
        self.schedule = schedule
        self.processes = processes
        self.folder = folder
        self.chance = random.Random(schedule.seed)
        self.record = Record()
        self.store = SoakStore(era="1")
        self.network = RelayProcess()
        self.entries: list[SoakEntry] = []
        self.callers = Callers(self.entries, self.record, random.Random(schedule.seed + 1))
        self.targets: list[SoakTarget] = []
        # Those that drain, which the faults leave alone.
        self.draining: list[SoakTarget] = []
        self.numbers = itertools.count(1)
        self.configurations = itertools.count(1)
        self.software = FIRST_VERSION
        self.configuration: dict[str, Any] = {}

    @property
    def now_s(self) -> float:
        """Return the time of the record, which is also that of the entries' logs."""
        return asyncio.get_running_loop().time()

    async def start(self) -> None:
        """Start everything; wait until the entries serve and one coordinates."""
        await self.network.start(await self.store.start())
        self.configure()
        for service, count in FIRST_TARGETS:
            for _ in range(count):
                await self.add_target(service, self.software)
        for number in range(self.schedule.entries):
            chance = random.Random(f"{self.schedule.seed} {number}")
            address = await self.network.add(f"entry-{number}", loopback_address(number))
            entry = SoakEntry(self.processes, self.folder, number, address, self.record, chance)
            entry.start()
            self.entries.append(entry)
        for entry in self.entries:
            await entry.wait_until_ready()
            entry.ready = True
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not any(entry.coordinates() for entry in self.entries):
                await asyncio.sleep(POLL_S)
        await asyncio.sleep(SETTLE_S)

    def stop(self) -> None:
        """End the targets; the processes end with their owner."""
        for entry in self.entries:
            entry.stopping = True
        for target in self.targets:
            target.stop()
        self.network.stop()
        if self.store.server:
            self.store.server.close()

    def configure(self) -> None:
        """Write the next configuration."""
        number = next(self.configurations)
        self.configuration = _configuration(number)
        self.store.put("config", "main", self.configuration)
        self.record.configured_s.append(self.now_s)

    async def add_target(self, service: str, software: int) -> SoakTarget:
        """Start and register a target."""
        name = f"{service}-{next(self.numbers)}"
        version = f"v{software}"
        chance = random.Random(f"{self.schedule.seed} {name}")
        simulate = SoakEngine if service == ENGINES else SoakTarget
        target = simulate(name, service, version, self.record, chance)
        if isinstance(target, SoakEngine):
            # What is missing has to be ordered.
            target.models = list(MODELS[: 1 + len(self.targets) % 2])
        await target.start()
        target.life = TargetLife(name, service, version, self.now_s)
        self.record.targets.append(target.life)
        self.targets.append(target)
        self.store.put(SERVERS, name, target.registration())
        return target

    async def drain_target(
        self, target: SoakTarget, seconds: float, *, reports: bool = True
    ) -> None:
        """Let a target drain, end it when its requests have ended, and remove it.

        One that doesn't report it leaves the store at once, and serves on for that time.
        """
        if target not in self.targets:
            return
        self.targets.remove(target)
        if reports:
            self.draining.append(target)
            self.store.put(SERVERS, target.identity, target.registration("draining"))
        else:
            self.unregister(target)
        assert target.life
        target.life.draining_s = self.now_s
        await asyncio.sleep(seconds)
        if reports:
            self.draining.remove(target)
            self.unregister(target)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(END_S):
                while target.running:
                    await asyncio.sleep(POLL_S)
        self.end_target(target)

    def unregister(self, target: SoakTarget) -> None:
        """Remove a target from the store, if a restore hasn't."""
        if target.identity in self.store.objects[SERVERS]:
            self.store.delete(SERVERS, target.identity)

    async def put_odd(self, pick: float, seconds: float) -> None:
        """Let another writer's entry stand among the registrations for a time."""
        name = f"odd-{next(self.numbers)}"
        self.store.put(SERVERS, name, odd_registration(pick, f"v{self.software}"))
        await asyncio.sleep(seconds)
        # A restore of the store has removed it.
        if name in self.store.objects[SERVERS]:
            self.store.delete(SERVERS, name)

    def end_target(self, target: SoakTarget) -> None:
        """End a target at once; its requests break off."""
        assert target.life
        target.life.end_s = self.now_s
        target.crash()

    def write_again(self) -> None:
        """Write what operator and targets had written, as after a restore of the store."""
        self.store.put("config", "main", self.configuration)
        states = {"ready": self.targets, "draining": self.draining}
        known = {target.identity for targets in states.values() for target in targets}
        for name in set(self.store.objects[SERVERS]) - known:
            self.store.delete(SERVERS, name)
        for state, targets in states.items():
            for target in targets:
                self.store.put(SERVERS, target.identity, target.registration(state))

    def disturb_store(self, kind: str) -> Disturbance:
        """Record a fault of the store, open until its end is set."""
        disturbance = Disturbance(kind, STORE, self.now_s)
        self.record.disturbances.append(disturbance)
        return disturbance


def _configuration(number: int) -> dict[str, Any]:
    services = dict.fromkeys(service for _, service, _ in ROUTES)
    routes = [_route(kind, service, attempts, number) for kind, service, attempts in ROUTES]
    idle_ms = IDLE_TIMEOUTS_MS[number % len(IDLE_TIMEOUTS_MS)]
    return {
        "version": number * 3,
        "routes": routes,
        "services": [_service(name) for name in services],
        "limits": {"idle_timeout_ms": idle_ms, "header_timeout_ms": 3_000},
    }


def _service(name: str) -> dict[str, Any]:
    service = {"name": name, "connection_limit": 900, "health_check_path": "/health"}
    return service | ({"engine": engine_specification()} if name == ENGINES else {})


def _route(kind: Kind, service: str, max_attempts: int, number: int) -> dict[str, Any]:
    prefix = route_prefix(kind, service, max_attempts)
    return {
        "name": prefix.strip("/"),
        "hostname": HOST,
        "path_prefix": prefix,
        "route_kind": "streaming" if kind.is_stream else kind.value,
        "timeout_ms": TIMEOUT_MS,
        "target_latency_ms": OBJECTIVES_MS[number % len(OBJECTIVES_MS)],
        "gap_aim_ms": 400,
        "resumable": kind is Kind.RESUMABLE,
        "service": service,
        "max_attempts": max_attempts,
    }
