"""Read requests and write responses on one caller's connection."""

import asyncio
import contextlib
import fcntl
import socket
import struct
import sys
import termios
from collections.abc import Callable
from dataclasses import dataclass

import h11

from mimosaspur_state.routes import CallerLimits
from mimosaspur_transport.dialect import Headers
from mimosaspur_transport.dialect import header

READ_BYTES = 65_536
# Limit of buffered input; TCP flow control holds back the rest.
READ_BUFFER_BYTES = 65_536
# How long a write waits for a caller that doesn't read.
WRITE_TIMEOUT_MS = 15_000
HTTP_1_0 = b"1.0"
# Size of the integer that the FIONREAD request of ioctl sets.
INT_BYTES = struct.calcsize("i")


class CallerDisconnected(Exception):
    """Signal that the caller disconnected or can't receive more data."""


class BadRequest(Exception):
    """Signal an invalid request and the response status for it."""

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(detail)
        self.status = status
        self.detail = detail


@dataclass(slots=True, frozen=True)
class CallerRequest:
    """Hold a complete request."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    # When the head was complete, on the event loop's clock.
    arrived_s: float

    @property
    def path(self) -> str:
        """Return the path without the query."""
        return self.target.partition(b"?")[0].decode("latin-1")

    @property
    def host(self) -> str:
        """Return the Host header in lower case, without the port."""
        value = (header(self.headers, b"host") or b"").decode("latin-1").strip().lower()
        name, separator, port = value.rpartition(":")
        return name if separator and port.isdigit() else value


class EofNotifyingReader(asyncio.StreamReader):
    """Call a function when the peer disconnects, even while no read is pending."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(limit=READ_BUFFER_BYTES, loop=loop)
        self.on_disconnect: Callable[[], None] | None = None

    def feed_eof(self) -> None:
        """Handle the end of the stream."""
        super().feed_eof()
        if self.on_disconnect:
            self.on_disconnect()

    def set_exception(self, exc: Exception) -> None:
        """Handle a failure of the stream."""
        super().set_exception(exc)
        if self.on_disconnect:
            self.on_disconnect()


