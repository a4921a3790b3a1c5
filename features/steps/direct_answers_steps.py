"""Steps that check the responses of an entry that calls targets directly."""

import asyncio
import re
from typing import Any

from behave import given
from behave import then
from behave import when
from behave.runner import Context

from harness.direct_entry import HOST
from harness.direct_entry import REQUEST_KINDS
from harness.direct_entry import TIMEOUT_MS
from harness.direct_entry import DirectEntry
from harness.direct_entry import engine_spec
from harness.direct_entry import model_spec
from harness.direct_entry import read_response
from harness.direct_entry import request_bytes
from harness.direct_target import EVENT_COUNT
from harness.direct_target import EVENT_NUMBERS
from harness.direct_target import PLAIN_BODY
from harness.direct_target import ScriptedTarget
from harness.loop import run

AT_ONCE_S = 1.0
MEASURED_COUNT = 40
ALL_EVENTS = b"".join(b"id: %d\ndata: event %d\n\n" % (n, n) for n in EVENT_NUMBERS)
DESCRIPTION = {"X-Model": "notes", "X-Token-Counts": "5,7", "X-Prompt-Prefix": "a:3,b:2"}
SYSTEM_HEADERS = {
    "X-Priority": "0",
    "X-Expected-Identity": "of-the-caller",
    "X-Deadline-Ms": "3000",
    "X-Own": "kept",
    "Connection": "x-hop, keep-alive",
    "X-Hop": "dropped",
}


@given("a direct entry before a target that {fault} and a sound one")
def start_entry(context: Context, fault: str) -> None:
    async def start() -> None:
        context.entry = DirectEntry()
        context.first = ScriptedTarget("first", fault)
        context.second = ScriptedTarget("second")
        await context.entry.start(context.first, context.second)
        if fault == "is not there":
            context.first.server.close()

    run(context, start())


@given("a direct entry before only a target that {fault}")
def start_entry_before_one(context: Context, fault: str) -> None:
    context.entry = DirectEntry()
    context.first = ScriptedTarget("first", fault)
    run(context, context.entry.start(context.first))


@then("the only target ran it once")
def check_ran_once(context: Context) -> None:
    assert context.first.runs() == 1, context.first.seen


@given("a direct entry that knows no configuration")
def start_unconfigured_entry(context: Context) -> None:
    context.entry = DirectEntry()
    context.entry.state.configuration = None
    run(context, context.entry.start())


@given("a direct entry whose engines don't hold the model")
def start_entry_without_model(context: Context) -> None:
    context.entry = DirectEntry(engine=engine_spec([model_spec("notes")]))
    context.first = ScriptedTarget("first")
    run(context, context.entry.start(context.first))


@when("the direct caller, with headers of its own for the system, sends one")
def send_with_headers(context: Context) -> None:
    context.answer = run(context, context.entry.call("safe", headers=SYSTEM_HEADERS))


@when("the direct caller names {name} in its Connection header")
def send_with_connection(context: Context, name: str) -> None:
    headers = DESCRIPTION | {"Connection": f"keep-alive, {name.lower()}"}
    context.answer = run(context, context.entry.call("safe", headers=headers))


@then("the direct target got the caller's {name}")
def check_header(context: Context, name: str) -> None:
    expected = (DESCRIPTION | {"Host": HOST, "X-Request-Id": "r-1"})[name]
    assert context.first.seen[0].headers.get(name.lower()) == expected, context.first.seen


@when("the direct caller leaves {leave_ms:d} ms after it sent {request}")
def send_and_leave(context: Context, leave_ms: int, request: str) -> None:
    async def leave() -> None:
        _, writer = await context.entry.connect()
        writer.write(request_bytes(REQUEST_KINDS[request][0]))
        await asyncio.sleep(leave_ms / 1000)
        writer.close()

    run(context, leave())


@when("the direct caller sends {what}")
def send(context: Context, what: str) -> None:
    if what in REQUEST_KINDS:
        context.answer = run(context, context.entry.call(REQUEST_KINDS[what][0]))
    else:
        context.answer = run(context, _send_raw(context.entry, _malformed_bytes(what)))


