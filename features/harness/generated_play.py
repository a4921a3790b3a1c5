"""Play a plan of silences against an entry in virtual time, and record what came of it."""

import asyncio
import functools
import math
import os
import random
from dataclasses import replace
from unittest.mock import patch

from harness import direct_entry
from harness.direct_entry import entry_dependencies
from harness.direct_entry import read_response
from harness.direct_entry import request_bytes
from harness.direct_entry import settings_for
from harness.generated_plans import REQUEST_OFFSET_MS
from harness.generated_plans import STEP_MS
from harness.generated_plans import TIMEOUTS_MS
from harness.generated_plans import Change
from harness.generated_plans import Kind
from harness.generated_plans import Plan
from harness.generated_plans import RequestPlan
from harness.generated_plans import TargetPlan
from harness.generated_plans import What
from harness.generated_records import Call
from harness.generated_records import Played
from harness.generated_records import Sent
from harness.memory_network import MemoryLoop
from harness.memory_network import MemoryTransport
from harness.planned_target import REGISTRATION_S
from harness.planned_target import PlannedTarget
from harness.share_leases import held_share
from harness.virtual_time import VirtualClock
from harness.virtual_time import run_in_virtual_time
from mimosaspur_coordination.fleetview import TargetView
from mimosaspur_coordination.limits.retrywindow import USED_SHARE
from mimosaspur_daemon.direct.application import EntryApplication
from mimosaspur_state.clock import BoottimeClock
from mimosaspur_state.directsettings import RetryBounds
from mimosaspur_state.eventlog import EventLog
from mimosaspur_state.fleet import TargetRecord
from mimosaspur_state.routes import Configuration
from mimosaspur_state.routes import Route
from mimosaspur_state.routes import ServiceSpec

ENTRY = "entry-0"
SEED = 1
MODEL = "m"
SERVICES = ("service", "other")
# Only the last of four targets is of the other service.
OTHER_TARGET = 3
WEIGHTS = ((1.0, 1.0), (0.0, 1.0), (1.0, 0.0))
IDLE_MS = (15_000, 50)
# The headers of an answer whose end is marked.
MARKS = {"content-length", "transfer-encoding"}
# No repeat leaves the window during a play.
WINDOW_MS = 600_000
# After its time limit, a request that hasn't ended hangs.
GRACE_S = 1.0
# By then probes have ended, and what was left behind is closed.
SETTLE_S = 2.0


class RecordingLog(EventLog):
    """Keep the entry's events."""

    __slots__ = ("lines", "loop")

    def __init__(self, loop: MemoryLoop) -> None:
        super().__init__(ENTRY, clock=VirtualClock(loop), fd=_null_descriptor())
        self.loop = loop
        self.lines: list[tuple[float, str, dict[str, object]]] = []

    def write(self, kind: str, /, **fields: object) -> None:
        """Keep an event."""
        self.lines.append((self.loop.time(), kind, fields))

    def always(self, kind: str, /, **fields: object) -> None:
        """Keep an event."""
        self.write(kind, **fields)


