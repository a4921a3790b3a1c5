"""Send requests over one HTTP/1.1 connection and stream the responses."""

import asyncio
import contextlib
import select
import socket
import struct
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import cast

import h11

from mimosaspur_protocol.numbers import parse_number
from mimosaspur_transport.dialect import Headers

READ_BYTES = 16_384
# A request's body goes to the connection's buffer in such pieces, so that it isn't there as a copy.
SEND_BYTES = 65_536
# Memory is taken in such steps while a response of unknown length comes.
HOLD_BYTES = 65_536
# Size of the kernel's buffer for what the peer sends. It counts as the process's memory; it is full
# while a response is not read as its caller doesn't take it.
RECEIVE_BUFFER_BYTES = 65_536
# Limit of buffered input beside it.
READ_BUFFER_BYTES = 8_192
# A response with a larger head, its interim responses included, is invalid.
MAX_HEAD_BYTES = 65_536
# A head arrives in one or two reads. One that takes more reads and longer than this has no end; a
# peer that pauses inside its head for longer, but sends the rest at once, is only silent.
MAX_HEAD_READS = 16
MAX_HEAD_S = 1.0
# Bytes of chunk headers and ends that a body may have beside its data, at all and for each byte of
# data. Chunks of 3 bytes and more keep to it; smaller ones take longer to decode than to send.
MAX_FRAMING_BYTES = 65_536
MAX_FRAMING_RATIO = 2
# Chunks that are decoded, at some 25 us each, before other tasks have a turn.
MAX_CHUNKS_AT_ONCE = 400
# Limit on the body of a response to another request, which is discarded.
MAX_SKIPPED_BYTES = 1_048_576
# A connection with more rejected requests is not used again, so that their IDs are bounded.
MAX_REJECTED = 64
# The codec's hint for an event that exceeds its limit.
OVERSIZED_STATUS = 431
# States of a codec's sides while no request is under way.
SETTLED_STATES = frozenset((h11.IDLE, h11.DONE, h11.MUST_CLOSE, h11.CLOSED))
# The value of SO_LINGER with which a close resets the connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
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


class EndlessResponse(ChannelBroken):
    """Signal that a peer sends bytes that are no answer, more or for longer than is allowed.

    `part` names the part of the response that has no end.
    """

    def __init__(self, part: str, detail: str) -> None:
        super().__init__(detail)
        self.part = part


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


def limit_reads(transport: asyncio.WriteTransport, size: int) -> None:
    """Set how much the event loop reads from a connection at once.

    The loop's own limit would let one read exceed what a reader keeps by far.
    """
    setattr(transport, "max_size", size)  # noqa: B010


