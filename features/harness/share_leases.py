"""Give entries a lease of a part that they have held for long."""

from mimosaspur_coordination.limits.sharelease import ShareLease
from mimosaspur_coordination.limits.sharelease import reuse_after_ms
from mimosaspur_state.clock import Clock


def settle_lease(lease: ShareLease, *, sharers: int) -> None:
    """Tell the lease its sharers, as if it had been told so for long."""
    lease.renew(sharers)
    lease.held_since_ms -= lease.activation_delay_ms


def held_share(window_ms: int, *, sharers: int, clock: Clock) -> ShareLease:
    """Return a part that doesn't lapse within a window."""
    lease = ShareLease(window_ms=window_ms, clock=clock)
    settle_lease(lease, sharers=sharers)
    lease.renewed_ms += reuse_after_ms(window_ms)
    return lease
