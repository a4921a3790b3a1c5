"""Simulate targets whose machines accept no connections while they are silent."""

import asyncio
import contextlib
import socket
from dataclasses import dataclass
from dataclasses import field

from harness.silent_target import SilentTarget

BACKLOG = 128
# Connections that fill a backlog of 0, so that further ones stay unanswered.
FILLER_COUNT = 4


@dataclass(slots=True)
class StillTarget(SilentTarget):
    """Leave new connections unanswered while silent."""

    listener: socket.socket = field(default_factory=socket.socket)
    fillers: list[socket.socket] = field(default_factory=list)
    tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def start(self) -> None:
        """Listen on the address."""
        self.listener.setblocking(False)
        self.listener.bind(self.address)
        self.listener.listen(BACKLOG)
        self.address = self.listener.getsockname()
        self._spawn_accepting()

    def stop(self) -> None:
        """Stop listening and end all connections."""
        for task in self.tasks:
            task.cancel()
        self._drop_fillers()
        self.listener.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def fall_silent(self, for_s: float | None) -> None:
        """Send, read and accept nothing for a time, or for ever."""
        self.speaks.clear()
        self.listener.listen(0)
        for _ in range(FILLER_COUNT):
            filler = socket.socket()
            filler.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                filler.connect(self.address)
            self.fillers.append(filler)
        if for_s is not None:
            asyncio.get_running_loop().call_later(for_s, self.return_now)

    def return_now(self) -> None:
        """End a silence."""
        self._drop_fillers()
        self.listener.listen(BACKLOG)
        self.speaks.set()

    def _drop_fillers(self) -> None:
        while self.fillers:
            self.fillers.pop().close()

    def _spawn_accepting(self) -> None:
        task = asyncio.get_running_loop().create_task(self._accept())
        self.tasks.add(task)

    async def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await self.speaks.wait()
            connection, _ = await loop.sock_accept(self.listener)
            reader, writer = await asyncio.open_connection(sock=connection)
            task = loop.create_task(self._serve(reader, writer))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
