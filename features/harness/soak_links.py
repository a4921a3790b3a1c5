"""Send between two entries and the store through the relays of a soak."""

import asyncio
from functools import partial
from typing import Any

from harness.entry_processes import PEER_PORT
from harness.entry_processes import loopback_address
from mimosaspur_protocol.peermessages import LENGTH_BYTES
from mimosaspur_protocol.peermessages import LeaseReadReply
from mimosaspur_protocol.peermessages import encode_peer
from soak.links import Network
from soak.links import relay_ip

CALLS = "a call of the store"
LINKS = "a message on a link"
DATAGRAMS = "a datagram"
NAMES = ("entry-0", "entry-1", "entry-2")
HELD_S = 0.2
ARRIVES_S = 2.0


class Receiver(asyncio.DatagramProtocol):
    """Keep what arrives."""

    def __init__(self) -> None:
        self.arrived: list[bytes] = []

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Keep a datagram."""
        self.arrived.append(data)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Keep what comes on a connection."""
        while data := await reader.read(65_536):
            self.arrived.append(data)
        writer.close()


class Links:
    """Hold one connection of each kind from the first entry, and what arrives at the other ends."""

    def __init__(self) -> None:
        self.receivers = {CALLS: Receiver(), LINKS: Receiver(), DATAGRAMS: Receiver()}
        self.writers: dict[str, asyncio.StreamWriter] = {}
        self.ips = [loopback_address(number) for number in range(len(NAMES))]

    async def start(self) -> None:
        """Listen as the store and as the second entry, and connect."""
        loop = asyncio.get_running_loop()
        store = await asyncio.start_server(self.receivers[CALLS].serve, "127.0.0.1", 0)
        self.network = Network(store.sockets[0].getsockname()[:2])
        ends = [await self.network.add(*each) for each in zip(NAMES, self.ips, strict=True)]
        link = await asyncio.start_server(self.receivers[LINKS].serve, self.ips[1], PEER_PORT)
        self.servers = [store, link]
        ends_of_datagrams = {self.ips[0]: Receiver(), self.ips[1]: self.receivers[DATAGRAMS]}
        self.transports = []
        for ip, receiver in ends_of_datagrams.items():
            transport, _ = await loop.create_datagram_endpoint(
                partial(_same, receiver), local_addr=(ip, PEER_PORT)
            )
            self.transports.append(transport)
        _, self.writers[CALLS] = await asyncio.open_connection(*ends[0])
        for kind, name in ((LINKS, NAMES[0]), ("another's link", NAMES[2])):
            address = relay_ip(self.ips[1]), PEER_PORT
            _, self.writers[kind] = await asyncio.open_connection(*address)
            self.writers[kind].write(encode_peer(LeaseReadReply(name, 0, False, "", 0)))
        await self.wait_for(LINKS, 2)

    def send(self, kind: str, text: str) -> None:
        """Send from the first entry, or the third one over a link of its own."""
        data = text.encode()
        if kind == DATAGRAMS:
            self.transports[0].sendto(data, (relay_ip(self.ips[1]), PEER_PORT))
        elif kind == CALLS:
            self.writers[kind].write(data)
        else:
            self.writers[kind].write(len(data).to_bytes(LENGTH_BYTES, "big") + data)

    def count(self, kind: str, text: str = "") -> int:
        """Return how many pieces with a text have arrived."""
        return sum(text.encode() in data for data in self.receivers[kind].arrived)

    async def wait_for(self, kind: str, count: int, text: str = "") -> None:
        """Wait for a number of pieces; raise TimeoutError."""
        async with asyncio.timeout(ARRIVES_S):
            while self.count(kind, text) < count:
                await asyncio.sleep(0.01)

    def stop(self) -> None:
        """End everything."""
        self.network.stop()
        for server in self.servers:
            server.close()
        for writer in self.writers.values():
            writer.close()
        for transport in self.transports:
            transport.close()


async def send_while_cut_off(kind: str, *, store: bool, entries: bool, lost: bool) -> str:
    """Send while the first entry is cut off and afterwards; return what becomes of it."""
    links = Links()
    await links.start()
    try:
        links.network.cut(links.ips[0], store=store, entries=entries)
        links.send(kind, "meanwhile")
        links.send("another's link", "from another")
        await links.wait_for(LINKS, 1, "from another")
        await asyncio.sleep(HELD_S)
        if links.count(kind, "meanwhile"):
            return "at once"
        links.network.heal(links.ips[0], lost=lost)
        if lost:
            await asyncio.sleep(HELD_S)
            return "late" if links.count(kind, "meanwhile") else "never"
        await links.wait_for(kind, 1, "meanwhile")
        return "late"
    finally:
        links.stop()


def _same(receiver: Receiver) -> Receiver:
    return receiver
