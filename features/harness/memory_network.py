"""Connect the streams of one event loop in memory, in virtual time."""

import asyncio
import contextvars
import itertools
import socket
import struct
from collections import deque
from collections.abc import Callable
from typing import Any

from harness.virtual_time import VirtualTimeLoop

Address = tuple[str, int]
ProtocolFactory = Callable[[], asyncio.BaseProtocol]

HOST = "127.0.0.1"
FIRST_PORT = 20_000
# The time from a write, a close or a connect to its arrival.
LATENCY_S = 0.001


class MemorySocket:
    """Stand in for a connection's or a server's socket."""

    def __init__(self, address: Address) -> None:
        self.address = address
        # Whether closing resets the connection.
        self.resets = False

    def setsockopt(self, level: int, name: int, value: int | bytes) -> None:
        """Note whether the connection is to be reset; ignore other options."""
        if name == socket.SO_LINGER and isinstance(value, bytes):
            self.resets = struct.unpack("ii", value) == (1, 0)

    def fileno(self) -> int:
        """Return that there is no descriptor."""
        return -1

    def getsockname(self) -> Address:
        """Return the address."""
        return self.address


class MemoryTransport(asyncio.Transport):
    """Be one end of a connection."""

    def __init__(
        self, loop: "MemoryLoop", protocol: asyncio.BaseProtocol, address: Address
    ) -> None:
        super().__init__()
        self.loop = loop
        self.protocol: Any = protocol
        self.socket = MemorySocket(address)
        # What arrives is handled in the context of the process that this end belongs to.
        self.context = contextvars.copy_context()
        self.peer = self
        # What is on its way here, in order.
        self.inbox: deque[Callable[[], None]] = deque()
        # What was written here, with the time.
        self.written: list[tuple[float, bytes]] = []
        self.closing = False
        # Whether no more is read at the other end.
        self.peer_closed = False
        # When the connection ended here, by either end; None before that.
        self.ended_s: float | None = None
        self.lost = False

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return the socket if it is asked for."""
        return self.socket if name == "socket" else default

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        """Set the protocol."""
        self.protocol = protocol

    def get_protocol(self) -> asyncio.BaseProtocol:
        """Return the protocol."""
        protocol: asyncio.BaseProtocol = self.protocol
        return protocol

    def get_write_buffer_size(self) -> int:
        """Return that nothing waits to be written."""
        return 0

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Ignore the limits."""

    def is_closing(self) -> bool:
        """Return whether this end is closed."""
        return self.closing

    def write(self, data: Any) -> None:
        """Send data; a peer that has closed answers with a reset."""
        self.written.append((self.loop.time(), bytes(data)))
        if self.closing:
            return
        if self.peer_closed:
            self.arrives(self.reset)
        else:
            self.peer.arrives(lambda: self.peer.receive(bytes(data)))

    def can_write_eof(self) -> bool:
        """Return that one direction may end alone."""
        return True

    def write_eof(self) -> None:
        """End what is written here, and go on reading."""
        if not self.closing:
            self.peer.arrives(self.peer.receive_last)

    def close(self) -> None:
        """Close the connection, with a reset if the socket lingers for no time."""
        if self.socket.resets:
            self.abort()
        elif not self.closing:
            self.closing = True
            self.peer.arrives(self.peer.receive_end)
            self.loop.call_soon(self._lose, None)

    def abort(self) -> None:
        """Reset the connection."""
        if not self.lost:
            self.closing = True
            self.peer.arrives(self.peer.reset)
            self.loop.call_soon(self._lose, None)

    def arrives(self, action: Callable[[], None]) -> None:
        """Let something arrive here after the latency, in order."""
        self.inbox.append(action)
        self.loop.call_later(
            self.loop.latency_s(self.context),
            lambda: self.inbox.popleft()(),
            context=self.context,
        )

    def receive(self, data: bytes) -> None:
        """Take data of the other end; reset it if this end is closed."""
        if self.closing:
            self.peer.arrives(self.peer.reset)
        else:
            self.protocol.data_received(data)

    def receive_last(self) -> None:
        """Take the end of what the other end writes."""
        if not self.closing and not self.protocol.eof_received():
            self.close()

    def receive_end(self) -> None:
        """Take the other end's close."""
        self.peer_closed = True
        self.ended_s = self.loop.time() if self.ended_s is None else self.ended_s
        if not self.closing and not self.protocol.eof_received():
            self.close()

    def reset(self) -> None:
        """Take the other end's reset."""
        self.closing = True
        self._lose(ConnectionResetError("reset by the peer"))

    def _lose(self, error: Exception | None) -> None:
        if not self.lost:
            self.lost = True
            self.ended_s = self.loop.time() if self.ended_s is None else self.ended_s
            self.protocol.connection_lost(error)


class MemoryServer:
    """Accept connections at an address."""

    def __init__(self, loop: "MemoryLoop", factory: ProtocolFactory, address: Address) -> None:
        self.loop = loop
        self.factory = factory
        self.sockets = [MemorySocket(address)]
        self.context = contextvars.copy_context()
        loop.servers[address] = self

    def close(self) -> None:
        """Refuse further connections."""
        self.loop.servers.pop(self.sockets[0].address, None)


class MemoryLoop(VirtualTimeLoop):
    """Run in virtual time, and connect streams in memory."""

    def __init__(self) -> None:
        super().__init__()
        self.servers: dict[Address, MemoryServer] = {}
        self.ports = itertools.count(FIRST_PORT)
        # The ends that have opened connections.
        self.clients: list[MemoryTransport] = []

    def latency_s(self, receiver: contextvars.Context) -> float:
        """Return how long it takes until what is sent now arrives."""
        return LATENCY_S

    async def create_server(  # type: ignore[override]
        self, protocol_factory: ProtocolFactory, host: Any = None, port: Any = None, **options: Any
    ) -> MemoryServer:
        """Listen at a free port."""
        return MemoryServer(self, protocol_factory, (HOST, next(self.ports)))

    async def create_connection(  # type: ignore[override]
        self, protocol_factory: ProtocolFactory, host: Any = None, port: Any = None, **options: Any
    ) -> tuple[asyncio.Transport, asyncio.BaseProtocol]:
        """Connect to a server; raise ConnectionRefusedError if there is none."""
        await asyncio.sleep(LATENCY_S)
        server = self.servers.get((host, port))
        if server is None:
            raise ConnectionRefusedError("refused")
        client = MemoryTransport(self, protocol_factory(), (host, port))
        accepted = server.context.copy().run(
            lambda: MemoryTransport(self, server.factory(), (host, port))
        )
        client.peer, accepted.peer = accepted, client
        self.clients.append(client)
        client.protocol.connection_made(client)
        accepted.context.run(accepted.protocol.connection_made, accepted)
        return client, client.protocol
