"""Steps of orders to engines, and of the lease for them."""

import asyncio
import time
from dataclasses import replace

from behave import given
from behave import then
from behave import when
from behave.runner import Context

from harness.direct_engine import REPORT_LAG_S
from harness.direct_engine import SimulatedEngine
from harness.direct_engine import random_unanswered
from harness.direct_entry import entry_dependencies
from harness.direct_entry import null_log
from harness.direct_entry import settings_for
from harness.direct_fleet import LeaseStore
from harness.direct_fleet import ManualClock
from harness.direct_fleet import TwoInstances
from harness.direct_store import StoreStandIn
from harness.failing_store import UNREACHABLE
from harness.loop import run
from mimosaspur_coordination.fleetports import LeaseRecord
from mimosaspur_coordination.orderlease import CONFIRMATION_VALIDITY_MS
from mimosaspur_coordination.orderlease import OrderLease
from mimosaspur_coordination.outstandingloads import OutstandingLoads
from mimosaspur_daemon.direct.election import CoordinatorElection
from mimosaspur_daemon.direct.enginecontroller import EngineController
from mimosaspur_daemon.direct.entrystate import EntryState
from mimosaspur_platform.engines import PlatformEngines
from mimosaspur_protocol.peermessages import FleetReport
from mimosaspur_protocol.peermessages import StepDown
from mimosaspur_state.clock import SystemClock
from mimosaspur_state.fleet import EngineOrder
from mimosaspur_state.fleet import OrderKind
from mimosaspur_state.fleet import TargetRecord
from mimosaspur_transport.peerlink import PeerLink

ADDRESS = ("127.0.0.1", 1)
RECORD = TargetRecord("engine-0", "service", ADDRESS, "here")
ORDER_COUNT = 60
LOAD_MS = 150
ADAPTERS = [f"a{number}" for number in range(8)]
SETTLE_S = 2.2
POLL_S = 0.02
OBSERVATION_S = 1.5
TIMEOUT_S = 8.0
# Longer than any handover.
LONG_AGO_MS = 60_000
NEVER_MS = 60_000


@given(
    "an ordered engine that holds a, b and c and leaves a third of orders unanswered "
    "by seed {seed:d}"
)
def start_random_engine(context: Context, seed: int) -> None:
    context.engine = SimulatedEngine(
        residents={name: set() for name in "abc"},
        unanswered=random_unanswered(seed, ORDER_COUNT),
        late_s=0.3,
    )


@given("an ordered engine that holds {held} and leaves orders {numbers} unanswered, {late}")
def start_engine(context: Context, held: str, numbers: str, late: str) -> None:
    late_ms = int("".join(filter(str.isdigit, late)) or 0)
    if late == "never carried out":
        late_ms = NEVER_MS
    context.engine = SimulatedEngine(
        residents={name: set() for name in _names(held)},
        unanswered=frozenset(int(number) for number in numbers.split(",")),
        late_s=late_ms / 1000,
    )


def _names(text: str) -> set[str]:
    return set(text.replace(" and ", ", ").split(", ")) - {"nothing"}


async def _start_controller(
    engine: SimulatedEngine,
    *,
    record: TargetRecord = RECORD,
    outstanding: OutstandingLoads | None = None,
) -> EngineController:
    lease = OrderLease("me", handover_ms=0, clock=ManualClock(1_000))
    lease.acquire(LeaseRecord("me", ADDRESS, 1, 1), asked_ms=1_000, predecessor="")
    clock = SystemClock()
    log = null_log("me")
    controller = EngineController(
        record,
        port=engine,
        lease=lease,
        outstanding=outstanding or OutstandingLoads(clock=clock),
        clock=clock,
        log=log,
        on_change=lambda: None,
    )
    await controller.refresh()
    return controller


@given("at order {number:d} it counts one more order than the desk knows")
def count_unknown_order(context: Context, number: int) -> None:
    context.engine.extra_counts = frozenset((number,))


@given("at order {number:d} an earlier holder's load of x is carried out first")
def execute_foreign_load(context: Context, number: int) -> None:
    context.engine.foreign_orders = {
        number: EngineOrder(OrderKind.LOAD, "x", "", number - 1, "other", 1)
    }


@given("its adapter places are full but for one")
def fill_adapters(context: Context) -> None:
    context.engine.residents["a"] = set(ADAPTERS[: context.engine.adapter_slots - 1])


