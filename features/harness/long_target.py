"""Simulate a target with an answer that doesn't fit into a connection's buffers."""

import asyncio
from dataclasses import dataclass

from harness.direct_target import ScriptedTarget

LONG_ANSWER = b"0123456789" * 700_000


@dataclass(slots=True)
class LongTarget(ScriptedTarget):
    """Answer one request with a long body and close."""

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        head = b"HTTP/1.1 200 OK\r\nX-Proof: p\r\nConnection: close\r\nContent-Length: %d\r\n\r\n"
        writer.write(head % len(LONG_ANSWER) + LONG_ANSWER)
        await writer.drain()
        writer.close()
