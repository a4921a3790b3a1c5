"""Steps for requests that arrive as an entry closes idle connections."""

import asyncio
import socket
import time
from dataclasses import replace

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
from mimosaspur_daemon.direct.callers import MIN_IDLE_S
from mimosaspur_state.routes import CallerLimits

# Time for an entry to accept a connection, or to read what was sent.
SETTLE_S = 0.05
REQUEST = request_bytes("once")
HEAD_BYTES = REQUEST.index(b"\r\n\r\n") + 4


@given(
    "a direct entry that closes connections after {idle_ms:d} ms without a request"
    " and {head_ms:d} ms inside a head"
)
def start_entry(context: Context, idle_ms: int, head_ms: int) -> None:
    entry = context.entry = DirectEntry()
    limits = CallerLimits(idle_timeout_ms=idle_ms, header_timeout_ms=head_ms)
    assert entry.state.configuration
    entry.state.configuration = replace(entry.state.configuration, limits=limits)
    run(context, entry.start(ScriptedTarget("first")))


@when("a caller sends {what} while the entry is stalled for {stall_ms:d} ms")
def send_while_stalled(context: Context, what: str, stall_ms: int) -> None:
    first_bytes = {"a request": 0, "the second part of its head": 30, "its body": HEAD_BYTES}[what]

    async def send() -> None:
        with _connect(context) as caller:
            await asyncio.sleep(SETTLE_S)
            caller.sendall(REQUEST[:first_bytes])
            await asyncio.sleep(SETTLE_S)
            # The entry runs on this thread, and does nothing meanwhile.
            time.sleep(stall_ms / 2000)
            caller.sendall(REQUEST[first_bytes:])
            time.sleep(stall_ms / 2000)
            context.answer = await _receive(caller)

    run(context, send())


@when("a caller sends a request just before the entry closes idle connections")
def send_before_close(context: Context) -> None:
    async def send() -> None:
        with _connect(context) as caller:
            await asyncio.sleep(MIN_IDLE_S + SETTLE_S)
            caller.sendall(REQUEST)
            context.entry.callers.close_idle()
            context.answer = await _receive(caller)

    run(context, send())


@when("the entry closes idle connections and is stalled")
def close_and_stall(context: Context) -> None:
    async def close() -> None:
        with _connect(context) as caller:
            await asyncio.sleep(MIN_IDLE_S + SETTLE_S)
            caller.settimeout(SETTLE_S)
            context.entry.callers.close_idle()
            # The entry's event loop doesn't run until this returns.
            try:
                context.received = caller.recv(1)
            except TimeoutError:
                context.received = None

    run(context, close())


@then("the caller sees the end of its connection meanwhile")
def check_end(context: Context) -> None:
    assert context.received == b"", context.received


@when("a caller sends nothing")
def send_nothing(context: Context) -> None:
    async def wait() -> None:
        reader, writer = await context.entry.connect()
        began_s = time.monotonic()
        assert await reader.read() == b""
        context.took_s = time.monotonic() - began_s
        writer.close()

    run(context, wait())


@then("the idle connection was closed after {least_ms:d} to {most_ms:d} ms")
def check_closed(context: Context, least_ms: int, most_ms: int) -> None:
    assert least_ms <= context.took_s * 1000 <= most_ms, context.took_s


def _connect(context: Context) -> socket.socket:
    return socket.create_connection(("127.0.0.1", context.entry.port))


async def _receive(caller: socket.socket) -> ReceivedResponse:
    reader, writer = await asyncio.open_connection(sock=caller.dup())
    try:
        return await read_response(reader)
    finally:
        writer.close()
