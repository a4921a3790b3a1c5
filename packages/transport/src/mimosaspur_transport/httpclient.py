"""Make small HTTP calls over pooled connections and return complete responses."""

import asyncio
from collections.abc import Callable

from mimosaspur_state.clock import Clock
from mimosaspur_transport.channelpool import ChannelPool
from mimosaspur_transport.dialect import Headers
from mimosaspur_transport.httpchannel import ChannelBroken
from mimosaspur_transport.httpchannel import EndlessResponse
from mimosaspur_transport.httpchannel import HttpChannel
from mimosaspur_transport.httpchannel import ResponseHead

MAX_RESPONSE_BYTES = 8_000_000
# A body is passed to a reducer only once it is longer than ordinary ones.
MAX_UNREDUCED_BYTES = 2_000_000
# Part of a body that is reduced before other tasks have a turn.
REDUCED_PART_BYTES = 65_536

# Takes a body part by part, and returns what is kept of each part.
Reducer = Callable[[bytes], bytes]


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
        reducer: Reducer | None = None,
    ) -> tuple[ResponseHead, bytes]:
        """Return the head and body; raise ChannelBroken, also after the timeout.

        A ResponseTimeout tells that the peer's machine is there. Of a long body is returned what
        the reducer keeps.
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
                request = (method, path.encode(), all_headers, body)
                return await self._exchange(channel, request, reducer)
        except TimeoutError as error:
            kind = ResponseTimeout if opened else CallTimeout
            raise kind(f"no response within {timeout_ms} ms") from error

    async def _exchange(
        self,
        channel: HttpChannel,
        request: tuple[bytes, bytes, Headers, bytes],
        reducer: Reducer | None,
    ) -> tuple[ResponseHead, bytes]:
        done = False
        try:
            await channel.send(*request)
            head = await channel.read_head()
            if reducer is None:
                answer = await channel.read_body(MAX_RESPONSE_BYTES)
            else:
                answer = await _read_reduced(channel, reducer)
            done = True
        finally:
            # After a failed call its response may still arrive on the connection.
            if done:
                self.pool.release(channel)
            else:
                self.pool.discard(channel)
        return head, answer


async def _read_reduced(channel: HttpChannel, reducer: Reducer) -> bytes:
    """Return a body as it is, or if it is long what a reducer keeps; raise ChannelBroken."""
    # Not yet reduced.
    whole = bytearray()
    while (chunk := await channel.read_chunk()) is not None:
        whole += chunk
        if len(whole) > MAX_UNREDUCED_BYTES:
            break
    else:
        return bytes(whole)
    kept = bytearray()
    for start in range(0, len(whole), REDUCED_PART_BYTES):
        kept += reducer(bytes(whole[start : start + REDUCED_PART_BYTES]))
        await asyncio.sleep(0)
    del whole
    while (chunk := await channel.read_chunk()) is not None:
        kept += reducer(chunk)
        if len(kept) > MAX_RESPONSE_BYTES:
            raise EndlessResponse("body", "the response exceeds the size limit")
    return bytes(kept)
