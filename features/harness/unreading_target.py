"""Simulate a target that doesn't read what it is sent for a while."""

import asyncio
import socket
from dataclasses import dataclass

from harness.direct_target import PLAIN_BODY
from harness.direct_target import ScriptedTarget

# While it doesn't read, so that most of a long request stays with its sender.
UNREAD_BUFFER_BYTES = 4_096
# Once it reads. Through the smaller buffer, 4 MB took up to a second on a busy machine.
READ_BUFFER_BYTES = 1_048_576


@dataclass(slots=True)
class UnreadingTarget(ScriptedTarget):
    """Read each request only after a while, and perhaps answer it before."""

    unread_s: float = 0.0
    answers_unread: bool = False

    async def start(self) -> tuple[str, int]:
        """Listen on a free port, with a small receive buffer."""
        listening = socket.socket()
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, UNREAD_BUFFER_BYTES)
        listening.bind(("127.0.0.1", 0))
        self.server = await asyncio.start_server(self._serve_late, sock=listening)
        address: tuple[str, int] = listening.getsockname()[:2]
        return address

    async def _serve_late(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        if self.answers_unread:
            head = b"HTTP/1.1 200 OK\r\nX-Proof: p\r\nContent-Length: %d\r\n\r\n"
            writer.write(head % len(PLAIN_BODY) + PLAIN_BODY)
        await asyncio.sleep(self.unread_s)
        if not writer.is_closing():
            accepted = writer.get_extra_info("socket")
            accepted.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, READ_BUFFER_BYTES)
            writer.transport.resume_reading()  # type: ignore[attr-defined]
        await self._serve(reader, writer)
