"""Simulate entries that wait for turns to send copies of a suspected request, with faults."""

import asyncio
import random
from dataclasses import dataclass
from dataclasses import field
from enum import Enum

from harness.direct_entry import null_log
from harness.virtual_time import VirtualClock
from harness.virtual_time import VirtualTimeLoop
from harness.virtual_time import run_in_virtual_time
from mimosaspur_coordination.quarantine.crashledger import CrashLedger
from mimosaspur_coordination.quarantine.crashledger import Stage
from mimosaspur_coordination.quarantine.traits import RequestTraits
from mimosaspur_coordination.quarantine.turnissuer import TurnIssuer
from mimosaspur_coordination.quarantine.turnissuer import Turns
from mimosaspur_daemon.direct.changenotifier import ChangeNotifier
from mimosaspur_daemon.direct.refusal import RequestFailed
from mimosaspur_daemon.direct.suspectturns import SuspectTurns
from mimosaspur_protocol.peermessages import IssuedTurns
from mimosaspur_state.codes import ResultCode

REPORT_S = 0.1
ROUND_S = 0.02
MAX_DELAY_S = 0.05
# When the coordinator gives a silent entry up, and an entry its coordinator.
ENTRY_TIMEOUT_S = 1.5
COORDINATOR_TIMEOUT_S = 1.0
MAX_RUN_S = 0.8
# Longer than a turn that was given before a fault can last.
SETTLED_S = ENTRY_TIMEOUT_S + COORDINATOR_TIMEOUT_S + MAX_RUN_S
TRAITS = RequestTraits(b"copied request")


class Fault(Enum):
    """Name what happens in the site between arrivals."""

    NOTHING = "nothing"
    CUT = "cut"
    HEAL = "heal"
    KILL = "kill"
    RESET = "reset"
    COORDINATE = "coordinate"


class _Selector:
    """Refuse requests as a target selector does."""

    def refusal(self, code: ResultCode, *, wanted_s: float) -> RequestFailed:
        """Return the refusal of a request."""
        return RequestFailed(code, retry_after_s=wanted_s)


class _Copy:
    """Stand in for the handler of one request."""

    def __init__(self, number: int, deadline_s: float) -> None:
        self.number = number
        self.traits = TRAITS
        self.deadline_s = deadline_s
        self.target_selector = _Selector()

    def request_id(self) -> str:
        """Return the number as an ID."""
        return f"r{self.number}"


@dataclass(slots=True)
class _Entry:
    turns: SuspectTurns
    at_targets: dict[bytes, int]
    report_requested: asyncio.Event
    cut: bool = False
    linked: bool = False
    # Increases with each link, so that messages of an earlier one are dropped.
    link: int = 0
    tasks: set["asyncio.Task[None]"] = field(default_factory=set)


