"""Steps for moving streams off engines that are being removed."""

import asyncio
from dataclasses import replace
from typing import Any

from behave import given
from behave import then
from behave import when
from behave.runner import Context

from harness.direct_entry import REQUEST_KINDS
from harness.direct_entry import DirectEntry
from harness.direct_entry import engine_spec
from harness.direct_entry import model_spec
from harness.direct_entry import read_response
from harness.direct_entry import request_bytes
from harness.direct_moves import HANDLE
from harness.direct_moves import MovingEngines
from harness.direct_target import ScriptedTarget
from harness.loop import run
from mimosaspur_coordination.fleetports import StopUnconfirmed
from mimosaspur_daemon.direct.evacuation import Evacuation
from mimosaspur_platform.engines import PlatformEngines
from mimosaspur_state.clock import SystemClock
from mimosaspur_state.fleet import TargetRecord

EVENT_INTERVAL_S = 0.15
STREAM_BEGIN_S = 0.25
SETTLE_S = 0.6
HEADERS = {"X-Model": "notes", "X-Token-Counts": "10,6"}


@given("a direct entry before an engine that streams slowly and a sound one")
def start_entry(context: Context) -> None:
    async def start() -> None:
        context.entry = DirectEntry(engine=engine_spec([model_spec("notes")]))
        context.first = ScriptedTarget("first", event_s=EVENT_INTERVAL_S)
        context.second = ScriptedTarget("second")
        await context.entry.start(context.first, context.second)
        for view in context.entry.state.fleet.targets.values():
            view.residents = {"notes": frozenset()}

    run(context, start())


@given("the engines move runs: {answer}")
def set_answer(context: Context, answer: str) -> None:
    context.engines = MovingEngines(context.first, context.second, answer)
    context.second.refuses_continued = "refused" in answer
    context.first.refuses_continued = "refused at both" in answer
    context.first.unframed = "unframed" in answer
    state = context.entry.state
    state.dependencies = replace(state.dependencies, engines=context.engines)


@given("no repeats are left")
def spend_repeats(context: Context) -> None:
    window = context.entry.state.retry_window("service")
    while window.try_spend():
        pass


@given("the first engine sends an event each {event_ms:d} ms, and no reports for {silent_ms:d} ms")
def silence_reports(context: Context, event_ms: int, silent_ms: int) -> None:
    async def silence() -> None:
        context.first.event_s = event_ms / 1000
        now_s = asyncio.get_running_loop().time()
        context.engines.silent_until_s = now_s + silent_ms / 1000

    run(context, silence())


@given("{count:d} repeats are left")
def leave_repeats(context: Context, count: int) -> None:
    window = context.entry.state.retry_window("service")
    while window.try_spend():
        pass
    for _ in range(count):
        window.refund(window.repeats[0])


@when("{stream} has begun at the first engine, which leaves and will be gone in {gone}")
def evacuate_engine(context: Context, stream: str, gone: str) -> None:
    async def stream_and_leave() -> None:
        state = context.entry.state
        evacuation = Evacuation(state, context.entry.callers.handlers)
        watching = asyncio.create_task(evacuation.run())
        reader, writer = await context.entry.connect()
        writer.write(request_bytes(REQUEST_KINDS[stream][0], HEADERS))
        receiving = asyncio.create_task(read_response(reader))
        await asyncio.sleep(STREAM_BEGIN_S)
        if gone != "no time":
            context.engines.gone_in_ms = int(gone.removesuffix(" ms"))
        record = state.fleet.targets["first"].record
        state.on_targets_changed(state.fleet.update([replace(record, leaving=True)], []))
        if "caller leaves" in context.engines.answer:
            await asyncio.sleep(0.05)
            writer.transport.abort()
        context.answer = await receiving
        await asyncio.sleep(SETTLE_S)
        watching.cancel()

    run(context, stream_and_leave())


@then("the direct caller gets nothing more")
def check_nothing_more(context: Context) -> None:
    assert not context.answer.whole


@then("the first engine began it once, and the second one {second}")
def check_runs(context: Context, second: str) -> None:
    begun = [each for each in context.first.seen if "x-continued-from" not in each.headers]
    assert len(begun) == 1, context.first.seen
    seen = context.second.seen
    if second == "never saw it":
        assert not seen, seen
        return
    host, port = context.entry.state.fleet.targets["first"].record.address
    assert len(seen) == 1, seen
    assert seen[0].headers["x-continued-from"] == f"{host}:{port}/{HANDLE}", seen
    assert int(seen[0].headers["last-event-id"]) >= 1, seen
    assert seen[0].ran == (second != "refused it"), seen


@then("{left:d} copies of memory are left at engines")
def check_left(context: Context, left: int) -> None:
    assert context.engines.unreleased_copies() == left, (
        context.engines.made,
        context.engines.dropped,
    )


@then("{repeats:d} repeats are spent")
def check_spent(context: Context, repeats: int) -> None:
    window = context.entry.state.retry_window("service")
    assert window.state().repeats == repeats, window.state()


@given("an engine of the platform that answers a move with {status} and {body}")
def start_platform_engine(context: Context, status: str, body: str) -> None:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        if status == "none":
            writer.close()
            return
        head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n"
        writer.write((head + body).encode())
        await writer.drain()

    async def start() -> None:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address: Any = server.sockets[0].getsockname()[:2]
        context.platform_engine = TargetRecord("engine-0", "service", address, "here")

    run(context, start())


@when("a run there is to be stopped and copied")
def stop_and_copy(context: Context) -> None:
    engines = PlatformEngines(clock=SystemClock())
    engine = context.platform_engine
    context.stopped = None
    context.unconfirmed = False
    try:
        context.stopped = run(context, engines.stop_and_copy(engine, b"r-1", engine))
    except StopUnconfirmed:
        context.unconfirmed = True


@then("the run {outcome}")
def check_outcome(context: Context, outcome: str) -> None:
    stopped = context.stopped
    assert context.unconfirmed == (outcome == "may have been stopped"), stopped
    if context.unconfirmed:
        return
    if outcome == "was not stopped":
        assert stopped is None, stopped
        return
    assert stopped.handle == HANDLE
    assert stopped.copied == outcome.endswith("at the other"), stopped
