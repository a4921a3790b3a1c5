"""Decide when this instance may give orders to engines.

The lease lies in the platform's store. The holder proves that it still holds it by reading it
again; each proof lasts for a while on a clock that counts suspended time. Whoever takes the lease
over waits until the last proof of its predecessor has run out, and the handover time beyond.

While the store is away nobody can take the lease over, but a holder can't tell an outage from a
cut of its own. It goes on if every entry that followed it when the store was last reached still
does, and none of them reaches the store either. An entry that is lost meanwhile ends this, for it
might reach the store and contend; it waits longer than any proof lasts. What is left open is an
entry that is new since then, reaches the store alone and not the holder.
"""

from mimosaspur_coordination.fleetports import LeaseRecord
from mimosaspur_state.clock import Clock

# A proof lasts so long from when it was asked for.
CONFIRMATION_VALIDITY_MS = 2_000
# The holder asks for a new proof so often: one may fail without harm.
RENEWAL_INTERVAL_MS = 900
# An order and the word of it travel on different ways.
HANDOVER_SLACK_MS = 100


class OrderLease:
    """Hold what is known of the lease."""

    __slots__ = (
        "clock",
        "first_order_ms",
        "record_lost",
        "handover_ms",
        "instance",
        "last_order_ms",
        "confirmed_ms",
        "record",
    )

    def __init__(self, instance: str, *, handover_ms: int, clock: Clock) -> None:
        self.instance = instance
        self.handover_ms = handover_ms
        # The clock must count the time in which the machine is suspended.
        self.clock = clock
        self.record: LeaseRecord | None = None
        # Whether the store has lost who held the lease last.
        self.record_lost = False
        self.confirmed_ms = 0
        self.first_order_ms = 0
        self.last_order_ms = 0

    def update_from_store(self, record: LeaseRecord | None, *, asked_ms: int) -> None:
        """Take the lease as the store has it, asked for at a time of this clock."""
        mine = self.is_holder()
        if record is None:
            self.record_lost = self.record_lost or self.record is not None
        else:
            self.record_lost = record.restored
        self.record = record
        if self.is_holder() and mine:
            self.confirmed_ms = max(self.confirmed_ms, asked_ms)

    def confirm_from_peer(self, *, holder: str, token: int, asked_ms: int) -> None:
        """Take the word of another instance that read the lease after it was asked to."""
        if (
            self.record
            and self.is_holder()
            and (holder, token) == (self.instance, self.record.token)
        ):
            self.confirmed_ms = max(self.confirmed_ms, asked_ms)

    def extend_during_outage(self, *, asked_ms: int) -> None:
        """Take the word of all other entries that none of them reaches the store or contends."""
        if self.is_holder():
            self.confirmed_ms = max(self.confirmed_ms, asked_ms)

    def acquire(self, record: LeaseRecord, *, asked_ms: int, predecessor: str) -> None:
        """Take the lease over from another instance, or from an earlier process of this one."""
        now_ms = self.clock.now_ms()
        self.record = record
        self.confirmed_ms = asked_ms
        self.first_order_ms = now_ms
        if self.record_lost or (predecessor and predecessor != self.instance):
            self.first_order_ms = now_ms + CONFIRMATION_VALIDITY_MS + self.handover_ms
        self.record_lost = False

    def reclaim(self, record: LeaseRecord, *, asked_ms: int) -> None:
        """Go on as the holder that the store has forgotten, under a new token.

        The last proof must be valid still: whoever took the lease since then waits for longer than
        it lasts before its first order.
        """
        self.record = record
        self.record_lost = False
        self.confirmed_ms = asked_ms

    def on_predecessor_release(self, *, last_order_ms: int) -> None:
        """Shorten the wait: the predecessor has told when it gave its last order."""
        first_ms = self.first_order_after(last_order_ms)
        self.first_order_ms = max(self.clock.now_ms(), min(self.first_order_ms, first_ms))

    def first_order_after(self, last_order_ms: int) -> int:
        """Return when another instance may order after the predecessor's last order."""
        return last_order_ms + self.handover_ms + HANDOVER_SLACK_MS

    def is_holder(self) -> bool:
        """Tell whether this instance is the last known holder."""
        record = self.record
        return record is not None and record.holder == self.instance and not record.restored

    def is_confirmed(self) -> bool:
        """Tell whether nobody else can hold the lease now."""
        return (
            self.is_holder() and self.clock.now_ms() - self.confirmed_ms < CONFIRMATION_VALIDITY_MS
        )

    def renewal_due(self) -> bool:
        """Tell whether it is time for another proof."""
        return self.clock.now_ms() - self.confirmed_ms >= RENEWAL_INTERVAL_MS

    def may_order(self) -> bool:
        """Tell whether an order may be sent at this moment."""
        return self.is_confirmed() and self.clock.now_ms() >= self.first_order_ms

    def record_order(self) -> None:
        """Count an order that is sent now."""
        self.last_order_ms = self.clock.now_ms()

    def next_record(self, address: tuple[str, int]) -> LeaseRecord:
        """Return the record by which this instance takes the lease over."""
        token, revision = 0, 0
        if self.record:
            token, revision = self.record.token, self.record.revision
        return LeaseRecord(self.instance, address, token + 1, revision)