class TurnSimulation:
    """Play arrivals and faults, and record how many copies were under way at once."""

    def __init__(self, entries: int, *, seed: int) -> None:
        self.loop = VirtualTimeLoop()
        self.clock = VirtualClock(self.loop)
        self.random = random.Random(seed)
        self.log = null_log("entry")
        self.entries = [self._new_entry() for _ in range(entries)]
        self.issuer = TurnIssuer(clock=self.clock, first=True)
        self.term = 0
        self.numbers = 0
        self.under_way = 0
        # The most copies at once while all entries have long followed one coordinator.
        self.most_settled = 0
        self.faulted_s = -SETTLED_S
        self.sent = 0
        self.rejected = 0
        self.longest_wait_ms = 0

    def play(self, plan: list[tuple[int, Fault, int]]) -> None:
        """Play faults at entries, each followed by some arrivals."""
        run_in_virtual_time(self._play(plan), self.loop)

    async def _play(self, plan: list[tuple[int, Fault, int]]) -> None:
        self.faulted_s = self.loop.time() - SETTLED_S
        background = [asyncio.ensure_future(self._issue())]
        for number in range(len(self.entries)):
            self._connect(number)
            background.append(asyncio.ensure_future(self._report(number)))
        for number, fault, arrivals in plan:
            self._apply(number, fault)
            for _ in range(arrivals):
                self._arrive(self.random.randrange(len(self.entries)))
                await asyncio.sleep(self.random.random() * 0.1)
        await asyncio.sleep(MAX_RUN_S + ENTRY_TIMEOUT_S)
        for task in background:
            task.cancel()

    def _new_entry(self) -> _Entry:
        ledger = CrashLedger(clock=self.clock)
        ledger.record("i-0", {TRAITS.digest: Stage.RUNNING})
        at_targets: dict[bytes, int] = {}
        requested = asyncio.Event()
        turns = SuspectTurns(
            ledger=ledger,
            at_targets=at_targets,
            changes=ChangeNotifier(),
            clock=self.clock,
            log=self.log,
            request_report=requested.set,
        )
        return _Entry(turns, at_targets, requested)

    def _apply(self, number: int, fault: Fault) -> None:
        if fault is Fault.NOTHING:
            return
        self.faulted_s = self.loop.time()
        entry = self.entries[number]
        if fault in (Fault.CUT, Fault.HEAL):
            entry.cut = fault is Fault.CUT
            if fault is Fault.CUT and entry.linked:
                self.loop.call_later(ENTRY_TIMEOUT_S, self._give_up, number, entry.link)
                self.loop.call_later(COORDINATOR_TIMEOUT_S, self._lose, number, entry.link)
            elif not entry.linked:
                self._connect(number)
        elif fault is Fault.RESET:
            self._give_up(number, entry.link)
            self._lose(number, entry.link)
            self._connect(number)
        elif fault is Fault.KILL:
            for task in entry.tasks:
                task.cancel()
            self._give_up(number, entry.link)
            fresh = self._new_entry()
            fresh.cut, fresh.link = entry.cut, entry.link
            self.entries[number] = fresh
            self._connect(number)
        elif fault is Fault.COORDINATE:
            self.term += 1
            self.issuer = TurnIssuer(clock=self.clock, first=False)
            for index, each in enumerate(self.entries):
                each.linked = False
                each.turns.on_coordinator_lost()
                self.loop.call_later(self.random.random(), self._connect, index)

    def _is_settled(self) -> bool:
        """Return whether all entries have followed one coordinator for long."""
        if not all(entry.linked and not entry.cut for entry in self.entries):
            return False
        return self.loop.time() - self.faulted_s >= SETTLED_S

    def _connect(self, number: int) -> None:
        entry = self.entries[number]
        if entry.cut or entry.linked:
            return
        self.faulted_s = max(self.faulted_s, self.loop.time() if entry.link else 0.0)
        entry.linked = True
        entry.link += 1
        entry.turns.coordinated = True
        self.issuer.on_connect(str(number))

    def _give_up(self, number: int, link: int) -> None:
        """Let the coordinator drop an entry's link."""
        if self.entries[number].link == link:
            self.issuer.on_disconnect(str(number))

    def _lose(self, number: int, link: int) -> None:
        """Let an entry notice that its link is gone."""
        entry = self.entries[number]
        if entry.link == link and entry.linked:
            entry.linked = False
            entry.turns.on_coordinator_lost()
            if not entry.cut:
                self._connect(number)

    async def _report(self, number: int) -> None:
        while True:
            entry = self.entries[number]
            if entry.linked and not entry.cut and str(number) in self.issuer.entries:
                # Reports arrive late, but in order, and not by an older link.
                report = (entry.turns.demand(), self.clock.now_ms(), entry.turns.received_number)
                delay_s = self.random.random() * MAX_DELAY_S
                link, term = entry.link, self.term
                await asyncio.sleep(delay_s)
                if (link, term) == (entry.link, self.term) and str(number) in self.issuer.entries:
                    demand, asked_ms, received = report
                    self.issuer.apply_demand(
                        str(number), demand, asked_ms=asked_ms, received_number=received
                    )
            await asyncio.sleep(0.01)
            try:
                async with asyncio.timeout(REPORT_S):
                    await entry.report_requested.wait()
            except TimeoutError:
                pass
            entry.report_requested.clear()

    async def _issue(self) -> None:
        while True:
            for instance, turns in self.issuer.issue().items():
                number = int(instance)
                link, term = self.entries[number].link, self.term
                delay_s = self.random.random() * MAX_DELAY_S
                self.loop.call_later(delay_s, self._deliver, number, link, term, turns)
            await asyncio.sleep(ROUND_S)

    def _deliver(self, number: int, link: int, term: int, turns: Turns) -> None:
        entry = self.entries[number]
        if entry.cut or (link, term) != (entry.link, self.term):
            return
        if turns.number == entry.turns.received_number + 1:
            entry.turns.apply(IssuedTurns(turns.number, turns.asked_ms, list(turns.traits)))
        else:
            # The messages of a link arrive in order.
            self.loop.call_later(ROUND_S, self._deliver, number, link, term, turns)

    def _arrive(self, number: int) -> None:
        entry = self.entries[number]
        self.numbers += 1
        task = asyncio.ensure_future(self._send(entry, _Copy(self.numbers, self.loop.time() + 4)))
        entry.tasks.add(task)
        task.add_done_callback(entry.tasks.discard)

    async def _send(self, entry: _Entry, copy: _Copy) -> None:
        began_s = self.loop.time()
        try:
            await entry.turns.wait(copy)  # type: ignore[arg-type]
        except RequestFailed:
            self.rejected += 1
            return
        finally:
            waited_ms = round((self.loop.time() - began_s) * 1000)
            self.longest_wait_ms = max(self.longest_wait_ms, waited_ms)
        self.sent += 1
        self.under_way += 1
        entry.at_targets[TRAITS.digest] = entry.at_targets.get(TRAITS.digest, 0) + 1
        if self._is_settled():
            self.most_settled = max(self.most_settled, self.under_way)
        try:
            await asyncio.sleep(self.random.random() * MAX_RUN_S)
        finally:
            self.under_way -= 1
            entry.at_targets[TRAITS.digest] -= 1
            if not entry.at_targets[TRAITS.digest]:
                del entry.at_targets[TRAITS.digest]
            entry.turns.end(copy)  # type: ignore[arg-type]
