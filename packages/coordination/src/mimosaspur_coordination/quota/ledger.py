"""Count all entries' spending at the coordinator."""

from collections.abc import Iterable
from collections.abc import Mapping

from mimosaspur_coordination.quota.account import QuotaAccount
from mimosaspur_coordination.quota.account import demand_share
from mimosaspur_coordination.quota.bounds import bucket_capacity
from mimosaspur_coordination.quota.bounds import refill_per_s
from mimosaspur_coordination.quota.decayingrate import DecayingRate
from mimosaspur_coordination.quota.disconnectedentries import DisconnectedEntries
from mimosaspur_coordination.quota.quotabucket import QuotaBucket
from mimosaspur_coordination.quota.spending import Remaining
from mimosaspur_coordination.quota.spending import Spending
from mimosaspur_state.clock import Clock
from mimosaspur_state.directsettings import QuotaBounds
from mimosaspur_state.workspaces import Quota
from mimosaspur_state.workspaces import Workspace

# Entries needn't hear of what differs by less than this part of a bucket from what they expect,
# nor of demand that has changed by less than this part.
UPDATE_THRESHOLD_SHARE = 0.05
DEMAND_UPDATE_THRESHOLD_SHARE = 0.25
# By then all entries that follow a new coordinator have reported what they spent before.
REPORTS_SETTLE_MS = 1_000
# A bucket of which it is unknown what was spent before begins with this part: several coordinators
# that know nothing may follow one another within a window.
UNKNOWN_INITIAL_SHARE = 0.5
# Under this name entries are absent of which only the number is known.
UNIDENTIFIED_ENTRIES = ""


class _QuotaUsage:
    """Hold what all entries have left of one quota, and what they were told."""

    __slots__ = ("demand", "provisional", "bucket", "quota", "last_sent", "last_sent_demand_per_s")

    def __init__(self, quota: Quota, level: QuotaBucket, expected: QuotaBucket | None) -> None:
        self.quota = quota
        self.bucket = level
        # What is told until all entries have reported what they spent while nobody counted.
        self.provisional = expected
        self.demand = DecayingRate(level.at_ms)
        # What entries expect to be left.
        begun = expected or level
        self.last_sent = QuotaBucket(
            capacity=begun.capacity, per_s=level.per_s, content=begun.content, at_ms=level.at_ms
        )
        self.last_sent_demand_per_s = 0.0


