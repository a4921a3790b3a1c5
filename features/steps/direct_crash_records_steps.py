"""Steps for what an entry records of crashes."""

import asyncio

from behave import given
from behave import then
from behave import when
from behave.runner import Context

from harness.direct_entry import DOMAIN
from harness.direct_entry import DirectEntry
from harness.direct_entry import read_response
from harness.direct_entry import request_bytes
from harness.direct_target import ScriptedTarget
from harness.loop import run
from harness.route_digest import route_digest
from mimosaspur_state.fleet import TargetRecord

# Longer than both probes of a target.
CRASH_NOTICE_S = 0.3


@given("an entry before a target that crashes, and starts again under its identity")
def start_restarting(context: Context) -> None:
    async def start() -> None:
        context.entry = DirectEntry()
        first = ScriptedTarget("target", "says nothing")
        await context.entry.start(first)
        await _crash_under_request(context.entry, first, b"first")

    run(context, start())


async def _crash_under_request(entry: DirectEntry, target: ScriptedTarget, body: bytes) -> None:
    """Send a request to a target and let the target crash."""
    reader, writer = await entry.connect()
    seen = len(target.seen)
    writer.write(request_bytes("once", body=body))
    while len(target.seen) == seen:
        await asyncio.sleep(0.01)
    assert target.server
    target.server.close()
    target.stop_streams()
    await read_response(reader)
    await asyncio.sleep(CRASH_NOTICE_S)
    writer.close()


@when("it breaks off a request and goes on, and crashes under another one")
def restart_and_crash(context: Context) -> None:
    async def play() -> None:
        second = ScriptedTarget("target", "closes without an answer")
        address = await second.start()
        record = TargetRecord("target", "service", address, DOMAIN, slots=4, started_ms=2_000)
        state = context.entry.state
        state.on_targets_changed(state.fleet.update([record], []))
        await context.entry.call("once")
        await asyncio.sleep(CRASH_NOTICE_S)
        second.seen.clear()
        second.fault = "says nothing"
        await _crash_under_request(context.entry, second, b"second")

    run(context, play())


@then("the requests were at {count:d} crashes, one of them at none")
def check_crash_records(context: Context, count: int) -> None:
    ledger = context.entry.state.quarantine.ledger
    assert len(ledger.crashes) == count, ledger.crashes
    assert ledger.crash_count(route_digest("once")) == 0, ledger.crashes
    assert all(len(crash.traits) == 1 for crash in ledger.crashes.values()), ledger.crashes
