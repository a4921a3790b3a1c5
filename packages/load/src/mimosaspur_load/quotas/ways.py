"""Hold a quota over many entries in several ways, to be compared on the same requests."""

import random
from collections.abc import Callable
from typing import Protocol

from mimosaspur_coordination.quota.bounds import capacity_of
from mimosaspur_coordination.quota.bounds import refill_per_s
from mimosaspur_coordination.quota.fading import FadingRate
from mimosaspur_coordination.quota.ledger import QuotaLedger
from mimosaspur_coordination.quota.level import Level
from mimosaspur_coordination.quota.limiter import QuotaLimiter
from mimosaspur_coordination.quota.spending import Remaining
from mimosaspur_coordination.quota.spending import Spending
from mimosaspur_protocol.peermessages import EntryReport
from mimosaspur_protocol.peermessages import FleetReport
from mimosaspur_protocol.peermessages import RemainingOf
from mimosaspur_protocol.peermessages import SpentOf
from mimosaspur_protocol.peermessages import encode_peer
from mimosaspur_state.directsettings import QuotaBounds
from mimosaspur_state.workspaces import Workspace

# A share that is leased runs out after so long, and is given back then.
LEASE_MS = 1_000
# What an entry wants at hand: what its callers ask for within so long, and once more.
AT_HAND_MS = 400


class HandClock:
    """Be set by hand."""

    def __init__(self) -> None:
        self.ms = 100_000

    def now_ms(self) -> int:
        """Return the time that was set."""
        return self.ms

    def wall_ms(self) -> int:
        """Return the same."""
        return self.ms


class Way(Protocol):
    """Hold quotas at entries that report to a coordinator, which tells them news."""

    def admit(self, entry: int, workspace: str, cost: float) -> bool:
        """Tell whether an entry lets a request in."""
        ...

    def report(self, entry: int) -> object:
        """Return what an entry sends to the coordinator."""
        ...

    def hear(self, entry: int, report: object) -> None:
        """Have the coordinator take an entry's report."""
        ...

    def news(self) -> object:
        """Return what the coordinator tells all entries now."""
        ...

    def tell(self, entry: int, news: object) -> None:
        """Have an entry take the coordinator's news."""
        ...

    def lose_coordinator(self) -> None:
        """Have all entries lose the coordinator; another one begins with what it knows itself."""
        ...

    def lose(self, entry: int, *, silent_ms: int) -> None:
        """Have the coordinator take note that an entry is not heard any more."""
        ...

    def find(self, entry: int) -> None:
        """Have an entry follow anew that was cut off."""
        ...

    def restart(self, entry: int) -> None:
        """Have an entry begin anew."""
        ...

    def configure(self, workspaces: list[Workspace]) -> None:
        """Put other quotas in force everywhere."""
        ...

    def bytes_of(self, sent: object) -> int:
        """Return how much longer a message gets by what it says of quotas."""
        ...


class EvenSplit:
    """Give each entry the same part for good: the naive way."""

    def __init__(
        self, entries: int, bounds: QuotaBounds, clock: HandClock, workspaces: list[Workspace]
    ) -> None:
        self.entries = entries
        self.bounds = bounds
        self.clock = clock
        self.levels: list[dict[str, Level]] = [{} for _ in range(entries)]
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
                capacity = capacity_of(each.quota, self.bounds) / self.entries
                per_s = refill_per_s(each.quota, self.bounds) / self.entries
                known = levels.get(each.name)
                if known:
                    known.resize(capacity=capacity, per_s=per_s, now_ms=self.clock.ms)
                else:
                    levels[each.name] = Level(
                        capacity=capacity, per_s=per_s, content=capacity, at_ms=self.clock.ms
                    )

    def bytes_of(self, sent: object) -> int:
        """Send nothing."""
        return 0


