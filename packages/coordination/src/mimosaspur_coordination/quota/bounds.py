"""Work out how much of a quota a bucket holds."""

from mimosaspur_state.directsettings import QuotaBounds
from mimosaspur_state.workspaces import Quota

# Entries learn of one another's spending with a delay, and callers' clocks differ from ours: this
# part of what a quota may be passed by is kept for that. The rest is what a bucket holds.
KEPT_PART = 0.6
# A window has room for the rate and a burst. So much of the burst comes with the refill; the rest
# is kept for what entries spend that are cut off from the others.
BURST_PART = 0.5


def may_pass(quota: Quota, bounds: QuotaBounds) -> float:
    """Return by how much a quota may be passed in any window."""
    return _in_window(quota, bounds) * bounds.overage + bounds.slack


def refill_per_s(quota: Quota, bounds: QuotaBounds) -> float:
    """Return what a second adds: over a whole window it comes to the rate and part of a burst."""
    return quota.per_s + BURST_PART * quota.burst * 1000 / bounds.window_ms


def capacity_of(quota: Quota, bounds: QuotaBounds) -> float:
    """Return the most that a bucket may hold; with the refill no window has more than it may."""
    return (1.0 - KEPT_PART) * may_pass(quota, bounds)


def _in_window(quota: Quota, bounds: QuotaBounds) -> float:
    return quota.per_s * bounds.window_ms / 1000 + quota.burst
