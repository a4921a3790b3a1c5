"""Steps of orders for adapters, and the places that they take."""

import asyncio

from behave import given
from behave import then
from behave import when
from behave.runner import Context

from harness.loop import run
from harness.ordered_engine import start_controller
from mimosaspur_state.fleet import EngineOrder
from mimosaspur_state.fleet import OrderKind

ADAPTERS = [f"a{number}" for number in range(8)]


@given("its adapter places are full but for one")
def fill_adapters(context: Context) -> None:
    context.engine.residents["a"] = set(ADAPTERS[: context.engine.adapter_slots - 1])


@given("its adapter places are full")
def fill_all_adapters(context: Context) -> None:
    context.engine.residents["a"] = set(ADAPTERS[: context.engine.adapter_slots])


@when("adapter y is ordered in vain, and adapter z after it")
def load_two_adapters(context: Context) -> None:
    async def load() -> None:
        places = context.engine.adapter_slots
        assert not await context.controller.load_adapter("a", "y", slots=places)
        await context.controller.load_adapter("a", "z", slots=places)
        await asyncio.sleep(context.engine.late_s)

    run(context, load())


@then("no adapter was ordered to be unloaded for two counts of orders")
def check_unloads(context: Context) -> None:
    unloads = [each for each in context.engine.received if each.kind is OrderKind.UNLOAD]
    assert unloads
    counts = {each.expected_sequence for each in unloads}
    assert len(counts) == 1, unloads


@given("at order 1 an earlier holder's load of adapter x is carried out first")
def execute_foreign_adapter(context: Context) -> None:
    context.engine.foreign_orders = {1: EngineOrder(OrderKind.LOAD, "a", "x", 0, "other", 1)}


@when("the desk is told once to load adapter y")
def load_adapter_once(context: Context) -> None:
    async def load() -> None:
        controller = await start_controller(context.engine)
        await controller.load_adapter("a", "y", slots=context.engine.adapter_slots)

    run(context, load())


@when("eight adapters of a are wanted at the same moment")
def load_adapters(context: Context) -> None:
    async def load() -> None:
        controller = await start_controller(context.engine)
        wanted = [controller.load_adapter("a", name, slots=4) for name in ADAPTERS]
        await asyncio.gather(*wanted)
        await asyncio.sleep(0.5)

    run(context, load())


@then("the engine never held more than its adapter places")
def check_adapters(context: Context) -> None:
    engine = context.engine
    assert not engine.overcommitted, f"{engine.max_adapters} adapters"
    assert engine.max_adapters > 0
