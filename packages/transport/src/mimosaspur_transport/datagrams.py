"""Send and receive datagrams."""

import asyncio
from collections.abc import Callable

Address = tuple[str, int]
DatagramHandler = Callable[[bytes, Address], None]


class DatagramEndpoint(asyncio.DatagramProtocol):
    """Send and receive datagrams on one port; any of them may be lost."""

    def __init__(self, on_datagram: DatagramHandler) -> None:
        self.on_datagram = on_datagram
        self.transport: asyncio.DatagramTransport | None = None

    async def listen(self, address: Address) -> Address:
        """Open the port and return its address; raise OSError when it is in use."""
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=address)
        host, port = self.transport.get_extra_info("sockname")[:2]
        return host, port

    def send(self, data: bytes, address: Address) -> None:
        """Send a datagram without waiting."""
        if self.transport and not self.transport.is_closing():
            self.transport.sendto(data, address)

    def close(self) -> None:
        """Close the port."""
        if self.transport:
            self.transport.close()

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Handle a datagram."""
        self.on_datagram(data, addr)
