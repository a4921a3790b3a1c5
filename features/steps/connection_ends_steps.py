"""Steps for what the peers of an entry see as a connection ends."""

import asyncio

from behave import given
from behave import then
from behave import when
from behave.runner import Context

from harness.direct_entry import REQUEST_KINDS
from harness.direct_entry import DirectEntry
from harness.direct_entry import read_response
from harness.direct_entry import request_bytes
from harness.direct_target import ScriptedTarget
from harness.loop import run
from harness.stalled_target import StalledTarget

LIMIT_MS = 250
# Time until a request has reached its target.
SETTLE_S = 0.15
ANSWERS_S = 10.0


@given("a direct entry, and first a target whose process is stalled")
def start_entry(context: Context) -> None:
    context.entry = DirectEntry()
    context.target = StalledTarget("first")
    run(context, context.entry.start(context.target))


@when("a caller sends {request} with a body of {size:d} bytes, and {why}")
def send_and_give_up(context: Context, request: str, size: int, why: str) -> None:
    context.request_size = size
    headers = {"X-Deadline-Ms": str(LIMIT_MS)} if why == "its time limit passes" else {}
    data = request_bytes(REQUEST_KINDS[request][0], headers, b"x" * size)

    async def send() -> None:
        reader, writer = await context.entry.connect()
        writer.write(data)
        await writer.drain()
        answer = asyncio.create_task(read_response(reader))
        await asyncio.sleep(SETTLE_S)
        if why == "the caller leaves":
            writer.close()
        elif why == "the entry ends":
            context.entry.callers.end_requests()
        elif why == "another target answers":
            second = ScriptedTarget("second")
            context.entry.add(second.name, await second.start())
        async with asyncio.timeout(ANSWERS_S):
            await answer
        writer.close()

    run(context, send())


@when("the target goes on after {stall_ms:d} ms")
def go_on(context: Context, stall_ms: int) -> None:
    async def read() -> None:
        await asyncio.sleep(stall_ms / 1000)
        context.read = await context.target.read_all()

    run(context, read())


@then("the target sees that the request was reset")
def check_reset(context: Context) -> None:
    sizes = [(len(each.received), each.was_reset) for each in context.read]
    held = [each for each in context.read if each.received]
    assert held, sizes
    assert all(each.was_reset for each in held), sizes
    if context.request_size > 2:
        assert all(len(each.received) < context.request_size for each in held), sizes


@when("the entry opens a connection to it and closes it unused")
def open_and_close(context: Context) -> None:
    async def play() -> None:
        record = next(iter(context.entry.state.fleet.targets.values())).record
        pool = context.entry.state.pool(record)
        channel, _ = await pool.acquire()
        pool.release(channel)
        pool.close()
        context.read = await context.target.read_all()

    run(context, play())


@then("the target sees the connection's end")
def check_closed(context: Context) -> None:
    assert [each.was_reset for each in context.read] == [False], context.read
