"""Simulate targets whose responses are framed and broken off in every way."""

import asyncio
import contextlib
import socket
import struct
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from enum import Enum
from typing import Any

import h11
import msgspec

from harness.direct_target import read_request
from harness.listening_target import ListeningTarget
from harness.listening_target import target_registration

SERVICE = "models"
SERVERS = "servers"
EVENT_COUNT = 4
EVENT_S = 0.004
WHOLE_BODY = b"the whole answer of a plain service"
SLOTS = 32
SECOND_RUN = 2


class Completeness(Enum):
    """List what a response tells of its completeness."""

    WHOLE = "whole"
    BROKEN = "broken"
    UNKNOWN = "unknown"


@dataclass(slots=True, frozen=True, kw_only=True)
class Play:
    """Describe the first response to a request; it travels as the request's body."""

    # Distinguishes the content of requests.
    number: int = 0
    # "length", "chunks", "connection" or "http/1.0".
    framing: str = "chunks"
    # Events, or for a plain service parts of the body, that are sent in full.
    sent: int = EVENT_COUNT
    # Bytes of the next one that are sent too.
    extra_bytes: int = 0
    # "framing" as the framing says, "close" or "reset".
    end: str = "framing"
    event_end: str = "\n\n"
    stream: bool = True
    status: int = 200
    # Framing of the responses after the first one, which are complete.
    later: str = "chunks"
    # Pause after each part.
    part_s: float = EVENT_S
    # Bytes of the head that are sent before the response ends; None for the whole head.
    head_bytes: int | None = None
    # The same for the second response.
    later_head_bytes: int | None = None

    @property
    def content(self) -> bytes:
        """Return all that a sound target would send."""
        return b"".join(self.parts(1))

    @property
    def sent_content(self) -> bytes:
        """Return what is sent of it."""
        if self.head_bytes is not None:
            return b""
        sent = sum(map(len, self.parts(1)[: self.sent]))
        return self.content[: sent + self.extra_bytes]

    @property
    def completeness(self) -> Completeness:
        """Return what the response itself tells."""
        if self.head_bytes is not None:
            return Completeness.BROKEN
        inside_event = self.stream and self.extra_bytes > 0
        if self.framing in ("length", "chunks"):
            complete = self.end == "framing" and not inside_event
            return Completeness.WHOLE if complete else Completeness.BROKEN
        if self.end == "reset" or inside_event or (self.stream and not self.sent):
            return Completeness.BROKEN
        return Completeness.UNKNOWN

    def parts(self, first: int) -> list[bytes]:
        """Return the parts of the response from an event on."""
        if not self.stream:
            step = len(WHOLE_BODY) // EVENT_COUNT + 1
            return [WHOLE_BODY[at : at + step] for at in range(0, len(WHOLE_BODY), step)]
        line, end = self.event_end[: len(self.event_end) // 2], self.event_end
        return [
            f"id: {number}{line}data: {self.number}-{number}{end}".encode()
            for number in range(first, EVENT_COUNT + 1)
        ]


@dataclass(slots=True)
class FramedTarget(ListeningTarget):
    """Give each request the response that its body describes once, then whole ones in chunks."""

    identity: str
    # Requests that have had their described response, at any target.
    played: set[str]
    # How often a request ran, at any target.
    runs: dict[str, int]
    address: tuple[str, int] = ("127.0.0.1", 0)
    server: asyncio.Server | None = None
    writers: set[asyncio.StreamWriter] = field(default_factory=set)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        codec = h11.Connection(h11.SERVER)
        self.writers.add(writer)
        try:
            while (request := await read_request(codec, reader)) is not None:
                head, body = request
                headers = {name.decode(): value.decode() for name, value in head.headers}
                play = msgspec.json.decode(body, type=Play) if body else Play()
                if not await self._respond(writer, headers, play):
                    break
                codec = h11.Connection(h11.SERVER)
        except (OSError, h11.ProtocolError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _respond(
        self, writer: asyncio.StreamWriter, headers: dict[str, str], play: Play
    ) -> bool:
        """Send a response; return whether the connection goes on."""
        request = headers.get("x-attempt-id", "")
        if headers.get("x-expected-instance") != self.identity:
            writer.write(b"HTTP/1.1 421 Elsewhere\r\nContent-Length: 0\r\n\r\n")
            return True
        self.runs[request] = self.runs.get(request, 0) + 1
        if request in self.played:
            again, end = play.later_head_bytes, play.end
            play = Play(
                number=play.number,
                framing=play.later,
                event_end=play.event_end,
                stream=play.stream,
            )
            if again is not None and self.runs[request] == SECOND_RUN:
                play = replace(play, head_bytes=again, end=end)
        self.played.add(request)
        parts = play.parts(int(headers.get("last-event-id", "0")) + 1)
        sent = parts[: play.sent]
        if play.extra_bytes and len(parts) > play.sent:
            sent.append(parts[play.sent][: play.extra_bytes])
        head = _head(play, request, self.identity, sent, parts)
        if play.head_bytes is not None:
            # A head that is shorter than that lacks its end all the same.
            head, sent = head[: min(play.head_bytes, len(head) - 1)], []
        writer.write(head)
        for part in sent:
            writer.write(b"%x\r\n%b\r\n" % (len(part), part) if play.framing == "chunks" else part)
            await writer.drain()
            await asyncio.sleep(play.part_s)
        if play.end == "framing" and play.framing == "chunks":
            writer.write(b"0\r\n\r\n")
        if play.end == "reset":
            reset(writer)
        return play.end == "framing" and play.framing in ("chunks", "length")


def reset(writer: asyncio.StreamWriter) -> None:
    """End a connection by a reset."""
    sock = writer.get_extra_info("socket")
    # The connection may have ended already.
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def registration(target: FramedTarget) -> dict[str, Any]:
    """Return a target's registration."""
    return target_registration(SERVICE, target.address, slots=SLOTS)


def _head(play: Play, request: str, identity: str, sent: list[bytes], parts: list[bytes]) -> bytes:
    version = "1.0" if play.framing == "http/1.0" else "1.1"
    lines = [
        f"HTTP/{version} {play.status} Answer",
        f"X-Attempt-Id: {request}",
        f"X-Response-Signature: {identity}",
    ]
    if play.framing == "chunks":
        lines.append("Transfer-Encoding: chunked")
    elif play.framing == "length":
        # A target that ends its body inside an event announces just that much.
        announced = sent if play.end == "framing" else parts
        lines.append(f"Content-Length: {sum(map(len, announced))}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()
