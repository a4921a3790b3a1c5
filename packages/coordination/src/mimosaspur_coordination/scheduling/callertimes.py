"""Tell how long callers wait, and when to tell them to return."""

import random

from mimosaspur_state.routes import Route

# Callers abandon a stream whose next event doesn't come for the longest of these.
MIN_EVENT_TIMEOUT_MS = 2_000
EVENT_TIMEOUT_OBJECTIVES = 4
EVENT_TIMEOUT_GAPS = 8
# Callers honour a Retry-After of up to this share of their remaining time.
MAX_RETRY_AFTER_SHARE = 1 / 3
MIN_RETRY_AFTER_S = 0.05
# Callers that are told the same time would otherwise return together.
RETRY_SPREAD = (1.0, 1.25)


def event_timeout_s(route: Route) -> float:
    """Return for how long a caller waits for the next event."""
    timeout_ms = max(
        MIN_EVENT_TIMEOUT_MS,
        EVENT_TIMEOUT_OBJECTIVES * route.objective_ms,
        EVENT_TIMEOUT_GAPS * route.gap_objective_ms,
    )
    return timeout_ms / 1000


def retry_after_s(wait_s: float, *, left_s: float, spread: bool) -> float:
    """Return the Retry-After for an expected wait, limited to a time that the caller will wait for.

    With spread, it is at random between the wait and 1.25 times the wait.
    """
    wanted_s = wait_s * random.uniform(*RETRY_SPREAD) if spread else wait_s
    return round(max(MIN_RETRY_AFTER_S, min(wanted_s, left_s * MAX_RETRY_AFTER_SHARE)), 3)