@given("its loads take {ms:d} ms")
def set_load_time(context: Context, ms: int) -> None:
    context.engine.load_s = ms / 1000


@when("the desk loads b and then c, each in an expected {ms:d} ms")
def load_two_models(context: Context, ms: int) -> None:
    async def load() -> None:
        context.controller = await _start_controller(context.engine)
        assert await context.controller.swap("b", (), load_ms=ms)
        assert await context.controller.swap("c", (), load_ms=ms)

    run(context, load())


@then("it counts the room of a, b and c as taken")
def check_room_taken(context: Context) -> None:
    controller = context.controller
    taken = {*controller.residents, *controller.reserved_models()}
    assert taken == {"a", "b", "c"}, taken


@given("its adapter places are full")
def fill_all_adapters(context: Context) -> None:
    context.engine.residents["a"] = set(ADAPTERS[: context.engine.adapter_slots])


@given("the desk has counted one order more than the engine")
def count_too_many(context: Context) -> None:
    async def count() -> None:
        context.controller = await _start_controller(context.engine)
        context.controller.sequence += 1
        context.controller.sequence_ms = context.controller.clock.now_ms()

    run(context, count())


@when("adapter y is ordered in vain, and adapter z after it")
def load_two_adapters(context: Context) -> None:
    async def load() -> None:
        places = context.engine.adapter_slots
        assert not await context.controller.load_adapter("a", "y", slots=places)
        await context.controller.load_adapter("a", "z", slots=places)
        await asyncio.sleep(context.engine.late_s)

    run(context, load())


@when("the desk swaps nothing for d in vain")
def swap_in_vain_for_nothing(context: Context) -> None:
    async def swap() -> None:
        assert not await context.controller.swap("d", (), load_ms=LOAD_MS)

    run(context, swap())


@then("it keeps room for d, and after {ms:d} ms no more")
def check_kept_free(context: Context, ms: int) -> None:
    controller = context.controller
    assert controller.reserved_models() == ("d",), controller.reserved_models()
    controller.outstanding.clock = ManualClock(controller.clock.now_ms() + ms)
    assert controller.reserved_models() == ()


@then("no adapter was ordered to be unloaded for two counts of orders")
def check_unloads(context: Context) -> None:
    unloads = [each for each in context.engine.received if each.kind is OrderKind.UNLOAD]
    assert unloads
    counts = {each.expected_sequence for each in unloads}
    assert len(counts) == 1, unloads


@given("at order 1 an earlier holder's load of adapter x is carried out first")
def execute_foreign_adapter(context: Context) -> None:
    context.engine.foreign_orders = {1: EngineOrder(OrderKind.LOAD, "a", "x", 0, "other", 1)}


@when("the desk is told once to swap {victims} for d")
def swap_once(context: Context, victims: str) -> None:
    async def swap_and_settle() -> None:
        controller = await _start_controller(context.engine)
        await controller.swap("d", tuple(sorted(_names(victims))), load_ms=LOAD_MS)
        await asyncio.sleep(LOAD_MS / 1000)

    run(context, swap_and_settle())


@when("the desk is told once to load adapter y")
def load_adapter_once(context: Context) -> None:
    async def load() -> None:
        controller = await _start_controller(context.engine)
        await controller.load_adapter("a", "y", slots=context.engine.adapter_slots)

    run(context, load())


@when("the engine starts again before a report")
def restart_idle(context: Context) -> None:
    async def restart() -> None:
        context.controller = await _start_controller(context.engine)
        context.engine.restart()
        await asyncio.sleep(REPORT_LAG_S)
        await context.controller.refresh()

    run(context, restart())


@when("the engine starts again while a swap waits for answers")
def restart_while_swapping(context: Context) -> None:
    async def restart() -> None:
        context.controller = await _start_controller(context.engine)
        swapping = asyncio.create_task(context.controller.swap("d", ("a",), load_ms=LOAD_MS))
        while not context.engine.order_count:
            await asyncio.sleep(POLL_S)
        context.engine.restart()
        assert not await swapping

    run(context, restart())


@then("the desk finds that nothing known holds, and gives its orders no more")
def check_restart_noticed(context: Context) -> None:
    async def order() -> None:
        given = context.engine.order_count
        assert context.controller.lost()
        assert not await context.controller.swap("d", (), load_ms=LOAD_MS)
        assert context.engine.order_count == given

    run(context, order())


