"""Count all entries' spending at the coordinator."""

from collections.abc import Iterable
from collections.abc import Mapping

from mimosaspur_coordination.quota.absent import AbsentEntries
from mimosaspur_coordination.quota.account import Account
from mimosaspur_coordination.quota.account import share_of
from mimosaspur_coordination.quota.bounds import capacity_of
from mimosaspur_coordination.quota.bounds import refill_per_s
from mimosaspur_coordination.quota.fading import FadingRate
from mimosaspur_coordination.quota.level import Level
from mimosaspur_coordination.quota.spending import Remaining
from mimosaspur_coordination.quota.spending import Spending
from mimosaspur_state.clock import Clock
from mimosaspur_state.directsettings import QuotaBounds
from mimosaspur_state.workspaces import Quota
from mimosaspur_state.workspaces import Workspace

# Entries needn't hear of what differs by less than this part of a bucket from what they expect,
# nor of demand that has changed by less than this part.
TOLD_PART = 0.05
TOLD_DEMAND_PART = 0.25
# By then all entries that follow a new coordinator have reported what they spent before.
SETTLE_MS = 1_000
# A bucket of which it is unknown what was spent before begins with this part: several coordinators
# that know nothing may follow one another within a window.
UNKNOWN_PART = 0.5
# Under this name entries are absent of which only the number is known.
UNHEARD = ""


class _Counted:
    """Hold what all entries have left of one quota, and what they were told."""

    __slots__ = ("asked", "expected", "level", "quota", "told", "told_asked")

    def __init__(self, quota: Quota, level: Level, expected: Level | None) -> None:
        self.quota = quota
        self.level = level
        # What is told until all entries have reported what they spent while nobody counted.
        self.expected = expected
        self.asked = FadingRate(level.at_ms)
        # What entries expect to be left.
        begun = expected or level
        self.told = Level(
            capacity=begun.capacity, per_s=level.per_s, content=begun.content, at_ms=level.at_ms
        )
        self.told_asked = 0.0


