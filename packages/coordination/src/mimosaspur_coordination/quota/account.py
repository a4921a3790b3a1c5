"""Hold what one entry knows of one workspace's quota."""

from collections import deque

from mimosaspur_coordination.quota.bounds import capacity_of
from mimosaspur_coordination.quota.bounds import refill_per_s
from mimosaspur_coordination.quota.fading import FadingRate
from mimosaspur_coordination.quota.level import Level
from mimosaspur_state.directsettings import QuotaBounds
from mimosaspur_state.workspaces import Quota

# Below this part of a full bucket a quota is taken for nearly used up.
PLENTY_PART = 0.5
# This part of a quota is shared evenly, so that an entry whose first callers come has some of it.
IDLE_PART = 0.1
# A request costs so much until one has come.
FIRST_COST = 1.0
NEWEST_COST = 0.1
# Reports that weren't counted yet, at ten and more a second: a coordinator that counts none for so
# many has long been given up.
MOST_REPORTS = 256


def share_of(asked_here: float, asked_by_all: float, entries: int) -> float:
    """Return the part of a quota that is an entry's; all entries' parts come to one."""
    even = 1.0 / max(1, entries)
    asked = min(1.0, asked_here / asked_by_all) if asked_by_all else even
    return asked * (1.0 - IDLE_PART) + even * IDLE_PART


class Account:
    """Hold what one entry knows of one workspace's quota."""

    __slots__ = (
        "advance",
        "alone",
        "asked",
        "asked_by_all",
        "asked_here",
        "cost",
        "counted",
        "promised",
        "quota",
        "refused",
        "reports",
        "rounding",
        "shared",
        "spent",
        "told_refused",
        "told_spent",
    )

    def __init__(self, quota: Quota, bounds: QuotaBounds, now_ms: int) -> None:
        self.quota = quota
        # What all entries have left, as it was last told; what this entry spent since then and
        # wasn't counted is still to be taken off.
        self.shared = Level(
            capacity=capacity_of(quota, bounds),
            per_s=refill_per_s(quota, bounds),
            content=capacity_of(quota, bounds),
            at_ms=now_ms,
        )
        # This entry's own share while nobody tells.
        self.alone: Level | None = None
        # Whether one request may go ahead of that share.
        self.advance = False
        self.asked = FadingRate(now_ms)
        # What a second asked of all entries when that was last told, and of this one at that time:
        # taken together, so that the entries' shares don't come to more than one.
        self.asked_by_all = 0.0
        self.asked_here = 0.0
        # What a request costs, at the mean.
        self.cost = FIRST_COST
        # Sums since this process began: what was spent and refused, up to where that was told, and
        # up to where the coordinator has counted it.
        self.spent = 0.0
        self.refused = 0.0
        self.told_spent = 0.0
        self.told_refused = 0.0
        self.counted = 0.0
        self.reports: deque[tuple[int, float]] = deque(maxlen=MOST_REPORTS)
        # Which part of a request has to be covered where less than one may be there.
        self.rounding = 1.0
        # What was refused and told to come back, by when it will be covered.
        self.promised: deque[tuple[float, float]] = deque()

    def ask(self, cost: float, now_ms: int) -> None:
        """Count a request, whatever becomes of it."""
        self.asked.add(cost, now_ms)
        if self.cost == FIRST_COST:
            self.cost = cost
        self.cost += (cost - self.cost) * NEWEST_COST

    def uncounted(self) -> float:
        """Return what this entry has spent that isn't in what it was told."""
        return self.spent - self.counted

    def share(self, entries: int) -> float:
        """Return the part of the quota that this entry's callers ask for."""
        return share_of(self.asked_here, self.asked_by_all, entries)

    def calm(self, now_ms: int) -> bool:
        """Tell whether callers asked for less than the quota, and had left plenty of it."""
        plenty = self.shared.at(now_ms) >= PLENTY_PART * self.shared.capacity
        return plenty and self.asked_by_all <= self.quota.per_s
