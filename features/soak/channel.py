"""Send requests over a caller's connection and read their answers."""

import asyncio
import socket
import struct
from collections.abc import Callable

from soak.record import Attempt
from soak.record import Piece

CONNECT_S = 1.0


class Ended(Exception):
    """Report that a connection has ended before the awaited bytes."""


class Channel(asyncio.Protocol):
    """Hold one connection to an entry; `end` says how it ended, empty while it is open."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.buffer = bytearray()
        self.end = ""
        self.used = False
        # What waits to be sent while the link holds requests back, None while it doesn't.
        self.held: bytearray | None = None
        self.changed = asyncio.Event()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Keep the bytes until they are read."""
        self.buffer += data
        self.changed.set()

    def eof_received(self) -> None:
        """Note an orderly end."""
        self.end = self.end or "closed"
        self.changed.set()

    def connection_lost(self, exc: Exception | None) -> None:
        """Note the end."""
        self.end = self.end or (type(exc).__name__ if exc else "closed")
        self.changed.set()

    def close(self) -> None:
        """Close the connection at once."""
        self.end = self.end or "left"
        if self.transport:
            self.transport.abort()

    def write(self, data: bytes) -> None:
        """Send bytes."""
        assert self.transport
        self.used = True
        if self.held is None:
            self.transport.write(data)
        else:
            self.held += data

    def reset(self) -> None:
        """End the connection as a link that resets it does, for both sides."""
        assert self.transport
        self.end = self.end or "link reset"
        linger = struct.pack("ii", 1, 0)
        self.transport.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, linger
        )
        self.transport.abort()
        self.changed.set()

    def cut(self, *, requests: bool) -> None:
        """Hold back all requests, or else all answers."""
        assert self.transport
        if requests:
            self.held = self.held or bytearray()
        else:
            self.transport.pause_reading()

    def heal(self) -> None:
        """Send and read what was held back."""
        assert self.transport
        held, self.held = self.held, None
        if not self.transport.is_closing():
            self.transport.write(bytes(held or b""))
            self.transport.resume_reading()

    async def more(self) -> None:
        """Wait for bytes; raise Ended if none can come."""
        if self.end:
            raise Ended
        self.changed.clear()
        await self.changed.wait()

    async def take_until(self, mark: bytes) -> bytes:
        """Return the bytes up to and with a mark; raise Ended."""
        while (at := self.buffer.find(mark)) < 0:
            await self.more()
        return self._take(at + len(mark))

    async def take_some(self, most: int) -> bytes:
        """Return some bytes; raise Ended."""
        while not self.buffer:
            await self.more()
        return self._take(min(most, len(self.buffer)))

    def _take(self, count: int) -> bytes:
        data = bytes(self.buffer[:count])
        del self.buffer[:count]
        return data


async def connect(address: tuple[str, int]) -> Channel | None:
    """Return a new connection, None if the entry accepts none."""
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(CONNECT_S):
            _, channel = await loop.create_connection(Channel, *address)
    except (OSError, TimeoutError):
        return None
    return channel


async def read_answer(channel: Channel, attempt: Attempt) -> bool:
    """Read one answer into the attempt; return whether the connection may be used again."""
    head = (await channel.take_until(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.split("\r\n")
    attempt.status = int(first.split(" ")[1])
    attempt.head_s = asyncio.get_running_loop().time()
    pairs = [line.partition(":") for line in lines if line]
    headers = {name.lower(): value.strip() for name, _, value in pairs}
    _read_headers(attempt, headers)
    body = _Body(attempt)
    if headers.get("transfer-encoding") == "chunked":
        await _read_chunks(channel, body.add)
    elif "content-length" in headers:
        await _read_length(channel, int(headers["content-length"]), body.add)
    else:
        await _read_to_end(channel, body.add)
    # A stream that ends inside an event has been broken off.
    attempt.complete = not (attempt.kind.is_stream and attempt.succeeded and body.rest)
    return headers.get("connection") != "close"


def _read_headers(attempt: Attempt, headers: dict[str, str]) -> None:
    attempt.signature = headers.get("x-response-signature", "")
    attempt.answers = headers.get("x-attempt-id", "")
    attempt.leaving = "server-leaving" in headers
    if "retry-after" in headers:
        attempt.retry_after_s = float(headers["retry-after"])


async def _read_chunks(channel: Channel, add: Callable[[bytes], None]) -> None:
    while size := int((await channel.take_until(b"\r\n")).split(b";")[0], 16):
        await _read_length(channel, size, add)
        await channel.take_until(b"\r\n")
    await channel.take_until(b"\r\n")


async def _read_length(channel: Channel, count: int, add: Callable[[bytes], None]) -> None:
    while count:
        data = await channel.take_some(count)
        count -= len(data)
        add(data)


async def _read_to_end(channel: Channel, add: Callable[[bytes], None]) -> None:
    try:
        while True:
            add(await channel.take_some(65_536))
    except Ended:
        if channel.end != "closed":
            raise


class _Body:
    """Collect a body, and the events of a stream as they come."""

    __slots__ = ("attempt", "rest")

    def __init__(self, attempt: Attempt) -> None:
        self.attempt = attempt
        self.rest = b""

    def add(self, data: bytes) -> None:
        if not (self.attempt.kind.is_stream and self.attempt.succeeded):
            self.attempt.text += data.decode("latin-1")
            return
        *blocks, self.rest = (self.rest + data).split(b"\n\n")
        now_s = asyncio.get_running_loop().time()
        for block in blocks:
            lines = block.decode("latin-1").split("\n")
            fields = dict(line.split(": ", 1) for line in lines)
            self.attempt.pieces.append(Piece(now_s, int(fields["id"]), fields["data"]))
