"""Play one way to hold quotas on made-up callers, and measure what it let through and refused."""

import heapq
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from random import Random

from mimosaspur_coordination.quota.bounds import max_overage
from mimosaspur_coordination.quota.quotabucket import QuotaBucket
from mimosaspur_load.quotas.troubles import TROUBLES
from mimosaspur_load.quotas.troubles import Trouble
from mimosaspur_load.quotas.way import HandClock
from mimosaspur_load.quotas.way import Way
from mimosaspur_load.quotas.ways import WAYS
from mimosaspur_state.directsettings import QuotaBounds
from mimosaspur_state.workspaces import Quota
from mimosaspur_state.workspaces import QuotaUnit
from mimosaspur_state.workspaces import Workspace

# Workspaces of very different sizes, in tokens a second, and what their callers usually ask for.
QUOTAS_PER_S = (75_000.0, 30_000.0, 15_000.0, 8_000.0, *([4_200.0] * 12))
USUAL_PART = 1 / 1.8
# A request's cost: some are many times the common one.
MEAN_COST = 2_500.0
COST_SPREAD = 0.9
# As the longest prompts and answers of the users' sheets.
MOST_COST = 8_500.0
LENGTH_MS = 40_000
REPORT_MS = 100
PASS_MS = 100
DELAY_MS = 3
# An entry that isn't heard for so long is taken for lost.
SILENT_MS = 1_500
# A request told to come back does so once.
RETURN_MS = 800
BOUNDS = QuotaBounds(window_ms=8_000, overage=0.1, slack=17_000.0)

REQUEST, REPORT, HEARD, PASS, TOLD, EVENT = range(6)


@dataclass(slots=True)
class Outcome:
    """Hold what a way let through and refused."""

    # The most that any window of a workspace had of what it may have; above 1 a rule is broken.
    worst_window: float = 0.0
    # Of what one bucket for all entries would have let in: the part that was refused.
    refused_within: float = 0.0
    bytes_per_s: float = 0.0
    windows: dict[str, float] = field(default_factory=dict)


