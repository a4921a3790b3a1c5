"""Run in virtual time on an event loop that stands still at random, as on a machine under load."""

import asyncio
import random
from typing import Any

from harness.memory_network import MemoryLoop

# Probability that a pass takes time, of up to so long.
STALL_SHARE = 0.25
SHORT_STALL_S = 0.002
# Probability that it takes much longer.
LONG_SHARE = 0.01
LONG_STALL_S = 0.4


class StallingLoop(MemoryLoop):
    """Let several timers and data come due in one pass, in either order, by a seed."""

    def __init__(self, seed: int) -> None:
        super().__init__()
        self.random = random.Random(seed)
        select = self.selector.select

        def stalled_select(timeout: float | None = None) -> Any:
            ready = select(timeout)
            if self.random.random() < STALL_SHARE:
                longest_s = LONG_STALL_S if self.random.random() < LONG_SHARE else SHORT_STALL_S
                self.selector.now_s += self.random.uniform(0, longest_s)
            return ready

        self.selector.select = stalled_select  # type: ignore[method-assign]

    def call_at(  # type: ignore[override]
        self, when: float, callback: Any, *args: Any, context: Any = None
    ) -> Any:
        """Schedule a timer; its time is moved a little, so that equal ones come in any order."""
        return super().call_at(
            when + self.random.uniform(0, 1e-4), callback, *args, context=context
        )


async def pass_loop(times: int) -> None:
    """Let the event loop make some passes."""
    for _ in range(times):
        await asyncio.sleep(0)