class QuotaLedger:
    """Count what all entries spend of each quota."""

    __slots__ = ("disconnected", "demand_by_entry", "bounds", "clock", "usages", "settles_at_ms")

    def __init__(self, bounds: QuotaBounds, *, clock: Clock) -> None:
        self.bounds = bounds
        self.clock = clock
        self.usages: dict[str, _QuotaUsage] = {}
        self.settles_at_ms = 0
        # What is asked of each entry, by workspace.
        self.demand_by_entry: dict[str, dict[str, DecayingRate]] = {}
        self.disconnected = DisconnectedEntries(bounds.window_ms)

    def configure(
        self,
        workspaces: Iterable[Workspace],
        known: Mapping[str, QuotaAccount],
        *,
        last_update_ms: int = 0,
    ) -> None:
        """Take the quotas of a configuration; those that are new here go on from what is known.

        Since it was told, entries have spent what refilled meanwhile, or part of it, and report
        it soon: so the refill isn't cut off at a full bucket before that.
        """
        now_ms = self.clock.now_ms()
        begins = not self.usages
        if begins:
            self.settles_at_ms = now_ms + REPORTS_SETTLE_MS
        old = self.usages
        self.usages = {}
        for workspace in workspaces:
            quota = workspace.quota
            if quota is None:
                continue
            counted = old.get(workspace.name)
            capacity = bucket_capacity(quota, self.bounds)
            if counted is None:
                account = known.get(workspace.name)
                known_lately = account and now_ms - last_update_ms <= self.bounds.window_ms
                if account and known_lately:
                    counted = self._resumed_usage(quota, account, last_update_ms, now_ms)
                else:
                    counted = self._new_usage(quota, now_ms, unknown=begins)
            elif counted.quota != quota:
                counted.quota = quota
                counted.provisional = None
                for each in (counted.bucket, counted.last_sent):
                    each.resize(
                        capacity=capacity, per_s=refill_per_s(quota, self.bounds), now_ms=now_ms
                    )
            self.usages[workspace.name] = counted

    def _new_usage(self, quota: Quota, now_ms: int, *, unknown: bool) -> _QuotaUsage:
        """Begin to count a new quota, or one of which it is unknown what was spent before."""
        capacity = bucket_capacity(quota, self.bounds)
        level = QuotaBucket(
            capacity=capacity,
            per_s=refill_per_s(quota, self.bounds),
            content=UNKNOWN_INITIAL_SHARE * capacity if unknown else capacity,
            at_ms=now_ms,
        )
        return _QuotaUsage(quota, level, None)

    def _resumed_usage(
        self, quota: Quota, account: QuotaAccount, told_ms: int, now_ms: int
    ) -> _QuotaUsage:
        """Go on from what the last coordinator told."""
        capacity = bucket_capacity(quota, self.bounds)
        per_s = refill_per_s(quota, self.bounds)
        silent_s = (now_ms - told_ms) / 1000
        known = account.shared.at(told_ms)
        unbounded = QuotaBucket(
            capacity=float("inf"), per_s=per_s, content=known + per_s * silent_s, at_ms=now_ms
        )
        spent = min(account.total_demand_per_s, per_s) * silent_s
        expected = QuotaBucket(
            capacity=capacity,
            per_s=per_s - min(account.total_demand_per_s, per_s),
            content=known + per_s * silent_s - spent,
            at_ms=now_ms,
        )
        counted = _QuotaUsage(quota, unbounded, expected)
        counted.demand.add_rate(account.total_demand_per_s, now_ms)
        return counted

    def record_spending(
        self, entry: str, spendings: Iterable[Spending], *, first: bool = False
    ) -> None:
        """Take an entry's spending since its last report; its first is of the time before."""
        now_ms = self.clock.now_ms()
        asked = self.demand_by_entry.setdefault(entry, {})
        if first:
            self._release_reservation(entry, now_ms)
        for spending in spendings:
            counted = self.usages.get(spending.workspace)
            if counted:
                counted.bucket.take(spending.spent, now_ms)
                if counted.provisional and not first:
                    counted.provisional.take(spending.spent, now_ms)
                amount = max(0.0, spending.spent) + spending.refused
                counted.demand.add(amount, now_ms)
                if spending.workspace not in asked:
                    asked[spending.workspace] = DecayingRate(now_ms)
                asked[spending.workspace].add(amount, now_ms)

    def on_disconnect(self, entry: str, *, entries: int, silent_ms: int) -> None:
        """Set aside the shares of an entry that may go on, and hasn't been heard for a time."""
        now_ms = self.clock.now_ms()
        asked = self.demand_by_entry.pop(entry, {})
        per_s = {}
        for name, counted in self.usages.items():
            own = asked[name].at(now_ms) if name in asked else 0.0
            share = demand_share(own, counted.demand.at(now_ms), entries)
            per_s[name] = share * refill_per_s(counted.quota, self.bounds)
            counted.bucket.take(per_s[name] * silent_ms / 1000, now_ms)
        self.disconnected.add(entry, per_s, now_ms - silent_ms)
        self._update_refill(now_ms)

    def reserve_missing(self, missing: int, *, entries: int, silent_ms: int) -> None:
        """Set aside even shares for entries that the last coordinator knew and this one doesn't."""
        part = missing / max(1, entries)
        now_ms = self.clock.now_ms()
        per_s = {
            name: part * refill_per_s(counted.quota, self.bounds)
            for name, counted in self.usages.items()
        }
        for name, counted in self.usages.items():
            counted.bucket.take(per_s[name] * silent_ms / 1000, now_ms)
        self.disconnected.add(UNIDENTIFIED_ENTRIES, per_s, now_ms)
        self._update_refill(now_ms)

    def _release_reservation(self, entry: str, now_ms: int) -> None:
        for name, amount in self.disconnected.remove(entry, now_ms).items():
            if name in self.usages:
                self.usages[name].bucket.take(-amount, now_ms)
        self._update_refill(now_ms)

    def _update_refill(self, now_ms: int) -> None:
        for name, counted in self.usages.items():
            per_s = refill_per_s(counted.quota, self.bounds) - self.disconnected.reserved_per_s(
                name
            )
            capacity = counted.bucket.capacity
            counted.bucket.resize(capacity=capacity, per_s=max(0.0, per_s), now_ms=now_ms)

    def snapshot(self) -> list[Remaining]:
        """Return what somebody has to hear who knows nothing yet."""
        now_ms = self.clock.now_ms()
        return [self._remaining(name, each, now_ms) for name, each in self.usages.items()]

    def take_updates(self) -> list[Remaining]:
        """Return what differs from what entries expect, and count it as told."""
        now_ms = self.clock.now_ms()
        self._settle(now_ms)
        if self.disconnected.expire(now_ms):
            self._update_refill(now_ms)
        news = []
        for name, counted in self.usages.items():
            remaining = self._remaining(name, counted, now_ms)
            if self._matches_last_sent(counted, remaining, now_ms):
                continue
            counted.last_sent.content, counted.last_sent.at_ms = remaining.content, now_ms
            counted.last_sent_demand_per_s = remaining.asked_per_s
            news.append(remaining)
        return news

    def _settle(self, now_ms: int) -> None:
        """Rely on what was counted once all entries have had the time to report."""
        if now_ms < self.settles_at_ms:
            return
        for counted in self.usages.values():
            if counted.provisional:
                counted.provisional = None
                quota = counted.quota
                counted.bucket.resize(
                    capacity=bucket_capacity(quota, self.bounds),
                    per_s=counted.bucket.per_s,
                    now_ms=now_ms,
                )

    def _matches_last_sent(self, counted: _QuotaUsage, remaining: Remaining, now_ms: int) -> bool:
        off = abs(remaining.content - counted.last_sent.at(now_ms))
        asked_off = abs(remaining.asked_per_s - counted.last_sent_demand_per_s)
        most_asked_off = DEMAND_UPDATE_THRESHOLD_SHARE * max(
            counted.last_sent_demand_per_s, counted.quota.per_s
        )
        return (
            off <= UPDATE_THRESHOLD_SHARE * counted.last_sent.capacity
            and asked_off <= most_asked_off
        )

    def _remaining(self, name: str, counted: _QuotaUsage, now_ms: int) -> Remaining:
        content = (counted.provisional or counted.bucket).at(now_ms)
        return Remaining(name, content, counted.demand.at(now_ms))