@when("the desk swaps a for d in vain and the engine starts again")
def swap_in_vain(context: Context) -> None:
    async def swap_and_restart() -> None:
        earlier = await _start_controller(context.engine)
        assert not await earlier.swap("d", ("a",), load_ms=LOAD_MS)
        context.engine.restart()
        context.clock = ManualClock(earlier.clock.now_ms())
        context.controller = await _start_controller(
            context.engine,
            record=replace(RECORD, started_ms=context.engine.started_ms),
            outstanding=earlier.outstanding,
        )
        earlier.outstanding.clock = context.clock

    run(context, swap_and_restart())


@then("the desk of the new lifetime keeps room for d, and after {ms:d} ms no more")
def check_room_kept(context: Context, ms: int) -> None:
    assert context.controller.reserved_models() == ("d",)
    context.clock.ms += ms
    assert context.controller.reserved_models() == ()


@given("an engine of the platform that answers orders with {status:d}")
def start_platform_engine(context: Context, status: int) -> None:
    async def start() -> None:
        store = StoreStandIn(status=status)
        address = await store.start()
        context.platform_engine = TargetRecord("engine-0", "service", address, "here")

    run(context, start())


@when("it is ordered to {kind} {what}")
def order_platform_engine(context: Context, kind: str, what: str) -> None:
    adapter = "a1" if what == "an adapter" else ""
    order = EngineOrder(OrderKind(kind), "notes", adapter, 3, "me", 1)
    engines = PlatformEngines(clock=SystemClock())
    context.outcome = run(context, engines.order(context.platform_engine, order))


@then("the outcome is {outcome}")
def check_outcome(context: Context, outcome: str) -> None:
    assert context.outcome.name == outcome, context.outcome


@when("the desk swaps a for d")
def swap(context: Context) -> None:
    async def swap_and_settle() -> None:
        controller = await _start_controller(context.engine)
        done = False
        while not done:
            done = await controller.swap(
                "d", tuple(set("a") & set(controller.residents)), load_ms=LOAD_MS
            )
        # Late orders must conflict with those carried out before them.
        await asyncio.sleep(SETTLE_S)

    run(context, swap_and_settle())


@given("an engine with three models whose unload waits {runs_ms:d} ms for its runs")
def start_busy_engine(context: Context, runs_ms: int) -> None:
    residents: dict[str, set[str]] = {name: set() for name in "abc"}
    context.engine = SimulatedEngine(residents=residents, runs_s=runs_ms / 1000)


@when("the desk swaps a for d and is asked meanwhile when the engine is free")
def swap_and_ask(context: Context) -> None:
    async def swap_and_look() -> None:
        controller = await _start_controller(context.engine)
        swapping = asyncio.create_task(controller.swap("d", ("a",), load_ms=LOAD_MS))
        context.free_in = []
        await asyncio.sleep(0)
        while "d" not in [order.model for order in context.engine.accepted]:
            context.free_in.append((controller.free_in_ms(), controller.expected_in_ms()))
            await asyncio.sleep(POLL_S)
        assert await swapping

    run(context, swap_and_look())


@then("until the load has begun it says no less than the whole load")
def check_free_in(context: Context) -> None:
    assert len(context.free_in) > 1, context.free_in
    assert all(each >= LOAD_MS for pair in context.free_in for each in pair), context.free_in


@when("the desk swaps a for d, which is to take 50 ms and takes 100 ms more")
def swap_overdue(context: Context) -> None:
    async def swap_and_look() -> None:
        controller = await _start_controller(context.engine)
        task = asyncio.create_task(controller.swap("d", ("a",), load_ms=50, predictable=False))
        while "d" not in context.engine.residents:
            context.expected_ms = controller.expected_in_ms()
            await asyncio.sleep(0.01)
        assert await task

    run(context, swap_and_look())


@then("just before the load's end it expects the engine to be free in {least_ms:d} ms or more")
def check_overdue(context: Context, least_ms: int) -> None:
    assert context.expected_ms >= least_ms, context.expected_ms


