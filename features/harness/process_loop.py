"""Run several processes in one event loop in virtual time; each can be frozen or cut off."""

import asyncio
import contextvars
from collections.abc import Callable
from contextvars import ContextVar
from typing import Any

from harness.memory_network import LATENCY_S
from harness.memory_network import MemoryLoop

# The process that a callback belongs to; empty outside all of them.
PROCESS: ContextVar[str] = ContextVar("PROCESS", default="")

Callback = Callable[..., object]


class ProcessLoop(MemoryLoop):
    """Hold back the callbacks of processes that stand still, and the data of those cut off."""

    def __init__(self) -> None:
        super().__init__()
        self.frozen: dict[str, list[Callable[[], None]]] = {}
        # Until when nothing arrives at a process, or leaves it.
        self.cut_until_s: dict[str, float] = {}
        # How much later than usual all arrives at a process, or from it.
        self.delays_s: dict[str, float] = {}

    def freeze(self, process: str, *, for_s: float) -> None:
        """Let a process stand still; what is due meanwhile runs at the end, in order."""
        self.frozen[process] = []
        contextvars.Context().run(self.call_later, for_s, self._thaw, process)

    def _thaw(self, process: str) -> None:
        for callback in self.frozen.pop(process):
            callback()

    def cut(self, process: str, *, for_s: float) -> None:
        """Cut a process off; what is sent meanwhile arrives at the end."""
        self.cut_until_s[process] = self.time() + for_s

    def latency_s(self, receiver: contextvars.Context) -> float:
        """Return how long it takes until what is sent now arrives."""
        ends = (PROCESS.get(), receiver.get(PROCESS, ""))
        return LATENCY_S + max(self.delay_s(each) for each in ends)

    def delay_s(self, process: str) -> float:
        """Return how much later than usual what is sent now arrives, or comes from a process."""
        cut_s = self.cut_until_s.get(process, 0.0) - self.time()
        return max(0.0, cut_s, self.delays_s.get(process, 0.0))

    def call_soon(  # type: ignore[override]
        self, callback: Callback, *args: Any, context: contextvars.Context | None = None
    ) -> asyncio.Handle:
        """Call back in this pass, or once the process runs again."""
        handles: list[asyncio.Handle] = []
        run = self._holding(handles, callback, args)
        handles.append(super().call_soon(run, context=context))
        return handles[0]

    def call_at(  # type: ignore[override]
        self,
        when: float,
        callback: Callback,
        *args: Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:
        """Call back at a time, or once the process runs again."""
        handles: list[asyncio.Handle] = []
        run = self._holding(handles, callback, args)
        timer = super().call_at(when, run, context=context)
        handles.append(timer)
        return timer

    def _holding(
        self, handles: list[asyncio.Handle], callback: Callback, args: tuple[Any, ...]
    ) -> Callable[[], None]:
        def run() -> None:
            process = PROCESS.get()
            if process in self.frozen:
                context = contextvars.copy_context()
                self.frozen[process].append(lambda: context.run(self._run_later, run, handles))
            elif not handles[0].cancelled():
                callback(*args)

        return run

    def _run_later(self, run: Callable[[], None], handles: list[asyncio.Handle]) -> None:
        super().call_soon(run)
