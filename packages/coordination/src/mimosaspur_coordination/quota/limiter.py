"""Admit requests within their workspace's quota at one of many entries."""

import copy
import random
from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass

from mimosaspur_coordination.quota.account import QuotaAccount
from mimosaspur_coordination.quota.bounds import bucket_capacity
from mimosaspur_coordination.quota.bounds import max_overage
from mimosaspur_coordination.quota.bounds import refill_per_s
from mimosaspur_coordination.quota.quotabucket import QuotaBucket
from mimosaspur_coordination.quota.spending import Remaining
from mimosaspur_coordination.quota.spending import Spending
from mimosaspur_state.clock import Clock
from mimosaspur_state.directsettings import QuotaBounds
from mimosaspur_state.workspaces import Workspace

# Without an update for this long, an entry falls back to its own share.
MAX_UPDATE_AGE_MS = 1_000
# Several entries may spend the same remainder between two updates. If the demand in that time
# exceeds this share of the allowed overage, each entry stays within its share.
MAX_UNREPORTED_SHARE = 0.4
# An entry without updates may admit one request beyond its share: within this time of the last
# update, or later with a probability that keeps these requests of all entries within this share
# of the allowed overage.
OVERDRAFT_WINDOW_MS = 3_000
OVERDRAFT_SHARE = 0.5
# The assumed interval of updates before it is measured.
INITIAL_UPDATE_INTERVAL_MS = 200.0
UPDATE_INTERVAL_WEIGHT = 0.1
DISTANT_PAST_MS = -1_000_000_000
NO_WAIT_MS = 0


class QuotaUnknown(Exception):
    """No coordinator has sent yet what other entries have spent of a quota."""


@dataclass(slots=True, frozen=True)
class QuotaState:
    """Hold the inputs of an admission decision, for the log."""

    # What this entry may spend now, and its share of the quota.
    left: int
    share: float
    # The demand at all entries, and what the quota allows.
    asked_per_s: int
    per_s: int
    # None before the first update.
    news_age_ms: int | None


