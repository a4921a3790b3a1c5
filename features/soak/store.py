"""Simulate the platform's store with the faults of a soak."""

import asyncio
import contextlib
from dataclasses import dataclass
from typing import Any

from harness.direct_store import StoreStandIn
from soak.links import relay_ip

UNAVAILABLE_STATUS = 503


@dataclass(slots=True)
class SoakStore(StoreStandIn):
    """Answer calls late or not at all while a fault lasts."""

    delay_s: float = 0.0
    accepts: bool = True

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if not self.accepts:
            writer.transport.abort()
            return
        # The end of the soak cancels calls; asyncio would print each.
        with contextlib.suppress(asyncio.CancelledError):
            await StoreStandIn._serve(self, reader, writer)

    async def _answer(self, method: str, target: str, body: bytes) -> tuple[int, object]:
        await asyncio.sleep(self.delay_s)
        return await StoreStandIn._answer(self, method, target, body)

    def _write(self, kind: str, name: str, call: dict[str, Any]) -> tuple[int, object]:
        # Entries reach the holder of the lease through the relays.
        if "ip" in call["specification"]:
            call["specification"]["ip"] = relay_ip(call["specification"]["ip"])
        return StoreStandIn._write(self, kind, name, call)
