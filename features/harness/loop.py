"""Run the coroutines of a scenario on one event loop."""

import asyncio
from collections.abc import Coroutine
from typing import Any
from typing import TypeVar

from behave.runner import Context

T = TypeVar("T")

STEP_TIMEOUT_S = 20.0


def run(context: Context, work: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine on the scenario's event loop, with a timeout."""
    runner = getattr(context, "async_runner", None)
    if runner is None:
        runner = context.async_runner = asyncio.Runner()
        context.add_cleanup(runner.close)

    async def bounded() -> T:
        async with asyncio.timeout(STEP_TIMEOUT_S):
            return await work

    result: T = runner.run(bounded())
    return result
