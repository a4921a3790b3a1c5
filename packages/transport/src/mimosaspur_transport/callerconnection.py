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
from dataclasses import replace

import h11

from mimosaspur_coordination.limits.memorybudget import SMALL_BYTES
from mimosaspur_coordination.limits.memorybudget import MemoryBudget
from mimosaspur_coordination.limits.memorybudget import MemoryHolding
from mimosaspur_state.clock import SystemClock
from mimosaspur_state.routes import CallerLimits
from mimosaspur_transport.dialect import Headers
from mimosaspur_transport.dialect import header
from mimosaspur_transport.httpchannel import limit_reads

READ_BYTES = 16_384
# Limit of buffered input; TCP flow control holds back the rest.
READ_BUFFER_BYTES = 16_384
# Size of the kernel's buffer for what a caller sends. It counts as the process's memory, so it is
# large only while the body that it is for is accounted for.
RECEIVE_BUFFER_BYTES = 32_768
BODY_RECEIVE_BUFFER_BYTES = 131_072
# Size of the kernel's buffer for what a caller has not taken.
SEND_BUFFER_BYTES = 65_536
# How long a write waits for a caller that doesn't read.
WRITE_TIMEOUT_MS = 15_000
HTTP_1_0 = b"1.0"
# A response's body goes to the connection's buffer in such pieces: it isn't there as a copy.
SEND_BYTES = 65_536
# A write of a stream waits for the caller once more than this hasn't been sent.
STREAM_WRITE_BYTES = 16_384
# Memory that a stream takes behind its caller's connection while the caller doesn't read: the
# buffers of the target's connection in the kernel and in this process.
STREAM_BUFFERS_BYTES = 196_608
# How often memory is asked for again that an answer waits for.
MEMORY_POLL_S = 0.05
# Memory is taken in such steps while a body of unknown length comes.
BODY_STEP_BYTES = 65_536
# Bytes of chunk headers and ends that a body may have beside its data, at all and for each byte of
# data. Chunks of any size keep to it unless they carry extensions.
MAX_FRAMING_BYTES = 65_536
MAX_FRAMING_RATIO = 6
# Chunks that are decoded before other tasks have a turn.
MAX_CHUNKS_AT_ONCE = 8
# How long, and for how many bodies of the largest size, a caller is read that was refused while it
# still sent: closing a connection with unread input resets it, and the reset may overtake the
# refusal.
LINGER_MS = 2_000
LINGER_BODIES = 4
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


class BodyLate(Exception):
    """Signal that a request's body hasn't arrived in the request's time."""


class MemoryShort(Exception):
    """Signal that the process has no memory for a request's body, or needed it for others."""


@dataclass(slots=True, frozen=True)
class CallerRequest:
    """Hold a complete request, or its head only."""

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
        # Whether the peer has disconnected, though input that came before may be left.
        self.has_ended = False

    def feed_eof(self) -> None:
        """Handle the end of the stream."""
        super().feed_eof()
        self.has_ended = True
        if self.on_disconnect:
            self.on_disconnect()

    def set_exception(self, exc: Exception) -> None:
        """Handle a failure of the stream."""
        super().set_exception(exc)
        self.has_ended = True
        if self.on_disconnect:
            self.on_disconnect()


