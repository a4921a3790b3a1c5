"""Work out how much of a quota a bucket holds."""

from mimosaspur_state.directsettings import QuotaBounds
from mimosaspur_state.workspaces import Quota

# Entries learn of one another's spending with a delay, and callers' clocks differ from ours: this
# part of what a quota may be passed by is kept for that. The rest is what a bucket holds.
RESERVED_SHARE = 0.6
# A window has room for the rate and a burst. So much of the burst comes with the refill; the rest
# is kept for what entries spend that are cut off from the others.
BURST_REFILL_SHARE = 0.5


def max_overage(quota: Quota, bounds: QuotaBounds) -> float:
    """Return by how much a quota may be passed in any window."""
    return _window_allowance(quota, bounds) * bounds.overage + bounds.slack


def refill_per_s(quota: Quota, bounds: QuotaBounds) -> float:
    """Return what a second adds: over a whole window it comes to the rate and part of a burst."""
    return quota.per_s + BURST_REFILL_SHARE * quota.burst * 1000 / bounds.window_ms


def bucket_capacity(quota: Quota, bounds: QuotaBounds) -> float:
    """Return the most that a bucket may hold; with the refill no window has more than it may."""
    return (1.0 - RESERVED_SHARE) * max_overage(quota, bounds)


def _window_allowance(quota: Quota, bounds: QuotaBounds) -> float:
    return quota.per_s * bounds.window_ms / 1000 + quota.burst
