"""Account for the spending of all entries at the coordinator."""

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

# Smaller deviations from what entries expect, as shares of a bucket and of the demand, are not
# sent.
UPDATE_THRESHOLD_SHARE = 0.05
DEMAND_UPDATE_THRESHOLD_SHARE = 0.25
# The time for entries to connect to a new coordinator and report their earlier spending.
REPORTS_SETTLE_MS = 1_000
# The initial content of a bucket without known spending: not full, because several coordinators
# without that knowledge may follow one another within a window.
UNKNOWN_INITIAL_SHARE = 0.5
# Key of the reservation for entries of which only the number is known.
UNIDENTIFIED_ENTRIES = ""


class _QuotaUsage:
    """Hold what all entries have left of one quota, and what was last sent to them."""

    __slots__ = ("bucket", "demand", "last_sent", "last_sent_demand_per_s", "provisional", "quota")

    def __init__(self, quota: Quota, bucket: QuotaBucket, provisional: QuotaBucket | None) -> None:
        self.quota = quota
        self.bucket = bucket
        # Sent instead of the bucket until all entries have reported their earlier spending.
        self.provisional = provisional
        self.demand = DecayingRate(bucket.at_ms)
        # What entries expect to be left, by the last update.
        initial = provisional or bucket
        self.last_sent = QuotaBucket(
            capacity=initial.capacity,
            per_s=bucket.per_s,
            content=initial.content,
            at_ms=bucket.at_ms,
        )
        self.last_sent_demand_per_s = 0.0


