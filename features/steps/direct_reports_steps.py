"""Steps for the reports of engines that are silent for a moment, or gone."""

import asyncio
from dataclasses import replace

from behave import given
from behave import then
from behave import when
from behave.runner import Context

from harness.direct_entry import DOMAIN
from harness.direct_entry import DirectEntry
from harness.direct_entry import engine_spec
from harness.direct_entry import model_spec
from harness.direct_entry import null_log
from harness.loop import run
from harness.reporting_engine import ReportingEngine
from harness.silent_target import MODEL
from harness.silent_target import SilentTarget
from harness.silent_target import all_events
from mimosaspur_coordination.fleetports import LeaseRecord
from mimosaspur_coordination.orderlease import OrderLease
from mimosaspur_coordination.outstandingloads import OutstandingLoads
from mimosaspur_coordination.quarantine.crashledger import Stage
from mimosaspur_coordination.quarantine.traits import RequestTraits
from mimosaspur_daemon.direct.configurationexchange import ConfigurationExchange
from mimosaspur_daemon.direct.coordinator import Coordinator
from mimosaspur_daemon.direct.enginecontroller import EngineController
from mimosaspur_daemon.direct.entryreport import build_entry_report
from mimosaspur_platform.engines import PlatformEngines
from mimosaspur_platform.names import DIALECT
from mimosaspur_state.clock import SystemClock
from mimosaspur_state.fleet import TargetRecord

ROUND_S = 0.02
# Until the coordinator has the engines' reports.
SETTLE_S = 0.5
OTHER_MODEL = "songs"
HEADERS = {"X-Attempt-Id": "r-1", "X-Model": MODEL, "X-Token-Counts": "100,20"}


@given("an engine that reports, and its controller")
def start_engine(context: Context) -> None:
    async def start() -> None:
        context.engine = ReportingEngine()
        await context.engine.start()
        context.engine.speaks.set()
        clock = SystemClock()
        context.controller = EngineController(
            TargetRecord("engine-0", "service", context.engine.address, "here"),
            port=PlatformEngines(clock=clock),
            lease=OrderLease("me", handover_ms=0, clock=clock),
            outstanding=OutstandingLoads(clock=clock),
            clock=clock,
            log=null_log("me"),
            on_change=lambda: None,
        )
        await context.controller.refresh()
        assert context.controller.state_known()

    run(context, start())


async def _follow(context: Context, duration_s: float) -> None:
    """Request the reports that are due, and record when the engine counts as lost."""
    loop = asyncio.get_running_loop()
    controller = context.controller
    began_s = loop.time()
    tasks = context.tasks
    while (now_s := loop.time()) - began_s < duration_s:
        if controller.report_due():
            controller.report_requested_ms = controller.clock.now_ms()
            tasks.append(loop.create_task(controller.refresh()))
        if controller.lost() and context.lost_s is None:
            context.lost_s = now_s - context.began_s
        if context.recovers and controller.state_known():
            return
        await asyncio.sleep(ROUND_S)


@when("it {what} for {duration_ms:d} ms")
def fall_silent(context: Context, what: str, duration_ms: int) -> None:
    async def play() -> None:
        loop = asyncio.get_running_loop()
        context.tasks = []
        context.lost_s = None
        context.recovers = False
        context.began_s = loop.time()
        engine = context.engine
        if what == "refuses connections":
            engine.stop()
        elif what == "acknowledges nothing":
            engine.fall_out_of_reach()
        else:
            engine.speaks.clear()
        # The next report is due, as it may be at any moment.
        context.controller.report_requested_ms = 0
        await _follow(context, duration_ms / 1000)
        spoke_s = loop.time()
        engine.speaks.set()
        context.recovers = True
        await _follow(context, 1.0)
        context.known_after_ms = (loop.time() - spoke_s) * 1000

    run(context, play())


@then("its models were never taken as gone")
def check_kept(context: Context) -> None:
    assert context.lost_s is None, context.lost_s