@when("a caller asks the entry by HEAD for {what}, and then an idempotent request")
def send_head(context: Context, what: str) -> None:
    path = "/nowhere" if what == "a path that no route has" else "/safe/x"

    async def send() -> None:
        reader, writer = await context.entry.connect()
        writer.write(f"HEAD {path} HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode())
        head = await reader.readuntil(b"\r\n\r\n")
        writer.write(request_bytes("safe"))
        context.answer = await read_response(reader)
        context.head_status = int(head.split()[1])
        writer.close()

    run(context, send())


@then("the direct caller gets the bare status {status:d} without a body")
def check_head_status(context: Context, status: int) -> None:
    assert context.head_status == status, context.head_status


@then("the direct caller gets its answer on the same connection")
def check_next_answer(context: Context) -> None:
    check_answer(context)


def _malformed_bytes(what: str) -> bytes:
    match what:
        case "a path that no route has":
            return f"GET /nowhere HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode()
        case "a head that is no request":
            return b"what is this\r\n\r\n"
        case "a head over the limit":
            return b"GET /safe/ HTTP/1.1\r\nX-Long: " + b"x" * 40_000
        case "a body over the limit":
            return request_bytes("safe", {"Content-Length": "9000000"}, b"")
        case "a length and also chunks":
            headers = {"Transfer-Encoding": "chunked"}
            return request_bytes("safe", headers, b"2\r\n{}\r\n0\r\n\r\n")
    raise AssertionError(what)


async def _send_raw(entry: DirectEntry, data: bytes) -> Any:
    reader, writer = await entry.connect()
    writer.write(data)
    try:
        return await read_response(reader)
    finally:
        writer.close()


@when("the direct caller waits for the model and the entry is told to leave")
def wait_and_leave(context: Context) -> None:
    async def wait() -> None:
        headers = {"X-Model": "notes", "X-Deadline-Ms": str(TIMEOUT_MS)}
        calling = asyncio.create_task(context.entry.call("stream", headers=headers))
        await asyncio.sleep(0.2)
        loop = asyncio.get_running_loop()
        context.entry.state.leaving = True
        context.entry.state.balancer_noticed_s = loop.time()
        began_s = loop.time()
        context.answer = await calling
        context.took_s = loop.time() - began_s

    run(context, wait())


@then("the direct caller gets its answer")
def check_answer(context: Context) -> None:
    response = context.answer
    assert (response.status, response.body, response.whole) == (200, PLAIN_BODY, True), response
    assert response.headers.get("x-request-id") == "r-1", response


@then("the direct caller gets the failure")
def check_failure(context: Context) -> None:
    assert (context.answer.status, context.answer.body) == (500, b"failed"), context.answer


@then("the direct caller gets no promise")
def check_no_promise(context: Context) -> None:
    assert context.answer.status in (502, 504), context.answer


@then("the direct caller gets all its events")
def check_events(context: Context) -> None:
    response = context.answer
    assert (response.status, response.body, response.whole) == (200, ALL_EVENTS, True), response


@then("the direct caller gets a broken end")
def check_broken_end(context: Context) -> None:
    response = context.answer
    assert response.status == 200 and not response.whole, response
    assert (
        ALL_EVENTS.startswith(response.body) and response.body.count(b"\n\n") < EVENT_COUNT
    ), response
    assert response.body.endswith(b"\n\n"), "a partial event was forwarded"


@then("the direct caller gets a broken end after events without ids")
def check_broken_without_ids(context: Context) -> None:
    response = context.answer
    assert (response.status, response.whole) == (200, False), response
    assert response.body == b"data: event 1\n\ndata: event 2\n\n", response


@then("the first target ran it {first:d} times and the second one {second:d} times")
def check_runs(context: Context, first: int, second: int) -> None:
    assert (context.first.runs(), context.second.runs()) == (first, second)


@then("the direct target got the request's own headers and the system's, and what time is left")
def check_headers(context: Context) -> None:
    headers = context.first.seen[0].headers
    assert headers["x-own"] == "kept", headers
    assert headers["x-expected-identity"] == "first", headers
    assert "x-hop" not in headers and "x-priority" not in headers, headers
    assert 0 < int(headers["x-deadline-ms"]) <= 3_000, headers


@then("the first target's connection is closed within {limit_ms:d} ms")
def check_closed(context: Context, limit_ms: int) -> None:
    async def closed() -> None:
        async with asyncio.timeout(limit_ms / 1000):
            await context.first.closed.wait()

    run(context, closed())


@then("the direct caller gets status {status:d} at once, code {code:d}")
def check_status_and_code(context: Context, status: int, code: int) -> None:
    assert context.answer.status == status, context.answer
    assert context.answer.body.startswith(b"%d " % code), context.answer


@then("the direct caller gets the bare status {status:d}")
def check_status(context: Context, status: int) -> None:
    assert context.answer.status == status, context.answer


@then("the answer says when to come back")
def check_retry_after(context: Context) -> None:
    assert float(context.answer.headers["retry-after"]) > 0, context.answer


@then("within {limit_ms:d} ms, before the entry ends, its status is {status:d}")
def check_left_in_time(context: Context, limit_ms: int, status: int) -> None:
    assert context.answer.status == status, context.answer
    assert context.took_s * 1000 < limit_ms, context.took_s


@given("requests of its routes have lasted {lasted}")
def set_durations(context: Context, lasted: str) -> None:
    durations = [int(number) for number in re.findall(r"\d+", lasted)]
    for number in range(MEASURED_COUNT if durations else 0):
        for route, _, _ in REQUEST_KINDS.values():
            lasted_ms = durations[number % len(durations)]
            context.entry.state.durations.record(route, lasted_ms, tokens=0)


@given("the balancer has noticed that it leaves, it ends in {left:d} ms, and {others:d} stay")
def start_leaving(context: Context, left: int, others: int) -> None:
    async def begin() -> None:
        state = context.entry.state
        now_s = asyncio.get_running_loop().time()
        state.leaving = True
        state.balancer_noticed_s = now_s
        state.shutdown_deadline_s = now_s + left / 1000
        state.staying_entries = others

    run(context, begin())


@then("if it was refused, it may come back after {least:d} to {most:d} ms")
def check_come_back(context: Context, least: int, most: int) -> None:
    retry_after = context.answer.headers.get("retry-after")
    if context.answer.status == 200:
        assert retry_after is None
    else:
        assert least <= float(retry_after) * 1000 <= most, retry_after


@then("the leaving entry is {needed}")
def check_needed(context: Context, needed: str) -> None:
    assert context.entry.state.is_last_entry() == (needed == "needed")
