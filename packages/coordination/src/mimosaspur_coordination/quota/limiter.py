"""Admit what a workspace's quota covers, at one of many entries."""

import random
from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass

from mimosaspur_coordination.quota.account import Account
from mimosaspur_coordination.quota.bounds import capacity_of
from mimosaspur_coordination.quota.bounds import may_pass
from mimosaspur_coordination.quota.bounds import refill_per_s
from mimosaspur_coordination.quota.level import Level
from mimosaspur_coordination.quota.spending import Remaining
from mimosaspur_coordination.quota.spending import Spending
from mimosaspur_state.clock import Clock
from mimosaspur_state.directsettings import QuotaBounds
from mimosaspur_state.workspaces import Workspace

# Nobody having told for so long, each entry keeps to a share of its own.
FRESH_MS = 1_000
# Several entries may spend the same rest of a quota between two news. Where callers ask for more
# than this part of what a quota may be passed by meanwhile, each entry keeps to its share.
PASSED_PART = 0.4
# An entry that isn't told any more may let one request of a workspace in ahead of its share, so
# soon after the last news, or later with the chance that keeps all entries' such requests within
# this part of what a quota may be passed by.
ADVANCE_MS = 3_000
ADVANCE_PART = 0.5
# News is expected so often, until it has come some times.
FIRST_NEWS_MS = 200.0
NEWEST_NEWS = 0.1
NEVER = -1_000_000_000
ADMITTED_MS = 0


class QuotaUnknown(Exception):
    """Say that this process doesn't know what other entries have spent of a quota."""


@dataclass(slots=True, frozen=True)
class QuotaState:
    """Hold what decides whether a request is admitted."""

    # What this entry may spend now, and its part of the quota where each keeps to one.
    left: int
    share: float
    # What all entries are asked for, and what the quota allows.
    asked_per_s: int
    per_s: int
    # None if the coordinator never told anything.
    news_age_ms: int | None


