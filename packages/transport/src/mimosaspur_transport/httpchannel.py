"""Send requests over one HTTP/1.1 connection and stream the responses."""

import asyncio
import contextlib
import socket
from dataclasses import dataclass
from enum import Enum
from typing import cast

import h11

from mimosaspur_protocol.numbers import parse_number
from mimosaspur_transport.dialect import Headers

READ_BYTES = 65_536
# A response with a larger head is invalid.
MAX_HEAD_BYTES = 65_536
BODILESS_STATUSES = frozenset({204, 304})
CONNECT_TIMEOUT_MS = 700
# The connection fails when sent data stays unacknowledged for this long.
UNACKED_TIMEOUT_MS = 1_500
# A request of this size may exceed what a peer's kernel takes while its process doesn't read.
LONG_REQUEST_BYTES = 16_384
# The kernel's timeout also ends a connection whose peer acknowledges, but has no room for more.
LONG_REQUEST_TIMEOUT_MS = 4_000
# A peer that has taken nothing for this long doesn't read at present.
STALLED_SEND_S = 1.5


class ChannelBroken(Exception):
    """Signal that the connection failed, ended early or carried an invalid response."""


class ConnectionRefused(ChannelBroken):
    """Signal that nothing listens at the address."""


class Framing(Enum):
    """List what marks the end of a response's body."""

    LENGTH = "length"
    CHUNKS = "chunks"
    # Only the end of the connection.
    CONNECTION = "connection"


class ConnectionEnd(Enum):
    """List how the peer has ended a connection."""

    NONE = "none"
    CLOSED = "closed"
    RESET = "reset"


@dataclass(slots=True, frozen=True)
class ResponseHead:
    """Hold the status and headers of a response."""

    status: int
    headers: Headers
    reason: bytes = b""


def set_dead_peer_timeouts(sock: socket.socket, *, timeout_ms: int = UNACKED_TIMEOUT_MS) -> None:
    """Set TCP timeouts that detect a dead peer quickly."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2)
    set_unacked_timeout(sock, timeout_ms)


def set_unacked_timeout(sock: socket.socket, timeout_ms: int) -> None:
    """Set for how long sent data may stay unacknowledged, or the peer without room for more."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)


