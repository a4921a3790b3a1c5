"""Simulate targets whose events show the version of their software."""

import asyncio
from dataclasses import dataclass
from dataclasses import field
from typing import Any

import h11

from harness.direct_target import read_request
from harness.framed_target import reset
from harness.listening_target import ListeningTarget
from harness.listening_target import target_registration

SERVICE = "models"
SERVERS = "servers"
EVENT_COUNT = 6
EVENT_S = 0.02
# Events before a first run is broken off.
EVENTS_BEFORE_BREAK = 2
BREAKS = b"break"
SLOTS = 64


@dataclass(slots=True)
class VersionedTarget(ListeningTarget):
    """Stream events that name its version, and break off the first run of a request that asks."""

    identity: str
    version: str
    # Bodies that were broken off, at any target.
    broken: set[bytes]
    address: tuple[str, int] = ("127.0.0.1", 0)
    server: asyncio.Server | None = None
    writers: set[asyncio.StreamWriter] = field(default_factory=set)

    def stop(self) -> None:
        """Stop listening and reset all connections."""
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            reset(writer)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        codec = h11.Connection(h11.SERVER)
        self.writers.add(writer)
        try:
            while (request := await read_request(codec, reader)) is not None:
                head, body = request
                headers = {name.decode(): value.decode() for name, value in head.headers}
                if headers.get("x-expected-instance") != self.identity:
                    self._send(codec, writer, h11.Response(status_code=421, headers=[]))
                    self._send(codec, writer, h11.EndOfMessage())
                else:
                    await self._run(codec, writer, headers, body)
                if codec.our_state is not h11.DONE:
                    break
                codec.start_next_cycle()
        except (OSError, h11.ProtocolError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _run(
        self,
        codec: h11.Connection,
        writer: asyncio.StreamWriter,
        headers: dict[str, str],
        body: bytes,
    ) -> None:
        request = headers.get("x-attempt-id", "")
        own = [("X-Attempt-Id", request), ("X-Response-Signature", self.identity)]
        breaks = body.startswith(BREAKS) and body not in self.broken
        self._send(codec, writer, h11.Response(status_code=200, headers=own))
        first = int(headers.get("last-event-id", "0")) + 1
        for number in range(first, EVENT_COUNT + 1):
            await asyncio.sleep(EVENT_S)
            if writer.is_closing():
                return
            if breaks and number > EVENTS_BEFORE_BREAK:
                self.broken.add(body)
                reset(writer)
                return
            event = f"id: {number}\ndata: {self.version}\n\n".encode()
            self._send(codec, writer, h11.Data(data=event))
        self._send(codec, writer, h11.EndOfMessage())

    def _send(self, codec: h11.Connection, writer: asyncio.StreamWriter, event: h11.Event) -> None:
        writer.write(codec.send(event) or b"")


def registration(target: VersionedTarget) -> dict[str, Any]:
    """Return a target's registration."""
    return target_registration(SERVICE, target.address, version=target.version, slots=SLOTS)
