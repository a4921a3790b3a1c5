"""Run coroutines in virtual time: when all are waiting, the clock jumps to the next timer.

A loop with connections waits a moment of real time before it jumps, as data may be on its way.
"""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any
from typing import TypeVar

T = TypeVar("T")

START_S = 1_000.0


class _VirtualTimeSelector(selectors.SelectSelector):
    """A selector that advances the virtual time instead of waiting."""

    def __init__(self, *, data_wait_s: float) -> None:
        super().__init__()
        self.data_wait_s = data_wait_s
        self.now_s = START_S

    def select(self, timeout: float | None = None) -> Any:
        """Return the ready events, or advance the time by the timeout."""
        ready = super().select(0)
        if not ready and timeout and self.data_wait_s:
            ready = super().select(self.data_wait_s)
        if not ready and timeout:
            self.now_s += timeout
        return ready


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop whose time is the selector's virtual time."""

    def __init__(self, *, data_wait_s: float = 0.0) -> None:
        self.selector = _VirtualTimeSelector(data_wait_s=data_wait_s)
        super().__init__(self.selector)

    def time(self) -> float:
        """Return the virtual time."""
        return self.selector.now_s


class VirtualClock:
    """A clock that returns a loop's virtual time."""

    def __init__(self, loop: VirtualTimeLoop) -> None:
        self.loop = loop

    def now_ms(self) -> int:
        """Return the loop's time."""
        return round(self.loop.time() * 1000)

    def wall_ms(self) -> int:
        """Return the loop's time."""
        return self.now_ms()


def run_in_virtual_time(work: Coroutine[Any, Any, T], loop: VirtualTimeLoop) -> T:
    """Run a coroutine to completion, then cancel the remaining tasks."""
    try:
        return loop.run_until_complete(work)
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
            loop.run_until_complete(asyncio.gather(task, return_exceptions=True))
        loop.close()
