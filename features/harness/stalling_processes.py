"""Run processes that stand still at random and lose datagrams, in one virtual time.

Each process has an event loop of its own. While it stands still its timers pass, and datagrams wait
for it; it then finds all of them at once, and reads one datagram in each pass.
"""

import asyncio
import heapq
import itertools
import random
from collections import deque
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any

from harness.virtual_time import VirtualTimeLoop

Address = tuple[str, int]

HOST = "127.0.0.1"
FIRST_PORT = 20_000
# The longest time of a datagram on its way, and of a pass of an event loop.
LATENCY_S = 0.002
PASS_S = 0.0005


class MemoryDatagrams(asyncio.DatagramTransport):
    """Send the datagrams of one process."""

    def __init__(self, process: "StallingProcess", address: Address) -> None:
        super().__init__()
        self.process = process
        self.address = address

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return the address."""
        return self.address if name == "sockname" else default

    def is_closing(self) -> bool:
        """Return whether the port is closed."""
        return self.address not in self.process.world.ports

    def close(self) -> None:
        """Close the port."""
        self.process.world.ports.pop(self.address, None)

    def sendto(self, data: Any, addr: Any = None) -> None:
        """Send a datagram, which may be lost."""
        world = self.process.world
        world.sent += 1
        if world.random.random() >= world.lost_share and not self.process.is_cut():
            arrives_s = world.now_s + world.random.uniform(0, LATENCY_S)
            world.on_its_way(arrives_s, addr, bytes(data), self.address)


class ProcessLoop(VirtualTimeLoop):
    """Run the passes of one process' event loop."""

    def __init__(self, process: "StallingProcess") -> None:
        super().__init__()
        self.process = process

    def time(self) -> float:
        """Return the time that all processes share."""
        return self.process.world.now_s

    async def create_datagram_endpoint(  # type: ignore[override]
        self, protocol_factory: Callable[[], Any], local_addr: Any = None, **options: Any
    ) -> tuple[asyncio.DatagramTransport, Any]:
        """Open a port in memory."""
        world = self.process.world
        protocol = protocol_factory()
        transport = MemoryDatagrams(self.process, (HOST, next(world.port_numbers)))
        world.ports[transport.address] = self.process, protocol
        return transport, protocol

    def due_s(self) -> float:
        """Return when there is something to run."""
        if self._ready:  # type: ignore[attr-defined]
            return self.process.world.now_s
        timers = self._scheduled  # type: ignore[attr-defined]
        return timers[0].when() if timers else float("inf")


class StallingProcess:
    """Hold one process, and until when it stands still."""

    def __init__(self, world: "ProcessWorld") -> None:
        self.world = world
        self.loop = ProcessLoop(self)
        # Datagrams that have arrived and wait to be read.
        self.inbox: deque[Callable[[], None]] = deque()
        self.runs_again_s = 0.0
        # Until when all datagrams to it and from it are lost.
        self.cut_until_s = 0.0

    def cut(self, seconds: float) -> None:
        """Cut the process off from all others from now on."""
        self.cut_until_s = self.world.now_s + seconds

    def is_cut(self) -> bool:
        """Return whether the process is cut off."""
        return self.world.now_s < self.cut_until_s

    def runnable_s(self) -> float:
        """Return when the process has something to run and doesn't stand still."""
        due_s = self.world.now_s if self.inbox else self.loop.due_s()
        return max(due_s, self.runs_again_s)

    def stall(self, seconds: float) -> None:
        """Let the process stand still from now on."""
        self.runs_again_s = max(self.runs_again_s, self.world.now_s + seconds)

    def run_pass(self) -> None:
        """Read a datagram and run the event loop once."""
        if self.inbox:
            self.loop.call_soon(self.inbox.popleft())
        self.loop.call_soon(self.loop.stop)
        self.loop.run_forever()
        self.stall(self.world.random.uniform(0, PASS_S))

    def spawn(self, work: Coroutine[Any, Any, Any]) -> "asyncio.Task[Any]":
        """Run a coroutine in the process."""
        return self.loop.create_task(work)


class ProcessWorld:
    """Run processes by a seed."""

    def __init__(self, seed: int, *, count: int, lost_share: float = 0.0) -> None:
        self.random = random.Random(seed)
        self.lost_share = lost_share
        self.now_s = 1_000.0
        self.sent = 0
        self.port_numbers = itertools.count(FIRST_PORT)
        self.ports: dict[Address, tuple[StallingProcess, Any]] = {}
        # Arrivals of datagrams and other events, by time and number.
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.numbers = itertools.count()
        self.processes = [StallingProcess(self) for _ in range(count)]

    def at(self, when_s: float, action: Callable[[], None]) -> None:
        """Do something at a time, outside of all processes."""
        heapq.heappush(self.events, (when_s, next(self.numbers), action))

    def on_its_way(self, arrives_s: float, to: Address, data: bytes, sender: Address) -> None:
        """Let a datagram arrive, if the port is open then."""

        def arrive() -> None:
            process, protocol = self.ports.get(to, (None, None))
            if process and protocol and not process.is_cut():
                process.inbox.append(lambda: protocol.datagram_received(data, sender))

        self.at(arrives_s, arrive)

    def stall_at_random(self, *, stall_s: float, share: float, until_s: float) -> None:
        """Let each process stand still for a share of the time, for `stall_s` each time."""
        for process in self.processes:
            self._plan_stall(process, stall_s, stall_s * (1 - share) / share, until_s)

    def _plan_stall(
        self, process: StallingProcess, stall_s: float, running_s: float, until_s: float
    ) -> None:
        begins_s = self.now_s + self.random.expovariate(1 / running_s)

        def begin() -> None:
            process.stall(stall_s)
            self.at(self.now_s + stall_s, plan_next)

        def plan_next() -> None:
            self._plan_stall(process, stall_s, running_s, until_s)

        if begins_s < until_s:
            self.at(begins_s, begin)

    def run_until(self, end_s: float) -> None:
        """Run until a time."""
        while True:
            process = min(self.processes, key=StallingProcess.runnable_s)
            process_s = process.runnable_s()
            event_s = self.events[0][0] if self.events else float("inf")
            next_s = min(process_s, event_s)
            if next_s > end_s:
                break
            self.now_s = max(self.now_s, next_s)
            if event_s <= process_s:
                heapq.heappop(self.events)[2]()
            else:
                process.run_pass()
        self.now_s = end_s

    def close(self) -> None:
        """Cancel all tasks and close all loops."""
        for process in self.processes:
            for task in asyncio.all_tasks(process.loop):
                task.cancel()
            process.loop.run_until_complete(asyncio.sleep(0))
            process.loop.close()
