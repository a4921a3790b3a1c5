"""Steps for stopping a process by signal or when it is no longer needed."""

import asyncio
import json
import os
import signal
import threading
import time
from dataclasses import replace

from behave import given
from behave import then
from behave import when
from behave.runner import Context

from harness.direct_entry import UnavailableStore
from harness.direct_entry import configuration
from harness.direct_entry import entry_dependencies
from harness.direct_entry import read_response
from harness.direct_entry import request_bytes
from harness.direct_entry import settings_for
from harness.direct_target import ScriptedTarget
from harness.direct_workspaces import workspace
from harness.loop import run
from harness.recorded_log import RecordedLog
from mimosaspur_coordination.fleetports import TargetListing
from mimosaspur_daemon.application import Application
from mimosaspur_daemon.direct.application import EntryApplication
from mimosaspur_state.eventlog import EventLog
from mimosaspur_state.fleet import TargetRecord
from mimosaspur_state.workspaces import Quota
from mimosaspur_state.workspaces import QuotaUnit

SIGNAL_DELAY_S = 0.2
# Stops an application that misses the signal, so that the scenario ends.
RUN_TIMEOUT_S = 4.0


def _send_signal() -> None:
    time.sleep(SIGNAL_DELAY_S)
    os.kill(os.getpid(), signal.SIGTERM)


@given("an application whose main thread blocks the signal to stop")
def make_application(context: Context) -> None:
    handlers = {number: signal.getsignal(number) for number in (signal.SIGTERM, signal.SIGINT)}
    for number, handler in handlers.items():
        context.add_cleanup(signal.signal, number, handler)
    context.application = Application()
    context.application.handle_signals()
    # A thread inherits the signal mask of its starter: start this one before blocking SIGTERM.
    context.sender = threading.Thread(target=_send_signal, daemon=True)


@when("another thread of it takes the signal")
def run_application(context: Context) -> None:
    application: Application = context.application
    timer = threading.Timer(RUN_TIMEOUT_S, application.stop_requests.put, (None,))
    timer.daemon = True
    started_s = time.monotonic()
    context.sender.start()
    timer.start()
    signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGTERM,))
    try:
        application.run()
    finally:
        signal.pthread_sigmask(signal.SIG_UNBLOCK, (signal.SIGTERM,))
        timer.cancel()
    context.stop_ms = (time.monotonic() - started_s) * 1000


@then("the application stops within {max_ms:d} ms")
def check_stopped(context: Context, max_ms: int) -> None:
    assert context.stop_ms <= max_ms, context.stop_ms


@given("an entry's application that serves callers")
def make_entry_application(context: Context) -> None:
    settings = settings_for("entry-0", peer_port=0)
    context.read_end, write_end = os.pipe()
    log = EventLog("entry-0", fd=write_end)
    context.entry = EntryApplication(settings, entry_dependencies("entry-0", log=log))


@when("it gets the signal to tell its stacks")
def signal_stacks(context: Context) -> None:
    async def signalled() -> None:
        serving = asyncio.create_task(context.entry.run())
        await asyncio.sleep(SIGNAL_DELAY_S)
        os.kill(os.getpid(), signal.SIGUSR1)
        await asyncio.sleep(SIGNAL_DELAY_S)
        context.serving = not serving.done()
        serving.cancel()
        await asyncio.gather(serving, return_exceptions=True)

    run(context, signalled())


@then("its log names the places where its tasks wait, and it still serves")
def check_stacks(context: Context) -> None:
    lines = [json.loads(line) for line in os.read(context.read_end, 1_000_000).splitlines()]
    stacks = [line for line in lines if line["event"] == "stacks"]
    assert len(stacks) == 1, lines
    assert any("follow_targets" in place for place in stacks[0]["places"]), stacks
    assert context.serving


@given(
    "an entry's application with a grace time of {grace_ms:d} ms, and a request that doesn't end"
)
def make_application_with_request(context: Context, grace_ms: int) -> None:
    async def make() -> None:
        settings = replace(settings_for("entry-0"), shutdown_ms=grace_ms)
        context.entry = EntryApplication(settings, entry_dependencies("entry-0"))
        context.target = ScriptedTarget("target", "says nothing")
        state = context.entry.state
        state.configuration = configuration()
        state.targets_known = True
        address = await context.target.start()
        state.fleet.update([TargetRecord("target", "service", address, "here", slots=4)], [])

    run(context, make())


