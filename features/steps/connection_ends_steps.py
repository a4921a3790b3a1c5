"""Steps for what the peers of an entry see as a connection ends."""

import asyncio
import contextlib
import socket
import struct
import time
from collections import Counter

from behave import given
from behave import then
from behave import when
from behave.runner import Context

from harness.direct_entry import REQUEST_KINDS
from harness.direct_entry import DirectEntry
from harness.direct_entry import read_response
from harness.direct_entry import request_bytes
from harness.direct_store import StoreStandIn
from harness.direct_target import ScriptedTarget
from harness.ending_play import NOT_RUN_STATUSES
from harness.ending_play import EndingPlay
from harness.ending_play import Outcome
from harness.ending_play import Sent
from harness.entry_processes import EntryProcesses
from harness.extra_target import ExtraTarget
from harness.extra_target import response
from harness.framed_site import FramedSite
from harness.long_target import LONG_ANSWER
from harness.long_target import LongTarget
from harness.loop import run
from harness.stalled_target import StalledTarget
from mimosaspur_state.clock import SystemClock
from mimosaspur_transport.channelpool import ChannelPool

LIMIT_MS = 250
# Time until a request has reached its target.
SETTLE_S = 0.15
ANSWERS_S = 10.0
HEADER_MS = 1_000
ARRIVE_S = 0.02
CALLER_BUFFER_BYTES = 16_384
ENTRY_BUFFER_BYTES = 4_096
# Answers of one play of the ends of processes, at least.
MIN_ANSWERED = 500
SHOWN = 5


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


@given("a direct entry that is leaving, and a target with an answer of 7 MB")
def start_long(context: Context) -> None:
    context.entry = DirectEntry()
    context.entry.state.leaving = True
    run(context, context.entry.start(LongTarget("first")))


@when("a caller reads the answer until the entry has written its end, and then no more")
def read_until_written(context: Context) -> None:
    async def read() -> None:
        loop = asyncio.get_running_loop()
        context.caller = socket.socket()
        context.add_cleanup(context.caller.close)
        context.caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, CALLER_BUFFER_BYTES)
        context.caller.setblocking(False)
        await loop.sock_connect(context.caller, ("127.0.0.1", context.entry.port))
        while not context.entry.callers.connections:
            await asyncio.sleep(0)
        (connection,) = context.entry.callers.connections
        accepted = connection.writer.get_extra_info("socket")
        accepted.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, ENTRY_BUFFER_BYTES)
        await loop.sock_sendall(context.caller, request_bytes("once"))
        transport = connection.writer.transport
        # The entry goes on once its buffer holds no more than this.
        low_bytes, _ = transport.get_write_buffer_limits()
        context.received = b""
        while context.entry.callers.connections:
            if not context.received or transport.get_write_buffer_size() > low_bytes:
                with contextlib.suppress(BlockingIOError):
                    context.received += context.caller.recv(ENTRY_BUFFER_BYTES)
            await asyncio.sleep(0)

    run(context, read())


@then("the entry still counts its connection as open")
def check_open(context: Context) -> None:
    assert not context.received.endswith(LONG_ANSWER)
    assert len(context.entry.callers.tasks) == 1, context.entry.callers.tasks


@then("it is closed once the caller has read the rest, which is whole")
def check_rest(context: Context) -> None:
    async def read_rest() -> None:
        loop = asyncio.get_running_loop()
        while data := await loop.sock_recv(context.caller, CALLER_BUFFER_BYTES):
            context.received += data
        async with asyncio.timeout(SETTLE_S):
            while context.entry.callers.tasks:
                await asyncio.sleep(0)

    run(context, read_rest())
    assert context.received.endswith(b"\r\n\r\n" + LONG_ANSWER), len(context.received)


@given("an entry process that has {grace_s:d} s to end, before targets of a plain service")
def start_process(context: Context, grace_s: int) -> None:
    context.grace_s = grace_s
    entries = EntryProcesses(context.processes, 1, fields={"bounds.grace_s": str(grace_s)})
    context.site = FramedSite(entries, store=StoreStandIn())
    context.add_cleanup(context.site.stop)
    run(context, context.site.start())


@when(
    "it is stopped {count:d} times beside {callers:d} callers, and stalled {stalls:d} times about"
    " its end, with seed {seed:d}"
)
def play_ends(context: Context, count: int, callers: int, stalls: int, seed: int) -> None:
    context.play = EndingPlay(context.site, seed)
    for _ in range(count):
        work = context.play.play(callers=callers, stalls=stalls, grace_s=context.grace_s)
        run(context, work)


