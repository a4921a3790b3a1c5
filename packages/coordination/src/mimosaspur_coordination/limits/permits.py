"""Bound the requests that all entries send to a target that names a limit, by permits.

The coordinator issues permits from a token bucket for each such target to the entries that ask for
them. A permit allows one request, until PERMIT_VALIDITY_MS after the entry has asked. So the
requests in a window are at most the permits issued in the window and the validity before it, and
neither a lost entry nor a new coordinator, whose buckets start empty, adds to them.
"""

from mimosaspur_coordination.limits.sendhistory import WINDOW_MS

PERMIT_VALIDITY_MS = 300
# Tokens of this time are kept while no permit is issued.
MAX_ISSUE_INTERVAL_MS = 60
# One request in more than a window and the validity: a target that takes none can't tell that it
# takes requests again.
MIN_ISSUE_PER_S = 0.2


def issue_rate_per_s(limit_per_s: float) -> float:
    """Return the rate of permits that keeps any window within the limit and one request more."""
    usable_ms = WINDOW_MS - MAX_ISSUE_INTERVAL_MS
    rate = limit_per_s * usable_ms / (WINDOW_MS + PERMIT_VALIDITY_MS)
    return max(MIN_ISSUE_PER_S, rate)


def bucket_capacity(limit_per_s: float) -> float:
    """Return how many permits may be issued at once."""
    return 1.0 + limit_per_s * MAX_ISSUE_INTERVAL_MS / 1000
