"""Pool connections to one target between requests."""

from mimosaspur_state.clock import Clock
from mimosaspur_transport.httpchannel import HttpChannel

# Connections are reused for this part of the target's keep-alive time only, since the target may
# close them near its end.
KEEP_ALIVE_SAFETY_RATIO = 0.5
# For targets that send no keep-alive timeout.
DEFAULT_MAX_IDLE_MS = 4_000
# Requests that can't be retried reuse only connections that are unlikely to be dead.
NON_REPEATABLE_MAX_IDLE_MS = 1_000
MAX_IDLE_CHANNELS = 64


class ChannelPool:
    """Reuse idle connections, most recently used first."""

    __slots__ = ("address", "clock", "closed", "idle", "open_count")

    def __init__(self, address: tuple[str, int], *, clock: Clock) -> None:
        self.address = address
        self.clock = clock
        self.idle: list[HttpChannel] = []
        self.open_count = 0
        # Whether the target is gone, so that connections in use are closed when they come back.
        self.closed = False

    async def acquire(self, *, max_idle_ms: int | None = None) -> tuple[HttpChannel, bool]:
        """Return a connection and whether it is reused; raise ChannelBroken."""
        while self.idle:
            channel = self.idle.pop()
            # An event loop that is late hasn't looked at what the peer has done meanwhile.
            if self._is_usable(channel, max_idle_ms) and not channel.has_unseen_input():
                return channel, True
            self.discard(channel)
        channel = await HttpChannel.open(self.address)
        self.open_count += 1
        return channel, False

    def release(self, channel: HttpChannel) -> None:
        """Return a connection to the pool, or close it if it can't be reused."""
        if self.closed or not channel.is_reusable() or len(self.idle) >= MAX_IDLE_CHANNELS:
            self.discard(channel)
            return
        channel.idle_since_ms = self.clock.now_ms()
        self.idle.append(channel)

    def adopt(self, channel: HttpChannel) -> None:
        """Take over a connection that was opened elsewhere."""
        self.open_count += 1
        self.release(channel)

    def discard(self, channel: HttpChannel) -> None:
        """Close a connection and remove it from the count."""
        channel.close()
        self.open_count -= 1

    def close(self) -> None:
        """Close all idle connections, and those in use when they come back."""
        self.closed = True
        while self.idle:
            self.discard(self.idle.pop())

    def prune(self) -> None:
        """Close connections that have been idle for too long."""
        kept = [channel for channel in self.idle if self._is_usable(channel, None)]
        for channel in self.idle:
            if channel not in kept:
                self.discard(channel)
        self.idle = kept

    def _is_usable(self, channel: HttpChannel, max_idle_ms: int | None) -> bool:
        limit_ms = DEFAULT_MAX_IDLE_MS
        if channel.keep_alive_ms:
            limit_ms = int(channel.keep_alive_ms * KEEP_ALIVE_SAFETY_RATIO)
        if max_idle_ms is not None:
            limit_ms = min(limit_ms, max_idle_ms)
        return channel.is_reusable() and self.clock.now_ms() - channel.idle_since_ms < limit_ms
