"""Steps of orders to engines, and the room that they take."""

import asyncio
from dataclasses import replace

from behave import given
from behave import then
from behave import when
from behave.runner import Context

from harness.direct_engine import REPORT_LAG_S
from harness.direct_engine import SimulatedEngine
from harness.direct_engine import random_unanswered
from harness.direct_fleet import ManualClock
from harness.direct_store import StoreStandIn
from harness.loop import run
from harness.ordered_engine import LOAD_MS
from harness.ordered_engine import POLL_S
from harness.ordered_engine import RECORD
from harness.ordered_engine import start_controller
from mimosaspur_platform.engines import PlatformEngines
from mimosaspur_state.clock import SystemClock
from mimosaspur_state.fleet import EngineOrder
from mimosaspur_state.fleet import OrderKind
from mimosaspur_state.fleet import TargetRecord

ORDER_COUNT = 60
SETTLE_S = 2.2
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


@given("at order {number:d} it counts one more order than the desk knows")
def count_unknown_order(context: Context, number: int) -> None:
    context.engine.extra_counts = frozenset((number,))


@given("at order {number:d} an earlier holder's load of x is carried out first")
def execute_foreign_load(context: Context, number: int) -> None:
    context.engine.foreign_orders = {
        number: EngineOrder(OrderKind.LOAD, "x", "", number - 1, "other", 1)
    }


@given("its loads take {ms:d} ms")
def set_load_time(context: Context, ms: int) -> None:
    context.engine.load_s = ms / 1000


@when("the desk loads b and then c, each in an expected {ms:d} ms")
def load_two_models(context: Context, ms: int) -> None:
    async def load() -> None:
        context.controller = await start_controller(context.engine)
        assert await context.controller.swap("b", (), load_ms=ms)
        assert await context.controller.swap("c", (), load_ms=ms)

    run(context, load())


@then("it counts the room of a, b and c as taken")
def check_room_taken(context: Context) -> None:
    controller = context.controller
    taken = {*controller.residents, *controller.reserved_models()}
    assert taken == {"a", "b", "c"}, taken


@given("the desk has counted one order more than the engine")
def count_too_many(context: Context) -> None:
    async def count() -> None:
        context.controller = await start_controller(context.engine)
        context.controller.sequence += 1
        context.controller.sequence_ms = context.controller.clock.now_ms()

    run(context, count())


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


@when("the desk is told once to swap {victims} for d")
def swap_once(context: Context, victims: str) -> None:
    async def swap_and_settle() -> None:
        controller = await start_controller(context.engine)
        await controller.swap("d", tuple(sorted(_names(victims))), load_ms=LOAD_MS)
        await asyncio.sleep(LOAD_MS / 1000)

    run(context, swap_and_settle())


@when("the engine starts again before a report")
def restart_idle(context: Context) -> None:
    async def restart() -> None:
        context.controller = await start_controller(context.engine)
        context.engine.restart()
        await asyncio.sleep(REPORT_LAG_S)
        await context.controller.refresh()

    run(context, restart())


@when("the engine starts again while a swap waits for answers")
def restart_while_swapping(context: Context) -> None:
    async def restart() -> None:
        context.controller = await start_controller(context.engine)
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
        earlier = await start_controller(context.engine)
        assert not await earlier.swap("d", ("a",), load_ms=LOAD_MS)
        context.engine.restart()
        context.clock = ManualClock(earlier.clock.now_ms())
        context.controller = await start_controller(
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
        controller = await start_controller(context.engine)
        done = False
        while not done:
            done = await controller.swap(
                "d", tuple(set("a") & set(controller.residents)), load_ms=LOAD_MS
            )
        # Late orders must conflict with those carried out before them.
        await asyncio.sleep(SETTLE_S)

    run(context, swap_and_settle())


@then("the engine holds {held} and was never overcommitted")
def check_residents(context: Context, held: str) -> None:
    assert set(context.engine.residents) == _names(held), context.engine.residents
    assert not context.engine.overcommitted, context.engine.accepted