@given(
    "an entry process that closes connections after {idle_ms:d} ms without a request, before"
    " targets of a plain service"
)
def start_closing_process(context: Context, idle_ms: int) -> None:
    entries = EntryProcesses(context.processes, 1)
    limits = {"idle_timeout_ms": idle_ms, "header_timeout_ms": HEADER_MS}
    context.site = FramedSite(entries, store=StoreStandIn(), limits=limits)
    context.add_cleanup(context.site.stop)
    run(context, context.site.start())


@when(
    "{callers:d} callers send requests about {idle_ms:d} ms after their last ones for {lasts_s:d}"
    " s, and it is stalled {stalls:d} times, with seed {seed:d}"
)
def play_idle(
    context: Context, callers: int, idle_ms: int, lasts_s: int, stalls: int, seed: int
) -> None:
    play = context.play = EndingPlay(context.site, seed)
    idle_s = idle_ms / 1000
    work = play.play_idle(callers=callers, stalls=stalls, idle_s=idle_s, lasts_s=lasts_s)
    run(context, work)


@then("each request that it has read was answered")
def check_answered(context: Context) -> None:
    play = context.play
    counts = Counter(each.outcome for each in play.sent)
    cut = [each for each in play.sent if each.outcome in (Outcome.CLOSED, Outcome.PARTIAL)]
    assert counts[Outcome.ANSWERED] > MIN_ANSWERED, counts
    assert not cut, (counts, cut[:SHOWN])


@then("no request that its caller may send again has run")
def check_promises(context: Context) -> None:
    runs = context.site.runs
    wrong = [
        (each, runs.get(each.identity, 0))
        for each in context.play.sent
        if runs.get(each.identity, 0) > (0 if _may_come_again(each) else 1)
    ]
    assert not wrong, wrong[:SHOWN]


def _may_come_again(sent: Sent) -> bool:
    return sent.outcome is Outcome.UNREAD or sent.status in NOT_RUN_STATUSES


@given('a direct entry, and a target that sends an extra "{status}" with "{identity}" {moment}')
def start_extra(context: Context, status: str, identity: str, moment: str) -> None:
    named = "r-first" if identity == "the earlier ID" else None
    body = b"of another request" if status == "200" else b""
    extra = response(int(status[:3]), named, body=body, not_run="not run" in status)
    context.entry = DirectEntry()
    before_second = moment == "before the second is sent"
    context.target = ExtraTarget("first", extra=extra, before_second=before_second)
    context.add_cleanup(context.target.listening.close)
    run(context, context.entry.start(context.target))


@when("two requests that may run once are sent one after the other")
def send_two(context: Context) -> None:
    async def send() -> None:
        first = await context.entry.call("once", headers={"X-Request-Id": "r-first"})
        assert first.body == b"r-first", first
        reader, writer = await context.entry.connect()
        await asyncio.sleep(SETTLE_S)
        if context.target.before_second:
            writer.write(request_bytes("once", {"X-Request-Id": "r-second"}))
            context.target.may_send.set()
            # The entry's event loop stands still until both are there.
            assert context.target.has_sent.wait(ANSWERS_S)
            time.sleep(ARRIVE_S)
        else:
            writer.write(request_bytes("once", {"X-Request-Id": "r-second"}))
        context.answer = await read_response(reader)
        writer.close()

    run(context, send())


@then("neither got an answer of another request, nor a promise that it has not run although it ran")
def check_own_answer(context: Context) -> None:
    answer, runs = context.answer, context.target.ran.count("r-second")
    assert context.target.has_sent.is_set()
    assert answer.status, answer
    assert answer.status != 200 or answer.body == b"r-second", answer
    assert answer.status not in NOT_RUN_STATUSES or not runs, (answer, runs)
    assert runs <= 1, runs


@given("a kept connection of an entry to a target")
def keep_connection(context: Context) -> None:
    async def keep() -> None:
        listening = socket.create_server(("127.0.0.1", 0))
        context.add_cleanup(listening.close)
        context.pool = ChannelPool(listening.getsockname(), clock=SystemClock())
        context.kept, _ = await context.pool.acquire()
        context.accepted, _ = listening.accept()
        context.add_cleanup(context.accepted.close)
        context.pool.release(context.kept)

    run(context, keep())


@when("the target {does} and a request comes before the entry's event loop has run")
def use_kept(context: Context, does: str) -> None:
    async def use() -> None:
        if does == "sends an extra response":
            context.accepted.sendall(response(503, None, not_run=True))
        elif does != "does nothing":
            linger = struct.pack("ii", int(does == "resets it"), 0)
            context.accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            context.accepted.close()
        time.sleep(ARRIVE_S)
        channel, _ = await context.pool.acquire()
        context.is_same = channel is context.kept
        context.pool.discard(channel)

    run(context, use())


@then("the request is sent on {which} connection")
def check_connection(context: Context, which: str) -> None:
    assert context.is_same == (which == "the same")
