"""Relay what entries send to each other and to the store, and hold it back for a time."""

import asyncio
import contextlib
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence

from harness.entry_processes import PEER_PORT
from harness.framed_target import reset
from mimosaspur_protocol.peermessages import LENGTH_BYTES
from mimosaspur_protocol.peermessages import PeerProtocolError
from mimosaspur_protocol.peermessages import decode_peer

Address = tuple[str, int]
# Of the entries' loopback addresses, which relays have as well under another second number.
FIRST_ENTRY_NETWORK = 100
FIRST_RELAY_NETWORK = 200
RELAY_NETWORKS = 50
READ_BYTES = 65_536
Take = Callable[[asyncio.StreamReader], Awaitable[bytes]]


def relay_ip(ip: str) -> str:
    """Return the address, of the same length, under which other entries reach an entry."""
    first, second, third, number = ip.split(".")
    network = FIRST_RELAY_NETWORK + (int(second) - FIRST_ENTRY_NETWORK) % RELAY_NETWORKS
    return f"{first}.{network}.{third}.{number}"


class Gate:
    """Let flows pass while it is open."""

    __slots__ = ("opened", "writers")

    def __init__(self) -> None:
        self.opened = asyncio.Event()
        self.opened.set()
        # Of the connections that pass it.
        self.writers: set[asyncio.StreamWriter] = set()

    def close(self) -> None:
        """Hold everything back from now on."""
        self.opened.clear()

    def open(self, *, lost: bool) -> None:
        """Let everything pass, in connections that are reset if what was held back is lost."""
        if lost:
            for writer in list(self.writers):
                reset(writer)
        self.opened.set()


class Flow:
    """Copy one direction of a connection through gates, to which more may be added."""

    __slots__ = ("gates", "reader", "take", "writer")

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        gates: list[Gate],
        take: Take,
    ) -> None:
        self.reader = reader
        self.writer = writer
        self.gates = gates
        self.take = take

    async def run(self) -> None:
        """Copy until the end, and pass that on too."""
        try:
            while data := await self.take(self.reader):
                await pass_gates(self.gates)
                self.writer.write(data)
                await self.writer.drain()
            await pass_gates(self.gates)
            self.writer.write_eof()
        except (OSError, EOFError, RuntimeError):
            await pass_gates(self.gates)
            reset(self.writer)


async def pass_gates(gates: Sequence[Gate]) -> None:
    """Wait until all gates are open."""
    while closed := [gate for gate in gates if not gate.opened.is_set()]:
        await closed[0].opened.wait()


