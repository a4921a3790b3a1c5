"""Steps that check how often an entry retries failed calls."""

import asyncio
import os
import random
from dataclasses import replace

from behave import given
from behave import then
from behave import when
from behave.runner import Context

from harness.direct_entry import entry_dependencies
from harness.direct_entry import settings_for
from harness.failing_store import FailingStore
from harness.virtual_time import VirtualClock
from harness.virtual_time import VirtualTimeLoop
from harness.virtual_time import run_in_virtual_time
from mimosaspur_daemon.direct.election import CoordinatorElection
from mimosaspur_daemon.direct.entrystate import EntryState
from mimosaspur_daemon.direct.storewatch import StoreWatch
from mimosaspur_state.eventlog import EventLog

MIN_OUTAGE_S = 7.0


class RecordingLog(EventLog):
    """Keep the event names of the lines in memory."""

    def __init__(self, instance: str, *, clock: VirtualClock, fd: int) -> None:
        super().__init__(instance, clock=clock, fd=fd)
        self.lines: list[str] = []

    def _append_line(self, kind: str, fields: dict[str, object]) -> None:
        self.lines.append(kind)
        super()._append_line(kind, fields)


@given("an entry in virtual time, beside a store whose {calls} {behave}")
def set_entry(context: Context, calls: str, behave: str) -> None:
    if calls == "writes" and behave.startswith("of the lease "):
        calls, behave = "writes of the lease", behave.removeprefix("of the lease ")
    context.loop = VirtualTimeLoop()
    context.store = FailingStore(calls, behave)
    clock = VirtualClock(context.loop)
    context.log = log = RecordingLog("entry-0", clock=clock, fd=os.open(os.devnull, os.O_WRONLY))
    context.state = EntryState(
        settings_for("entry-0"),
        entry_dependencies("entry-0", clock=clock, log=log, store=context.store),
    )
    context.clock = clock


@when("{seconds:d} s pass")
def pass_time(context: Context, seconds: int) -> None:
    async def play() -> None:
        watch = StoreWatch(context.state)
        duty = CoordinatorElection(context.state)
        duty.lease.clock = context.clock
        work = (watch.follow_targets(), watch.follow_configuration(), duty.run())
        tasks = [asyncio.create_task(each) for each in work]
        await asyncio.sleep(seconds)
        assert not any(task.done() for task in tasks), "a loop has ended"

    run_in_virtual_time(play(), context.loop)


@when("a target's registration is gone from the store and {seconds:d} s pass")
def expire_registration(context: Context, seconds: int) -> None:
    async def play() -> None:
        watch = StoreWatch(context.state)
        task = asyncio.create_task(watch.follow_targets())
        await asyncio.sleep(1)
        assert set(context.state.fleet.targets) == {"x", "y"}
        del context.store.targets["y"]
        await asyncio.sleep(seconds)
        assert not task.done(), "the loop has ended"

    run_in_virtual_time(play(), context.loop)


@then("it made at most {most:d} calls to the store and wrote at most {lines:d} log lines")
def check_most(context: Context, most: int, lines: int) -> None:
    assert context.store.calls <= most, (context.store.calls, context.store.counts)
    assert len(context.log.lines) <= lines, (len(context.log.lines), context.log.lines[:5])


@then("it made at least {least:d} calls")
def check_least(context: Context, least: int) -> None:
    assert context.store.calls >= least, context.store.calls


@then("the entry takes the target as gone")
def check_gone(context: Context) -> None:
    assert set(context.state.fleet.targets) == {"x"}, set(context.state.fleet.targets)


@then(
    "of {count:d} targets that leave {leaves:d} ms after its return and are gone {gone:d} ms later,"
    " none is used {by:d} ms after the return"
)
def check_left(context: Context, count: int, leaves: int, gone: int, by: int) -> None:
    for seed in range(count):
        random.seed(seed)
        set_entry(context, "calls", "are refused at once")
        # Vary the point between two attempts at which the outage ends.
        outage_s = MIN_OUTAGE_S + seed / count
        used = run_in_virtual_time(
            _is_used_after_outage(context, outage_s, leaves, gone, by), context.loop
        )
        assert not used, (seed, outage_s)


async def _is_used_after_outage(
    context: Context, outage_s: float, leaves_ms: int, gone_ms: int, by_ms: int
) -> bool:
    """Return whether a target that left shortly after an outage is still used."""
    store, state = context.store, context.state
    store.failing = ""
    task = asyncio.create_task(StoreWatch(state).follow_targets())
    await asyncio.sleep(1)
    store.failing = "calls"
    await asyncio.sleep(outage_s)
    store.failing = ""
    await asyncio.sleep(leaves_ms / 1000)
    store.change("y", replace(store.targets["y"], leaving=True))
    await asyncio.sleep(gone_ms / 1000)
    store.change("y", None)
    await asyncio.sleep((by_ms - leaves_ms - gone_ms) / 1000)
    assert not task.done()
    return any(view.record.identity == "y" for view in state.fleet.serving_targets("service"))