class ToldLevels:
    """Spend from what the coordinator counts and tells all: the way that the entries use."""

    def __init__(
        self,
        entries: int,
        bounds: QuotaBounds,
        clock: HandClock,
        workspaces: list[Workspace],
        chance: Callable[[], float] = random.random,
    ) -> None:
        self.entries = entries
        self.bounds = bounds
        self.clock = clock
        self.chance = chance
        self.workspaces = workspaces
        self.limiters = [self._limiter() for _ in range(entries)]
        self.numbers = [0] * entries
        self.heard = [0] * entries
        # Entries that the coordinator hasn't heard yet.
        self.silent = set(range(entries))
        self.ledger = QuotaLedger(bounds, clock=clock)
        self.ledger.configure(workspaces, {})

    def _limiter(self) -> QuotaLimiter:
        limiter = QuotaLimiter(self.bounds, clock=self.clock, chance=self.chance)
        limiter.configure(self.workspaces)
        return limiter

    def admit(self, entry: int, workspace: str, cost: float) -> bool:
        """Ask the entry's limiter."""
        return not self.limiters[entry].admit(workspace, cost)

    def report(self, entry: int) -> object:
        """Send what was spent."""
        self.numbers[entry] += 1
        return self.numbers[entry], self.limiters[entry].report(self.numbers[entry])

    def hear(self, entry: int, report: object) -> None:
        """Count what was spent."""
        assert isinstance(report, tuple)
        self.heard[entry], spendings = report
        self.ledger.hear(str(entry), spendings, first=entry in self.silent)
        self.silent.discard(entry)

    def news(self) -> object:
        """Tell what entries don't expect."""
        return list(self.heard), self.ledger.news()

    def tell(self, entry: int, news: object) -> None:
        """Take what is left."""
        assert isinstance(news, tuple)
        heard, remaining = news
        self.limiters[entry].count(heard[entry])
        self.limiters[entry].hear(remaining, entries=self.entries)

    def lose_coordinator(self) -> None:
        """Go on from what the first entry knows."""
        for limiter in self.limiters:
            limiter.coordinator_lost()
        first = self.limiters[0]
        self.silent = set(range(self.entries))
        self.ledger = QuotaLedger(self.bounds, clock=self.clock)
        self.ledger.configure(self.workspaces, first.accounts, told_ms=first.told_ms)
        for entry in range(self.entries):
            # Whoever follows anew is told all first.
            self.limiters[entry].hear(self.ledger.all(), entries=self.entries)

    def lose(self, entry: int, *, silent_ms: int) -> None:
        """Have the coordinator take note that an entry is not heard any more."""
        self.ledger.lose(str(entry), entries=self.entries, silent_ms=silent_ms)

    def find(self, entry: int) -> None:
        """Have an entry follow anew that was cut off."""
        self.limiters[entry].coordinator_lost()
        self.silent.add(entry)
        self.limiters[entry].hear(self.ledger.all(), entries=self.entries)

    def restart(self, entry: int) -> None:
        """Begin with an empty head, and be told all."""
        self.limiters[entry] = self._limiter()
        self.heard[entry] = 0
        self.limiters[entry].hear(self.ledger.all(), entries=self.entries)

    def configure(self, workspaces: list[Workspace]) -> None:
        """Set the quotas."""
        self.workspaces = workspaces
        for limiter in self.limiters:
            limiter.configure(workspaces)
        self.ledger.configure(workspaces, {})

    def bytes_of(self, sent: object) -> int:
        """Return the bytes beyond an empty message."""
        assert isinstance(sent, tuple)
        return sum(_bytes(each) for each in sent[1])


class LeasedShares:
    """Spend shares that the coordinator grants to those who ask, and that run out."""

    def __init__(
        self, entries: int, bounds: QuotaBounds, clock: HandClock, workspaces: list[Workspace]
    ) -> None:
        self.entries = entries
        self.bounds = bounds
        self.clock = clock
        self.quota: dict[str, Level] = {}
        self.held: list[dict[str, float]] = [{} for _ in range(entries)]
        self.ends: list[dict[str, int]] = [{} for _ in range(entries)]
        self.asked: list[dict[str, FadingRate]] = [{} for _ in range(entries)]
        self.wanted: list[dict[str, float]] = [{} for _ in range(entries)]
        self.configure(workspaces)

    def admit(self, entry: int, workspace: str, cost: float) -> bool:
        """Spend from what is held here."""
        asked = self.asked[entry].setdefault(workspace, FadingRate(self.clock.ms))
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
            capacity = capacity_of(each.quota, self.bounds)
            known = self.quota.get(each.name)
            if known:
                known.resize(
                    capacity=capacity,
                    per_s=refill_per_s(each.quota, self.bounds),
                    now_ms=self.clock.ms,
                )
            else:
                self.quota[each.name] = Level(
                    capacity=capacity,
                    per_s=refill_per_s(each.quota, self.bounds),
                    content=capacity,
                    at_ms=self.clock.ms,
                )

    def bytes_of(self, sent: object) -> int:
        """Return the bytes of as many entries in a message."""
        if isinstance(sent, dict):
            return sum(_bytes(Spending(name, *both)) for name, both in sent.items())
        assert isinstance(sent, list)
        # Each entry gets a message of its own.
        remaining = [Remaining(name, n, 0) for grants in sent for name, n in grants.items()]
        return sum(_bytes(each) for each in remaining) // max(1, self.entries)


def _bytes(said: Spending | Remaining) -> int:
    if isinstance(said, Spending):
        one = SpentOf(said.workspace, round(said.spent), round(said.refused))
        base = EntryReport("", 1, [], [], [], [])
        longer = EntryReport("", 1, [], [], [], [], [], [], False, 0, [one])
        return len(encode_peer(longer)) - len(encode_peer(base))
    told = RemainingOf(said.workspace, round(said.content), round(said.asked_per_s))
    bare = FleetReport(1, True, 1, [], [], {})
    more = FleetReport(1, True, 1, [], [], {}, [], 0, None, 0, [told])
    return len(encode_peer(more)) - len(encode_peer(bare))


WAYS: dict[str, Callable[..., Way]] = {
    "even": EvenSplit,
    "leased": LeasedShares,
    "told": ToldLevels,
}