class SilencePlay:
    """Run an entry, its targets and its callers as planned."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.loop = MemoryLoop()
        self.clock = VirtualClock(self.loop)
        self.played = Played(plan)
        self.records: dict[str, TargetRecord] = {}
        self.views: list[TargetView] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self.began_s = self.loop.time()
        self.log = RecordingLog(self.loop)
        self.application = self._new_application()
        self.state = self.application.state
        self.full = self._configuration()

    def play(self) -> Played:
        """Play the plan; return the records."""
        # An entry's choices are in part random.
        random.seed(SEED)
        with patch.object(BoottimeClock, "now_ms", lambda _: self.clock.now_ms()):
            run_in_virtual_time(self._play(), self.loop)
        self.played.log = self.log.lines
        return self.played

    def _new_application(self) -> EntryApplication:
        # The window allows this share of its bound.
        slack = self.plan.repeats / USED_SHARE
        retries = RetryBounds(ratio=0.0, window_ms=WINDOW_MS, slack=slack)
        settings = replace(settings_for(ENTRY), retries=retries)
        dependencies = entry_dependencies(ENTRY, clock=self.clock, log=self.log)
        application = EntryApplication(settings, dependencies)
        application.state.retry_share = held_share(WINDOW_MS, sharers=1, clock=self.clock)
        application.state.staying_entries = int(self.plan.other_entry)
        application.state.targets_known = True
        return application

    def _configuration(self) -> Configuration:
        engine = None
        if self.plan.engines:
            engine = direct_entry.engine_spec([direct_entry.model_spec(MODEL)])
        base = direct_entry.configuration(engine)
        routes = tuple(
            replace(
                route,
                services=tuple(zip(SERVICES, (1.0, 0.0), strict=True)),
                timeout_ms=self.plan.timeout_ms,
                max_attempts=self.plan.max_attempts,
            )
            for route in base.routes
        )
        services = {name: ServiceSpec(name, "/health", 100, engine) for name in SERVICES}
        return replace(base, routes=routes, services=services)

    async def _play(self) -> None:
        self.state.apply_configuration(self.full, source="play")
        for number, planned in enumerate(self.plan.targets):
            await self._add_target(self._new_target(number, planned))
        await self.application.callers.listen()
        timers = [
            self.loop.call_later(self._left_s(change.step * STEP_MS), self._apply, change)
            for change in self.plan.changes
        ]
        calls = [
            asyncio.create_task(self._call(number, each))
            for number, each in enumerate(self.plan.requests)
        ]
        await asyncio.gather(*calls)
        for timer in timers:
            timer.cancel()
        if self.tasks:
            await asyncio.wait(self.tasks)
        await asyncio.sleep(SETTLE_S)
        self._record_end()
        for target in self.played.targets:
            target.stop()

    def _new_target(self, number: int, planned: TargetPlan) -> PlannedTarget:
        return PlannedTarget(f"t-{number}", planned, self.loop, framed=self.plan.framed)

    async def _add_target(self, target: PlannedTarget) -> None:
        number = len(self.played.targets)
        residents = {MODEL: frozenset[str]()} if self.plan.engines else None
        self.records[target.name] = TargetRecord(
            target.name,
            SERVICES[number == OTHER_TARGET],
            await target.start(),
            direct_entry.DOMAIN,
            slots=4,
            residents=residents,
        )
        self.played.targets.append(target)
        self._register(target)

    def _register(self, target: PlannedTarget) -> None:
        if not target.is_crashed():
            self.state.on_targets_changed(self.state.fleet.update([self.records[target.name]], []))
            self.views.append(self.state.fleet.targets[target.name])

    def _left_s(self, offset_ms: int) -> float:
        return self.began_s + offset_ms / 1000 - self.loop.time()

    async def _call(self, number: int, planned: RequestPlan) -> None:
        await asyncio.sleep(self._left_s(planned.step * STEP_MS + REQUEST_OFFSET_MS))
        call = Call(planned, f"r-{number}", self.loop.time(), self._limit_s(planned.kind))
        self.played.calls.append(call)
        assert self.application.callers.server
        address = self.application.callers.server.sockets[0].getsockname()
        try:
            reader, writer = await asyncio.open_connection(*address)
        except ConnectionRefusedError:
            call.ended_s = self.loop.time()
            return
        call.read = True
        headers = {"X-Request-Id": call.identity}
        if self.plan.engines:
            headers |= {"X-Model": MODEL, "X-Token-Counts": "100,20"}
        writer.write(request_bytes(planned.kind.value, headers, body=call.identity.encode()))
        leaves_s = call.sent_s + planned.leaves_ms / 1000 if planned.leaves_ms else math.inf
        try:
            async with asyncio.timeout_at(min(leaves_s, call.limit_s + GRACE_S)):
                response = await read_response(reader)
                call.status, call.body = response.status, response.body
                call.whole = response.whole
                call.marked = bool(MARKS & {name.lower() for name in response.headers})
        except TimeoutError:
            call.left = leaves_s < call.limit_s + GRACE_S
            call.hangs = not call.left
        call.ended_s = self.loop.time()
        writer.close()

    def _limit_s(self, kind: Kind) -> float:
        configuration = self.state.configuration
        routes = configuration.routes if configuration else ()
        limits_ms = [each.timeout_ms for each in routes if each.name == kind.value]
        return self.loop.time() + max(limits_ms, default=0) / 1000

    def _apply(self, change: Change) -> None:
        target = self.played.targets[change.number % len(self.played.targets)]
        match change.what:
            case What.SILENCE:
                until_s = self.loop.time() + change.ms / 1000
                target.silent_until_s = max(target.silent_until_s, until_s)
            case What.DARK:
                target.silent_until_s = float("inf")
            case What.CRASH_CLOSED | What.CRASH_RESET:
                target.crash(reset=change.what is What.CRASH_RESET)
                self.loop.call_later(REGISTRATION_S, self._remove, target)
            case What.LAPSE:
                self._remove(target)
                self.loop.call_later(change.ms / 1000, self._register, target)
            case What.STOP:
                if not self.state.leaving:
                    self.tasks.add(self.loop.create_task(self.application._stop()))
            case _:
                self._configure(change)

    def _remove(self, target: PlannedTarget) -> None:
        self.state.on_targets_changed(self.state.fleet.update([], [target.name]))

    def _configure(self, change: Change) -> None:
        current = self.state.configuration
        assert current
        routes: tuple[Route, ...] = current.routes
        limits = current.limits
        number = change.number
        match change.what:
            case What.TIMEOUT:
                timeout_ms = TIMEOUTS_MS[number % len(TIMEOUTS_MS)]
                routes = tuple(replace(each, timeout_ms=timeout_ms) for each in routes)
            case What.WEIGHTS:
                services = tuple(zip(SERVICES, WEIGHTS[number % len(WEIGHTS)], strict=True))
                routes = tuple(replace(each, services=services) for each in routes)
            case What.REMOVE_ROUTE:
                routes = tuple(each for each in routes if each != routes[number % len(routes)])
            case What.ADD_ROUTES:
                routes = self.full.routes
            case _:
                limits = replace(limits, idle_timeout_ms=IDLE_MS[1 - number % len(IDLE_MS)])
        newest = replace(current, version=current.version + 1, routes=routes, limits=limits)
        self.state.apply_configuration(newest, source="play")

    def _record_end(self) -> None:
        played, state = self.played, self.state
        addresses = {
            target.server.sockets[0].getsockname(): target
            for target in played.targets
            if target.server
        }
        for client in self.loop.clients:
            target = addresses.get(client.socket.address)
            if target:
                played.sent += [
                    Sent(at_s, _request_id(data), target) for at_s, data in client.written
                ]
        # Only requests that are under way at the deadline are ended by a stop.
        played.stopped_s = state.shutdown_deadline_s
        played.spent = sum(len(each.repeats) for each in state.retry_windows.values())
        played.leftovers = self._leftovers(addresses)

    def _leftovers(self, addresses: dict[tuple[str, int], PlannedTarget]) -> list[str]:
        state = self.state
        own = {task for target in self.played.targets for task in target.tasks}
        own.add(asyncio.current_task())  # type: ignore[arg-type]
        idle = sum(len(pool.idle) for pool in state.pools.values())
        counts = {
            "tasks": [task for task in asyncio.all_tasks(self.loop) if task not in own],
            "work": [view.own_work for view in self.views if _has_work(view)],
            "pools": [p.open_count for p in state.pools.values() if p.open_count != len(p.idle)],
            "connections": _open_count(self.loop.clients, addresses) - idle,
            "waiting for permits": state.notices.holder.waiters,
            "waiting for a model": state.waiting,
            "at targets": state.quarantine.at_targets,
            "under way": self.application.callers.handlers or state.quarantine.handlers,
            "callers": self.application.callers.connections,
        }
        return [f"{name}: {held}" for name, held in counts.items() if held]


def _has_work(view: TargetView) -> bool:
    work = view.own_work
    prefill = any(abs(tokens) > 1e-6 for tokens in work.prefill_tokens.values())
    return bool(work.requests or work.held_tokens or work.by_model or prefill)


def _open_count(
    clients: list[MemoryTransport], addresses: dict[tuple[str, int], PlannedTarget]
) -> int:
    return sum(not each.closing and each.socket.address in addresses for each in clients)


def _request_id(data: bytes) -> str:
    """Return the ID of a request as the entry has written it."""
    _, _, rest = data.lower().partition(b"x-request-id: ")
    return rest.partition(b"\r\n")[0].decode()


@functools.cache
def _null_descriptor() -> int:
    return os.open(os.devnull, os.O_WRONLY)
