"""Play entries that share a constant in virtual time, and count what any window has of it."""

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
# For how long a coordinator may go on to tell after another one has taken the lease.
LEADERSHIP_OVERLAP_MS = 2_000
# What its successor waits besides.
HANDOVER_MS = 300
# An entry that is silent for so long is dropped by its coordinator.
SILENCE_TIMEOUT_MS = 1_500


class Event(Enum):
    """Name what may happen to an entry between two steps."""

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
    # When its coordinator last heard it.
    last_report_ms: dict[int, int] = field(default_factory=dict)


@dataclass(slots=True)
class _Term:
    holder: int
    count: SharerCount
    # Until when it may go on to tell; None while it holds the lease.
    ends_ms: int | None = None
    members: set[int] = field(default_factory=set)


class ShareSimulation:
    """Own entries, coordinators' terms and the time."""

    def __init__(self, entries: int, slack: float) -> None:
        self.clock = ManualClock(0)
        self.bounds = RetryBounds(ratio=0.0, window_ms=WINDOW_MS, slack=slack / USED_SHARE)
        self.entries = [self._entry() for _ in range(entries)]
        self.terms: list[_Term] = []
        self.spent: list[int] = []

    def step(self, who: int, event: Event) -> None:
        """Let something happen, and a step pass in which all spend what they may."""
        entry = self.entries[who]
        if event is Event.KILL:
            self.entries[who] = self._entry(cut=entry.cut)
            self.terms = [term for term in self.terms if term.holder != who]
        elif event in (Event.CUT, Event.HEAL):
            entry.cut = event is Event.CUT
        elif event in (Event.FREEZE, Event.THAW):
            entry.frozen = event is Event.FREEZE
        elif event is Event.TAKE_LEASE and not entry.frozen:
            self._take_lease(who)
        self.clock.ms += STEP_MS
        for term in self.terms:
            self._renew_shares(term)
        for each in self.entries:
            while not each.frozen and each.window.try_spend():
                self.spent.append(self.clock.ms)

    def max_in_window(self) -> int:
        """Return the most that any window has."""
        most = 0
        begin = 0
        for end, at_ms in enumerate(self.spent):
            while self.spent[begin] < at_ms - WINDOW_MS:
                begin += 1
            most = max(most, end - begin + 1)
        return most

    def _entry(self, *, cut: bool = False) -> _Entry:
        lease = ShareLease(window_ms=WINDOW_MS, clock=self.clock)
        return _Entry(lease, RetryWindow(self.bounds, lease=lease, clock=self.clock), cut)

    def _take_lease(self, who: int) -> None:
        now_ms = self.clock.ms
        holders = [term.holder for term in self.terms if term.ends_ms is None]
        if who in holders:
            return
        for term in self.terms:
            if term.ends_ms is None:
                term.ends_ms = now_ms + LEADERSHIP_OVERLAP_MS
        ended_ms = now_ms + LEADERSHIP_OVERLAP_MS + HANDOVER_MS if holders else now_ms
        count = SharerCount(window_ms=WINDOW_MS, predecessor_ended_ms=ended_ms, clock=self.clock)
        self.terms.append(_Term(who, count))

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
            if reached and not entry.frozen and (not ended or number == term.holder):
                entry.lease.renew(sharers)

    def _is_silent(self, entry: _Entry, term: _Term) -> bool:
        return self.clock.ms - entry.last_report_ms.get(id(term), 0) > SILENCE_TIMEOUT_MS
