"""Simulate the reports of an engine that is silent or out of reach for a while."""

import asyncio
import socket
from dataclasses import dataclass
from dataclasses import field

import h11
import msgspec

from harness.direct_target import read_request
from harness.listening_target import ListeningTarget

REPORT_PATH = b"/api/report"


@dataclass(slots=True)
class ReportingEngine(ListeningTarget):
    """Answer reports and accept orders, except while silent."""

    model: str = "notes"
    address: tuple[str, int] = ("127.0.0.1", 0)
    server: asyncio.Server | None = None
    writers: set[asyncio.StreamWriter] = field(default_factory=set)
    speaks: asyncio.Event = field(default_factory=asyncio.Event)
    # Connections that fill the queue of those to be accepted.
    waiting: list[socket.socket] = field(default_factory=list)
    orders: list[bytes] = field(default_factory=list)

    def fall_out_of_reach(self) -> None:
        """Answer nothing, and leave new connections without an acknowledgement."""
        self.speaks.clear()
        self.stop()
        listening = socket.create_server(self.address, backlog=0)
        self.waiting = [listening, socket.create_connection(self.address)]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        codec = h11.Connection(h11.SERVER)
        self.writers.add(writer)
        try:
            while (request := await read_request(codec, reader)) is not None:
                await self.speaks.wait()
                status, body = self._answer(*request)
                length = [("Content-Length", str(len(body)))]
                writer.write(codec.send(h11.Response(status_code=status, headers=length)) or b"")
                writer.write(codec.send(h11.Data(data=body)) or b"")
                writer.write(codec.send(h11.EndOfMessage()) or b"")
                codec.start_next_cycle()
        except (OSError, h11.ProtocolError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def _answer(self, head: h11.Request, body: bytes) -> tuple[int, bytes]:
        if head.target != REPORT_PATH:
            self.orders.append(body)
            return 202, b""
        models = [{"name": self.model, "version": 1, "adapters": []}]
        counts = {"sequence": len(self.orders), "waiting": 0, "running": 0}
        return 200, msgspec.json.encode({"models": models, "busy": False, **counts})
