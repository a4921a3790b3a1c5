"""Create share leases that have been held for a long time."""

from mimosaspur_coordination.limits.sharelease import ShareLease
from mimosaspur_coordination.limits.sharelease import reuse_after_ms
from mimosaspur_state.clock import Clock


def settle_lease(lease: ShareLease, *, sharers: int) -> None:
    """Renew a lease as if it had been held past its activation delay."""
    lease.renew(sharers, age_ms=0)
    lease.held_since_ms -= lease.activation_delay_ms


def held_share(window_ms: int, *, sharers: int, clock: Clock) -> ShareLease:
    """Return an active lease that does not expire within a window."""
    lease = ShareLease(window_ms=window_ms, clock=clock)
    settle_lease(lease, sharers=sharers)
    lease.renewed_ms += reuse_after_ms(window_ms)
    return lease
