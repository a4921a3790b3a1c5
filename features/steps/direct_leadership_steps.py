"""Steps of who takes the duty to coordinate."""

import asyncio
import random
from dataclasses import replace

from behave import given
from behave import then
from behave import when
from behave.runner import Context

from harness.direct_fleet import LeaseStore
from harness.direct_world import outside
from harness.direct_world import settings_for
from harness.failing_store import UNREACHABLE
from harness.virtual_time import VirtualClock
from harness.virtual_time import VirtualTimeLoop
from harness.virtual_time import run_virtually
from mimosaspur_coordination.carrying import news_pause_s
from mimosaspur_coordination.fleetports import LeaseRecord
from mimosaspur_daemon.direct.duty import Duty
from mimosaspur_daemon.direct.entrystate import EntryState
from mimosaspur_state.directsettings import DirectSettings

GIVEN_UP_S = 10.0
LOST = LeaseRecord("lost", UNREACHABLE, 1, 1)


@given("a store beside machines of {machines}")
def set_machines(context: Context, machines: str) -> None:
    context.machines = []
    for machine in machines.split("; "):
        name, cores, mbps = machine.split()
        settings = replace(settings_for(name), cores=float(cores), link_mbps=float(mbps))
        context.machines.append(settings)


@when("all of them look for a coordinator at once, {times:d} times with {lease}")
def contend(context: Context, times: int, lease: str) -> None:
    context.taken = []
    for seed in range(times):
        random.seed(seed)
        loop = VirtualTimeLoop()
        first = None if lease == "no lease yet" else LOST
        context.taken.append(run_virtually(_first_holder(context.machines, first, loop), loop))


async def _first_holder(
    machines: list[DirectSettings], first: LeaseRecord | None, loop: VirtualTimeLoop
) -> tuple[str, float]:
    """Return who takes the lease, and after how many ms."""
    store = LeaseStore()
    store.record = first
    clock = VirtualClock(loop)
    tasks = []
    for settings in machines:
        state = EntryState(settings, outside(settings.instance, clock=clock, store=store))
        duty = Duty(state)
        duty.lease.clock = clock
        tasks.append(asyncio.create_task(duty.run()))
    began_s = loop.time()
    while store.record is first and loop.time() < began_s + GIVEN_UP_S:
        await asyncio.sleep(0.01)
    assert store.record is not None
    return store.record.holder, (loop.time() - began_s) * 1000


@then("each time one of {carriers} takes the lease, within {within:d} ms")
def check_taken(context: Context, carriers: str, within: int) -> None:
    for holder, took_ms in context.taken:
        assert holder in carriers.split(" or "), context.taken
        assert took_ms <= within, context.taken


@given("a machine with a link of {mbps:d} Mbit/s")
def set_link(context: Context, mbps: int) -> None:
    context.settings = replace(settings_for("entry-0"), link_mbps=float(mbps))


@then(
    "after {kb:d} KB of news to {hearers:d} entries the next go out {pause:d} ms later at the"
    " soonest"
)
def check_pause(context: Context, kb: int, hearers: int, pause: int) -> None:
    pause_s = news_pause_s(context.settings, sent_bytes=kb * 1000, hearers=hearers)
    assert round(pause_s * 1000) == pause, pause_s
