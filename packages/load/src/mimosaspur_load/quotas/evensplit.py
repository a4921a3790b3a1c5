"""Give each entry the same part of a quota for good: the naive way."""

from mimosaspur_coordination.quota.bounds import bucket_capacity
from mimosaspur_coordination.quota.bounds import refill_per_s
from mimosaspur_coordination.quota.quotabucket import QuotaBucket
from mimosaspur_load.quotas.way import HandClock
from mimosaspur_state.directsettings import QuotaBounds
from mimosaspur_state.workspaces import Workspace


class EvenSplit:
    """Give each entry the same part for good: the naive way."""

    def __init__(
        self, entries: int, bounds: QuotaBounds, clock: HandClock, workspaces: list[Workspace]
    ) -> None:
        self.entries = entries
        self.bounds = bounds
        self.clock = clock
        self.levels: list[dict[str, QuotaBucket]] = [{} for _ in range(entries)]
        self.configure(workspaces)

    def admit(self, entry: int, workspace: str, cost: float) -> bool:
        """Admit while anything is left; the rest is owed."""
        level = self.levels[entry][workspace]
        if level.at(self.clock.ms) <= 0:
            return False
        level.take(cost, self.clock.ms)
        return True

    def report(self, entry: int) -> object:
        """Send nothing."""
        return None

    def hear(self, entry: int, report: object) -> None:
        """Take nothing."""

    def news(self) -> object:
        """Tell nothing."""
        return None

    def tell(self, entry: int, news: object) -> None:
        """Take nothing."""

    def lose_coordinator(self) -> None:
        """Need none."""

    def lose(self, entry: int, *, silent_ms: int) -> None:
        """Need nobody."""

    def find(self, entry: int) -> None:
        """Need nobody."""

    def restart(self, entry: int) -> None:
        """Begin with a whole part again."""
        for level in self.levels[entry].values():
            level.content = level.capacity

    def configure(self, workspaces: list[Workspace]) -> None:
        """Set each part."""
        for levels in self.levels:
            for each in workspaces:
                assert each.quota
                capacity = bucket_capacity(each.quota, self.bounds) / self.entries
                per_s = refill_per_s(each.quota, self.bounds) / self.entries
                known = levels.get(each.name)
                if known:
                    known.resize(capacity=capacity, per_s=per_s, now_ms=self.clock.ms)
                else:
                    levels[each.name] = QuotaBucket(
                        capacity=capacity, per_s=per_s, content=capacity, at_ms=self.clock.ms
                    )

    def bytes_of(self, sent: object) -> int:
        """Send nothing."""
        return 0
