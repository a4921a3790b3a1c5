"""Steps for requests that are suspected together, and how they are told apart."""

import asyncio
import time
from collections.abc import Callable

from behave import given
from behave import then
from behave import when
from behave.runner import Context

from harness.direct_entry import DirectEntry
from harness.direct_entry import ReceivedResponse
from harness.direct_entry import read_response
from harness.direct_entry import request_bytes
from harness.direct_target import ScriptedTarget
from harness.loop import run
from mimosaspur_coordination.quarantine.crashledger import SETTLE_MS
from mimosaspur_coordination.quarantine.crashledger import Stage
from mimosaspur_daemon.direct.fleetreport import apply_report
from mimosaspur_daemon.direct.requestdigest import request_digest
from mimosaspur_protocol.peermessages import CrashReport
from mimosaspur_protocol.peermessages import FleetReport
from mimosaspur_state.clock import Clock
from mimosaspur_transport.callerconnection import CallerRequest
from mimosaspur_transport.channelpool import ChannelPool
from mimosaspur_transport.httpchannel import HttpChannel

ROUTE = "safe"
GUILTY = b"guilty"
SOUND = b"sound"
POLL_S = 0.005
EVENT_S = 0.2
ARRIVAL_S = 0.05


def _digest(body: bytes) -> bytes:
    headers = [(b"Host", b"site.example")]
    return request_digest(CallerRequest(b"POST", b"/safe/x", headers, body, 0.0), None)


async def _call(entry: DirectEntry, body: bytes) -> ReceivedResponse:
    reader, writer = await entry.connect()
    writer.write(request_bytes(ROUTE, body=body))
    try:
        return await read_response(reader)
    finally:
        writer.close()


@given("an entry with two requests that were at two crashes together, before two targets")
def start_two_suspects(context: Context) -> None:
    _start(context, [(GUILTY, SOUND), (GUILTY, SOUND)])


@given("an entry with a request that was at three crashes, at two of them beside a sound one")
def start_rivals(context: Context) -> None:
    _start(context, [(GUILTY, SOUND), (GUILTY, SOUND), (GUILTY,)])


def _start(context: Context, crashes: list[tuple[bytes, ...]]) -> None:
    async def start() -> None:
        context.entry = DirectEntry()
        context.targets = [ScriptedTarget("first"), ScriptedTarget("second")]
        await context.entry.start(*context.targets)
        quarantine = context.entry.state.quarantine
        reports = [
            CrashReport(
                f"i-{number}", SETTLE_MS, [(_digest(body), Stage.RUNNING) for body in bodies]
            )
            for number, bodies in enumerate(crashes)
        ]
        quarantine.set_coverage(2 * SETTLE_MS)
        quarantine.apply_reports(reports, relay=False)

    run(context, start())


@when("both come at once")
def send_both(context: Context) -> None:
    async def send() -> None:
        at_targets = context.entry.state.quarantine.at_targets
        context.most = 0
        calls = [asyncio.create_task(_call(context.entry, body)) for body in (GUILTY, SOUND)]
        while not all(call.done() for call in calls):
            context.most = max(context.most, len(at_targets))
            await asyncio.sleep(0)
        context.answers = [call.result() for call in calls]

    run(context, send())


@then("they were not at targets at the same time, and both are served")
def check_both(context: Context) -> None:
    assert context.most == 1, context.most
    assert [answer.status for answer in context.answers] == [200, 200], context.answers


@when("two copies of it come, and then the sound one")
def send_copies(context: Context) -> None:
    async def send() -> None:
        first = asyncio.create_task(_call(context.entry, GUILTY))
        await asyncio.sleep(ARRIVAL_S)
        began_s = time.monotonic()
        context.second = await _call(context.entry, GUILTY)
        context.second_s = time.monotonic() - began_s
        context.sound = await _call(context.entry, SOUND)
        context.first = await first

    run(context, send())


