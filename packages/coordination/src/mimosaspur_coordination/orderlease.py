"""Decide when this instance may send orders to engines.

The lease is a record in the platform's store. The holder confirms it by reading it again; each
confirmation is valid for a limited time on a clock that counts suspended time. A new holder waits
until its predecessor's last confirmation has expired, plus the handover time.

While the store is unavailable nobody can take the lease over, but a holder can't distinguish an
outage from its own partition. It extends the lease if every entry that followed it when the store
was last reached still does, and none of them reaches the store. Losing such an entry ends the
extension, since that entry might reach the store and contend; it waits longer than a confirmation
is valid. Not covered: a new entry that reaches the store but not the holder.

A write of the record may take effect without an answer, so the record may name an instance that has
never taken the lease up. Such an instance knows nothing of the orders of the holder before. Only an
instance that has taken up the record's token may announce the last order, its predecessors'
included; and only a record that is settled spares its own instance the wait.
"""

from dataclasses import replace

from mimosaspur_coordination.fleetports import LeaseRecord
from mimosaspur_state.clock import Clock

# Measured from when the confirming read was sent.
CONFIRMATION_VALIDITY_MS = 2_000
# Less than half of the validity, so that one failed renewal is harmless.
RENEWAL_INTERVAL_MS = 900
# An order and the message that reports its time take different paths.
HANDOVER_SLACK_MS = 100


class OrderLease:
    """Track the lease and whether this instance may send orders."""

    __slots__ = (
        "clock",
        "confirmed_ms",
        "first_order_ms",
        "handover_ms",
        "instance",
        "last_order_ms",
        "record",
        "record_lost",
        "stopped",
        "taken_up_token",
    )

    def __init__(self, instance: str, *, handover_ms: int, clock: Clock) -> None:
        self.instance = instance
        self.handover_ms = handover_ms
        # Must count the time during which the machine is suspended.
        self.clock = clock
        self.record: LeaseRecord | None = None
        # Whether the store has lost the record of the last holder.
        self.record_lost = False
        self.confirmed_ms = 0
        self.first_order_ms = 0
        self.last_order_ms = 0
        # The token of the record that this process took up last, 0 for none.
        self.taken_up_token = 0
        # Whether this instance has announced its last order, for as long as the process runs.
        self.stopped = False

    def update_from_store(self, record: LeaseRecord | None, *, asked_ms: int) -> None:
        """Apply the store's lease record, read by a call sent at a time of this clock."""
        was_holder = self.is_holder()
        if record is None:
            self.record_lost = self.record_lost or self.record is not None
        else:
            self.record_lost = record.restored
        self.record = record
        if self.is_holder() and was_holder:
            self.confirmed_ms = max(self.confirmed_ms, asked_ms)

    def confirm_from_peer(self, *, holder: str, token: int, asked_ms: int) -> None:
        """Confirm the lease by another instance's read, which it made after it was asked to."""
        if (
            self.record
            and self.is_holder()
            and (holder, token) == (self.instance, self.record.token)
        ):
            self.confirmed_ms = max(self.confirmed_ms, asked_ms)

    def extend_during_outage(self, *, asked_ms: int) -> None:
        """Extend the lease after all entries reported that none reaches the store or contends."""
        if self.is_holder():
            self.confirmed_ms = max(self.confirmed_ms, asked_ms)

    def acquire(
        self, record: LeaseRecord, *, asked_ms: int, predecessor: str, settled: bool = False
    ) -> None:
        """Apply a takeover from the holder that the record named before, empty if there was none.

        `settled` tells whether that record was settled.
        """
        now_ms = self.clock.now_ms()
        self.record = record
        self.confirmed_ms = asked_ms
        self.taken_up_token = record.token
        self.first_order_ms = now_ms
        waited = not predecessor or (predecessor == self.instance and settled)
        if self.record_lost or not waited:
            self.first_order_ms = now_ms + CONFIRMATION_VALIDITY_MS + self.handover_ms
        self.record_lost = False

    def reclaim(self, record: LeaseRecord, *, asked_ms: int) -> None:
        """Continue as the holder under a new token after the store has lost the record.

        The last confirmation must still be valid: any other instance that took the lease since then
        waits until it has expired before its first order.
        """
        self.record = record
        self.taken_up_token = record.token
        self.record_lost = False
        self.confirmed_ms = asked_ms

    def on_predecessor_release(self, *, last_order_ms: int) -> None:
        """Shorten the wait to match the predecessor's reported last order."""
        first_ms = self.first_order_after(last_order_ms)
        self.first_order_ms = max(self.clock.now_ms(), min(self.first_order_ms, first_ms))

    def first_order_after(self, last_order_ms: int) -> int:
        """Return when another instance may send orders after the predecessor's last one."""
        return last_order_ms + self.handover_ms + HANDOVER_SLACK_MS

    def is_holder(self) -> bool:
        """Return whether this instance is the last known holder."""
        record = self.record
        return record is not None and record.holder == self.instance and not record.restored

    def is_confirmed(self) -> bool:
        """Return whether this instance coordinates, and the lease's confirmation is still valid."""
        if self.stopped or not self.is_holder():
            return False
        return self.clock.now_ms() - self.confirmed_ms < CONFIRMATION_VALIDITY_MS

    def renewal_due(self) -> bool:
        """Return whether the lease should be confirmed again."""
        return self.clock.now_ms() - self.confirmed_ms >= RENEWAL_INTERVAL_MS

    def may_order(self) -> bool:
        """Return whether an order may be sent now."""
        return self.is_confirmed() and self.clock.now_ms() >= self.first_order_ms

    def stop_orders(self) -> None:
        """Permit no more orders, so that the time of the last one can be announced.

        The lease itself is kept.
        """
        self.stopped = True

    def last_possible_order_ms(self) -> int:
        """Return when this process, or a holder before it, can have sent the last order."""
        return max(self.last_order_ms, self.first_order_ms - self.handover_ms)

    def settling_due(self) -> bool:
        """Return whether the record should tell that this holder has waited long enough."""
        record = self.record
        if record is None or record.settled or record.token != self.taken_up_token:
            return False
        return self.may_order()

    def settled_record(self) -> LeaseRecord | None:
        """Return the record to write when that is due."""
        return replace(self.record, settled=True) if self.record else None

    def record_order(self) -> None:
        """Record that an order is sent now."""
        self.last_order_ms = self.clock.now_ms()

    def next_record(self, address: tuple[str, int]) -> LeaseRecord:
        """Return the record to write for taking the lease over."""
        token, revision = 0, 0
        if self.record:
            token = max(self.record.token, self.record.token_bound)
            revision = self.record.revision
        return LeaseRecord(self.instance, address, token + 1, revision)