class HttpChannel:
    """Send one request at a time; unusable after the first error."""

    __slots__ = (
        "codec",
        "connection_end",
        "framing",
        "idle_since_ms",
        "keep_alive_ms",
        "reader",
        "received_bytes",
        "request",
        "sent_bytes",
        "waits_for_room",
        "writer",
    )

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer
        self.codec = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self.request: h11.Request | None = None
        # Of the last response; None before its head has been read.
        self.framing: Framing | None = None
        self.connection_end = ConnectionEnd.NONE
        self.idle_since_ms = 0
        # The peer's keep-alive timeout, 0 if it sent none.
        self.keep_alive_ms = 0
        self.waits_for_room = False
        # Since the last call of take_byte_counts.
        self.sent_bytes = 0
        self.received_bytes = 0

    @classmethod
    async def open(
        cls, address: tuple[str, int], *, timeout_ms: int = CONNECT_TIMEOUT_MS
    ) -> "HttpChannel":
        """Open a connection; raise ChannelBroken."""
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                reader, writer = await asyncio.open_connection(*address)
        except ConnectionRefusedError as error:
            raise ConnectionRefused(f"can't connect: {error!r}") from error
        except (OSError, TimeoutError) as error:
            raise ChannelBroken(f"can't connect: {error!r}") from error
        set_dead_peer_timeouts(writer.get_extra_info("socket"))
        return cls(reader, writer)

    async def send(self, method: bytes, target: bytes, headers: Headers, body: bytes) -> None:
        """Send a complete request; raise ChannelBroken.

        If the response begins before the peer has read the request, the rest is sent meanwhile.
        """
        if self.codec.our_state is h11.DONE:
            self.codec.start_next_cycle()
        framing = [(b"Content-Length", b"%d" % len(body))] if _has_body(method, body) else []
        self.framing = None
        self.request = h11.Request(method=method, target=target, headers=headers + framing)
        data = self._encode_request(self.request, body)
        self._set_waits_for_room(len(data) > LONG_REQUEST_BYTES)
        self.sent_bytes += len(data)
        self.writer.write(data)
        try:
            await self._drain()
        except OSError as error:
            raise ChannelBroken(f"can't send: {error!r}") from error

    async def read_head(self) -> ResponseHead:
        """Return the head of the next response; raise ChannelBroken."""
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Response):
                headers = list(event.headers.raw_items())
                self._record_keep_alive(headers)
                self.framing = _framing(event, cast(h11.Request, self.request).method)
                self._set_waits_for_room(not self.is_fully_sent())
                return ResponseHead(event.status_code, headers, event.reason)
            if not isinstance(event, h11.InformationalResponse):
                raise ChannelBroken("the connection ended before a response")

    def take_byte_counts(self) -> tuple[int, int]:
        """Return the bytes sent and received since the last call."""
        counts = self.sent_bytes, self.received_bytes
        self.sent_bytes = self.received_bytes = 0
        return counts

    def marks_end(self) -> bool:
        """Return whether the framing of the response marks its end.

        Otherwise its connection ends with it, and may also have been closed before its end.
        """
        return self.framing is not Framing.CONNECTION

    async def read_chunk(self) -> bytes | None:
        """Return the next part of the body, or None at its end; raise ChannelBroken."""
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise ChannelBroken("the response ended early")

    async def read_body(self, limit: int) -> bytes:
        """Return the whole body; raise ChannelBroken, also when it exceeds the limit."""
        body = bytearray()
        while (chunk := await self.read_chunk()) is not None:
            body += chunk
            if len(body) > limit:
                raise ChannelBroken("the response exceeds the size limit")
        return bytes(body)

    async def skip_response(self) -> None:
        """Discard a response to an earlier request, and prepare to read the next one."""
        while await self.read_chunk() is not None:
            pass
        leftover, closed = self.codec.trailing_data
        request = cast(h11.Request, self.request)
        self.codec = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        # The request was already sent: this only puts the new codec into the waiting state.
        self._encode_request(request, b"\0" * _content_length(request))
        if leftover:
            self.codec.receive_data(leftover)
        if closed:
            raise ChannelBroken("the connection ended before a response")

    def is_reusable(self) -> bool:
        """Return whether another request may be sent."""
        if self.writer.is_closing() or self.reader.at_eof() or self.reader.exception():
            return False
        # Unexpected bytes belong to no request, so the connection can't be trusted.
        unexpected = self.codec.trailing_data[0] or bool(getattr(self.reader, "_buffer", b""))
        states = {self.codec.our_state, self.codec.their_state}
        return states in ({h11.IDLE}, {h11.DONE}) and not unexpected

    def is_fully_sent(self) -> bool:
        """Return whether the whole request has been written to the socket."""
        return self._unsent_bytes() == 0

    def _unsent_bytes(self) -> int:
        return self.writer.transport.get_write_buffer_size()

    def close(self) -> None:
        """Reset the connection; the target cancels the request in flight."""
        self.writer.transport.abort()

    def _set_waits_for_room(self, waits: bool) -> None:
        """Set whether to wait longer, since the peer may have no room for the whole request."""
        if waits == self.waits_for_room:
            return
        self.waits_for_room = waits
        # The connection may have ended already.
        with contextlib.suppress(OSError):
            set_unacked_timeout(
                self.writer.get_extra_info("socket"),
                LONG_REQUEST_TIMEOUT_MS if waits else UNACKED_TIMEOUT_MS,
            )

    async def _drain(self) -> None:
        """Wait until the peer has taken the request, responds or stops reading; raise OSError."""
        if self.is_fully_sent():
            return
        loop = asyncio.get_running_loop()
        draining = loop.create_task(self.writer.drain())
        # A cancelled read has consumed nothing.
        reading = loop.create_task(self._read())
        try:
            while True:
                unsent = self._unsent_bytes()
                await asyncio.wait(
                    {draining, reading},
                    timeout=STALLED_SEND_S,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if reading.done():
                    self.codec.receive_data(reading.result())
                    return
                if draining.done():
                    draining.result()
                    return
                if self._unsent_bytes() == unsent:
                    return
        finally:
            draining.cancel()
            reading.cancel()
            await asyncio.gather(draining, reading, return_exceptions=True)

    def _encode_request(self, request: h11.Request, body: bytes) -> bytes:
        data = self.codec.send(request) or b""
        if body:
            data += self.codec.send(h11.Data(data=body)) or b""
        return data + (self.codec.send(h11.EndOfMessage()) or b"")

    async def _next_event(self) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        try:
            while (event := self.codec.next_event()) is h11.NEED_DATA:
                self.codec.receive_data(await self._read())
        except (OSError, h11.ProtocolError) as error:
            raise ChannelBroken(f"broken: {error!r}") from error
        return event

    async def _read(self) -> bytes:
        try:
            data = await self.reader.read(READ_BYTES)
        except OSError:
            self.connection_end = ConnectionEnd.RESET
            raise
        self.received_bytes += len(data)
        if not data:
            self.connection_end = ConnectionEnd.CLOSED
        return data

    def _record_keep_alive(self, headers: Headers) -> None:
        for name, value in headers:
            if name.lower() != b"keep-alive":
                continue
            for part in value.split(b","):
                key, _, number = part.strip().partition(b"=")
                seconds = parse_number(number)
                if key.lower() == b"timeout" and seconds is not None:
                    self.keep_alive_ms = seconds * 1000


def _has_body(method: bytes, body: bytes) -> bool:
    return bool(body) or method in (b"POST", b"PUT", b"PATCH")


def _framing(response: h11.Response, method: bytes) -> Framing:
    """Return what marks the end of a response's body, as RFC 9112 6.3 orders it."""
    if method == b"HEAD" or response.status_code in BODILESS_STATUSES:
        return Framing.LENGTH
    names = {name for name, _ in response.headers}
    if b"transfer-encoding" in names:
        return Framing.CHUNKS
    return Framing.LENGTH if b"content-length" in names else Framing.CONNECTION


def _content_length(request: h11.Request) -> int:
    for name, value in request.headers:
        if name == b"content-length":
            return int(value)
    return 0
