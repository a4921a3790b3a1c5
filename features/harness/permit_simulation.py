"""Simulate entries that share the requests a target takes, with delayed messages and faults."""

import random
from collections import deque
from dataclasses import dataclass
from dataclasses import field
from enum import Enum

from harness.direct_fleet import ManualClock
from harness.limited_target import most_within
from mimosaspur_coordination.limits.permitholder import PermitHolder
from mimosaspur_coordination.limits.permitholder import PermitWaiter
from mimosaspur_coordination.limits.permitissuer import PermitIssuer
from mimosaspur_coordination.limits.permitissuer import Permits
from mimosaspur_coordination.limits.requestlimit import RequestLimit

TARGET = "i-1"
STEP_MS = 20
REPORT_INTERVAL_MS = 100
WINDOW_S = 4.0
PATIENCE_MS = 2_000
RANK = 3
# Beyond the validity of a permit, so that some arrive too late.
MAX_DELAY_MS = 500
MAX_CLOCK_OFFSET_MS = 1_000_000


class Event(Enum):
    """Name the events of an entry between two steps."""

    NOTHING = "nothing"
    KILL = "kill"
    CUT = "cut"
    HEAL = "heal"
    FREEZE = "freeze"
    THAW = "thaw"
    COORDINATE = "coordinate"


@dataclass(slots=True)
class _Request:
    waiter: PermitWaiter
    arrived_ms: int


@dataclass(slots=True)
class _Entry:
    clock: ManualClock
    holder: PermitHolder
    cut: bool = False
    frozen: bool = False
    reported_ms: int = 0
    waiting: list[_Request] = field(default_factory=list)
    # Permits on their way, with the time of their arrival and the term that issued them.
    inbox: deque[tuple[int, int, Permits]] = field(default_factory=deque)


class PermitSimulation:
    """Simulate entries, one coordinator at a time and the target's arrivals."""

    def __init__(
        self,
        entries: int,
        *,
        limit_per_s: float,
        requests_per_s: float,
        seed: int,
        max_delay_ms: int = MAX_DELAY_MS,
    ) -> None:
        self.random = random.Random(seed)
        self.clock = ManualClock(1_000)
        self.limit = RequestLimit(1, limit_per_s)
        self.requests_per_s = requests_per_s
        self.max_delay_ms = max_delay_ms
        self.entries = [self._new_entry() for _ in range(entries)]
        self.coordinator = 0
        self.term = 0
        self.issuer = self._new_issuer()
        self.arrivals_ms: list[int] = []
        self.rejected = 0
        self.longest_wait_ms = 0

    def step(self, number: int = 0, event: Event = Event.NOTHING) -> None:
        """Apply an event to an entry and advance the time."""
        self._apply(number, event)
        self.clock.ms += STEP_MS
        for each in self.entries:
            each.clock.ms += STEP_MS
        for index, entry in enumerate(self.entries):
            if not entry.frozen:
                self._run_entry(index, entry)
        if not self.entries[self.coordinator].frozen:
            self._issue()
        for entry in self.entries:
            if not entry.frozen:
                self._send(entry)

    def most_in_window(self) -> int:
        """Return the most arrivals at the target in any window."""
        return most_within([ms / 1000 for ms in self.arrivals_ms], WINDOW_S)

    def _apply(self, number: int, event: Event) -> None:
        entry = self.entries[number]
        if event is Event.KILL:
            self.entries[number] = self._new_entry()
            if number == self.coordinator:
                self._start_term(number)
        elif event in (Event.CUT, Event.HEAL):
            entry.cut = event is Event.CUT
        elif event in (Event.FREEZE, Event.THAW):
            entry.frozen = event is Event.FREEZE
        elif event is Event.COORDINATE and not entry.frozen:
            self._start_term(number)

    def _start_term(self, number: int) -> None:
        """Let another entry coordinate; the lease keeps the last one from issuing any more."""
        self.coordinator = number
        self.term += 1
        self.issuer = self._new_issuer()
        for entry in self.entries:
            entry.holder.start_link()

    def _run_entry(self, index: int, entry: _Entry) -> None:
        if self.random.random() < self.requests_per_s / len(self.entries) * STEP_MS / 1000:
            entry.holder.record_chance(TARGET)
            waiter = entry.holder.add_waiter(RANK)
            waiter.targets = frozenset((TARGET,))
            entry.waiting.append(_Request(waiter, self.clock.ms))
        while entry.inbox and entry.inbox[0][0] <= self.clock.ms:
            _, term, permits = entry.inbox.popleft()
            if term == self.term:
                entry.holder.apply_permits(permits.number, permits.asked_ms, permits.counts)
                entry.holder.apply_waits(permits.waits_ms)
        connected = not entry.cut and not self.entries[self.coordinator].cut
        if connected or index == self.coordinator:
            self._report(index, entry)

    def _report(self, index: int, entry: _Entry) -> None:
        if self.clock.ms - entry.reported_ms < REPORT_INTERVAL_MS and not entry.waiting:
            return
        entry.reported_ms = self.clock.ms
        self.issuer.apply_limits({TARGET: self.limit})
        self.issuer.apply_demand(
            str(index),
            entry.holder.demand({TARGET: self.limit.per_s or 0.0}),
            asked_ms=entry.clock.ms,
            received_number=entry.holder.received_number,
        )
        if waits := self.issuer.expected_waits(str(index)):
            self._deliver(str(index), waits)
        entry.holder.apply_queues(self.issuer.waiting())

    def _issue(self) -> None:
        self.issuer.apply_limits({TARGET: self.limit})
        for instance, permits in self.issuer.issue().items():
            self._deliver(instance, permits)

    def _deliver(self, instance: str, permits: Permits) -> None:
        entry = self.entries[int(instance)]
        delay_ms = self.random.randrange(self.max_delay_ms + 1)
        last_ms = entry.inbox[-1][0] if entry.inbox else 0
        due_ms = max(last_ms, self.clock.ms + delay_ms)
        entry.inbox.append((due_ms, self.term, permits))

    def _send(self, entry: _Entry) -> None:
        for request in list(entry.waiting):
            if entry.holder.has_permit(TARGET, rank=RANK, waiter=request.waiter):
                lapses_ms = entry.holder.take(TARGET)
                assert lapses_ms is not None
                self.arrivals_ms.append(self.clock.ms)
            elif self._can_wait(entry, request):
                continue
            else:
                self.rejected += 1
            waited_ms = self.clock.ms - request.arrived_ms
            self.longest_wait_ms = max(self.longest_wait_ms, waited_ms)
            entry.waiting.remove(request)
            entry.holder.remove_waiter(request.waiter)

    def _can_wait(self, entry: _Entry, request: _Request) -> bool:
        left_ms = request.arrived_ms + PATIENCE_MS - self.clock.ms
        wait_ms = entry.holder.expected_wait_ms(
            TARGET, self.limit.per_s or 0.0, rank=RANK, waiter=request.waiter
        )
        # It is looked at again after a step.
        return wait_ms <= left_ms - STEP_MS

    def _new_entry(self) -> _Entry:
        # Entries' clocks have nothing in common but their rate.
        clock = ManualClock(self.random.randrange(MAX_CLOCK_OFFSET_MS))
        return _Entry(clock, PermitHolder(clock=clock))

    def _new_issuer(self) -> PermitIssuer:
        return PermitIssuer(clock=self.clock, may_issue=lambda: True)
