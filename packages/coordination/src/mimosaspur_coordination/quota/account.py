"""Hold what one entry knows of one workspace's quota."""

from collections import deque

from mimosaspur_coordination.quota.bounds import bucket_capacity
from mimosaspur_coordination.quota.bounds import refill_per_s
from mimosaspur_coordination.quota.decayingrate import DecayingRate
from mimosaspur_coordination.quota.quotabucket import QuotaBucket
from mimosaspur_state.directsettings import QuotaBounds
from mimosaspur_state.workspaces import Quota

# Below this part of a full bucket a quota is taken for nearly used up.
LOW_WATERMARK_SHARE = 0.5
# This part of a quota is shared evenly, so that an entry whose first callers come has some of it.
EVENLY_SPLIT_SHARE = 0.1
# A request costs so much until one has come.
INITIAL_COST = 1.0
COST_WEIGHT = 0.1
# Reports that weren't counted yet, at ten and more a second: a coordinator that counts none for so
# many has long been given up.
MAX_UNCOUNTED_REPORTS = 256


def demand_share(asked_here: float, asked_by_all: float, entries: int) -> float:
    """Return the part of a quota that is an entry's; all entries' parts come to one."""
    even = 1.0 / max(1, entries)
    asked = min(1.0, asked_here / asked_by_all) if asked_by_all else even
    return asked * (1.0 - EVENLY_SPLIT_SHARE) + even * EVENLY_SPLIT_SHARE


class QuotaAccount:
    """Hold what one entry knows of one workspace's quota."""

    __slots__ = (
        "may_overdraw",
        "fallback",
        "demand",
        "total_demand_per_s",
        "own_demand_per_s",
        "mean_cost",
        "counted_spent",
        "scheduled_retries",
        "quota",
        "refused",
        "uncounted_reports",
        "rounding_threshold",
        "shared",
        "spent",
        "reported_refused",
        "reported_spent",
    )

    def __init__(self, quota: Quota, bounds: QuotaBounds, now_ms: int) -> None:
        self.quota = quota
        # What all entries have left, as it was last told; what this entry spent since then and
        # wasn't counted is still to be taken off.
        self.shared = QuotaBucket(
            capacity=bucket_capacity(quota, bounds),
            per_s=refill_per_s(quota, bounds),
            content=bucket_capacity(quota, bounds),
            at_ms=now_ms,
        )
        # This entry's own share while nobody tells.
        self.fallback: QuotaBucket | None = None
        # Whether one request may go ahead of that share.
        self.may_overdraw = False
        self.demand = DecayingRate(now_ms)
        # What a second asked of all entries when that was last told, and of this one at that time:
        # taken together, so that the entries' shares don't come to more than one.
        self.total_demand_per_s = 0.0
        self.own_demand_per_s = 0.0
        # What a request costs, at the mean.
        self.mean_cost = INITIAL_COST
        # Sums since this process began: what was spent and refused, up to where that was told, and
        # up to where the coordinator has counted it.
        self.spent = 0.0
        self.refused = 0.0
        self.reported_spent = 0.0
        self.reported_refused = 0.0
        self.counted_spent = 0.0
        self.uncounted_reports: deque[tuple[int, float]] = deque(maxlen=MAX_UNCOUNTED_REPORTS)
        # Which part of a request has to be covered where less than one may be there.
        self.rounding_threshold = 1.0
        # What was refused and told to come back, by when it will be covered.
        self.scheduled_retries: deque[tuple[float, float]] = deque()

    def record_demand(self, cost: float, now_ms: int) -> None:
        """Count a request, whatever becomes of it."""
        self.demand.add(cost, now_ms)
        if self.mean_cost == INITIAL_COST:
            self.mean_cost = cost
        self.mean_cost += (cost - self.mean_cost) * COST_WEIGHT

    def uncounted_spent(self) -> float:
        """Return what this entry has spent that isn't in what it was told."""
        return self.spent - self.counted_spent

    def share(self, entries: int) -> float:
        """Return the part of the quota that this entry's callers ask for."""
        return demand_share(self.own_demand_per_s, self.total_demand_per_s, entries)

    def is_below_quota(self, now_ms: int) -> bool:
        """Tell whether callers asked for less than the quota, and had left plenty of it."""
        plenty = self.shared.at(now_ms) >= LOW_WATERMARK_SHARE * self.shared.capacity
        return plenty and self.total_demand_per_s <= self.quota.per_s