class CallerConnection:
    """Serve HTTP/1.1 to one caller, one request at a time."""

    __slots__ = (
        "answer_pending",
        "codec",
        "ends_with_connection",
        "gave_way",
        "is_bodiless",
        "is_wide",
        "limits",
        "memory",
        "reader",
        "wait",
        "waiting_since_s",
        "writer",
    )

    def __init__(
        self,
        reader: EofNotifyingReader,
        writer: asyncio.StreamWriter,
        *,
        limits: CallerLimits,
        budget: MemoryBudget | None = None,
    ) -> None:
        budget = budget or MemoryBudget(float("inf"), clock=SystemClock())
        # Of the current request and its response.
        self.memory: MemoryHolding = budget.open(self._give_way)
        # Whether the memory was taken for other callers, which ends the connection.
        self.gave_way = False
        # The timeout of the wait for the caller that is under way.
        self.wait: asyncio.Timeout | None = None
        self.reader = reader
        self.writer = writer
        self.limits = limits
        limit_reads(writer.transport, READ_BYTES)
        self._set_buffer(socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self._set_buffer(socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        self.codec = h11.Connection(h11.SERVER, max_incomplete_event_size=limits.header_bytes)
        # Whether a request was read and its response is not complete.
        self.answer_pending = False
        # Whether only the end of the connection ends the current response.
        self.ends_with_connection = False
        # Whether the current request takes a response without a body.
        self.is_bodiless = False
        # Whether the kernel's buffer is large, for a long body.
        self.is_wide = False
        # When the wait for the next request began, on the event loop's clock.
        self.waiting_since_s = asyncio.get_running_loop().time()

    async def next_request(self) -> CallerRequest | None:
        """Return the next request, or None when the caller closes or times out."""
        head = await self.read_head()
        return head and await self.read_body(head, time_limit_s=lambda _: float("inf"))

    async def read_head(self) -> CallerRequest | None:
        """Return the next request without its body, or None when the caller closes or times out."""
        head = await self._read_head()
        if head is None:
            return None
        arrived_s = asyncio.get_running_loop().time()
        self.is_bodiless = head.method == b"HEAD"
        headers = list(head.headers.raw_items())
        return CallerRequest(head.method, head.target, headers, b"", arrived_s)

    async def read_body(
        self, request: CallerRequest, *, time_limit_s: Callable[[CallerRequest], float]
    ) -> CallerRequest:
        """Return the request with its body; raise BadRequest, BodyLate or MemoryShort.

        While the body has not arrived, `time_limit_s` tells when it is late, on the event loop's
        clock, or raises what refuses the request.
        """
        body = bytearray()
        try:
            await self._read_body(request, body, time_limit_s)
        except BaseException:
            # The error's traceback would keep it while the caller is told.
            body.clear()
            raise
        if self.is_wide:
            self.is_wide = False
            self.memory.put_back(BODY_RECEIVE_BUFFER_BYTES)
            self._set_buffer(socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self.answer_pending = True
        return replace(request, body=bytes(body))

    async def send_response(
        self, status: int, headers: Headers, body: bytes, *, close: bool, mark_end: bool = True
    ) -> None:
        """Send a complete response, or without `mark_end` one of unknown completeness."""
        framing = [(b"Content-Length", b"%d" % len(body))] if mark_end else []
        await self.send_head(status, headers + framing, close=close, mark_end=mark_end)
        if not self.is_bodiless:
            view = memoryview(body)
            for start in range(0, len(body), SEND_BYTES):
                self._write(h11.Data(data=bytes(view[start : start + SEND_BYTES])))
                await self._drain()
        await self.end_response()

    async def hold_answer(self, count: int) -> None:
        """Wait for memory for so many bytes of an answer.

        Its request has run, so that it isn't refused. A short answer doesn't wait.
        """
        while not self.memory.add(count):
            if count <= SMALL_BYTES and self.memory.held_bytes <= SMALL_BYTES:
                self.memory.add_anyway(count)
                return
            await asyncio.sleep(MEMORY_POLL_S)

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
        if not has_length:
            self.writer.transport.set_write_buffer_limits(high=STREAM_WRITE_BYTES)
        if self.codec.their_http_version == HTTP_1_0 and not has_length:
            self._reset_until_end()
        self._write(
            h11.Response(status_code=status, headers=headers, reason=_reason_phrase(status))
        )
        await self._drain()

    async def send_chunk(self, chunk: bytes) -> None:
        """Send a part of a stream; raise CallerDisconnected if it would wait without memory.

        While the caller doesn't take it, the buffers behind it fill up as well.
        """
        self._write(h11.Data(data=chunk))
        unsent_bytes = self.writer.transport.get_write_buffer_size()
        if unsent_bytes <= STREAM_WRITE_BYTES:
            await self._drain()
            return
        waiting_bytes = unsent_bytes + STREAM_BUFFERS_BYTES
        if not self.memory.add(waiting_bytes):
            raise CallerDisconnected
        try:
            await self._drain()
        finally:
            self.memory.put_back(waiting_bytes)

    async def end_response(self) -> None:
        """Send the end of the response."""
        self._write(h11.EndOfMessage())
        await self._drain()
        if self.ends_with_connection:
            self._set_linger(reset=False)
            self.ends_with_connection = False
        self.answer_pending = False
        self.memory.release()

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

    async def linger(self) -> None:
        """Discard what a caller still sends that was refused, so that it reads the refusal."""
        left_bytes = LINGER_BODIES * self.limits.body_bytes
        self.memory.wait_for_caller()
        with contextlib.suppress(OSError, TimeoutError):
            self.writer.write_eof()
            async with asyncio.timeout(LINGER_MS / 1000) as self.wait:
                while left_bytes > 0 and (data := await self.reader.read(READ_BYTES)):
                    left_bytes -= len(data)

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
                self.memory.stop_waiting()
                return event
            if event is not h11.NEED_DATA:
                return None
            data = await self._read(waiting_s + timeout_ms / 1000)
            if not data:
                return None
            if timeout_ms == self.limits.idle_timeout_ms:
                # The head has begun: the rest has a shorter timeout.
                timeout_ms = self.limits.header_timeout_ms
                waiting_s = asyncio.get_running_loop().time()
                self.memory.wait_for_caller()
            self.codec.receive_data(data)

    async def _read_body(
        self,
        request: CallerRequest,
        body: bytearray,
        time_limit_s: Callable[[CallerRequest], float],
    ) -> None:
        length = int(header(request.headers, b"content-length") or 0)
        if length > self.limits.body_bytes:
            raise BadRequest(413, "the body exceeds the size limit")
        # A body that fits into the reader's buffer is in memory anyway.
        if await self._read_arrived_body(body):
            return
        until_s = time_limit_s(request)
        if length > READ_BYTES:
            self._take_memory(max(0, length - self.memory.held_bytes))
        if length > BODY_STEP_BYTES:
            self._widen_for_body()
        if self.codec.they_are_waiting_for_100_continue:
            self._write(h11.InformationalResponse(status_code=100, headers=[]))
        await self._read_rest(body, until_s)

    async def _read_arrived_body(self, body: bytearray) -> bool:
        """Add the part of the body that has been read; return whether it is the whole body."""
        number = 0
        while True:
            number += 1
            if number % MAX_CHUNKS_AT_ONCE == 0:
                await asyncio.sleep(0)
                if self.reader.has_ended:
                    # Nobody waits for the answer any more.
                    raise CallerDisconnected
            event = self._next_event()
            if isinstance(event, h11.EndOfMessage):
                return True
            if event is h11.NEED_DATA:
                return False
            if not isinstance(event, h11.Data):
                raise CallerDisconnected
            body += event.data
            if len(body) > self.limits.body_bytes:
                raise BadRequest(413, "the body exceeds the size limit")
            if len(body) > max(READ_BYTES, self.memory.held_bytes):
                self._take_memory(BODY_STEP_BYTES)
                if len(body) > BODY_STEP_BYTES:
                    self._widen_for_body()

    async def _read_rest(self, body: bytearray, until_s: float) -> None:
        loop = asyncio.get_running_loop()
        idle_timeout_s = self.limits.idle_timeout_ms / 1000
        received_bytes = len(body)
        while True:
            end_s = min(loop.time() + idle_timeout_s, until_s)
            data = await self._read_waiting(end_s)
            if not data:
                if loop.time() >= until_s:
                    raise BodyLate
                raise CallerDisconnected
            self.codec.receive_data(data)
            received_bytes += len(data)
            if await self._read_arrived_body(body):
                return
            framing_bytes = received_bytes - len(body)
            if framing_bytes > MAX_FRAMING_BYTES + MAX_FRAMING_RATIO * len(body):
                raise BadRequest(400, "the chunk headers exceed the size limit")

    def _widen_for_body(self) -> None:
        """Let more of a long body be on its way, within the memory of the process."""
        if not self.is_wide:
            self._take_memory(BODY_RECEIVE_BUFFER_BYTES)
            self.is_wide = True
            self._set_buffer(socket.SO_RCVBUF, BODY_RECEIVE_BUFFER_BYTES)

    def _set_buffer(self, option: int, size: int) -> None:
        # The connection may have ended already.
        with contextlib.suppress(OSError):
            sock = self.writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, option, size)

    def _take_memory(self, count: int) -> None:
        if not self.memory.add(count):
            raise MemoryShort

    def _give_way(self) -> None:
        """End the wait for the caller, whose memory others need."""
        self.gave_way = True
        # The wait may just have ended.
        with contextlib.suppress(RuntimeError):
            if self.wait and not self.wait.expired():
                self.wait.reschedule(asyncio.get_running_loop().time())

    async def _read_waiting(self, end_s: float) -> bytes:
        """Read, or raise MemoryShort if the memory is needed for other callers meanwhile."""
        self.memory.wait_for_caller()
        try:
            data = await self._read(end_s)
        finally:
            self.memory.stop_waiting()
        if self.gave_way:
            raise MemoryShort
        return data

    async def _read(self, end_s: float) -> bytes:
        """Read until a time on the event loop's clock; return nothing at the end or after it."""
        try:
            async with asyncio.timeout_at(end_s) as self.wait:
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
        waits = self.writer.transport.get_write_buffer_size() > 0
        if waits:
            self.memory.wait_for_caller()
        try:
            async with asyncio.timeout(WRITE_TIMEOUT_MS / 1000) as self.wait:
                await self.writer.drain()
        except (OSError, TimeoutError) as error:
            raise CallerDisconnected from error
        finally:
            if waits:
                self.memory.stop_waiting()


def _reason_phrase(status: int) -> bytes:
    return _REASON_PHRASES.get(status, b"Answer")


_REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    421: b"Misdirected Request",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}