class EntryLinks(asyncio.DatagramProtocol):
    """Relay the calls of one entry to the store, and what other entries send to it."""

    def __init__(self, network: "Network", name: str, ip: str) -> None:
        self.network = network
        self.name = name
        self.ip = ip
        self.to_store = Gate()
        self.to_entries = Gate()
        self.servers: list[asyncio.Server] = []
        self.transport: asyncio.DatagramTransport | None = None

    async def start(self) -> Address:
        """Listen; return the address at which the entry finds the store."""
        ip = relay_ip(self.ip)
        to_store = await asyncio.start_server(self._relay_call, ip, 0)
        to_entry = await asyncio.start_server(self._relay_link, ip, PEER_PORT)
        self.servers = [to_store, to_entry]
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(ip, PEER_PORT)
        )
        return ip, to_store.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Stop listening."""
        for server in self.servers:
            server.close()
        if self.transport:
            self.transport.close()

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Pass on what another entry sends, or keep it while one of both is cut off."""
        if sender := self.network.entries.get(addr[0]):
            self.network.send(sender, self, data)

    async def _relay_call(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await self._relay(reader, writer, self.network.store, [self.to_store], take_some)

    async def _relay_link(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        address = self.ip, PEER_PORT
        await self._relay(reader, writer, address, [self.to_entries], self.network.take_message)

    async def _relay(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        to: Address,
        gates: list[Gate],
        take: Take,
    ) -> None:
        writers = [writer]
        try:
            await pass_gates(gates)
            back, other = await asyncio.open_connection(*to)
            writers.append(other)
            gates[0].writers.update(writers)

            async def take_first(reader: asyncio.StreamReader) -> bytes:
                data = await take(reader)
                if sender := self._sender(data, gates):
                    gates.append(sender)
                    sender.writers.update(writers)
                forth.take = take
                return data

            forth = Flow(reader, other, gates, take_first)
            await asyncio.gather(forth.run(), Flow(back, writer, gates, take).run())
        except (OSError, asyncio.CancelledError):
            # Where nobody listens, the connection is reset.
            reset(writer)
        finally:
            for gate in gates:
                gate.writers.difference_update(writers)
            for each in writers:
                each.close()

    def _sender(self, data: bytes, gates: list[Gate]) -> Gate | None:
        """Return the gate of the entry that opened a link, which its first message names."""
        if self.to_entries not in gates:
            return None
        with contextlib.suppress(PeerProtocolError):
            name = getattr(decode_peer(data[LENGTH_BYTES:]), "instance", "")
            for entry in self.network.entries.values():
                if entry.name == name:
                    return entry.to_entries
        return None


class Network:
    """Know the entries by their addresses, and the datagrams that are held back."""

    def __init__(self, store: Address) -> None:
        self.store = store
        self.entries: dict[str, EntryLinks] = {}
        # Sender, receiver and datagram.
        self.held: list[tuple[EntryLinks, EntryLinks, bytes]] = []
        # What entries say of their own addresses names the relay's.
        self.own_prefix = self.relay_prefix = b""

    async def add(self, name: str, ip: str) -> Address:
        """Relay for an entry; return the address at which it finds the store."""
        self.own_prefix = _prefix(ip)
        self.relay_prefix = _prefix(relay_ip(ip))
        links = self.entries[ip] = EntryLinks(self, name, ip)
        return await links.start()

    def stop(self) -> None:
        """Stop listening."""
        for links in self.entries.values():
            links.stop()

    def send(self, sender: EntryLinks, receiver: EntryLinks, data: bytes) -> None:
        """Send a datagram, or keep it while one of both is cut off."""
        if not (sender.to_entries.opened.is_set() and receiver.to_entries.opened.is_set()):
            self.held.append((sender, receiver, data))
        elif sender.transport and not sender.transport.is_closing():
            # From the sender's address at the relays, so that its answer comes back to them.
            sender.transport.sendto(data, (receiver.ip, PEER_PORT))

    def cut(self, ip: str, *, store: bool, entries: bool) -> None:
        """Cut an entry off from the store, from other entries, or both."""
        links = self.entries[ip]
        for gate, cut in ((links.to_store, store), (links.to_entries, entries)):
            if cut:
                gate.close()

    def heal(self, ip: str, *, lost: bool) -> None:
        """Connect an entry again; what was held back is lost, or delivered late."""
        links = self.entries[ip]
        for gate in (links.to_store, links.to_entries):
            if not gate.opened.is_set():
                gate.open(lost=lost)
        held, self.held = self.held, []
        for sender, receiver, data in held:
            if not (lost and links in (sender, receiver)):
                self.send(sender, receiver, data)

    async def take_message(self, reader: asyncio.StreamReader) -> bytes:
        """Return the next message of a link, with relays' addresses; empty at its end."""
        try:
            length = await reader.readexactly(LENGTH_BYTES)
        except asyncio.IncompleteReadError:
            return b""
        body = await reader.readexactly(int.from_bytes(length, "big"))
        return length + body.replace(self.own_prefix, self.relay_prefix)


async def take_some(reader: asyncio.StreamReader) -> bytes:
    """Return some bytes, empty at the end."""
    return await reader.read(READ_BYTES)


def _prefix(ip: str) -> bytes:
    return ip.rpartition(".")[0].encode() + b"."
