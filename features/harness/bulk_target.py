"""Simulate a target that reads bodies of any size and writes answers of any size."""

import asyncio
from dataclasses import dataclass
from dataclasses import field

import h11

from harness.framed_target import SERVICE
from harness.framed_target import SLOTS
from harness.listening_target import ListeningTarget
from harness.listening_target import target_registration

READ_BYTES = 65_536
PART_BYTES = 16_384
# What a caller asks for: the size of the answer in bytes.
ANSWER_HEADER = "x-answer-bytes"


@dataclass(slots=True)
class BulkTarget(ListeningTarget):
    """Discard each request's body, and answer with as many bytes as it asks for."""

    identity: str
    address: tuple[str, int] = ("127.0.0.1", 0)
    server: asyncio.Server | None = None
    writers: set[asyncio.StreamWriter] = field(default_factory=set)
    # Sizes of the bodies that came whole.
    bodies: list[int] = field(default_factory=list)

    def registration(self) -> dict[str, object]:
        """Return this target's registration."""
        return target_registration(SERVICE, self.address, slots=SLOTS)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        codec = h11.Connection(h11.SERVER)
        self.writers.add(writer)
        try:
            while (head := await self._read_request(codec, reader)) is not None:
                await self._respond(writer, head)
                codec = h11.Connection(h11.SERVER)
        except (OSError, h11.ProtocolError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _read_request(
        self, codec: h11.Connection, reader: asyncio.StreamReader
    ) -> h11.Request | None:
        head, size = None, 0
        while True:
            event = codec.next_event()
            if event is h11.NEED_DATA:
                codec.receive_data(await reader.read(READ_BYTES))
            elif isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                size += len(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self.bodies.append(size)
                return head
            else:
                return None

    async def _respond(self, writer: asyncio.StreamWriter, head: h11.Request) -> None:
        headers = {name.decode(): value.decode() for name, value in head.headers}
        size = int(headers.get(ANSWER_HEADER, "2"))
        is_stream = head.target.startswith(b"/stream/")
        lines = [
            "HTTP/1.1 200 OK",
            f"X-Attempt-Id: {headers.get('x-attempt-id', '')}",
            f"X-Response-Signature: {self.identity}",
            "Content-Type: text/event-stream" if is_stream else "Content-Type: text/plain",
            "Transfer-Encoding: chunked" if is_stream else f"Content-Length: {size}",
        ]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        number = 0
        while size > 0:
            number += 1
            part = b"x" * min(size, PART_BYTES)
            size -= len(part)
            if is_stream:
                part = b"id: %d\ndata: %b\n\n" % (number, part)
                part = b"%x\r\n%b\r\n" % (len(part), part)
            writer.write(part)
            await writer.drain()
        if is_stream:
            writer.write(b"0\r\n\r\n")
        await writer.drain()
