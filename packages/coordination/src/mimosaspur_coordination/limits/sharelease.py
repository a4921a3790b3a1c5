"""Lease each entry a share of a limit that applies to all entries in a sliding window.

The coordinator sends the number of entries that divide the limit. An entry may use its share
until its lease expires, and what it used counts for a window after that. The lease counts from the
entry's last report that the coordinator has answered, however late the answer is read. So a share
is reused only after a lease plus a window:

- an entry that starts, or whose lease expired, waits that long before it uses a share,
- the coordinator counts a disconnected entry for that long,
- a new coordinator, which doesn't know its predecessor's members, grants no shares before that.
"""

from mimosaspur_state.clock import Clock

# An entry may use its share for this long after it sent the last report that has an answer.
LEASE_MS = 3_000
DISTANT_PAST_MS = -1_000_000_000


def reuse_after_ms(window_ms: int) -> int:
    """Return how long after its last renewal a share may be used by another entry."""
    return window_ms + LEASE_MS


class ShareLease:
    """Hold an entry's lease of its share."""

    __slots__ = ("activation_delay_ms", "clock", "held_since_ms", "renewed_ms", "sharers")

    def __init__(self, *, window_ms: int, clock: Clock) -> None:
        # The clock must include the time while the machine is suspended.
        self.clock = clock
        self.activation_delay_ms = reuse_after_ms(window_ms)
        # Entries that divide the limit; 0 while the coordinator doesn't know.
        self.sharers = 0
        self.renewed_ms = DISTANT_PAST_MS
        # Since when the lease has been held without expiring.
        self.held_since_ms = DISTANT_PAST_MS

    def renew(self, sharers: int, *, age_ms: int | None) -> None:
        """Renew the lease on a message of at most this age, None if its age isn't known."""
        now_ms = self.clock.now_ms()
        if now_ms - self.renewed_ms > LEASE_MS:
            self.held_since_ms = now_ms
        if age_ms is not None:
            self.renewed_ms = max(self.renewed_ms, now_ms - age_ms)
        self.sharers = sharers

    def share(self) -> float:
        """Return this entry's share of the limit, 0 if it may use none now."""
        now_ms = self.clock.now_ms()
        expired = now_ms - self.renewed_ms > LEASE_MS
        if expired or not self.sharers or now_ms - self.held_since_ms < self.activation_delay_ms:
            return 0.0
        return 1.0 / self.sharers


class SharerCount:
    """Count the entries that may hold a share, at the coordinator."""

    __slots__ = ("clock", "connected", "disconnected_ms", "retention_ms", "starts_at_ms", "stopped")

    def __init__(self, *, window_ms: int, predecessor_ended_ms: int, clock: Clock) -> None:
        self.clock = clock
        self.retention_ms = reuse_after_ms(window_ms)
        # When all shares granted by a predecessor have expired.
        self.starts_at_ms = predecessor_ended_ms + self.retention_ms
        self.stopped = False
        self.connected: set[str] = set()
        # When entries disconnected.
        self.disconnected_ms: dict[str, int] = {}

    def on_connect(self, instance: str) -> None:
        """Count a connected entry."""
        self.connected.add(instance)
        self.disconnected_ms.pop(instance, None)

    def on_disconnect(self, instance: str) -> None:
        """Keep counting a disconnected entry until its share has expired."""
        self.connected.discard(instance)
        self.disconnected_ms[instance] = self.clock.now_ms()

    def stop(self) -> None:
        """Grant no more shares."""
        self.stopped = True

    def sharer_count(self) -> int:
        """Return how many entries divide the limit, 0 while that is unknown."""
        now_ms = self.clock.now_ms()
        if self.stopped or now_ms < self.starts_at_ms:
            return 0
        for instance, disconnected_ms in list(self.disconnected_ms.items()):
            if now_ms - disconnected_ms > self.retention_ms:
                del self.disconnected_ms[instance]
        return len(self.connected) + len(self.disconnected_ms)
