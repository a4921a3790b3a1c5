"""Spend shares that the coordinator grants to those who ask, and that run out."""

from mimosaspur_coordination.quota.bounds import bucket_capacity
from mimosaspur_coordination.quota.bounds import refill_per_s
from mimosaspur_coordination.quota.decayingrate import DecayingRate
from mimosaspur_coordination.quota.quotabucket import QuotaBucket
from mimosaspur_coordination.quota.spending import Remaining
from mimosaspur_coordination.quota.spending import Spending
from mimosaspur_load.quotas.messagebytes import bytes_of_said
from mimosaspur_load.quotas.way import HandClock
from mimosaspur_state.directsettings import QuotaBounds
from mimosaspur_state.workspaces import Workspace

# A share that is leased runs out after so long, and is given back then.
LEASE_MS = 1_000
# What an entry wants at hand: what its callers ask for within so long, and once more.
AT_HAND_MS = 400


class LeasedShares:
    """Spend shares that the coordinator grants to those who ask, and that run out."""

    def __init__(
        self, entries: int, bounds: QuotaBounds, clock: HandClock, workspaces: list[Workspace]
    ) -> None:
        self.entries = entries
        self.bounds = bounds
        self.clock = clock
        self.quota: dict[str, QuotaBucket] = {}
        self.held: list[dict[str, float]] = [{} for _ in range(entries)]
        self.ends: list[dict[str, int]] = [{} for _ in range(entries)]
        self.asked: list[dict[str, DecayingRate]] = [{} for _ in range(entries)]
        self.wanted: list[dict[str, float]] = [{} for _ in range(entries)]
        self.configure(workspaces)

    def admit(self, entry: int, workspace: str, cost: float) -> bool:
        """Spend from what is held here."""
        asked = self.asked[entry].setdefault(workspace, DecayingRate(self.clock.ms))
        asked.add(cost, self.clock.ms)
        held = self.held[entry].get(workspace, 0.0)
        if held < cost or self.ends[entry].get(workspace, 0) < self.clock.ms:
            return False
        self.held[entry][workspace] = held - cost
        return True

    def report(self, entry: int) -> object:
        """Ask for what is missing; give back what nobody needs or what has run out."""
        report = {}
        for name, asked in self.asked[entry].items():
            wanted = 2 * asked.at(self.clock.ms) * AT_HAND_MS / 1000
            held = self.held[entry].get(name, 0.0)
            if self.ends[entry].get(name, 0) < self.clock.ms or wanted < 1.0:
                given, held = held, 0.0
                self.held[entry][name] = 0.0
            else:
                given = 0.0
            if given or wanted > held:
                report[name] = (given, max(0.0, wanted - held))
        return report

    def hear(self, entry: int, report: object) -> None:
        """Take back, and take note of what is wanted."""
        assert isinstance(report, dict)
        for name, (given, wanted) in report.items():
            if given:
                self.quota[name].take(-given, self.clock.ms)
            self.wanted[entry][name] = wanted

    def news(self) -> object:
        """Grant in proportion to what is wanted."""
        grants: list[dict[str, float]] = [{} for _ in range(self.entries)]
        for name, level in self.quota.items():
            total = sum(wanted.get(name, 0.0) for wanted in self.wanted)
            left = max(0.0, level.at(self.clock.ms))
            if not total or not left:
                continue
            part = min(1.0, left / total)
            for entry, wanted in enumerate(self.wanted):
                if wanted.get(name):
                    grants[entry][name] = wanted.pop(name) * part
            level.take(total * part, self.clock.ms)
        return grants

    def tell(self, entry: int, news: object) -> None:
        """Take a grant."""
        assert isinstance(news, list)
        for name, granted in news[entry].items():
            self.held[entry][name] = self.held[entry].get(name, 0.0) + granted
            self.ends[entry][name] = self.clock.ms + LEASE_MS

    def lose_coordinator(self) -> None:
        """Have the next one grant nothing from what may be held."""
        for level in self.quota.values():
            level.content, level.at_ms = 0.0, self.clock.ms
        for wanted in self.wanted:
            wanted.clear()

    def lose(self, entry: int, *, silent_ms: int) -> None:
        """Let its leases run out."""

    def find(self, entry: int) -> None:
        """Have it ask anew."""

    def restart(self, entry: int) -> None:
        """Hold nothing."""
        self.held[entry].clear()
        self.asked[entry].clear()

    def configure(self, workspaces: list[Workspace]) -> None:
        """Set the quotas."""
        for each in workspaces:
            assert each.quota
            capacity = bucket_capacity(each.quota, self.bounds)
            known = self.quota.get(each.name)
            if known:
                known.resize(
                    capacity=capacity,
                    per_s=refill_per_s(each.quota, self.bounds),
                    now_ms=self.clock.ms,
                )
            else:
                self.quota[each.name] = QuotaBucket(
                    capacity=capacity,
                    per_s=refill_per_s(each.quota, self.bounds),
                    content=capacity,
                    at_ms=self.clock.ms,
                )

    def bytes_of(self, sent: object) -> int:
        """Return the bytes of as many entries in a message."""
        if isinstance(sent, dict):
            return sum(bytes_of_said(Spending(name, *both)) for name, both in sent.items())
        assert isinstance(sent, list)
        # Each entry gets a message of its own.
        remaining = [Remaining(name, n, 0) for grants in sent for name, n in grants.items()]
        return sum(bytes_of_said(each) for each in remaining) // max(1, self.entries)