class HttpChannel:
    """Send one request at a time; unusable after the first error."""

    __slots__ = (
        "after_data",
        "body_bytes",
        "codec",
        "connection_end",
        "exchanged_bytes",
        "data_bytes",
        "framing",
        "idle_since_ms",
        "keep_alive_ms",
        "last_read_s",
        "reader",
        "received_bytes",
        "rejected",
        "request",
        "requests",
        "rests",
        "sending",
        "unsent_body",
        "waits_for_room",
        "writer",
    )

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer
        self.codec = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self.request: h11.Request | None = None
        # IDs of the requests that were rejected here: a copy of a rejection may still come, and
        # would be taken for one of the same request, sent again.
        self.rejected: set[bytes | None] = set()
        # Number of requests sent so far.
        self.requests = 0
        # Of the last response; None before its head has been read.
        self.framing: Framing | None = None
        self.connection_end = ConnectionEnd.NONE
        # Of the body that is being read: bytes of data so far, and all bytes read since its head.
        self.data_bytes = 0
        self.body_bytes = 0
        # What follows the data that was returned last, if it isn't data.
        self.after_data: object = None
        # Whether other tasks have a turn before more is decoded.
        self.rests = False
        # Of the response: bytes read so far, and when, on the event loop's clock.
        self.received_bytes = 0
        self.last_read_s = 0.0
        self.idle_since_ms = 0
        # The peer's keep-alive timeout, 0 if it sent none.
        self.keep_alive_ms = 0
        self.waits_for_room = False
        # The rest of the request's body, and the task that sends it; None for a short body.
        self.unsent_body = memoryview(b"")
        self.sending: asyncio.Task[None] | None = None
        # Sent and received since the last call of take_byte_counts.
        self.exchanged_bytes = [0, 0]

    @classmethod
    async def open(
        cls, address: tuple[str, int], *, timeout_ms: int = CONNECT_TIMEOUT_MS
    ) -> "HttpChannel":
        """Open a connection; raise ChannelBroken."""
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                reader, writer = await asyncio.open_connection(*address, limit=READ_BUFFER_BYTES)
        except ConnectionRefusedError as error:
            raise ConnectionRefused(f"can't connect: {error!r}") from error
        except (OSError, TimeoutError) as error:
            raise ChannelBroken(f"can't connect: {error!r}") from error
        limit_reads(writer.transport, READ_BUFFER_BYTES)
        sock = writer.get_extra_info("socket")
        set_dead_peer_timeouts(sock)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        return cls(reader, writer)

    async def send(self, method: bytes, target: bytes, headers: Headers, body: bytes) -> None:
        """Send a complete request; raise ChannelBroken.

        If the response begins before the peer has read the request, the rest is sent meanwhile.
        """
        if self.codec.our_state is h11.DONE:
            self.codec.start_next_cycle()
        framing = [(b"Content-Length", b"%d" % len(body))] if _has_body(method, body) else []
        self.framing = None
        self.received_bytes = 0
        self.requests += 1
        self.request = h11.Request(method=method, target=target, headers=headers + framing)
        head = self._encode_request(self.request, body)
        size = len(head) + len(body)
        self._set_waits_for_room(size > LONG_REQUEST_BYTES)
        self.exchanged_bytes[0] += size
        self.writer.write(head + body[:SEND_BYTES])
        self.unsent_body = memoryview(body)[SEND_BYTES:]
        self.sending = None
        if self.unsent_body:
            self.sending = asyncio.get_running_loop().create_task(self._send_rest())
            # What the kernel takes at once is no sign that the peer reads.
            await asyncio.sleep(0)
        try:
            await self._drain()
        except OSError as error:
            raise ChannelBroken(f"can't send: {error!r}") from error

    async def read_head(self) -> ResponseHead:
        """Return the head of the next response; raise ChannelBroken."""
        interim_bytes = 0
        reads = 0
        first_read_s = 0.0
        while True:
            while (event := self._decode()) is h11.NEED_DATA:
                await self._receive()
                now_s = asyncio.get_running_loop().time()
                reads += 1
                first_read_s = first_read_s or now_s
                if reads > MAX_HEAD_READS and now_s - first_read_s > MAX_HEAD_S:
                    raise EndlessResponse("head", "the head of the response doesn't end")
            if isinstance(event, h11.Response):
                headers = list(event.headers.raw_items())
                self._record_keep_alive(headers)
                self.framing = _framing(event, cast(h11.Request, self.request).method)
                self.data_bytes = 0
                self.body_bytes = len(self.codec.trailing_data[0])
                self.after_data = None
                self._set_waits_for_room(not self.is_fully_sent())
                return ResponseHead(event.status_code, headers, event.reason)
            if not isinstance(event, h11.InformationalResponse):
                raise ChannelBroken("the connection ended before a response")
            interim_bytes += _head_bytes(event)
            if interim_bytes > MAX_HEAD_BYTES:
                raise EndlessResponse("head", "the interim responses exceed the size limit")

    def take_byte_counts(self) -> tuple[int, int]:
        """Return the bytes sent and received since the last call."""
        sent, received = self.exchanged_bytes
        self.exchanged_bytes = [0, 0]
        return sent, received

    def local_port(self) -> int:
        """Return the port of this end, 0 once the connection has ended."""
        address = self.writer.get_extra_info("sockname")
        return int(address[1]) if address else 0

    def marks_end(self) -> bool:
        """Return whether the framing of the response marks its end.

        Otherwise its connection ends with it, and may also have been closed before its end.
        """
        return self.framing is not Framing.CONNECTION

    async def read_chunk(self) -> bytes | None:
        """Return the next part of the body, or None at its end; raise ChannelBroken."""
        # A cancelled read must not have consumed anything, so that nothing is awaited after data.
        if self.after_data is None and (data := await self._read_data()):
            return data
        following, self.after_data = self.after_data, None
        if isinstance(following, ChannelBroken):
            raise following
        if isinstance(following, h11.EndOfMessage):
            return None
        raise ChannelBroken("the response ended early")

    async def read_body(
        self,
        limit: int,
        *,
        held_bytes: int = 0,
        hold: Callable[[int], Awaitable[None]] | None = None,
    ) -> bytes:
        """Return the whole body; raise ChannelBroken, also when it exceeds the limit.

        `hold` waits for memory for more than the `held_bytes`.
        """
        body = bytearray()
        while (chunk := await self.read_chunk()) is not None:
            if hold and len(body) + len(chunk) > held_bytes:
                step = max(len(chunk), HOLD_BYTES)
                await hold(step)
                held_bytes += step
            body += chunk
            if len(body) > limit:
                raise EndlessResponse("body", "the response exceeds the size limit")
        return bytes(body)

    async def skip_response(self) -> None:
        """Discard a response to an earlier request, and prepare to read the next one."""
        while await self.read_chunk() is not None:
            if self.data_bytes > MAX_SKIPPED_BYTES:
                raise EndlessResponse("foreign", "a response to another request is too large")
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
        if len(self.rejected) > MAX_REJECTED:
            return False
        # Unexpected bytes belong to no request, so the connection can't be trusted.
        states = {self.codec.our_state, self.codec.their_state}
        return states in ({h11.IDLE}, {h11.DONE}) and not self.has_unexpected_bytes()

    def has_unexpected_bytes(self) -> bool:
        """Return whether bytes have come that belong to no request, if the response has ended."""
        return bool(self.codec.trailing_data[0] or getattr(self.reader, "_buffer", b""))

    def has_unseen_input(self) -> bool:
        """Return whether input, or the peer's end, waits in the socket for the event loop."""
        descriptor = self.writer.get_extra_info("socket").fileno()
        if descriptor < 0:
            return False
        poll = select.poll()
        poll.register(descriptor, select.POLLIN)
        return bool(poll.poll(0))

    def is_fully_sent(self) -> bool:
        """Return whether the whole request has been written to the socket."""
        return self._unsent_bytes() == 0

    def _unsent_bytes(self) -> int:
        return self.writer.transport.get_write_buffer_size() + len(self.unsent_body)

    async def _send_rest(self) -> None:
        """Send the rest of the body as the peer takes it; reading finds the connection's errors."""
        with contextlib.suppress(OSError):
            await self.writer.drain()
            while self.unsent_body:
                self.writer.write(self.unsent_body[:SEND_BYTES])
                self.unsent_body = self.unsent_body[SEND_BYTES:]
                await self.writer.drain()

    def close(self) -> None:
        """Close the connection, with a reset if it carries a request, which the peer cancels.

        After an ordinary end the peer's kernel would still pass on the rest of the request, and a
        peer may answer after it.
        """
        if not self._is_between_requests():
            # The connection may have ended already.
            with contextlib.suppress(OSError):
                self.writer.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
                )
        if self.sending:
            self.sending.cancel()
        self.writer.transport.abort()

    def _is_between_requests(self) -> bool:
        """Return whether the last request was sent, and its response read, in full."""
        states = {self.codec.our_state, self.codec.their_state}
        return states <= SETTLED_STATES and self.is_fully_sent()

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
        draining = loop.create_task(self._finish_sending())
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

    async def _finish_sending(self) -> None:
        if self.sending:
            await asyncio.shield(self.sending)
        await self.writer.drain()

    def _encode_request(self, request: h11.Request, body: bytes) -> bytes:
        """Put the codec into the state after the request; return the head, as encoded."""
        head = self.codec.send(request) or b""
        if body:
            # It has a length, so that the codec leaves it as it is.
            self.codec.send(h11.Data(data=body))
        self.codec.send(h11.EndOfMessage())
        return head

    async def _read_data(self) -> bytes:
        """Return the data that is there, or comes next; none at the end of the body.

        What follows it is kept, an error too: the data before it is valid.
        """
        if self.rests:
            self.rests = False
            await asyncio.sleep(0)
        data = bytearray()
        chunks = 0
        while chunks < MAX_CHUNKS_AT_ONCE:
            try:
                event = self._decode()
                if event is h11.NEED_DATA:
                    self._check_framing()
            except ChannelBroken as error:
                self.after_data = error
                return bytes(data)
            if event is h11.NEED_DATA:
                if data:
                    return bytes(data)
                self.body_bytes += await self._receive()
            elif isinstance(event, h11.Data):
                data += event.data
                self.data_bytes += len(event.data)
                chunks += 1
            else:
                self.after_data = event
                return bytes(data)
        self.rests = True
        return bytes(data)

    def _check_framing(self) -> None:
        """Raise EndlessResponse if the body consists of little but chunk headers."""
        framing_bytes = self.body_bytes - self.data_bytes - len(self.codec.trailing_data[0])
        if framing_bytes > MAX_FRAMING_BYTES + MAX_FRAMING_RATIO * self.data_bytes:
            raise EndlessResponse("framing", "the chunk headers exceed the size limit")

    def _decode(self) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        """Return the next event of what has been read; raise ChannelBroken."""
        try:
            return self.codec.next_event()
        except h11.RemoteProtocolError as error:
            if error.error_status_hint == OVERSIZED_STATUS:
                part = "head" if self.framing is None else "framing"
                raise EndlessResponse(part, "a head, chunk header or trailer has no end") from error
            raise ChannelBroken(f"broken: {error!r}") from error
        except h11.ProtocolError as error:
            raise ChannelBroken(f"broken: {error!r}") from error

    async def _receive(self) -> int:
        """Read what there is for the codec, and return its size; raise ChannelBroken."""
        try:
            data = await self._read()
        except OSError as error:
            raise ChannelBroken(f"broken: {error!r}") from error
        self.codec.receive_data(data)
        return len(data)

    async def _read(self) -> bytes:
        try:
            data = await self.reader.read(READ_BYTES)
        except OSError:
            self.connection_end = ConnectionEnd.RESET
            raise
        self.exchanged_bytes[1] += len(data)
        if not data:
            self.connection_end = ConnectionEnd.CLOSED
        self.received_bytes += len(data)
        self.last_read_s = asyncio.get_running_loop().time()
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


def _head_bytes(head: h11.InformationalResponse) -> int:
    """Return about as many bytes as a head has on the connection."""
    return 16 + sum(len(name) + len(value) + 4 for name, value in head.headers)


def _content_length(request: h11.Request) -> int:
    for name, value in request.headers:
        if name == b"content-length":
            return int(value)
    return 0
