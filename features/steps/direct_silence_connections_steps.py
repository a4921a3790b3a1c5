"""Steps for sound targets that accept no connections for a time."""

import asyncio
from dataclasses import replace

from behave import given
from behave import then
from behave import when
from behave.runner import Context

from harness.direct_entry import DirectEntry
from harness.direct_entry import configuration
from harness.direct_entry import engine_spec
from harness.direct_entry import model_spec
from harness.direct_entry import null_log
from harness.direct_fleet import ManualClock
from harness.loop import run
from harness.silence_play import MODEL_HEADERS
from harness.silence_play import record_of
from harness.silence_play import slower
from harness.silent_target import MODEL
from harness.still_target import StillTarget
from mimosaspur_coordination.orderlease import OrderLease
from mimosaspur_coordination.outstandingloads import OutstandingLoads
from mimosaspur_daemon.direct.enginecontroller import EngineController
from mimosaspur_daemon.direct.fleetreport import apply_report
from mimosaspur_daemon.direct.fleetreport import residents_of
from mimosaspur_platform.engines import PlatformEngines
from mimosaspur_platform.names import DIALECT
from mimosaspur_protocol.peermessages import FleetReport

EVENT_COUNT = 3
COMING_S = 0.1
MAX_ATTEMPTS = 3
# Longer than callers wait, so that the model isn't there in time if it is loaded elsewhere.
LOAD_S = 9.0
# After this time a coordinator is expected to have given orders.
SETTLED_MS = 60_000


@given("an entry whose only engine accepts no connections for {silent} s")
def start_entry(context: Context, silent: str) -> None:
    async def start() -> None:
        engine = engine_spec([model_spec(MODEL)])
        held = configuration(engine)
        context.entry = DirectEntry(engine=engine, dialect=DIALECT)
        routes = tuple(slower(route, MAX_ATTEMPTS) for route in held.routes)
        context.entry.state.configuration = replace(held, routes=routes)
        engine_target = StillTarget("i-1", event_count=EVENT_COUNT)
        context.add_cleanup(engine_target.stop)
        await engine_target.start()
        context.entry.state.fleet.update([record_of(engine_target)], [])
        await context.entry.start()
        engine_target.fall_silent(float(silent))

    run(context, start())


@when("{count:d} streams come at once")
def send_streams(context: Context, count: int) -> None:
    async def send(number: int) -> object:
        headers = MODEL_HEADERS | {"X-Attempt-Id": f"r-{number}"}
        return await context.entry.call("resumable-stream", headers=headers)

    async def send_all() -> list[object]:
        await asyncio.sleep(COMING_S)
        return await asyncio.gather(*map(send, range(count)))

    context.answers = run(context, send_all())


@then("each stream is served")
def check_served(context: Context) -> None:
    statuses = [answer.status for answer in context.answers]
    assert statuses == [200] * len(statuses), [
        (answer.status, answer.body[:60]) for answer in context.answers
    ]


@given("an entry whose coordinator finds the model's only holder {holder}")
def find_holder(context: Context, holder: str) -> None:
    clock = ManualClock(SETTLED_MS)

    async def start() -> None:
        target = context.target = StillTarget("i-1", event_count=EVENT_COUNT)
        context.add_cleanup(target.stop)
        await target.start()
        context.controller = EngineController(
            record_of(target),
            port=PlatformEngines(clock=clock),
            lease=OrderLease("me", handover_ms=0, clock=clock),
            outstanding=OutstandingLoads(clock=clock),
            clock=clock,
            log=null_log("me"),
            on_change=lambda: None,
        )
        await context.controller.refresh()
        model = model_spec(MODEL, load_s=LOAD_S, disk_load_s=LOAD_S, memory_load_s=LOAD_S)
        context.entry = DirectEntry(engine=engine_spec([model]), dialect=DIALECT)
        context.entry.state.fleet.update([record_of(target)], [])
        await context.entry.start()
        if "ended" in holder:
            target.stop()
        else:
            target.fall_silent(None)
        # Two may go to the connection that is there already and to one that the kernel takes.
        for _ in range(3):
            await context.controller.refresh()
        clock.ms += 4_000 * ("4 s" in holder)
        assert context.controller.lost()
        _report_holder(context)
        context.entry.state.load_outlook.followed_since_ms -= SETTLED_MS

    run(context, start())


def _report_holder(context: Context) -> None:
    """Report the engine's models to the entry, as its coordinator does."""
    report = FleetReport(
        token=1,
        can_issue_orders=True,
        entry_count=1,
        work=[],
        residents=[residents_of(context.controller)],
        model_ready_in_ms={},
    )
    apply_report(context.entry.state, report)


@when("a stream of the model comes, and the holder is there again after {seconds:g} s")
def send_stream(context: Context, seconds: float) -> None:
    async def return_later() -> None:
        await asyncio.sleep(seconds)
        if context.controller.out_of_reach:
            context.target.return_now()
            await context.controller.refresh()
            _report_holder(context)

    async def send() -> None:
        headers = MODEL_HEADERS | {"X-Attempt-Id": "r-1"}
        call = context.entry.call("resumable-stream", headers=headers)
        context.answer, _ = await asyncio.gather(call, return_later())

    run(context, send())


@then("it is answered {status:d}")
def check_status(context: Context, status: int) -> None:
    assert context.answer.status == status, (context.answer.status, context.answer.body[:60])
