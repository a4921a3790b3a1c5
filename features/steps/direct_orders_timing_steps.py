"""Steps for when an engine that carries out orders is expected to be free."""

import asyncio
import time

from behave import given
from behave import then
from behave import when
from behave.runner import Context

from harness.direct_engine import SimulatedEngine
from harness.loop import run
from harness.ordered_engine import LOAD_MS
from harness.ordered_engine import POLL_S
from harness.ordered_engine import start_controller

OBSERVATION_S = 1.5


@given("an engine with three models whose unload waits {runs_ms:d} ms for its runs")
def start_busy_engine(context: Context, runs_ms: int) -> None:
    residents: dict[str, set[str]] = {name: set() for name in "abc"}
    context.engine = SimulatedEngine(residents=residents, runs_s=runs_ms / 1000)


@when("the desk swaps a for d and is asked meanwhile when the engine is free")
def swap_and_ask(context: Context) -> None:
    async def swap_and_look() -> None:
        controller = await start_controller(context.engine)
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
        controller = await start_controller(context.engine)
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
        controller = await start_controller(context.engine)
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
