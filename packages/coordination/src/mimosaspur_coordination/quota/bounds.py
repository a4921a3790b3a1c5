"""Compute the bucket capacity and refill rate of a quota."""

from mimosaspur_state.directsettings import QuotaBounds
from mimosaspur_state.workspaces import Quota

# The share of the allowed overage reserved for update delays and differing clocks; the rest is
# the bucket's capacity.
RESERVED_SHARE = 0.6
# The share of the burst added to the refill rate; the rest is reserved for partitioned entries.
BURST_REFILL_SHARE = 0.5


def max_overage(quota: Quota, bounds: QuotaBounds) -> float:
    """Return by how much a quota may be exceeded in any window."""
    return _window_allowance(quota, bounds) * bounds.overage + bounds.slack


def refill_per_s(quota: Quota, bounds: QuotaBounds) -> float:
    """Return the refill per second, which over a window adds up to the rate and part of a burst."""
    return quota.per_s + BURST_REFILL_SHARE * quota.burst * 1000 / bounds.window_ms


def bucket_capacity(quota: Quota, bounds: QuotaBounds) -> float:
    """Return the bucket capacity, which with the refill keeps any window within its maximum."""
    return (1.0 - RESERVED_SHARE) * max_overage(quota, bounds)


def _window_allowance(quota: Quota, bounds: QuotaBounds) -> float:
    return quota.per_s * bounds.window_ms / 1000 + quota.burst
