"""Spend from what the coordinator counts and tells all: the way that the entries use."""

import random
from collections.abc import Callable

from mimosaspur_coordination.quota.ledger import QuotaLedger
from mimosaspur_coordination.quota.limiter import QuotaLimiter
from mimosaspur_coordination.quota.limiter import QuotaUnknown
from mimosaspur_load.quotas.messagebytes import bytes_of_said
from mimosaspur_load.quotas.way import HandClock
from mimosaspur_state.directsettings import QuotaBounds
from mimosaspur_state.workspaces import Workspace


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
        limiter = QuotaLimiter(self.bounds, clock=self.clock, random_source=self.chance)
        limiter.configure(self.workspaces)
        return limiter

    def admit(self, entry: int, workspace: str, cost: float) -> bool:
        """Ask the entry's limiter."""
        try:
            return not self.limiters[entry].admit(workspace, cost)
        except QuotaUnknown:
            return False

    def report(self, entry: int) -> object:
        """Send what was spent."""
        self.numbers[entry] += 1
        return self.numbers[entry], self.limiters[entry].take_report(self.numbers[entry])

    def hear(self, entry: int, report: object) -> None:
        """Count what was spent."""
        assert isinstance(report, tuple)
        self.heard[entry], spendings = report
        self.ledger.record_spending(str(entry), spendings, first=entry in self.silent)
        self.silent.discard(entry)

    def news(self) -> object:
        """Tell what entries don't expect."""
        return list(self.heard), self.ledger.take_updates()

    def tell(self, entry: int, news: object) -> None:
        """Take what is left."""
        assert isinstance(news, tuple)
        heard, remaining = news
        self.limiters[entry].acknowledge(heard[entry])
        self.limiters[entry].apply_update(remaining, entries=self.entries)

    def lose_coordinator(self) -> None:
        """Go on from what the first entry knows."""
        for limiter in self.limiters:
            limiter.on_coordinator_lost()
        first = self.limiters[0]
        self.silent = set(range(self.entries))
        self.ledger = QuotaLedger(self.bounds, clock=self.clock)
        self.ledger.configure(self.workspaces, first.accounts, last_update_ms=first.last_update_ms)
        for entry in range(self.entries):
            # Whoever follows anew is told all first.
            self.limiters[entry].apply_update(self.ledger.snapshot(), entries=self.entries)

    def lose(self, entry: int, *, silent_ms: int) -> None:
        """Have the coordinator take note that an entry is not heard any more."""
        self.ledger.on_disconnect(str(entry), entries=self.entries, silent_ms=silent_ms)

    def find(self, entry: int) -> None:
        """Have an entry follow anew that was cut off."""
        self.limiters[entry].on_coordinator_lost()
        self.silent.add(entry)
        self.limiters[entry].apply_update(self.ledger.snapshot(), entries=self.entries)

    def restart(self, entry: int) -> None:
        """Begin with an empty head."""
        self.limiters[entry] = self._limiter()
        self.heard[entry] = 0

    def configure(self, workspaces: list[Workspace]) -> None:
        """Set the quotas."""
        self.workspaces = workspaces
        for limiter in self.limiters:
            limiter.configure(workspaces)
        self.ledger.configure(workspaces, {})

    def bytes_of(self, sent: object) -> int:
        """Return the bytes beyond an empty message."""
        assert isinstance(sent, tuple)
        return sum(bytes_of_said(each) for each in sent[1])
