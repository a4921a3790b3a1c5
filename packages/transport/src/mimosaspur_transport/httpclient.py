"""Make small HTTP calls over pooled connections and return complete responses."""

import asyncio

from mimosaspur_state.clock import Clock
from mimosaspur_transport.channelpool import ChannelPool
from mimosaspur_transport.dialect import Headers
from mimosaspur_transport.httpchannel import ChannelBroken
from mimosaspur_transport.httpchannel import HttpChannel
from mimosaspur_transport.httpchannel import ResponseHead

MAX_RESPONSE_BYTES = 8_000_000


class CallTimeout(ChannelBroken):
    """Signal that a peer has sent no response in time, and may not be there."""


class ResponseTimeout(CallTimeout):
    """Signal that a peer has taken a new connection, but sent no response in time."""


class HttpClient:
    """Call one address; each call has exclusive use of a pooled connection."""

    __slots__ = ("host", "pool")

    def __init__(self, address: tuple[str, int], *, clock: Clock) -> None:
        self.pool = ChannelPool(address, clock=clock)
        self.host = f"{address[0]}:{address[1]}".encode()

    async def call(
        self,
        method: bytes,
        path: str,
        *,
        timeout_ms: int,
        body: bytes = b"",
        headers: Headers | None = None,
    ) -> tuple[int, bytes]:
        """Return the status and body; raise ChannelBroken, also after the timeout."""
        head, answer = await self.exchange(
            method, path, timeout_ms=timeout_ms, body=body, headers=headers
        )
        return head.status, answer

    async def exchange(
        self,
        method: bytes,
        path: str,
        *,
        timeout_ms: int,
        body: bytes = b"",
        headers: Headers | None = None,
    ) -> tuple[ResponseHead, bytes]:
        """Return the head and body; raise ChannelBroken, also after the timeout.

        A ResponseTimeout tells that the peer's machine is there.
        """
        all_headers = [(b"Host", self.host), *(headers or [])]
        if body:
            all_headers.append((b"Content-Type", b"application/json"))
        # A connection that was there before may have outlived the peer.
        opened = False
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                channel, reused = await self.pool.acquire()
                opened = not reused
                return await self._exchange(channel, method, path.encode(), all_headers, body)
        except TimeoutError as error:
            kind = ResponseTimeout if opened else CallTimeout
            raise kind(f"no response within {timeout_ms} ms") from error

    async def _exchange(
        self, channel: HttpChannel, method: bytes, path: bytes, headers: Headers, body: bytes
    ) -> tuple[ResponseHead, bytes]:
        done = False
        try:
            await channel.send(method, path, headers, body)
            head = await channel.read_head()
            answer = await channel.read_body(MAX_RESPONSE_BYTES)
            done = True
        finally:
            # After a failed call its response may still arrive on the connection.
            if done:
                self.pool.release(channel)
            else:
                self.pool.discard(channel)
        return head, answer
