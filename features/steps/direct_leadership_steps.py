"""Steps of the election of the coordinator."""

import asyncio
import random
from dataclasses import replace

from behave import given
from behave import then
from behave import when
from behave.runner import Context

from harness.direct_entry import UnavailableStore
from harness.direct_entry import entry_dependencies
from harness.direct_entry import settings_for
from harness.direct_fleet import LeaseStore
from harness.failing_store import UNREACHABLE
from harness.virtual_time import VirtualClock
from harness.virtual_time import VirtualTimeLoop
from harness.virtual_time import run_in_virtual_time
from mimosaspur_coordination.coordinatorcapacity import update_pause_s
from mimosaspur_coordination.fleetports import LeaseRecord
from mimosaspur_daemon.direct.coordinator import Coordinator
from mimosaspur_daemon.direct.election import CoordinatorElection
from mimosaspur_daemon.direct.entrystate import EntryState
from mimosaspur_daemon.direct.members import Member
from mimosaspur_protocol.peermessages import LeaseReadRequest
from mimosaspur_protocol.peermessages import PeerMessage
from mimosaspur_state.directsettings import DirectSettings
from mimosaspur_state.errors import StoreUnavailable

TIMEOUT_S = 10.0
LOST = LeaseRecord("lost", UNREACHABLE, 1, 1)
HELD = LeaseRecord("coordinator", UNREACHABLE, 1, 1)


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
        context.taken.append(
            run_in_virtual_time(_first_holder(context.machines, first, loop), loop)
        )


async def _first_holder(
    machines: list[DirectSettings], first: LeaseRecord | None, loop: VirtualTimeLoop
) -> tuple[str, float]:
    """Return the first holder of the lease, and the time that took in ms."""
    store = LeaseStore()
    store.record = first
    clock = VirtualClock(loop)
    tasks = []
    for settings in machines:
        state = EntryState(
            settings, entry_dependencies(settings.instance, clock=clock, store=store)
        )
        election = CoordinatorElection(state)
        election.lease.clock = clock
        tasks.append(asyncio.create_task(election.run()))
    began_s = loop.time()
    while store.record is first and loop.time() < began_s + TIMEOUT_S:
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
    pause_s = update_pause_s(context.settings, sent_bytes=kb * 1000, recipients=hearers)
    assert round(pause_s * 1000) == pause, pause_s


class OneAnswerStore(UnavailableStore):
    """Answer all reads of the lease in the same way."""

    def __init__(self, answers: str) -> None:
        self.answers = answers

    async def read_lease(self) -> LeaseRecord | None:
        """Return the lease, fail, or time out."""
        if self.answers == "answers nothing":
            await asyncio.sleep(TIMEOUT_S)
        if self.answers == "turns it away":
            raise StoreUnavailable("busy")
        return HELD


@given("a coordinator that {count:d} entries follow, whose store {answers}")
def set_coordinator(context: Context, count: int, answers: str) -> None:
    context.loop = VirtualTimeLoop()
    clock = VirtualClock(context.loop)
    ports = entry_dependencies("coordinator", clock=clock, store=OneAnswerStore(answers))
    state = EntryState(settings_for("coordinator"), ports)
    election = context.election = CoordinatorElection(state)
    election.lease.clock = clock
    election.lease.acquire(HELD, asked_ms=clock.now_ms(), predecessor="")
    election.coordinator = Coordinator(state, election.lease, election.configuration_exchange)
    context.links = [AskedLink() for _ in range(count)]
    for number, link in enumerate(context.links):
        member = Member(link=link)
        election.coordinator.members.members[f"entry-{number}"] = member


class AskedLink:
    """Fake a link to an entry, and count requests for a proof."""

    def __init__(self) -> None:
        self.asked = 0

    def send(self, message: PeerMessage) -> None:
        """Count a request for a proof."""
        self.asked += isinstance(message, LeaseReadRequest)


@when("the lease has to be proved {times:d} times")
def prove(context: Context, times: int) -> None:
    async def renew() -> None:
        for _ in range(times):
            await context.election._renew()

    run_in_virtual_time(renew(), context.loop)


@then("{count:d} entries were asked to read it")
def check_asked(context: Context, count: int) -> None:
    assert sum(link.asked for link in context.links) == count


@when("{seconds:d} s pass in which an entry that was lost leaves the proof incomplete")
def hold(context: Context, seconds: int) -> None:
    async def play() -> None:
        context.election.coordinator.required_proofs = {"lost"}
        holding = asyncio.create_task(context.election._hold_lease([]))
        await asyncio.sleep(seconds)
        assert not holding.done(), "the lease was given up though nobody else has it"

    run_in_virtual_time(play(), context.loop)


@then("between {least:d} and {most:d} requests for a proof were sent to each entry")
def check_requests(context: Context, least: int, most: int) -> None:
    asked = [link.asked for link in context.links]
    assert least <= min(asked) and max(asked) <= most, asked