class QuotaLedger:
    """Account for what all entries spend of each quota."""

    __slots__ = ("bounds", "clock", "demand_by_entry", "disconnected", "settles_at_ms", "usages")

    def __init__(self, bounds: QuotaBounds, *, clock: Clock) -> None:
        self.bounds = bounds
        self.clock = clock
        self.usages: dict[str, _QuotaUsage] = {}
        self.settles_at_ms = 0
        # Demand by entry and workspace.
        self.demand_by_entry: dict[str, dict[str, DecayingRate]] = {}
        self.disconnected = DisconnectedEntries(bounds.window_ms)

    def configure(
        self,
        workspaces: Iterable[Workspace],
        accounts: Mapping[str, QuotaAccount],
        *,
        last_update_ms: int = 0,
    ) -> None:
        """Apply the quotas of a configuration; new ones continue from the known accounts.

        Since the last update entries have spent some of the refill and will report it, so the
        refill is not capped at the capacity until they have.
        """
        now_ms = self.clock.now_ms()
        is_first = not self.usages
        if is_first:
            self.settles_at_ms = now_ms + REPORTS_SETTLE_MS
        previous = self.usages
        self.usages = {}
        for workspace in workspaces:
            quota = workspace.quota
            if quota is None:
                continue
            usage = previous.get(workspace.name)
            capacity = bucket_capacity(quota, self.bounds)
            if usage is None:
                account = accounts.get(workspace.name)
                is_recent = account and now_ms - last_update_ms <= self.bounds.window_ms
                if account and is_recent:
                    usage = self._resumed_usage(quota, account, last_update_ms, now_ms)
                else:
                    usage = self._new_usage(quota, now_ms, unknown=is_first)
            elif usage.quota != quota:
                usage.quota = quota
                usage.provisional = None
                for each in (usage.bucket, usage.last_sent):
                    each.resize(
                        capacity=capacity, per_s=refill_per_s(quota, self.bounds), now_ms=now_ms
                    )
            self.usages[workspace.name] = usage

    def _new_usage(self, quota: Quota, now_ms: int, *, unknown: bool) -> _QuotaUsage:
        """Start a new quota, or one whose earlier spending is unknown."""
        capacity = bucket_capacity(quota, self.bounds)
        bucket = QuotaBucket(
            capacity=capacity,
            per_s=refill_per_s(quota, self.bounds),
            content=UNKNOWN_INITIAL_SHARE * capacity if unknown else capacity,
            at_ms=now_ms,
        )
        return _QuotaUsage(quota, bucket, None)

    def _resumed_usage(
        self, quota: Quota, account: QuotaAccount, last_update_ms: int, now_ms: int
    ) -> _QuotaUsage:
        """Continue from the previous coordinator's last update."""
        capacity = bucket_capacity(quota, self.bounds)
        per_s = refill_per_s(quota, self.bounds)
        elapsed_s = (now_ms - last_update_ms) / 1000
        content = account.shared.at(last_update_ms)
        unbounded = QuotaBucket(
            capacity=float("inf"), per_s=per_s, content=content + per_s * elapsed_s, at_ms=now_ms
        )
        spent = min(account.total_demand_per_s, per_s) * elapsed_s
        provisional = QuotaBucket(
            capacity=capacity,
            per_s=per_s - min(account.total_demand_per_s, per_s),
            content=content + per_s * elapsed_s - spent,
            at_ms=now_ms,
        )
        usage = _QuotaUsage(quota, unbounded, provisional)
        usage.demand.add_rate(account.total_demand_per_s, now_ms)
        return usage

    def record_spending(
        self, entry: str, spendings: Iterable[Spending], *, first: bool = False
    ) -> None:
        """Record an entry's spending; its first report covers the time before it connected."""
        now_ms = self.clock.now_ms()
        demand = self.demand_by_entry.setdefault(entry, {})
        if first:
            self._release_reservation(entry, now_ms)
        for spending in spendings:
            usage = self.usages.get(spending.workspace)
            if usage:
                usage.bucket.take(spending.spent, now_ms)
                if usage.provisional and not first:
                    usage.provisional.take(spending.spent, now_ms)
                amount = max(0.0, spending.spent) + spending.refused
                usage.demand.add(amount, now_ms)
                if spending.workspace not in demand:
                    demand[spending.workspace] = DecayingRate(now_ms)
                demand[spending.workspace].add(amount, now_ms)

    def on_disconnect(self, entry: str, *, entries: int, silent_ms: int) -> None:
        """Reserve the shares of a disconnected entry, which may still be spending."""
        now_ms = self.clock.now_ms()
        demand = self.demand_by_entry.pop(entry, {})
        per_s = {}
        for name, usage in self.usages.items():
            own_demand = demand[name].at(now_ms) if name in demand else 0.0
            share = demand_share(own_demand, usage.demand.at(now_ms), entries)
            per_s[name] = share * refill_per_s(usage.quota, self.bounds)
            usage.bucket.take(per_s[name] * silent_ms / 1000, now_ms)
        self.disconnected.add(entry, per_s, now_ms - silent_ms)
        self._update_refill(now_ms)

    def reserve_missing(self, missing: int, *, entries: int, silent_ms: int) -> None:
        """Reserve even shares for entries that only the previous coordinator knew."""
        missing_share = missing / max(1, entries)
        now_ms = self.clock.now_ms()
        per_s = {
            name: missing_share * refill_per_s(usage.quota, self.bounds)
            for name, usage in self.usages.items()
        }
        for name, usage in self.usages.items():
            usage.bucket.take(per_s[name] * silent_ms / 1000, now_ms)
        self.disconnected.add(UNIDENTIFIED_ENTRIES, per_s, now_ms)
        self._update_refill(now_ms)

    def _release_reservation(self, entry: str, now_ms: int) -> None:
        for name, amount in self.disconnected.remove(entry, now_ms).items():
            if name in self.usages:
                self.usages[name].bucket.take(-amount, now_ms)
        self._update_refill(now_ms)

    def _update_refill(self, now_ms: int) -> None:
        for name, usage in self.usages.items():
            per_s = refill_per_s(usage.quota, self.bounds) - self.disconnected.reserved_per_s(name)
            capacity = usage.bucket.capacity
            usage.bucket.resize(capacity=capacity, per_s=max(0.0, per_s), now_ms=now_ms)

    def snapshot(self) -> list[Remaining]:
        """Return what is left of all quotas, for a new entry."""
        now_ms = self.clock.now_ms()
        return [self._remaining(name, each, now_ms) for name, each in self.usages.items()]

    def take_updates(self) -> list[Remaining]:
        """Return what differs from what entries expect, and mark it as sent."""
        now_ms = self.clock.now_ms()
        self._settle(now_ms)
        if self.disconnected.expire(now_ms):
            self._update_refill(now_ms)
        updates = []
        for name, usage in self.usages.items():
            remaining = self._remaining(name, usage, now_ms)
            if self._matches_last_sent(usage, remaining, now_ms):
                continue
            usage.last_sent.content, usage.last_sent.at_ms = remaining.content, now_ms
            usage.last_sent_demand_per_s = remaining.asked_per_s
            updates.append(remaining)
        return updates

    def _settle(self, now_ms: int) -> None:
        """Switch from the provisional figures to the buckets after the settling time."""
        if now_ms < self.settles_at_ms:
            return
        for usage in self.usages.values():
            if usage.provisional:
                usage.provisional = None
                quota = usage.quota
                usage.bucket.resize(
                    capacity=bucket_capacity(quota, self.bounds),
                    per_s=usage.bucket.per_s,
                    now_ms=now_ms,
                )

    def _matches_last_sent(self, usage: _QuotaUsage, remaining: Remaining, now_ms: int) -> bool:
        content_error = abs(remaining.content - usage.last_sent.at(now_ms))
        demand_error = abs(remaining.asked_per_s - usage.last_sent_demand_per_s)
        max_demand_error = DEMAND_UPDATE_THRESHOLD_SHARE * max(
            usage.last_sent_demand_per_s, usage.quota.per_s
        )
        return (
            content_error <= UPDATE_THRESHOLD_SHARE * usage.last_sent.capacity
            and demand_error <= max_demand_error
        )

    def _remaining(self, name: str, usage: _QuotaUsage, now_ms: int) -> Remaining:
        content = (usage.provisional or usage.bucket).at(now_ms)
        return Remaining(name, content, usage.demand.at(now_ms))