@then("its state is known again within {most_ms:d} ms")
def check_known(context: Context, most_ms: int) -> None:
    assert (
        context.controller.state_known() and context.known_after_ms <= most_ms
    ), context.known_after_ms


@then("its models were taken as gone within {most_ms:d} ms")
def check_lost(context: Context, most_ms: int) -> None:
    assert context.lost_s is not None and context.lost_s * 1000 <= most_ms, context.lost_s


@given("an entry that coordinates two engines, the first of which alone holds the model")
def start_coordinator(context: Context) -> None:
    async def start() -> None:
        models = [model_spec(MODEL), model_spec(OTHER_MODEL)]
        entry = context.entry = DirectEntry(
            engine=engine_spec(models, weights_mb=80_000.0), dialect=DIALECT
        )
        state = entry.state
        engines = PlatformEngines(clock=state.clock)
        state.dependencies = replace(state.dependencies, engines=engines)
        engines.set_head_handler(state.notices.on_head)
        context.first = SilentTarget("i-1")
        context.second = ReportingEngine(model=OTHER_MODEL)
        context.second.speaks.set()
        for identity, target in (("i-1", context.first), ("i-2", context.second)):
            await target.start()
            entry.add(identity, target.address, DOMAIN)
        await entry.start()
        lease = OrderLease("entry-0", handover_ms=0, clock=state.clock)
        now_ms = state.clock.now_ms()
        # It stays confirmed for the whole scenario.
        lease.acquire(
            LeaseRecord("entry-0", ("127.0.0.1", 1), 1, 1), asked_ms=now_ms, predecessor=""
        )
        lease.confirmed_ms = now_ms + 60_000
        state.coordinating = True
        coordinator = context.coordinator = Coordinator(state, lease, ConfigurationExchange(state))
        loop = asyncio.get_running_loop()
        context.running = [
            loop.create_task(coordinator.run()),
            loop.create_task(_report(coordinator)),
        ]
        await asyncio.sleep(SETTLE_S)

    run(context, start())


async def _report(coordinator: Coordinator) -> None:
    while True:
        coordinator.apply_local_report(build_entry_report(coordinator.state))
        await asyncio.sleep(ROUND_S)


@when(
    "the first is silent for {silent_ms:d} ms, and a stream for the model comes {after_ms:d} ms"
    " after it fell silent"
)
def send_into_silence(context: Context, silent_ms: int, after_ms: int) -> None:
    async def send() -> None:
        context.first.fall_silent(silent_ms / 1000)
        # Its next report is due, as it may be at any moment.
        context.coordinator.engines.controllers["i-1"].report_requested_ms = 0
        await asyncio.sleep(after_ms / 1000)
        context.answer = await context.entry.call("resumable-stream", headers=HEADERS)
        for task in context.running:
            task.cancel()

    run(context, send())


@then("its caller gets all events, and the second engine got no order")
def check_no_order(context: Context) -> None:
    answer = context.answer
    assert not context.second.orders, context.second.orders
    got = answer.status, answer.body, answer.whole
    assert got == (200, all_events(context.first.event_count), True), got


@given("a direct entry and a target that {behaviour}")
def start_target(context: Context, behaviour: str) -> None:
    async def start() -> None:
        context.entry = DirectEntry()
        target = context.engine = ReportingEngine()
        await target.start()
        context.entry.add("target", target.address)
        if behaviour == "refuses connections":
            target.stop()
        elif behaviour == "acknowledges nothing":
            target.fall_out_of_reach()

    run(context, start())


@when("a connection to the target is lost with a request at it")
def lose_connection(context: Context) -> None:
    async def lose() -> None:
        state = context.entry.state
        view = state.fleet.targets["target"]
        detector = state.quarantine.detector
        detector.on_connection_lost(view, RequestTraits(b"request"), Stage.RUNNING)
        await asyncio.gather(*detector.tasks)

    run(context, lose())


@then("{count:d} crashes of the target are known")
def check_crashes(context: Context, count: int) -> None:
    crashes = context.entry.state.quarantine.ledger.crashes
    assert len(crashes) == count, crashes