class CallerConnection:
    """Serve HTTP/1.1 to one caller, one request at a time."""

    __slots__ = (
        "answer_pending",
        "codec",
        "ends_with_connection",
        "is_bodiless",
        "limits",
        "reader",
        "waiting_since_s",
        "writer",
    )

    def __init__(
        self, reader: EofNotifyingReader, writer: asyncio.StreamWriter, *, limits: CallerLimits
    ) -> None:
        self.reader = reader
        self.writer = writer
        self.limits = limits
        self.codec = h11.Connection(h11.SERVER, max_incomplete_event_size=limits.header_bytes)
        # Whether a request was read and its response is not complete.
        self.answer_pending = False
        # Whether only the end of the connection ends the current response.
        self.ends_with_connection = False
        # Whether the current request takes a response without a body.
        self.is_bodiless = False
        # When the wait for the next request began, on the event loop's clock.
        self.waiting_since_s = asyncio.get_running_loop().time()

    async def next_request(self) -> CallerRequest | None:
        """Return the next request, or None when the caller closes or times out."""
        head = await self._read_head()
        if head is None:
            return None
        arrived_s = asyncio.get_running_loop().time()
        self.is_bodiless = head.method == b"HEAD"
        headers = list(head.headers.raw_items())
        length = header(headers, b"content-length")
        if length and int(length) > self.limits.body_bytes:
            raise BadRequest(413, "the body exceeds the size limit")
        if self.codec.they_are_waiting_for_100_continue:
            self._write(h11.InformationalResponse(status_code=100, headers=[]))
        body = await self._read_body()
        self.answer_pending = True
        return CallerRequest(head.method, head.target, headers, body, arrived_s)

    async def send_response(
        self, status: int, headers: Headers, body: bytes, *, close: bool, mark_end: bool = True
    ) -> None:
        """Send a complete response, or without `mark_end` one of unknown completeness."""
        framing = [(b"Content-Length", b"%d" % len(body))] if mark_end else []
        await self.send_head(status, headers + framing, close=close, mark_end=mark_end)
        if body and not self.is_bodiless:
            await self.send_chunk(body)
        await self.end_response()

    async def send_head(
        self, status: int, headers: Headers, *, close: bool, mark_end: bool = True
    ) -> None:
        """Send the head of a response.

        Without a length the body is sent in chunks. Without `mark_end`, and to a caller that
        doesn't know chunks, it ends with the connection.
        """
        if close:
            headers = [*headers, (b"Connection", b"close")]
        if not mark_end:
            # For an HTTP/1.0 peer the codec sends the body without chunks and closes.
            self.codec.their_http_version = HTTP_1_0
        has_length = header(headers, b"content-length") is not None
        if self.codec.their_http_version == HTTP_1_0 and not has_length:
            self._reset_until_end()
        self._write(
            h11.Response(status_code=status, headers=headers, reason=_reason_phrase(status))
        )
        await self._drain()

    async def send_chunk(self, chunk: bytes) -> None:
        """Send a part of the body."""
        self._write(h11.Data(data=chunk))
        await self._drain()

    async def end_response(self) -> None:
        """Send the end of the response."""
        self._write(h11.EndOfMessage())
        await self._drain()
        if self.ends_with_connection:
            self._set_linger(reset=False)
            self.ends_with_connection = False
        self.answer_pending = False

    def has_begun_response(self) -> bool:
        """Return whether a part of the current response may have been sent."""
        return self.codec.our_state not in (h11.IDLE, h11.SEND_RESPONSE)

    def start_next_cycle(self) -> bool:
        """Prepare for another request; return whether the connection may carry one."""
        if self.codec.our_state is h11.MUST_CLOSE or self.codec.their_state is not h11.DONE:
            return False
        self.codec.start_next_cycle()
        return True

    def is_idle(self) -> bool:
        """Return whether the connection carries no request, not even a partial one."""
        if self.answer_pending or self.is_inside_request():
            return False
        return not self.has_unread_input()

    def is_inside_request(self) -> bool:
        """Return whether a part of the next request has been read, but not all of it."""
        if self.answer_pending:
            return False
        return self.codec.their_state is not h11.IDLE or bool(self.codec.trailing_data[0])

    def has_unread_input(self) -> bool:
        """Return whether input waits in the reader's buffer or in the socket's."""
        if getattr(self.reader, "_buffer", b""):
            return True
        descriptor = self.writer.get_extra_info("socket").fileno()
        if descriptor < 0:
            return False
        waiting = fcntl.ioctl(descriptor, termios.FIONREAD, bytes(INT_BYTES))
        return bool(int.from_bytes(waiting, sys.byteorder))

    def idle_duration_s(self) -> float:
        """Return how long the connection has been idle, 0 if it is in use."""
        return asyncio.get_running_loop().time() - self.waiting_since_s if self.is_idle() else 0.0

    def close(self) -> None:
        """Close the connection after sending buffered data."""
        if not self.answer_pending:
            # The event loop closes the socket in its next pass only.
            with contextlib.suppress(OSError):
                self.writer.write_eof()
        self.writer.close()

    def abort(self) -> None:
        """Close the connection at once; a partial response doesn't look complete."""
        self.writer.transport.abort()

    async def wait_closed(self) -> None:
        """Wait until buffered data has been sent and the connection is closed, or can't be."""
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(WRITE_TIMEOUT_MS / 1000):
                await self.writer.wait_closed()
        self.abort()

    def reset_unread(self) -> None:
        """Reset the connection, so that the caller knows that its request wasn't read."""
        with contextlib.suppress(CallerDisconnected):
            self._set_linger(reset=True)
        self.abort()

    def _reset_until_end(self) -> None:
        """Make any end of the connection before the response's end a reset.

        Otherwise the connection of a process that is killed would be closed as if the response
        were complete.
        """
        self.ends_with_connection = True
        self._set_linger(reset=True)
        # Without this, drain returns while the end of the response is still in the buffer.
        self.writer.transport.set_write_buffer_limits(high=0)

    def _set_linger(self, *, reset: bool) -> None:
        sock = self.writer.get_extra_info("socket")
        linger = struct.pack("ii", int(reset), 0)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        except OSError as error:
            # The connection has ended already.
            raise CallerDisconnected from error

    async def _read_head(self) -> h11.Request | None:
        timeout_ms = self.limits.idle_timeout_ms
        waiting_s = self.waiting_since_s = asyncio.get_running_loop().time()
        while True:
            event = self._next_event()
            if isinstance(event, h11.Request):
                return event
            if event is not h11.NEED_DATA:
                return None
            data = await self._read(timeout_ms, waiting_s)
            if not data:
                return None
            if timeout_ms == self.limits.idle_timeout_ms:
                # The head has begun: the rest has a shorter timeout.
                timeout_ms = self.limits.header_timeout_ms
                waiting_s = asyncio.get_running_loop().time()
            self.codec.receive_data(data)

    async def _read_body(self) -> bytes:
        body = bytearray()
        while True:
            event = self._next_event()
            if isinstance(event, h11.Data):
                body += event.data
                if len(body) > self.limits.body_bytes:
                    raise BadRequest(413, "the body exceeds the size limit")
            elif isinstance(event, h11.EndOfMessage):
                return bytes(body)
            elif event is h11.NEED_DATA:
                now_s = asyncio.get_running_loop().time()
                data = await self._read(self.limits.idle_timeout_ms, now_s)
                if not data:
                    raise CallerDisconnected
                self.codec.receive_data(data)
            else:
                raise CallerDisconnected

    async def _read(self, timeout_ms: int, since_s: float) -> bytes:
        try:
            async with asyncio.timeout_at(since_s + timeout_ms / 1000):
                return await self.reader.read(READ_BYTES)
        except TimeoutError:
            if not self.has_unread_input():
                return b""
        except OSError as error:
            raise CallerDisconnected from error
        # After a stall of this process, input and the end of the timeout are found at once.
        return await self._read_arrived()

    async def _read_arrived(self) -> bytes:
        """Read input that has arrived, without a timeout."""
        try:
            return await self.reader.read(READ_BYTES)
        except OSError as error:
            raise CallerDisconnected from error

    def _next_event(self) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        try:
            return self.codec.next_event()
        except h11.RemoteProtocolError as error:
            raise BadRequest(error.error_status_hint, str(error)) from error

    def _write(self, event: h11.Event) -> None:
        if data := self.codec.send(event):
            self.writer.write(data)

    async def _drain(self) -> None:
        try:
            async with asyncio.timeout(WRITE_TIMEOUT_MS / 1000):
                await self.writer.drain()
        except (OSError, TimeoutError) as error:
            raise CallerDisconnected from error


def _reason_phrase(status: int) -> bytes:
    return _REASON_PHRASES.get(status, b"Answer")


_REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    413: b"Content Too Large",
    421: b"Misdirected Request",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}
