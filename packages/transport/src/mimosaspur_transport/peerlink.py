"""Send and receive messages between entries over one connection."""

import asyncio

from mimosaspur_protocol.peermessages import LENGTH_BYTES
from mimosaspur_protocol.peermessages import MAX_MESSAGE_BYTES
from mimosaspur_protocol.peermessages import PeerMessage
from mimosaspur_protocol.peermessages import PeerProtocolError
from mimosaspur_protocol.peermessages import decode_peer
from mimosaspur_protocol.peermessages import encode_peer
from mimosaspur_transport.httpchannel import set_dead_peer_timeouts

CONNECT_TIMEOUT_MS = 500
# Disconnect a peer that doesn't read rather than block on it.
MAX_UNSENT_BYTES = 1_000_000


class PeerLost(Exception):
    """Signal that the connection to a peer has ended."""


class PeerLink:
    """Exchange messages with a peer; unusable after the first error."""

    __slots__ = ("reader", "received_bytes", "sent_bytes", "writer")

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer
        # Since the last call of take_byte_counts.
        self.sent_bytes = 0
        self.received_bytes = 0
        set_dead_peer_timeouts(writer.get_extra_info("socket"))

    @classmethod
    async def open(cls, address: tuple[str, int]) -> "PeerLink":
        """Open a connection; raise PeerLost."""
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_MS / 1000):
                reader, writer = await asyncio.open_connection(*address)
        # The address may be another writer's, and none at all.
        except (OSError, TimeoutError, ValueError, OverflowError) as error:
            raise PeerLost(f"can't connect: {error!r}") from error
        return cls(reader, writer)

    def send(self, message: PeerMessage) -> None:
        """Send a message without waiting; raise PeerLost."""
        self.send_encoded(encode_peer(message))

    def send_encoded(self, frames: bytes) -> None:
        """Send encoded messages without waiting; raise PeerLost."""
        transport = self.writer.transport
        if transport.is_closing() or transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            raise PeerLost("the peer disconnected or is not reading")
        self.sent_bytes += len(frames)
        self.writer.write(frames)

    async def finish_sending(self) -> None:
        """Flush sent messages and close the sending side; raise PeerLost."""
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_MS / 1000):
                await self.writer.drain()
                self.writer.write_eof()
        except (OSError, TimeoutError) as error:
            raise PeerLost(repr(error)) from error

    async def receive(self, *, timeout_ms: int) -> PeerMessage:
        """Return the next message; raise PeerLost, also after the timeout."""
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                length = int.from_bytes(await self.reader.readexactly(LENGTH_BYTES), "big")
                if length > MAX_MESSAGE_BYTES:
                    raise PeerLost("a message exceeds the size limit")
                self.received_bytes += LENGTH_BYTES + length
                return decode_peer(await self.reader.readexactly(length))
        except (OSError, EOFError, TimeoutError, PeerProtocolError) as error:
            raise PeerLost(repr(error)) from error

    def take_byte_counts(self) -> tuple[int, int]:
        """Return the bytes sent and received since the last call."""
        counts = self.sent_bytes, self.received_bytes
        self.sent_bytes = self.received_bytes = 0
        return counts

    def close(self) -> None:
        """Reset the connection."""
        self.writer.transport.abort()
