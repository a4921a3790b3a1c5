"""Share between simulated targets how they listen and register."""

import asyncio
from typing import Any


class ListeningTarget:
    """Listen on an address, and end all connections when it stops."""

    address: tuple[str, int]
    server: asyncio.Server | None
    writers: set[asyncio.StreamWriter]

    async def start(self) -> None:
        """Listen on the address."""
        self.server = await asyncio.start_server(self._serve, *self.address)
        self.address = self.server.sockets[0].getsockname()[:2]

    def stop(self) -> None:
        """Stop listening and end all connections."""
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError


def target_registration(
    service: str, address: tuple[str, int], *, version: str = "v1", slots: int, models: Any = None
) -> dict[str, Any]:
    """Return a ready target's registration."""
    host, port = address
    return {
        "service": service,
        "address": f"{host}:{port}",
        "zone": "north",
        "version": version,
        "slots": slots,
        "state": "ready",
        "cold_remaining_ms": 0,
        "sequence": 0,
        "born": 0,
        "models": models,
    }