class QuotaLimiter:
    """Admit requests at one entry by the coordinator's updates of all entries' spending.

    While updates are recent and little can be spent between two of them, a request may take from
    all that is left. Otherwise an entry stays within its share by demand. A share may be smaller
    than any request, so a request is admitted once a randomly drawn part of its cost is covered;
    on average the entries together admit the sum of their shares.
    """

    __slots__ = (
        "accounts",
        "bounds",
        "clock",
        "entries",
        "last_update_ms",
        "random",
        "update_interval_ms",
    )

    def __init__(
        self,
        bounds: QuotaBounds,
        *,
        clock: Clock,
        random_source: Callable[[], float] = random.random,
    ) -> None:
        self.bounds = bounds
        self.clock = clock
        self.random = random_source
        self.accounts: dict[str, QuotaAccount] = {}
        self.entries = 1
        self.last_update_ms = DISTANT_PAST_MS
        # A moving average.
        self.update_interval_ms = INITIAL_UPDATE_INTERVAL_MS

    def configure(self, workspaces: Iterable[Workspace]) -> None:
        """Apply the quotas of a configuration; spending so far is kept."""
        now_ms = self.clock.now_ms()
        previous = self.accounts
        self.accounts = {}
        for workspace in workspaces:
            quota = workspace.quota
            if quota is None:
                continue
            account = previous.get(workspace.name)
            if account is None:
                account = QuotaAccount(quota, self.bounds, now_ms)
            elif account.quota != quota:
                account.quota = quota
                account.fallback = None
                capacity = bucket_capacity(quota, self.bounds)
                per_s = refill_per_s(quota, self.bounds)
                account.shared.resize(capacity=capacity, per_s=per_s, now_ms=now_ms)
            self.accounts[workspace.name] = account

    def admit(self, workspace: str, cost: float) -> int:
        """Spend a request's cost and return 0, or return the ms until the quota covers it.

        Raise QuotaUnknown before the first update.
        """
        account = self.accounts.get(workspace)
        if account is None:
            return NO_WAIT_MS
        if not self.has_update():
            raise QuotaUnknown
        now_ms = self.clock.now_ms()
        account.record_demand(cost, now_ms)
        if self._covers(account, cost, now_ms):
            self._spend(account, cost, now_ms)
            return NO_WAIT_MS
        account.refused += cost
        return self._schedule_retry(account, cost, now_ms)

    def rehearse(self, workspace: str, cost: float) -> int:
        """Return what admit would return now, without effects; raise QuotaUnknown."""
        trial = copy.copy(self)
        trial.accounts = {}
        if workspace in self.accounts:
            trial.accounts[workspace] = copy.deepcopy(self.accounts[workspace])
        return trial.admit(workspace, cost)

    def refund(self, workspace: str, cost: float) -> None:
        """Return the cost of a request that has definitely not run."""
        account = self.accounts.get(workspace)
        if account:
            self._spend(account, -cost, self.clock.now_ms())

    def take_report(self, number: int) -> list[Spending]:
        """Return what was spent and refused since the last report, which gets a number."""
        spendings = []
        for name, account in self.accounts.items():
            account.uncounted_reports.append((number, account.spent))
            spent = account.spent - account.reported_spent
            refused = account.refused - account.reported_refused
            if spent or refused:
                spendings.append(Spending(name, spent, refused))
                account.reported_spent, account.reported_refused = account.spent, account.refused
        return spendings

    def acknowledge(self, number: int) -> None:
        """Record that the next update includes the report with this number."""
        for account in self.accounts.values():
            while account.uncounted_reports and account.uncounted_reports[0][0] <= number:
                account.counted_spent = account.uncounted_reports.popleft()[1]

    def apply_update(self, remaining: Iterable[Remaining], *, entries: int) -> None:
        """Apply the coordinator's update; quotas that it omits refill as expected."""
        now_ms = self.clock.now_ms()
        if now_ms - self.last_update_ms > MAX_UPDATE_AGE_MS:
            for stale in self.accounts.values():
                stale.fallback = None
        else:
            self.update_interval_ms += (
                now_ms - self.last_update_ms - self.update_interval_ms
            ) * UPDATE_INTERVAL_WEIGHT
        self.last_update_ms = now_ms
        self.entries = max(1, entries)
        for each in remaining:
            account = self.accounts.get(each.workspace)
            if account:
                account.shared.content = min(account.shared.capacity, each.content)
                account.shared.at_ms = now_ms
                account.total_demand_per_s = each.asked_per_s
                account.own_demand_per_s = account.demand.at(now_ms)

    def has_update(self) -> bool:
        """Return whether this entry has ever received an update."""
        return self.last_update_ms != DISTANT_PAST_MS

    def on_coordinator_lost(self) -> None:
        """Report everything that the last coordinator didn't count to the next one."""
        for account in self.accounts.values():
            account.reported_spent = account.counted_spent
            account.uncounted_reports.clear()

    def state(self, workspace: str) -> QuotaState:
        """Return the inputs of the workspace's next admission decision, for the log."""
        account = self.accounts[workspace]
        now_ms = self.clock.now_ms()
        return QuotaState(
            left=round(self._available(account, now_ms)),
            share=round(account.share(self.entries), 3),
            asked_per_s=round(account.total_demand_per_s),
            per_s=round(account.shared.per_s),
            news_age_ms=now_ms - self.last_update_ms if self.has_update() else None,
        )

    def _covers(self, account: QuotaAccount, cost: float, now_ms: int) -> bool:
        needed = min(cost, account.shared.capacity)
        left = self._available(account, now_ms)
        if left >= needed:
            return True
        is_fallback = account.fallback is not None
        if is_fallback and account.may_overdraw:
            account.may_overdraw = False
            return True
        if (
            not is_fallback and not self._may_overshoot(account, now_ms)
        ) or left < needed * account.rounding_threshold:
            return False
        account.rounding_threshold = self.random()
        return True

    def _available(self, account: QuotaAccount, now_ms: int) -> float:
        """Return what this entry may spend now."""
        if now_ms - self.last_update_ms > MAX_UPDATE_AGE_MS:
            return self._fallback_bucket(account, now_ms).at(now_ms)
        content = account.shared.at(now_ms)
        if content > 0 and self._may_overshoot(account, now_ms):
            content *= account.share(self.entries)
        return content - account.uncounted_spent()

    def _may_overshoot(self, account: QuotaAccount, now_ms: int) -> bool:
        """Return whether too much could be spent before the next update."""
        unreported_ms = max(self.update_interval_ms, now_ms - self.last_update_ms)
        unreported_demand = account.total_demand_per_s * unreported_ms / 1000
        return unreported_demand > MAX_UNREPORTED_SHARE * max_overage(account.quota, self.bounds)

    def _fallback_bucket(self, account: QuotaAccount, now_ms: int) -> QuotaBucket:
        """Return the bucket of this entry's own share, creating it when updates have stopped."""
        if account.fallback is None:
            share = account.share(self.entries)
            content = max(0.0, account.shared.at(now_ms)) * share - account.uncounted_spent()
            account.may_overdraw = self._may_overdraw(account, now_ms)
            account.rounding_threshold = self.random()
            account.fallback = QuotaBucket(
                capacity=account.shared.capacity * share,
                per_s=account.shared.per_s * share,
                content=content,
                at_ms=now_ms,
            )
        return account.fallback

    def _may_overdraw(self, account: QuotaAccount, now_ms: int) -> bool:
        """Return whether one request may exceed a share that is smaller than any request."""
        if not self.has_update() or not account.is_below_quota(self.last_update_ms):
            return False
        if now_ms - self.last_update_ms <= OVERDRAFT_WINDOW_MS:
            return True
        room = OVERDRAFT_SHARE * max_overage(account.quota, self.bounds)
        return self.random() * self.entries * account.mean_cost < room

    def _spend(self, account: QuotaAccount, cost: float, now_ms: int) -> None:
        account.spent += cost
        if account.fallback is not None:
            account.fallback.take(cost, now_ms)

    def _schedule_retry(self, account: QuotaAccount, cost: float, now_ms: int) -> int:
        """Return the retry delay of a refused request, after those that were refused before it."""
        while account.scheduled_retries and account.scheduled_retries[0][0] <= now_ms:
            account.scheduled_retries.popleft()
        ahead = sum(retry_cost for _, retry_cost in account.scheduled_retries)
        per_s = account.shared.per_s * account.share(self.entries)
        missing = max(0.0, cost - self._available(account, now_ms))
        wait_ms = max(1.0, (missing + ahead) * 1000 / per_s)
        account.scheduled_retries.append((now_ms + wait_ms, cost))
        return round(wait_ms) or 1