@when("the desk swaps a for d, and reports are asked for as they fall due")
def swap_and_report(context: Context) -> None:
    async def swap_and_look() -> None:
        controller = await _start_controller(context.engine)
        assert await controller.swap("d", ("a",), load_ms=LOAD_MS)
        began_s = time.monotonic()
        context.free_after_s = None
        free_since_s = began_s
        while time.monotonic() - began_s < OBSERVATION_S:
            if controller.report_due():
                await controller.refresh()
            if controller.free_in_ms():
                free_since_s = time.monotonic()
            await asyncio.sleep(POLL_S)
        context.free_after_s = free_since_s - began_s

    run(context, swap_and_look())


@then("the engine is free for its next move within {most_ms:d} ms")
def check_free_soon(context: Context, most_ms: int) -> None:
    assert context.free_after_s * 1000 <= most_ms, context.free_after_s


@when("eight adapters of a are wanted at the same moment")
def load_adapters(context: Context) -> None:
    async def load() -> None:
        controller = await _start_controller(context.engine)
        wanted = [controller.load_adapter("a", name, slots=4) for name in ADAPTERS]
        await asyncio.gather(*wanted)
        await asyncio.sleep(0.5)

    run(context, load())


@then("the engine holds {held} and was never overcommitted")
def check_residents(context: Context, held: str) -> None:
    assert set(context.engine.residents) == _names(held), context.engine.residents
    assert not context.engine.overcommitted, context.engine.accepted


@then("the engine never held more than its adapter places")
def check_adapters(context: Context) -> None:
    engine = context.engine
    assert not engine.overcommitted, f"{engine.max_adapters} adapters"
    assert engine.max_adapters > 0


@given("a lease with a handover of {handover_ms:d} ms that {predecessor} held")
def make_lease(context: Context, handover_ms: int, predecessor: str) -> None:
    context.clock = ManualClock(10_000)
    context.lease = OrderLease("me", handover_ms=handover_ms, clock=context.clock)
    names = {"nobody": "", "itself": "me", "another": "other"}
    context.predecessor = names[predecessor]


@when("this instance takes it over at {at_ms:d} ms {knowledge}")
def take_over(context: Context, at_ms: int, knowledge: str) -> None:
    context.clock.ms = at_ms
    record = LeaseRecord("me", ADDRESS, 2, 7)
    context.lease.acquire(record, asked_ms=at_ms, predecessor=context.predecessor)
    if knowledge.startswith("told"):
        last_ms = int("".join(filter(str.isdigit, knowledge)))
        context.lease.on_predecessor_release(last_order_ms=last_ms)


@then("its first order may go out at {first_ms:d} ms")
def check_first_order(context: Context, first_ms: int) -> None:
    assert context.lease.first_order_ms == first_ms, context.lease.first_order_ms


@given("a lease that this instance took at {at_ms:d} ms")
def take_lease(context: Context, at_ms: int) -> None:
    make_lease(context, 3_000, "nobody")
    take_over(context, at_ms, "knowing nothing")


@when("nothing is heard of the store")
def hear_nothing(context: Context) -> None:
    pass


@when("the lease is read at {at_ms:d} ms")
def read_lease(context: Context, at_ms: int) -> None:
    context.lease.update_from_store(LeaseRecord("me", ADDRESS, 2, 7), asked_ms=at_ms)


@when("the lease is read at {at_ms:d} ms and another holds it")
def read_lost_lease(context: Context, at_ms: int) -> None:
    context.lease.update_from_store(LeaseRecord("other", ADDRESS, 3, 8), asked_ms=at_ms)


@when("another entry reads it, asked at {at_ms:d} ms")
def prove_by_other(context: Context, at_ms: int) -> None:
    context.lease.confirm_from_peer(holder="me", token=2, asked_ms=at_ms)


@when("another entry finds another holder, asked at {at_ms:d} ms")
def disprove_by_other(context: Context, at_ms: int) -> None:
    context.lease.confirm_from_peer(holder="other", token=3, asked_ms=at_ms)


@when("it announces its last order at {at_ms:d} ms")
def announce_last_order(context: Context, at_ms: int) -> None:
    context.clock.ms = at_ms
    context.lease.stop_orders()


@when("it reads the lease after it announced its last order")
def read_after_announcement(context: Context) -> None:
    context.lease.stop_orders()
    read_lease(context, 10_900)


@then("at {at_ms:d} ms it {may} order")
def check_may_order(context: Context, at_ms: int, may: str) -> None:
    context.clock.ms = at_ms
    assert context.lease.may_order() == (may == "may")


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
        link.send(StepDown(LONG_AGO_MS))
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