class QuotaLimiter:
    """Admit requests at one entry, by what the coordinator tells of all entries' spending.

    While news is fresh, and little can be spent between two news, a request may take from all that
    is left. Otherwise an entry keeps to the share that its callers ask for. A share may be less
    than any one request: so a request goes in once a part of it is covered that is drawn anew for
    each, and together the entries let in as much as their shares come to.
    """

    __slots__ = ("accounts", "bounds", "chance", "clock", "entries", "news_ms", "told_ms")

    def __init__(
        self,
        bounds: QuotaBounds,
        *,
        clock: Clock,
        chance: Callable[[], float] = random.random,
    ) -> None:
        self.bounds = bounds
        self.clock = clock
        self.chance = chance
        self.accounts: dict[str, Account] = {}
        self.entries = 1
        # When the coordinator last told anything.
        self.told_ms = NEVER
        # How often it does, at the mean.
        self.news_ms = FIRST_NEWS_MS

    def configure(self, workspaces: Iterable[Workspace]) -> None:
        """Take the quotas of a new configuration; what was spent stays spent."""
        now_ms = self.clock.now_ms()
        old = self.accounts
        self.accounts = {}
        for workspace in workspaces:
            quota = workspace.quota
            if quota is None:
                continue
            account = old.get(workspace.name)
            if account is None:
                account = Account(quota, self.bounds, now_ms)
            elif account.quota != quota:
                account.quota = quota
                account.alone = None
                capacity = capacity_of(quota, self.bounds)
                per_s = refill_per_s(quota, self.bounds)
                account.shared.resize(capacity=capacity, per_s=per_s, now_ms=now_ms)
            self.accounts[workspace.name] = account

    def admit(self, workspace: str, cost: float) -> int:
        """Spend a request's cost; return 0, or in how many ms the quota will cover it.

        Raise QuotaUnknown until a coordinator has told what is left.
        """
        account = self.accounts.get(workspace)
        if account is None:
            return ADMITTED_MS
        if not self.was_told():
            raise QuotaUnknown
        now_ms = self.clock.now_ms()
        account.ask(cost, now_ms)
        if self._covers(account, cost, now_ms):
            self._spend(account, cost, now_ms)
            return ADMITTED_MS
        account.refused += cost
        return self._promise(account, cost, now_ms)

    def give_back(self, workspace: str, cost: float) -> None:
        """Return the cost of a request that has surely not run."""
        account = self.accounts.get(workspace)
        if account:
            self._spend(account, -cost, self.clock.now_ms())

    def report(self, number: int) -> list[Spending]:
        """Return what was spent and refused since the last report; keep it under a number."""
        spendings = []
        for name, account in self.accounts.items():
            account.reports.append((number, account.spent))
            spent = account.spent - account.told_spent
            refused = account.refused - account.told_refused
            if spent or refused:
                spendings.append(Spending(name, spent, refused))
                account.told_spent, account.told_refused = account.spent, account.refused
        return spendings

    def count(self, number: int) -> None:
        """Take note that what is told next counts in a report."""
        for account in self.accounts.values():
            while account.reports and account.reports[0][0] <= number:
                account.counted = account.reports.popleft()[1]

    def hear(self, remaining: Iterable[Remaining], *, entries: int) -> None:
        """Take the coordinator's news; what it doesn't name refills as it was expected to."""
        now_ms = self.clock.now_ms()
        if now_ms - self.told_ms > FRESH_MS:
            for known in self.accounts.values():
                known.alone = None
        else:
            self.news_ms += (now_ms - self.told_ms - self.news_ms) * NEWEST_NEWS
        self.told_ms = now_ms
        self.entries = max(1, entries)
        for each in remaining:
            account = self.accounts.get(each.workspace)
            if account:
                account.shared.content = min(account.shared.capacity, each.content)
                account.shared.at_ms = now_ms
                account.asked_by_all = each.asked_per_s
                account.asked_here = account.asked.at(now_ms)

    def was_told(self) -> bool:
        """Tell whether a coordinator ever told this entry anything."""
        return self.told_ms != NEVER

    def coordinator_lost(self) -> None:
        """Have the next coordinator hear all that the last one didn't count."""
        for account in self.accounts.values():
            account.told_spent = account.counted
            account.reports.clear()

    def state(self, workspace: str) -> QuotaState:
        """Return what decides about the workspace's next request."""
        account = self.accounts[workspace]
        now_ms = self.clock.now_ms()
        return QuotaState(
            left=round(self._left(account, now_ms)),
            share=round(account.share(self.entries), 3),
            asked_per_s=round(account.asked_by_all),
            per_s=round(account.shared.per_s),
            news_age_ms=now_ms - self.told_ms if self.was_told() else None,
        )

    def _covers(self, account: Account, cost: float, now_ms: int) -> bool:
        needed = min(cost, account.shared.capacity)
        left = self._left(account, now_ms)
        if left >= needed:
            return True
        alone = account.alone is not None
        if alone and account.advance:
            account.advance = False
            return True
        if (not alone and not self._crowded(account, now_ms)) or left < needed * account.rounding:
            return False
        account.rounding = self.chance()
        return True

    def _left(self, account: Account, now_ms: int) -> float:
        """Return what this entry may spend now."""
        if now_ms - self.told_ms > FRESH_MS:
            return self._alone(account, now_ms).at(now_ms)
        content = account.shared.at(now_ms)
        if content > 0 and self._crowded(account, now_ms):
            content *= account.share(self.entries)
        return content - account.uncounted()

    def _crowded(self, account: Account, now_ms: int) -> bool:
        """Tell whether too much could be spent before the entries hear of it."""
        unheard_ms = max(self.news_ms, now_ms - self.told_ms)
        meanwhile = account.asked_by_all * unheard_ms / 1000
        return meanwhile > PASSED_PART * may_pass(account.quota, self.bounds)

    def _alone(self, account: Account, now_ms: int) -> Level:
        """Return this entry's own share, which begins when nobody tells any more."""
        if account.alone is None:
            share = account.share(self.entries)
            content = max(0.0, account.shared.at(now_ms)) * share - account.uncounted()
            account.advance = self._advances(account, now_ms)
            account.rounding = self.chance()
            account.alone = Level(
                capacity=account.shared.capacity * share,
                per_s=account.shared.per_s * share,
                content=content,
                at_ms=now_ms,
            )
        return account.alone

    def _advances(self, account: Account, now_ms: int) -> bool:
        """Tell whether one request may go ahead of a share that is less than any one request."""
        if not self.was_told() or not account.calm(self.told_ms):
            return False
        if now_ms - self.told_ms <= ADVANCE_MS:
            return True
        room = ADVANCE_PART * may_pass(account.quota, self.bounds)
        return self.chance() * self.entries * account.cost < room

    def _spend(self, account: Account, cost: float, now_ms: int) -> None:
        account.spent += cost
        if account.alone is not None:
            account.alone.take(cost, now_ms)

    def _promise(self, account: Account, cost: float, now_ms: int) -> int:
        """Return when a refused request may come back: after those that were refused before it."""
        while account.promised and account.promised[0][0] <= now_ms:
            account.promised.popleft()
        ahead = sum(promised for _, promised in account.promised)
        per_s = account.shared.per_s * account.share(self.entries)
        missing = max(0.0, cost - self._left(account, now_ms))
        wait_ms = max(1.0, (missing + ahead) * 1000 / per_s)
        account.promised.append((now_ms + wait_ms, cost))
        return round(wait_ms) or 1