@when("it gets the signal to stop as it begins to stand still for {still_ms:d} ms")
def stop_while_still(context: Context, still_ms: int) -> None:
    async def stop() -> None:
        running = asyncio.create_task(context.entry.run())
        while not context.entry.callers.server:
            await asyncio.sleep(0.01)
        port = context.entry.callers.server.sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(request_bytes("once"))
        await asyncio.sleep(SIGNAL_DELAY_S)
        began_s = time.monotonic()
        os.kill(os.getpid(), signal.SIGTERM)
        time.sleep(still_ms / 1000)
        context.answer = await read_response(reader)
        await running
        writer.close()
        context.ended_ms = (time.monotonic() - began_s) * 1000

    run(context, stop())


@then("it has ended within {most_ms:d} ms of the signal, and the request was answered")
def check_ended(context: Context, most_ms: int) -> None:
    assert context.ended_ms < most_ms, context.ended_ms
    assert context.answer.whole, context.answer


class FaultyStore(UnavailableStore):
    """Raise an error that isn't foreseen, some times, then list no targets."""

    def __init__(self, faults: int) -> None:
        self.faults = faults
        self.listed = asyncio.Event()

    async def list_targets(self) -> TargetListing:
        """Return no targets."""
        if self.faults:
            self.faults -= 1
            raise KeyError("service")
        self.listed.set()
        return TargetListing({}, 1)


@given(
    "an entry's application whose store's answers raise an error that nothing foresees,"
    " {count:d} times"
)
def make_faulty_application(context: Context, count: int) -> None:
    context.log = RecordedLog("entry-0")
    context.store = FaultyStore(count)
    dependencies = entry_dependencies("entry-0", log=context.log, store=context.store)
    context.entry = EntryApplication(settings_for("entry-0"), dependencies)


@when("it runs until it has read the store")
def run_until_read(context: Context) -> None:
    async def read() -> None:
        serving = asyncio.create_task(context.entry.run())
        async with asyncio.timeout(RUN_TIMEOUT_S):
            await context.store.listed.wait()
        context.serving = not serving.done() and not context.entry.state.leaving
        serving.cancel()
        await asyncio.gather(serving, return_exceptions=True)

    run(context, read())


@then("it has logged {count:d} failed tasks and still serves")
def check_failed_tasks(context: Context, count: int) -> None:
    failed = [line for line in context.log.of_kind("task_failed") if "KeyError" in str(line)]
    assert len(failed) == count, context.log.lines
    assert context.serving


@given("an entry's application before a target that takes {took_ms:d} ms")
def make_application_before_target(context: Context, took_ms: int) -> None:
    async def make() -> None:
        context.entry = EntryApplication(settings_for("entry-0"), entry_dependencies("entry-0"))
        context.target = ScriptedTarget("target", "is slow to answer", pause_s=took_ms / 1000)
        state = context.entry.state
        state.configuration = configuration()
        state.targets_known = True
        address = await context.target.start()
        state.fleet.update([TargetRecord("target", "service", address, "here", slots=4)], [])
        await context.entry.callers.listen()

    run(context, make())


@when("it ends since nobody needs it, and a request comes on an open connection {when}")
def end_and_send(context: Context, when: str) -> None:
    async def end() -> None:
        application = context.entry
        application._may_stop = lambda: True
        port = application.callers.server.sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        # Give the entry time to accept the connection.
        await asyncio.sleep(0.05)
        stopping = asyncio.create_task(application._stop())
        await asyncio.sleep(0 if when == "just then" else int(when.split()[0]) / 1000)
        writer.write(request_bytes("once"))
        answering = asyncio.create_task(read_response(reader))
        await stopping
        # Abort open connections as the exit of the process does.
        for connection in list(application.callers.connections):
            connection.abort()
        context.answer = await answering

    run(context, end())


@given("its workspaces have quotas, of which no coordinator has told it yet")
def set_quotas(context: Context) -> None:
    quota = Quota(unit=QuotaUnit.REQUESTS, per_s=10.0, burst=10.0)
    north = workspace("north", ("n-1",), quota=quota)
    context.entry.state.configuration = replace(configuration(), workspaces=(north,))
    context.entry.state.freshness.confirm("configuration", age_ms=0)


@when("it ends since nobody needs it, while a request waits for the first quotas")
def end_while_waiting(context: Context) -> None:
    async def end() -> None:
        application = context.entry
        application._may_stop = lambda: True
        port = application.callers.server.sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(request_bytes("once", {"Authorization": "Bearer n-1"}))
        await asyncio.sleep(0.05)
        answering = asyncio.create_task(read_response(reader))
        await application._stop()
        # Abort open connections as the exit of the process does.
        for connection in list(application.callers.connections):
            connection.abort()
        context.answer = await answering

    run(context, end())


@then("the caller has a whole answer, or a refusal of a request that did not run")
def check_answer(context: Context) -> None:
    assert context.answer.whole, context.answer
    ran = context.target.runs()
    assert (context.answer.status, ran) in ((200, 1), (503, 0)), (context.answer, ran)
