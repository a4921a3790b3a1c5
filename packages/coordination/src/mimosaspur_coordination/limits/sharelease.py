"""Lease each entry its part of a limit that all entries share within a sliding window.

The coordinator tells by how many entries the limit is divided. An entry uses its part while it is
told, and for the length of a lease after. So a part is given out again only when the lease and the
window in which it may have been used have passed since its holder was last told:

- an entry that starts, or whose lease has run out, waits that long before it uses a part,
- the coordinator counts an entry that is lost for that long,
- a new coordinator, which doesn't know who followed its predecessor, tells nobody before.
"""

from mimosaspur_state.clock import Clock

# An entry may use its part for so long after it was last told.
LEASE_MS = 3_000
DISTANT_PAST_MS = -1_000_000_000


def reuse_after_ms(window_ms: int) -> int:
    """Return how long after its holder was last told a part may be used by another entry."""
    return window_ms + LEASE_MS


class ShareLease:
    """Hold what this entry was told of its part."""

    __slots__ = ("clock", "sharers", "held_since_ms", "renewed_ms", "activation_delay_ms")

    def __init__(self, *, window_ms: int, clock: Clock) -> None:
        # The clock must count the time in which the machine is suspended.
        self.clock = clock
        self.activation_delay_ms = reuse_after_ms(window_ms)
        # Entries that the limit is divided by; 0 while the coordinator doesn't know.
        self.sharers = 0
        self.renewed_ms = DISTANT_PAST_MS
        # Since when this entry has been told without a gap longer than the lease.
        self.held_since_ms = DISTANT_PAST_MS

    def renew(self, sharers: int) -> None:
        """Take what a coordinator tells now."""
        now_ms = self.clock.now_ms()
        if now_ms - self.renewed_ms > LEASE_MS:
            self.held_since_ms = now_ms
        self.renewed_ms = now_ms
        self.sharers = sharers

    def share(self) -> float:
        """Return this entry's part of the limit, 0 if it may use none now."""
        now_ms = self.clock.now_ms()
        lapsed = now_ms - self.renewed_ms > LEASE_MS
        if lapsed or not self.sharers or now_ms - self.held_since_ms < self.activation_delay_ms:
            return 0.0
        return 1.0 / self.sharers


class SharerCount:
    """Count the entries that may use a part, at the coordinator."""

    __slots__ = ("clock", "stopped", "retention_ms", "lost_ms", "connected", "starts_at_ms")

    def __init__(self, *, window_ms: int, predecessor_ended_ms: int, clock: Clock) -> None:
        self.clock = clock
        self.retention_ms = reuse_after_ms(window_ms)
        # From then on nobody uses a part that a predecessor told of.
        self.starts_at_ms = predecessor_ended_ms + self.retention_ms
        self.stopped = False
        self.connected: set[str] = set()
        # When entries were lost.
        self.lost_ms: dict[str, int] = {}

    def on_connect(self, instance: str) -> None:
        """Count an entry that follows from now on."""
        self.connected.add(instance)
        self.lost_ms.pop(instance, None)

    def on_disconnect(self, instance: str) -> None:
        """Take note that an entry isn't told any more."""
        self.connected.discard(instance)
        self.lost_ms[instance] = self.clock.now_ms()

    def stop(self) -> None:
        """Give out no more parts."""
        self.stopped = True

    def sharer_count(self) -> int:
        """Return by how many entries the limit is divided, 0 while that isn't known."""
        now_ms = self.clock.now_ms()
        if self.stopped or now_ms < self.starts_at_ms:
            return 0
        for instance, lost_ms in list(self.lost_ms.items()):
            if now_ms - lost_ms > self.retention_ms:
                del self.lost_ms[instance]
        return len(self.connected) + len(self.lost_ms)
