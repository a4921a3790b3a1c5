"""Simulate a target whose process is stalled: its kernel takes requests that it reads later."""

import asyncio
import contextlib
import socket
from dataclasses import dataclass
from dataclasses import field

from harness.direct_target import ScriptedTarget

# Most of a long request stays with its sender's kernel.
RECEIVE_BUFFER_BYTES = 4_096
READ_BYTES = 65_536


@dataclass(slots=True)
class ReadConnection:
    """Record what a connection held, and how it ended."""

    received: bytes
    was_reset: bool


@dataclass(slots=True)
class StalledTarget(ScriptedTarget):
    """Accept connections, and read them only when asked to."""

    listening: socket.socket = field(default_factory=socket.socket)
    accepted: list[socket.socket] = field(default_factory=list)

    async def start(self) -> tuple[str, int]:
        """Listen on a free port, with a small receive buffer."""
        self.listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self.listening.bind(("127.0.0.1", 0))
        self.listening.listen()
        self.listening.setblocking(False)
        address: tuple[str, int] = self.listening.getsockname()
        return address

    async def read_all(self) -> list[ReadConnection]:
        """Accept what has come, read it to its end and close."""
        with contextlib.suppress(BlockingIOError):
            while True:
                self.accepted.append(self.listening.accept()[0])
        return await asyncio.gather(*(self._read(each) for each in self.accepted))

    async def _read(self, connection: socket.socket) -> ReadConnection:
        loop = asyncio.get_running_loop()
        connection.setblocking(False)
        received = b""
        with connection:
            try:
                while data := await loop.sock_recv(connection, READ_BYTES):
                    received += data
            except ConnectionResetError:
                return ReadConnection(received, was_reset=True)
        return ReadConnection(received, was_reset=False)
