"""Track the state of one workspace's quota at one entry."""

from collections import deque

from mimosaspur_coordination.quota.bounds import bucket_capacity
from mimosaspur_coordination.quota.bounds import refill_per_s
from mimosaspur_coordination.quota.decayingrate import DecayingRate
from mimosaspur_coordination.quota.quotabucket import QuotaBucket
from mimosaspur_state.directsettings import QuotaBounds
from mimosaspur_state.workspaces import Quota

# Below this share of a full bucket, a quota counts as nearly used up.
LOW_WATERMARK_SHARE = 0.5
# Split evenly, so that an entry has some quota when its first requests arrive.
EVENLY_SPLIT_SHARE = 0.1
# The assumed cost of a request before the first one.
INITIAL_COST = 1.0
COST_WEIGHT = 0.1
# At ten or more reports a second, a coordinator that acknowledges none of these is long replaced.
MAX_UNCOUNTED_REPORTS = 256


def demand_share(own_demand: float, total_demand: float, entries: int) -> float:
    """Return an entry's share of a quota; the shares of all entries sum to one."""
    even = 1.0 / max(1, entries)
    by_demand = min(1.0, own_demand / total_demand) if total_demand else even
    return by_demand * (1.0 - EVENLY_SPLIT_SHARE) + even * EVENLY_SPLIT_SHARE


class QuotaAccount:
    """Track the state of one workspace's quota at one entry."""

    __slots__ = (
        "counted_spent",
        "demand",
        "fallback",
        "may_overdraw",
        "mean_cost",
        "own_demand_per_s",
        "quota",
        "refused",
        "reported_refused",
        "reported_spent",
        "rounding_threshold",
        "scheduled_retries",
        "shared",
        "spent",
        "total_demand_per_s",
        "uncounted_reports",
    )

    def __init__(self, quota: Quota, bounds: QuotaBounds, now_ms: int) -> None:
        self.quota = quota
        # What all entries have left by the last update, without this entry's uncounted spending.
        self.shared = QuotaBucket(
            capacity=bucket_capacity(quota, bounds),
            per_s=refill_per_s(quota, bounds),
            content=bucket_capacity(quota, bounds),
            at_ms=now_ms,
        )
        # This entry's own share while there are no updates from a coordinator.
        self.fallback: QuotaBucket | None = None
        # Whether one request may exceed that share.
        self.may_overdraw = False
        self.demand = DecayingRate(now_ms)
        # Demand at all entries by the last update, and at this one at that time: taken together,
        # so that the entries' shares don't sum to more than one.
        self.total_demand_per_s = 0.0
        self.own_demand_per_s = 0.0
        self.mean_cost = INITIAL_COST
        # Totals since the process started: spent and refused, the part of them that was reported,
        # and the part that the coordinator has counted.
        self.spent = 0.0
        self.refused = 0.0
        self.reported_spent = 0.0
        self.reported_refused = 0.0
        self.counted_spent = 0.0
        self.uncounted_reports: deque[tuple[int, float]] = deque(maxlen=MAX_UNCOUNTED_REPORTS)
        # The share of a request's cost that must be covered where less than one may be available.
        self.rounding_threshold = 1.0
        # Refused requests that were given a retry time, as (time in ms, cost).
        self.scheduled_retries: deque[tuple[float, float]] = deque()

    def record_demand(self, cost: float, now_ms: int) -> None:
        """Record the demand of a request, whether or not it is admitted."""
        self.demand.add(cost, now_ms)
        if self.mean_cost == INITIAL_COST:
            self.mean_cost = cost
        self.mean_cost += (cost - self.mean_cost) * COST_WEIGHT

    def uncounted_spent(self) -> float:
        """Return what this entry spent that the last update doesn't include."""
        return self.spent - self.counted_spent

    def share(self, entries: int) -> float:
        """Return this entry's share of the quota by its demand."""
        return demand_share(self.own_demand_per_s, self.total_demand_per_s, entries)

    def is_below_quota(self, now_ms: int) -> bool:
        """Return whether demand was below the quota and enough of the quota was left."""
        plenty = self.shared.at(now_ms) >= LOW_WATERMARK_SHARE * self.shared.capacity
        return plenty and self.total_demand_per_s <= self.quota.per_s