@then(
    "the second copy is rejected within {ms:d} ms with code {waiting}, the first with {quarantined}"
    " once the other is served"
)
def check_rivals(context: Context, ms: int, waiting: str, quarantined: str) -> None:
    second = context.second
    assert second.status == 503 and waiting.encode() in second.body, second
    assert float(second.headers["retry-after"]) > 0, second
    assert context.second_s <= ms / 1000, context.second_s
    assert context.sound.status == 200, context.sound
    first = context.first
    assert first.status == 502 and quarantined.encode() in first.body, first
    bodies = [seen.body for target in context.targets for seen in target.seen]
    assert bodies == [SOUND], bodies


@given("an entry before a target that writes a stream slowly")
def start_slow_stream(context: Context) -> None:
    async def start() -> None:
        context.entry = DirectEntry()
        context.target = ScriptedTarget("target", event_s=EVENT_S)
        await context.entry.start(context.target)

    run(context, start())


@when("the target crashes {ms:d} ms after its first event")
def crash_while_writing(context: Context, ms: int) -> None:
    async def play() -> None:
        reader, writer = await context.entry.connect()
        writer.write(request_bytes("resumable-stream", body=GUILTY))
        await reader.readuntil(b"data:")
        await asyncio.sleep(ms / 1000)
        context.target.server.close()
        context.target.stop_streams()
        ledger = context.entry.state.quarantine.ledger
        while not ledger.crashes:
            await asyncio.sleep(POLL_S)
        writer.close()
        (context.crash,) = ledger.crashes.values()

    run(context, play())


@then("the stream was {stage} at the crash")
def check_stage(context: Context, stage: str) -> None:
    assert list(context.crash.traits.values()) == [Stage[stage.upper()]], context.crash


class ObservedPool(ChannelPool):
    """Call back before a connection is taken out."""

    def __init__(
        self, address: tuple[str, int], *, clock: Clock, on_acquire: Callable[[], None]
    ) -> None:
        super().__init__(address, clock=clock)
        self.on_acquire = on_acquire

    async def acquire(
        self, *, max_idle_ms: int | None = None, request: bytes | None = None
    ) -> tuple[HttpChannel, bool]:
        """Return a connection, as the pool does."""
        self.on_acquire()
        return await super().acquire(max_idle_ms=max_idle_ms, request=request)


@given("an entry before a target, and a request that crashes others meanwhile")
def start_before_target(context: Context) -> None:
    async def start() -> None:
        context.entry = DirectEntry()
        context.target = ScriptedTarget("target")
        await context.entry.start(context.target)

    run(context, start())


@when("it comes, and it becomes suspected as its connection is opened")
def suspect_while_connecting(context: Context) -> None:
    async def play() -> None:
        state = context.entry.state
        (view,) = state.fleet.targets.values()

        def suspect() -> None:
            if not state.quarantine.ledger.crashes:
                report = CrashReport("i-0", 0, [(_digest(GUILTY), Stage.RUNNING)])
                state.quarantine.apply_reports([report], relay=False)
                context.suspected_s = time.monotonic()

        pool = ObservedPool(view.record.address, clock=state.clock, on_acquire=suspect)
        state.pools[view.record.identity] = pool
        call = asyncio.create_task(_call(context.entry, GUILTY))
        while not context.target.seen:
            await asyncio.sleep(POLL_S)
        context.reached_s = time.monotonic()
        await call

    run(context, play())


@then("it reaches the target no sooner than {ms:d} ms after that")
def check_reached(context: Context, ms: int) -> None:
    waited_s = context.reached_s - context.suspected_s
    assert waited_s >= ms / 1000, waited_s


@given("it follows a coordinator {kind}")
def follow_coordinator(context: Context, kind: str) -> None:
    report = FleetReport(
        token=1,
        can_issue_orders=True,
        entry_count=2,
        work=[],
        residents=[],
        model_ready_in_ms={},
        gives_turns=kind != "of an earlier version",
    )
    apply_report(context.entry.state, report)


@then("both are answered {status:d}")
def check_answered(context: Context, status: int) -> None:
    assert [answer.status for answer in context.answers] == [status] * 2, context.answers
