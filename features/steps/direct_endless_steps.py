"""Steps for targets that send bytes without end."""

import asyncio

from behave import given
from behave import then
from behave import when
from behave.runner import Context

from harness.direct_entry import REQUEST_KINDS
from harness.direct_entry import DirectEntry
from harness.direct_target import EVENT_NUMBERS
from harness.direct_target import PLAIN_BODY
from harness.direct_target import ScriptedTarget
from harness.endless_target import EndlessTarget
from harness.loop import run
from mimosaspur_coordination.fleetports import EngineSilent
from mimosaspur_platform.engines import PlatformEngines
from mimosaspur_state.clock import SystemClock
from mimosaspur_state.errors import StoreUnavailable
from mimosaspur_state.fleet import TargetRecord
from mimosaspur_transport.jsonhttp import JsonHttpClient

INTERVALS_S = {"at once": 0.0, "slowly": 0.02}
ALL_EVENTS = b"".join(b"id: %d\ndata: event %d\n\n" % (n, n) for n in EVENT_NUMBERS)
# An entry closes the connection as it cuts a target off.
CUT_OFF_S = 0.5
STORE_TIMEOUT_MS = 2_000


@given("a direct entry, a target that sends {way} without end, {pace}, and a sound one")
def start_entry(context: Context, way: str, pace: str) -> None:
    async def start() -> None:
        context.entry = DirectEntry()
        context.endless = EndlessTarget("first", way=way, interval_s=INTERVALS_S[pace])
        await context.entry.start(context.endless, ScriptedTarget("second"))

    run(context, start())


@when("a caller sends {request} to an endless target")
def send(context: Context, request: str) -> None:
    async def call() -> None:
        began_s = asyncio.get_running_loop().time()
        context.answer = await context.entry.call(REQUEST_KINDS[request][0])
        context.took_ms = (asyncio.get_running_loop().time() - began_s) * 1000

    run(context, call())


@then("the endless target's caller gets {expected} within {most_ms:d} ms")
def check_answer(context: Context, expected: str, most_ms: int) -> None:
    answer = context.answer
    told = (answer.status, answer.whole, answer.body[:200], context.took_ms)
    assert context.endless.seen, "the endless target got no request"
    if expected == "the sound answer":
        assert answer.status == 200 and answer.whole and answer.body == PLAIN_BODY, told
    elif expected == "all events":
        # Comments are no events, and are passed on with those.
        blocks = [block + b"\n\n" for block in answer.body.split(b"\n\n") if block]
        events = b"".join(block for block in blocks if not block.startswith(b":"))
        assert answer.status == 200 and answer.whole and events == ALL_EVENTS, told
    elif expected == "a broken stream":
        assert answer.status == 200 and not answer.whole, told
        assert ALL_EVENTS.startswith(answer.body), told
    else:
        status, _, code = expected.partition(" with code ")
        assert answer.status == int(status) and answer.body.startswith(code.encode()), told
    assert context.took_ms <= most_ms, context.took_ms


@then("the target was cut off within {kib:d} KiB, and counts as failing")
def check_failing(context: Context, kib: int) -> None:
    check_cut_off(context, kib)
    view = context.entry.state.fleet.targets["first"]
    assert view.health.failure_share() > 0
    # A run that is left for its backup is told as silent.
    counts = context.entry.state.log.counters.counts
    told = [key for key in counts if key[0] in ("endless", "silent")]
    assert told, counts


@then("the target was cut off within {kib:d} KiB")
def check_cut_off(context: Context, kib: int) -> None:
    async def wait() -> None:
        async with asyncio.timeout(CUT_OFF_S):
            await context.endless.cut_off.wait()

    run(context, wait())
    assert context.endless.sent_bytes <= kib * 1_024, context.endless.sent_bytes


@given("a target that sends {way} without end, {pace}")
def start_target(context: Context, way: str, pace: str) -> None:
    context.endless = EndlessTarget("first", way=way, interval_s=INTERVALS_S[pace])
    context.address = run(context, context.endless.start())


@when("an engine's report is asked for there")
def ask_for_report(context: Context) -> None:
    async def ask() -> None:
        engines = PlatformEngines(clock=SystemClock())
        began_s = asyncio.get_running_loop().time()
        record = TargetRecord("first", "service", context.address, "here")
        try:
            context.report = await engines.report(record)
        except EngineSilent:
            context.report = None
        context.took_ms = (asyncio.get_running_loop().time() - began_s) * 1000

    run(context, ask())


@then("there is no report within {most_ms:d} ms")
def check_report(context: Context, most_ms: int) -> None:
    assert context.endless.seen, "the target got no call"
    assert context.report is None, context.report
    assert context.took_ms <= most_ms, context.took_ms


@when("an object is asked for there")
def ask_for_object(context: Context) -> None:
    host, port = context.address
    client = JsonHttpClient(
        f"{host}:{port}", caller="test", timeout_ms=STORE_TIMEOUT_MS, clock=SystemClock()
    )

    async def ask() -> None:
        try:
            await asyncio.to_thread(client.call, "GET", "/objects/x")
        except StoreUnavailable as error:
            context.failure = str(error)

    context.failure = ""
    run(context, ask())


@then("the store counts as unavailable")
def check_unavailable(context: Context) -> None:
    assert context.endless.seen, "the target got no call"
    assert "size limit" in context.failure, context.failure
