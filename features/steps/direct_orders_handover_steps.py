"""Steps of instances that hand the duty of ordering engines over."""

import asyncio

from behave import given
from behave import then
from behave import when
from behave.runner import Context

from harness.direct_entry import entry_dependencies
from harness.direct_entry import settings_for
from harness.direct_fleet import LeaseStore
from harness.direct_fleet import TwoInstances
from harness.failing_store import UNREACHABLE
from harness.loop import run
from harness.ordered_engine import POLL_S
from mimosaspur_coordination.fleetports import LeaseRecord
from mimosaspur_coordination.orderlease import CONFIRMATION_VALIDITY_MS
from mimosaspur_daemon.direct.election import CoordinatorElection
from mimosaspur_daemon.direct.entrystate import EntryState
from mimosaspur_protocol.peermessages import FleetReport
from mimosaspur_protocol.peermessages import StepDown
from mimosaspur_transport.peerlink import PeerLink

TIMEOUT_S = 8.0
# Longer than any handover.
LONG_AGO_MS = 60_000


@given("two instances with one store and an engine")
def start_two(context: Context) -> None:
    context.two = TwoInstances()
    run(context, context.two.start())


@given("two instances with one store and an engine, and a handover of {handover_ms:d} ms")
def start_two_with_handover(context: Context, handover_ms: int) -> None:
    context.two = TwoInstances()
    context.two.handover_ms = handover_ms
    run(context, context.two.start())


@when("the coordinator is told to leave")
def leave(context: Context) -> None:
    run(context, context.two.hand_over())


@then("the other one coordinates, and no order came within the handover of the first one's last")
def check_handover(context: Context) -> None:
    two = context.two
    holders = [holder for holder, _ in two.orders]
    assert set(holders) == {"entry-0", "entry-1"}, holders
    turn = holders.index("entry-1")
    assert set(holders[turn:]) == {"entry-1"}, holders
    gap_ms = two.orders[turn][1] - two.orders[turn - 1][1]
    assert gap_ms >= two.handover_ms, gap_ms
    run(context, two.stop())


@when("the coordinator is told to leave between the two orders of a swap, while it reads the lease")
def leave_in_swap(context: Context) -> None:
    run(context, context.two.hand_over_in_swap())


@then("it has given no order since, and the other one keeps to the handover")
def check_no_order_since(context: Context) -> None:
    two = context.two
    since = [holder for holder, _ in two.orders[two.orders_before_step_down :]]
    assert "entry-0" not in since, since
    check_handover(context)


@given("an instance that takes the lease over, whose write is answered late")
def start_writing(context: Context) -> None:
    context.two = two = TwoInstances()
    write, context.answered, written = two.store.write_lease, asyncio.Event(), asyncio.Event()

    async def write_slowly(record: LeaseRecord) -> LeaseRecord:
        stored = await write(record)
        written.set()
        await context.answered.wait()
        return stored

    async def start() -> None:
        await two._start_one("entry-0")
        async with asyncio.timeout(TIMEOUT_S):
            await written.wait()

    two.store.write_lease = write_slowly  # type: ignore[method-assign]
    run(context, start())


@when("it steps down before the answer")
def step_down_in_write(context: Context) -> None:
    context.two.states[0].leaving = True
    context.two.elections[0].step_down()
    context.answered.set()


@then("it gives no order in the next second")
def check_no_order(context: Context) -> None:
    assert not run(context, context.two.orders_within(1.0))
    run(context, context.two.stop())


@given("an entry that follows a coordinator, which steps down")
def follow_until_step_down(context: Context) -> None:
    context.store = LeaseStore()
    ports = entry_dependencies("entry-1", store=context.store)
    context.election = CoordinatorElection(EntryState(settings_for("entry-1"), ports))
    context.tasks = [run(context, _follow_until_step_down(context.store, context.election))]


async def _follow_until_step_down(
    store: LeaseStore, election: CoordinatorElection
) -> asyncio.Task[None]:
    async def step_down(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        link = PeerLink(reader, writer)
        link.send(FleetReport(1, True, 2, [], [], {}))
        link.send(StepDown(LONG_AGO_MS, 1))
        await link.finish_sending()

    server = await asyncio.start_server(step_down, "127.0.0.1", 0)
    store.record = LeaseRecord("entry-0", server.sockets[0].getsockname(), 1, 1)
    task = asyncio.create_task(election.run())
    async with asyncio.timeout(TIMEOUT_S):
        while election.predecessor_last_order_ms is None:
            await asyncio.sleep(POLL_S)
    server.close()
    return task


@when("a third instance takes the lease, and the entry can't reach it")
def take_by_third(context: Context) -> None:
    context.store.record = LeaseRecord("entry-2", UNREACHABLE, 2, 2)


@then("the entry takes the lease over and waits until the third instance's proof has run out")
def check_waits_for_third(context: Context) -> None:
    async def take_over() -> None:
        async with asyncio.timeout(TIMEOUT_S):
            while not context.election.coordinator:
                await asyncio.sleep(POLL_S)

    run(context, take_over())
    lease = context.election.lease
    assert context.store.record.holder == "entry-1", context.store.record
    wait_ms = lease.first_order_ms - lease.clock.now_ms()
    assert wait_ms > CONFIRMATION_VALIDITY_MS, wait_ms
    for task in context.tasks:
        task.cancel()


@when("the coordinator ends and starts again after {pause_ms:d} ms")
def restart_coordinator(context: Context, pause_ms: int) -> None:
    run(context, context.two.restart_first(pause_ms / 1000))


@then("it orders again before its successor might have, and no other instance has ordered")
def check_taken_back(context: Context) -> None:
    two = context.two
    before, after = two.orders[: two.orders_before_restart], two.orders[two.orders_before_restart :]
    assert {holder for holder, _ in two.orders} == {"entry-0"}, two.orders
    gap_ms = after[0][1] - before[-1][1]
    assert gap_ms < two.handover_ms, gap_ms
    run(context, two.stop())


@when("the store is away for both")
def store_away(context: Context) -> None:
    context.two.store.away = True


@then("the coordinator goes on with orders beyond its proof")
def check_goes_on(context: Context) -> None:
    run(context, asyncio.sleep(CONFIRMATION_VALIDITY_MS / 1000 + 0.5))
    assert set(run(context, context.two.orders_within(1.5))) == {"entry-0"}


@when("the second instance is lost")
def lose_second(context: Context) -> None:
    context.two.kill_second()


@then("no orders are given once the last proof has run out")
def check_stopped(context: Context) -> None:
    run(context, asyncio.sleep(CONFIRMATION_VALIDITY_MS / 1000 + 0.5))
    assert run(context, context.two.orders_within(1.5)) == []


@when("the store is back")
def store_back(context: Context) -> None:
    context.two.store.away = False


@then("the coordinator orders again")
def check_orders_again(context: Context) -> None:
    run(context, asyncio.sleep(1.5))
    assert set(run(context, context.two.orders_within(1.5))) == {"entry-0"}
    run(context, context.two.stop())