class QuotaPlay:
    """Run one way on one seed."""

    def __init__(self, way: str, *, entries: int, seed: int, troubles: tuple[Trouble, ...]) -> None:
        self.chance = Random(seed)
        self.clock = HandClock()
        self.begin_ms = self.clock.ms
        self.entries = entries
        self.troubles = troubles
        self.workspaces = [_workspace(n, per_s) for n, per_s in enumerate(QUOTAS_PER_S)]
        options = {"chance": self.chance.random} if way == "told" else {}
        self.way: Way = WAYS[way](entries, BOUNDS, self.clock, self.workspaces, **options)
        self.ideal = [
            QuotaBucket(
                capacity=_quota(each).burst,
                per_s=_quota(each).per_s,
                content=_quota(each).burst,
                at_ms=self.clock.ms,
            )
            for each in self.workspaces
        ]
        self.weights = [self.chance.uniform(0.3, 2.0) for _ in range(entries)]
        self.queue: list[tuple[int, int, int, object]] = []
        self.number = 0
        self.spent: list[deque[tuple[int, float]]] = [deque() for _ in QUOTAS_PER_S]
        self.in_window = [0.0] * len(QUOTAS_PER_S)
        # The largest quota of the last window binds: a lower one comes in force with time.
        self.limits: list[deque[tuple[int, float]]] = [deque() for _ in QUOTAS_PER_S]
        self.outcome = Outcome()
        self.asked_within = 0.0
        self.refused_within = 0.0
        self.bytes = 0
        self.coordinator_back_ms = 0
        self.cut: dict[int, int] = {}

    def run(self) -> Outcome:
        """Play to the end."""
        for number, workspace in enumerate(self.workspaces):
            self._limit(number, workspace)
            self._next_request(number)
        for entry in range(self.entries):
            self._at(self.chance.randrange(REPORT_MS), REPORT, entry)
        self._at(0, PASS, None)
        for trouble in self.troubles:
            self._at(trouble.at_ms, EVENT, trouble)
        handlers = {
            REQUEST: self._request,
            REPORT: self._report,
            HEARD: self._heard,
            PASS: self._pass,
            TOLD: self._told,
            EVENT: self._event,
        }
        end_ms = self.begin_ms + LENGTH_MS
        while self.queue and self.queue[0][0] < end_ms:
            at_ms, _, kind, what = heapq.heappop(self.queue)
            self.clock.ms = at_ms
            handlers[kind](what)
        self.outcome.refused_within = self.refused_within / max(1.0, self.asked_within)
        self.outcome.bytes_per_s = self.bytes * 1000 / LENGTH_MS / self.entries
        return self.outcome

    def _at(self, in_ms: float, kind: int, what: object) -> None:
        self.number += 1
        heapq.heappush(self.queue, (self.clock.ms + round(in_ms), self.number, kind, what))

    def _demand(self, number: int) -> float:
        times = 1.0
        for trouble in self.troubles:
            end_ms = trouble.at_ms + trouble.for_ms
            now_ms = self.clock.ms - self.begin_ms
            if (
                trouble.kind == "hot"
                and trouble.which == number
                and trouble.at_ms <= now_ms < end_ms
            ):
                times = trouble.times
        return QUOTAS_PER_S[number] * USUAL_PART * times

    def _next_request(self, number: int) -> None:
        pause_ms = self.chance.expovariate(self._demand(number) / MEAN_COST) * 1000
        # A change of demand must not wait for a rare caller.
        self._at(min(pause_ms, 1_000), REQUEST, (number, pause_ms <= 1_000))

    def _request(self, what: object) -> None:
        assert isinstance(what, tuple)
        number, comes = what
        self._next_request(number)
        if not comes:
            return
        cost = self.chance.lognormvariate(0, COST_SPREAD) * MEAN_COST / 1.5
        cost = min(MOST_COST, max(200.0, cost))
        entry = self.chance.choices(range(self.entries), self.weights)[0]
        quota = _quota(self.workspaces[number])
        ideal = self.ideal[number]
        within = ideal.at(self.clock.ms) >= min(cost, quota.burst)
        if within:
            ideal.take(cost, self.clock.ms)
            self.asked_within += cost
        if self.way.admit(entry, self.workspaces[number].name, cost):
            self._count(number, cost)
        elif within:
            self.refused_within += cost

    def _count(self, number: int, cost: float) -> None:
        spent, limits = self.spent[number], self.limits[number]
        spent.append((self.clock.ms, cost))
        self.in_window[number] += cost
        while spent[0][0] < self.clock.ms - BOUNDS.window_ms:
            self.in_window[number] -= spent.popleft()[1]
        while len(limits) > 1 and limits[1][0] < self.clock.ms - BOUNDS.window_ms:
            limits.popleft()
        used = self.in_window[number] / max(limit for _, limit in limits)
        name = self.workspaces[number].name
        self.outcome.windows[name] = max(self.outcome.windows.get(name, 0.0), used)
        self.outcome.worst_window = max(self.outcome.worst_window, used)

    def _limit(self, number: int, workspace: Workspace) -> None:
        quota = _quota(workspace)
        allowed = quota.per_s * BOUNDS.window_ms / 1000 + quota.burst + max_overage(quota, BOUNDS)
        self.limits[number].append((self.clock.ms, allowed))

    def _away(self) -> bool:
        return self.clock.ms < self.coordinator_back_ms

    def _report(self, what: object) -> None:
        assert isinstance(what, int)
        self._at(REPORT_MS, REPORT, what)
        if self._away() or self.clock.ms < self.cut.get(what, 0):
            return
        report = self.way.report(what)
        self.bytes += self.way.bytes_of(report)
        self._at(DELAY_MS, HEARD, (what, report))

    def _heard(self, what: object) -> None:
        assert isinstance(what, tuple)
        if not self._away():
            self.way.hear(*what)

    def _pass(self, _: object) -> None:
        self._at(PASS_MS, PASS, None)
        if self._away():
            return
        news = self.way.news()
        self.bytes += self.way.bytes_of(news) * self.entries
        for entry in range(self.entries):
            if self.clock.ms >= self.cut.get(entry, 0):
                self._at(DELAY_MS, TOLD, (entry, news))

    def _told(self, what: object) -> None:
        assert isinstance(what, tuple)
        if not self._away():
            self.way.tell(*what)

    def _event(self, trouble: object) -> None:
        assert isinstance(trouble, Trouble)
        if trouble.kind == "coordinator lost":
            self.coordinator_back_ms = self.clock.ms + trouble.for_ms
            self._at(trouble.for_ms, EVENT, Trouble("coordinator found", 0))
        elif trouble.kind == "coordinator found":
            self.way.lose_coordinator()
        elif trouble.kind == "entry cut":
            self._cut(trouble, [trouble.which])
        elif trouble.kind == "entries cut":
            self._cut(trouble, range(1, 1 + round(self.entries * trouble.times)))
        elif trouble.kind == "entry lost":
            self.way.lose(trouble.which, silent_ms=SILENT_MS)
        elif trouble.kind == "entry found":
            self.way.find(trouble.which)
        elif trouble.kind == "entries killed":
            self._kill(range(round(self.entries * trouble.times)))
        elif trouble.kind == "quota":
            self._change_quota(trouble)

    def _kill(self, entries: Iterable[int]) -> None:
        for entry in entries:
            self.way.restart(entry)
            if not self._away():
                self.way.find(entry)

    def _cut(self, trouble: Trouble, entries: Iterable[int]) -> None:
        for entry in entries:
            self.cut[entry] = self.clock.ms + trouble.for_ms
            if trouble.for_ms > SILENT_MS:
                self._at(SILENT_MS, EVENT, Trouble("entry lost", 0, which=entry))
                self._at(trouble.for_ms, EVENT, Trouble("entry found", 0, which=entry))

    def _change_quota(self, trouble: Trouble) -> None:
        workspace = self.workspaces[trouble.which]
        quota = _quota(workspace)
        changed = replace(
            quota, per_s=quota.per_s * trouble.times, burst=quota.burst * trouble.times
        )
        self.workspaces = list(self.workspaces)
        self.workspaces[trouble.which] = replace(workspace, quota=changed)
        self.way.configure(self.workspaces)
        self._limit(trouble.which, self.workspaces[trouble.which])
        self.ideal[trouble.which].resize(
            capacity=changed.burst, per_s=changed.per_s, now_ms=self.clock.ms
        )


def _workspace(number: int, per_s: float) -> Workspace:
    quota = Quota(QuotaUnit.TOKENS, per_s, per_s, plain_cost=200.0)
    return Workspace(f"workspace-{number}", frozenset(), quota=quota)


def _quota(workspace: Workspace) -> Quota:
    assert workspace.quota
    return workspace.quota


def play(way: str, trouble: str, *, entries: int, seed: int) -> Outcome:
    """Play one way through one kind of trouble."""
    return QuotaPlay(way, entries=entries, seed=seed, troubles=TROUBLES[trouble]).run()
