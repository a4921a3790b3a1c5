"""Simulate a target that accepts no connections for a while and then goes on."""

import asyncio
import socket
from dataclasses import dataclass
from dataclasses import field

from harness.direct_target import ScriptedTarget


@dataclass(slots=True)
class UnacceptingTarget(ScriptedTarget):
    """Accept connections only after a while; until then further ones are not acknowledged."""

    silent_s: float = 0.0
    # A connection that fills the queue of those to be accepted.
    waiting: socket.socket | None = None
    tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def start(self) -> tuple[str, int]:
        """Listen on a free port without accepting."""
        listening = socket.socket()
        listening.bind(("127.0.0.1", 0))
        listening.listen(0)
        listening.setblocking(False)
        address: tuple[str, int] = listening.getsockname()[:2]
        self.waiting = socket.create_connection(address)
        task = asyncio.get_running_loop().create_task(self._accept_later(listening))
        self.tasks.add(task)
        return address

    async def _accept_later(self, listening: socket.socket) -> None:
        await asyncio.sleep(self.silent_s)
        assert self.waiting
        self.waiting.close()
        self.server = await asyncio.start_server(self._serve, sock=listening)