class QuotaLedger:
    """Count what all entries spend of each quota."""

    __slots__ = ("absent", "asked_of", "bounds", "clock", "counted", "settled_ms")

    def __init__(self, bounds: QuotaBounds, *, clock: Clock) -> None:
        self.bounds = bounds
        self.clock = clock
        self.counted: dict[str, _Counted] = {}
        self.settled_ms = 0
        # What is asked of each entry, by workspace.
        self.asked_of: dict[str, dict[str, FadingRate]] = {}
        self.absent = AbsentEntries(bounds.window_ms)

    def configure(
        self, workspaces: Iterable[Workspace], known: Mapping[str, Account], *, told_ms: int = 0
    ) -> None:
        """Take the quotas of a configuration; those that are new here go on from what is known.

        Since it was told, entries have spent what refilled meanwhile, or part of it, and report
        it soon: so the refill isn't cut off at a full bucket before that.
        """
        now_ms = self.clock.now_ms()
        begins = not self.counted
        if begins:
            self.settled_ms = now_ms + SETTLE_MS
        old = self.counted
        self.counted = {}
        for workspace in workspaces:
            quota = workspace.quota
            if quota is None:
                continue
            counted = old.get(workspace.name)
            capacity = capacity_of(quota, self.bounds)
            if counted is None:
                account = known.get(workspace.name)
                known_lately = account and now_ms - told_ms <= self.bounds.window_ms
                if account and known_lately:
                    counted = self._continued(quota, account, told_ms, now_ms)
                else:
                    counted = self._begun(quota, now_ms, unknown=begins)
            elif counted.quota != quota:
                counted.quota = quota
                counted.expected = None
                for each in (counted.level, counted.told):
                    each.resize(
                        capacity=capacity, per_s=refill_per_s(quota, self.bounds), now_ms=now_ms
                    )
            self.counted[workspace.name] = counted

    def _begun(self, quota: Quota, now_ms: int, *, unknown: bool) -> _Counted:
        """Begin to count a new quota, or one of which it is unknown what was spent before."""
        capacity = capacity_of(quota, self.bounds)
        level = Level(
            capacity=capacity,
            per_s=refill_per_s(quota, self.bounds),
            content=UNKNOWN_PART * capacity if unknown else capacity,
            at_ms=now_ms,
        )
        return _Counted(quota, level, None)

    def _continued(self, quota: Quota, account: Account, told_ms: int, now_ms: int) -> _Counted:
        """Go on from what the last coordinator told."""
        capacity = capacity_of(quota, self.bounds)
        per_s = refill_per_s(quota, self.bounds)
        silent_s = (now_ms - told_ms) / 1000
        known = account.shared.at(told_ms)
        unbounded = Level(
            capacity=float("inf"), per_s=per_s, content=known + per_s * silent_s, at_ms=now_ms
        )
        spent = min(account.asked_by_all, per_s) * silent_s
        expected = Level(
            capacity=capacity,
            per_s=per_s - min(account.asked_by_all, per_s),
            content=known + per_s * silent_s - spent,
            at_ms=now_ms,
        )
        counted = _Counted(quota, unbounded, expected)
        counted.asked.add_rate(account.asked_by_all, now_ms)
        return counted

    def hear(self, entry: str, spendings: Iterable[Spending], *, first: bool = False) -> None:
        """Take an entry's spending since its last report; its first is of the time before."""
        now_ms = self.clock.now_ms()
        asked = self.asked_of.setdefault(entry, {})
        if first:
            self._back(entry, now_ms)
        for spending in spendings:
            counted = self.counted.get(spending.workspace)
            if counted:
                counted.level.take(spending.spent, now_ms)
                if counted.expected and not first:
                    counted.expected.take(spending.spent, now_ms)
                amount = max(0.0, spending.spent) + spending.refused
                counted.asked.add(amount, now_ms)
                if spending.workspace not in asked:
                    asked[spending.workspace] = FadingRate(now_ms)
                asked[spending.workspace].add(amount, now_ms)

    def lose(self, entry: str, *, entries: int, silent_ms: int) -> None:
        """Set aside the shares of an entry that may go on, and hasn't been heard for a time."""
        now_ms = self.clock.now_ms()
        asked = self.asked_of.pop(entry, {})
        per_s = {}
        for name, counted in self.counted.items():
            own = asked[name].at(now_ms) if name in asked else 0.0
            share = share_of(own, counted.asked.at(now_ms), entries)
            per_s[name] = share * refill_per_s(counted.quota, self.bounds)
            counted.level.take(per_s[name] * silent_ms / 1000, now_ms)
        self.absent.leave(entry, per_s, now_ms - silent_ms)
        self._refill_anew(now_ms)

    def miss(self, missing: int, *, entries: int, silent_ms: int) -> None:
        """Set aside even shares for entries that the last coordinator knew and this one doesn't."""
        part = missing / max(1, entries)
        now_ms = self.clock.now_ms()
        per_s = {
            name: part * refill_per_s(counted.quota, self.bounds)
            for name, counted in self.counted.items()
        }
        for name, counted in self.counted.items():
            counted.level.take(per_s[name] * silent_ms / 1000, now_ms)
        self.absent.leave(UNHEARD, per_s, now_ms)
        self._refill_anew(now_ms)

    def _back(self, entry: str, now_ms: int) -> None:
        for name, amount in self.absent.back(entry, now_ms).items():
            if name in self.counted:
                self.counted[name].level.take(-amount, now_ms)
        self._refill_anew(now_ms)

    def _refill_anew(self, now_ms: int) -> None:
        for name, counted in self.counted.items():
            per_s = refill_per_s(counted.quota, self.bounds) - self.absent.per_s(name)
            capacity = counted.level.capacity
            counted.level.resize(capacity=capacity, per_s=max(0.0, per_s), now_ms=now_ms)

    def all(self) -> list[Remaining]:
        """Return what somebody has to hear who knows nothing yet."""
        now_ms = self.clock.now_ms()
        return [self._remaining(name, each, now_ms) for name, each in self.counted.items()]

    def news(self) -> list[Remaining]:
        """Return what differs from what entries expect, and count it as told."""
        now_ms = self.clock.now_ms()
        self._settle(now_ms)
        if self.absent.expire(now_ms):
            self._refill_anew(now_ms)
        news = []
        for name, counted in self.counted.items():
            remaining = self._remaining(name, counted, now_ms)
            if self._expected(counted, remaining, now_ms):
                continue
            counted.told.content, counted.told.at_ms = remaining.content, now_ms
            counted.told_asked = remaining.asked_per_s
            news.append(remaining)
        return news

    def _settle(self, now_ms: int) -> None:
        """Rely on what was counted once all entries have had the time to report."""
        if now_ms < self.settled_ms:
            return
        for counted in self.counted.values():
            if counted.expected:
                counted.expected = None
                quota = counted.quota
                counted.level.resize(
                    capacity=capacity_of(quota, self.bounds),
                    per_s=counted.level.per_s,
                    now_ms=now_ms,
                )

    def _expected(self, counted: _Counted, remaining: Remaining, now_ms: int) -> bool:
        off = abs(remaining.content - counted.told.at(now_ms))
        asked_off = abs(remaining.asked_per_s - counted.told_asked)
        most_asked_off = TOLD_DEMAND_PART * max(counted.told_asked, counted.quota.per_s)
        return off <= TOLD_PART * counted.told.capacity and asked_off <= most_asked_off

    def _remaining(self, name: str, counted: _Counted, now_ms: int) -> Remaining:
        content = (counted.expected or counted.level).at(now_ms)
        return Remaining(name, content, counted.asked.at(now_ms))
