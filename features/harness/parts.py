"""Give entries a lease of a part that they have held for long."""

from mimosaspur_coordination.limits.partlease import PartLease
from mimosaspur_coordination.limits.partlease import reuse_after_ms
from mimosaspur_state.clock import Clock


def settle(lease: PartLease, *, sharers: int) -> None:
    """Tell the lease its sharers, as if it had been told so for long."""
    lease.tell(sharers)
    lease.since_ms -= lease.wait_ms


def held_part(window_ms: int, *, sharers: int, clock: Clock) -> PartLease:
    """Return a part that doesn't lapse within a window."""
    lease = PartLease(window_ms=window_ms, clock=clock)
    settle(lease, sharers=sharers)
    lease.told_ms += reuse_after_ms(window_ms)
    return lease
