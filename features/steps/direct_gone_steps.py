"""Steps for targets that are silent for a moment."""

import asyncio
import socket

from behave import given
from behave import then
from behave import when
from behave.runner import Context

from harness.direct_entry import HOST
from harness.direct_entry import REQUEST_KINDS
from harness.direct_entry import DirectEntry
from harness.direct_entry import engine_spec
from harness.direct_entry import model_spec
from harness.direct_entry import read_response
from harness.direct_entry import request_bytes
from harness.direct_fleet import ManualClock
from harness.direct_target import EVENT_NUMBERS
from harness.direct_target import PLAIN_BODY
from harness.direct_target import ScriptedTarget
from harness.loop import run
from harness.unaccepting_target import UnacceptingTarget
from harness.unreading_target import UnreadingTarget
from mimosaspur_coordination.targethealth import TargetHealth
from mimosaspur_transport.httpchannel import HttpChannel

HEADERS = {"X-Model": "notes", "X-Token-Counts": "10,6"}
# More than a connection's buffers hold.
LONG_BODY = b"x" * 4_000_000
ALL_EVENTS = b"".join(b"id: %d\ndata: event %d\n\n" % (n, n) for n in EVENT_NUMBERS)


@given("a direct entry before only an engine that accepts no connections for {silent_ms:d} ms")
def start_entry(context: Context, silent_ms: int) -> None:
    async def start() -> None:
        context.entry = DirectEntry(engine=engine_spec([model_spec("notes")]))
        await context.entry.start(UnacceptingTarget("first", silent_s=silent_ms / 1000))
        context.entry.state.fleet.targets["first"].residents = {"notes": frozenset()}

    run(context, start())


@when("{count:d} callers send it a resumable stream at once")
def send_at_once(context: Context, count: int) -> None:
    async def send() -> None:
        calls = [
            context.entry.call("resumable-stream", headers={**HEADERS, "X-Request-Id": f"r-{n}"})
            for n in range(count)
        ]
        context.answers = await asyncio.gather(*calls)

    run(context, send())


@then("each of them gets all its events")
def check_answers(context: Context) -> None:
    for answer in context.answers:
        assert answer.status == 200, (answer.status, answer.body)
        assert answer.whole and answer.body == ALL_EVENTS, answer.body


@given("a target to which {count:d} connections at once fail whenever it is tried")
def fail_connections(context: Context, count: int) -> None:
    context.clock = ManualClock(1_000)
    context.health = TargetHealth(clock=context.clock)
    context.failures_at_once = count


@then("it is left alone for {first:d}, {second:d}, {third:d} and {last:d} ms")
def check_pauses(context: Context, first: int, second: int, third: int, last: int) -> None:
    pauses_ms = []
    for _ in range(4):
        for _ in range(context.failures_at_once):
            context.health.record_unreachable()
        failed_ms = context.clock.ms
        while context.health.is_cooling_down():
            context.clock.ms += 1
        pauses_ms.append(context.clock.ms - failed_ms)
    assert pauses_ms == [first, second, third, last], pauses_ms


@given("a direct entry, and only a target that reads requests after {silent_ms:d} ms")
def start_unreading(context: Context, silent_ms: int) -> None:
    context.entry = DirectEntry()
    target = UnreadingTarget("first", unread_s=silent_ms / 1000)
    run(context, context.entry.start(target))


@given("a direct entry, a target that reads requests after {silent_ms:d} ms and a sound one")
def start_unreading_and_sound(context: Context, silent_ms: int) -> None:
    context.entry = DirectEntry()
    target = UnreadingTarget("first", unread_s=silent_ms / 1000)
    run(context, context.entry.start(target, ScriptedTarget("second")))


@given(
    "a direct entry, and only a target that answers at once and reads requests after {late:d} ms"
)
def start_answering_unread(context: Context, late: int) -> None:
    context.entry = DirectEntry()
    target = UnreadingTarget("first", unread_s=late / 1000, answers_unread=True)
    run(context, context.entry.start(target))


@when("a caller sends it {request} with a long body")
def send_long(context: Context, request: str) -> None:
    async def send() -> None:
        reader, writer = await context.entry.connect()
        began_s = asyncio.get_running_loop().time()
        writer.write(request_bytes(REQUEST_KINDS[request][0], body=LONG_BODY))
        context.answer = await read_response(reader)
        context.took_ms = (asyncio.get_running_loop().time() - began_s) * 1000
        writer.close()

    run(context, send())


@then("it gets its answer within {most_ms:d} ms")
def check_answer(context: Context, most_ms: int) -> None:
    answer = context.answer
    assert answer.status == 200, (answer.status, answer.body, context.took_ms)
    assert answer.whole and answer.body in (PLAIN_BODY, ALL_EVENTS), (answer.body, context.took_ms)
    assert context.took_ms <= most_ms, context.took_ms


@given("a connection to a sound target")
def connect(context: Context) -> None:
    async def open_channel() -> HttpChannel:
        context.target = ScriptedTarget("first")
        return await HttpChannel.open(await context.target.start())

    context.channel = run(context, open_channel())


@when("a request with a body of {size:d} bytes {when} on it")
def send_body(context: Context, size: int, when: str) -> None:
    async def send() -> None:
        headers = [(b"Host", HOST.encode())]
        await context.channel.send(b"POST", b"/", headers, b"x" * size)
        if when == "is being answered":
            await context.channel.read_head()

    run(context, send())


@then("it ends after {timeout_ms:d} ms without an acknowledgement")
def check_timeout(context: Context, timeout_ms: int) -> None:
    connection = context.channel.writer.get_extra_info("socket")
    assert connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT) == timeout_ms
