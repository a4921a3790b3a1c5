"""Simulate entries that share a limit in virtual time, and count its use in any window."""

from dataclasses import dataclass
from dataclasses import field
from enum import Enum

from harness.direct_fleet import ManualClock
from mimosaspur_coordination.limits.retrywindow import USED_SHARE
from mimosaspur_coordination.limits.retrywindow import RetryWindow
from mimosaspur_coordination.limits.sharelease import ShareLease
from mimosaspur_coordination.limits.sharelease import SharerCount
from mimosaspur_state.directsettings import RetryBounds

WINDOW_MS = 2_000
STEP_MS = 250
# How long a coordinator may continue after another one has taken the lease.
LEADERSHIP_OVERLAP_MS = 2_000
# Additional delay of its successor.
HANDOVER_MS = 300
SILENCE_TIMEOUT_MS = 1_500


class Event(Enum):
    """Name the events of an entry between two steps."""

    NOTHING = "nothing"
    KILL = "kill"
    CUT = "cut"
    HEAL = "heal"
    FREEZE = "freeze"
    THAW = "thaw"
    TAKE_LEASE = "take the lease"


@dataclass(slots=True)
class _Entry:
    lease: ShareLease
    window: RetryWindow
    cut: bool = False
    frozen: bool = False
    # The last message that waits for the frozen entry: the sharers, and when the report was sent
    # that it answers.
    held: tuple[int, int] | None = None
    # By the id() of the coordinator's term.
    last_report_ms: dict[int, int] = field(default_factory=dict)


@dataclass(slots=True)
class _Term:
    holder: int
    count: SharerCount
    # When it must stop sending; None while it holds the lease.
    ends_ms: int | None = None
    members: set[int] = field(default_factory=set)


class ShareSimulation:
    """Simulate entries, the terms of coordinators and the clock."""

    def __init__(self, entries: int, slack: float) -> None:
        self.clock = ManualClock(0)
        self.bounds = RetryBounds(ratio=0.0, window_ms=WINDOW_MS, slack=slack / USED_SHARE)
        self.entries = [self._entry() for _ in range(entries)]
        self.terms: list[_Term] = []
        self.spent: list[int] = []

    def step(self, number: int, event: Event) -> None:
        """Apply an event, advance the clock by a step, and spend all available repeats."""
        entry = self.entries[number]
        if event is Event.KILL:
            self.entries[number] = self._entry(cut=entry.cut)
            self.terms = [term for term in self.terms if term.holder != number]
        elif event in (Event.CUT, Event.HEAL):
            entry.cut = event is Event.CUT
        elif event in (Event.FREEZE, Event.THAW):
            entry.frozen = event is Event.FREEZE
            if entry.held and not entry.frozen:
                sharers, reported_ms = entry.held
                entry.held = None
                entry.lease.renew(sharers, age_ms=self.clock.ms - reported_ms)
        elif event is Event.TAKE_LEASE and not entry.frozen:
            self._take_lease(number)
        self.clock.ms += STEP_MS
        for term in self.terms:
            self._renew_shares(term)
        for each in self.entries:
            while not each.frozen and each.window.try_spend():
                self.spent.append(self.clock.ms)

    def max_in_window(self) -> int:
        """Return the highest count in any window."""
        most = 0
        first = 0
        for last, at_ms in enumerate(self.spent):
            while self.spent[first] < at_ms - WINDOW_MS:
                first += 1
            most = max(most, last - first + 1)
        return most

    def _entry(self, *, cut: bool = False) -> _Entry:
        lease = ShareLease(window_ms=WINDOW_MS, clock=self.clock)
        return _Entry(lease, RetryWindow(self.bounds, lease=lease, clock=self.clock), cut)

    def _take_lease(self, number: int) -> None:
        now_ms = self.clock.ms
        holders = [term.holder for term in self.terms if term.ends_ms is None]
        if number in holders:
            return
        for term in self.terms:
            if term.ends_ms is None:
                term.ends_ms = now_ms + LEADERSHIP_OVERLAP_MS
        ended_ms = now_ms + LEADERSHIP_OVERLAP_MS + HANDOVER_MS if holders else now_ms
        count = SharerCount(window_ms=WINDOW_MS, predecessor_ended_ms=ended_ms, clock=self.clock)
        self.terms.append(_Term(number, count))

    def _renew_shares(self, term: _Term) -> None:
        now_ms = self.clock.ms
        ended = term.ends_ms is not None and now_ms >= term.ends_ms
        if self.entries[term.holder].frozen:
            return
        for number, entry in enumerate(self.entries):
            reached = number == term.holder or not (entry.cut or self.entries[term.holder].cut)
            if reached and not entry.frozen:
                entry.last_report_ms[id(term)] = now_ms
                if number not in term.members:
                    term.members.add(number)
                    term.count.on_connect(str(number))
            elif number in term.members and self._is_silent(entry, term):
                term.members.discard(number)
                term.count.on_disconnect(str(number))
        sharers = 0 if ended else term.count.sharer_count()
        for number in term.members:
            entry = self.entries[number]
            reached = number == term.holder or not (entry.cut or self.entries[term.holder].cut)
            if not reached or (ended and number != term.holder):
                continue
            if entry.frozen:
                entry.held = sharers, entry.last_report_ms[id(term)]
            else:
                entry.lease.renew(sharers, age_ms=0)

    def _is_silent(self, entry: _Entry, term: _Term) -> bool:
        return self.clock.ms - entry.last_report_ms.get(id(term), 0) > SILENCE_TIMEOUT_MS
