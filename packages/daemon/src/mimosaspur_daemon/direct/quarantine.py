"""Keep requests away from targets that they, or a part of their prompts, would crash."""

import asyncio
import contextlib
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
from typing import TYPE_CHECKING

from mimosaspur_coordination.fleetview import TargetView
from mimosaspur_coordination.quarantine.alternatives import alternatives
from mimosaspur_coordination.quarantine.blame import QUARANTINE_THRESHOLD
from mimosaspur_coordination.quarantine.crashledger import SETTLE_MS
from mimosaspur_coordination.quarantine.crashledger import Crash
from mimosaspur_coordination.quarantine.crashledger import CrashLedger
from mimosaspur_coordination.quarantine.crashledger import Stage
from mimosaspur_coordination.quarantine.traits import RequestTraits
from mimosaspur_coordination.quarantine.traits import is_part
from mimosaspur_coordination.quarantine.traits import trait_name
from mimosaspur_daemon.direct.changenotifier import ChangeNotifier
from mimosaspur_daemon.direct.crashdetector import CrashDetector
from mimosaspur_daemon.direct.missingentries import MISSING
from mimosaspur_daemon.direct.refusal import RequestFailed
from mimosaspur_daemon.direct.suspectturns import SuspectTurns
from mimosaspur_protocol.peermessages import CrashReport
from mimosaspur_state.clock import BoottimeClock
from mimosaspur_state.codes import ResultCode

if TYPE_CHECKING:
    from mimosaspur_daemon.direct.entrystate import EntryState
    from mimosaspur_daemon.direct.requesthandler import RequestHandler

# A run that has written for so long shows that its prompt doesn't crash its target.
WRITTEN_PROOF_MS = 1_000
# A process that has just started is told of crashes within this time by the entry that it follows,
# or by those that follow it.
TOLD_WITHIN_MS = 500
# Timers may fire slightly early.
TIMER_MARGIN_MS = 5


class Quarantine:
    """Hold back requests that are suspected of crashing targets, and reject those that do."""

    def __init__(self, state: "EntryState") -> None:
        self.state = state
        self.ledger = CrashLedger(clock=state.clock)
        self.detector = CrashDetector(state, on_crash=self._on_crash, on_survival=self.on_completed)
        self.handlers: set[RequestHandler] = set()
        # Traits of requests that are at a target, with the numbers of these.
        self.at_targets: dict[bytes, int] = {}
        # By trait, the one request that waits out the time in which none with it is sent.
        self.next_probes: dict[bytes, RequestHandler] = {}
        # Traits whose quarantine has been logged.
        self.announced: set[bytes] = set()
        self.changes = ChangeNotifier()
        self.turns = SuspectTurns(
            ledger=self.ledger,
            at_targets=self.at_targets,
            changes=self.changes,
            clock=BoottimeClock(),
            log=state.log,
            request_report=state.report_requested.set,
        )
        # The next review of the evidence, and whether another one must follow it.
        self.review: asyncio.TimerHandle | None = None
        self.review_again = False
        # Until when requests wait to be told of earlier crashes; 0 if they don't.
        self.told_by_ms = 0
        # What this entry last answered the coordinator on the present link.
        self.evidence_number = 0

    @contextlib.contextmanager
    def handling(self, handler: "RequestHandler") -> Iterator[None]:
        """Let a verdict on the request end its handler within the context."""
        self.handlers.add(handler)
        try:
            yield
        finally:
            self.handlers.discard(handler)
            self.turns.end(handler)
            for trait in handler.traits.all():
                if self.next_probes.get(trait) is handler:
                    del self.next_probes[trait]

    @contextlib.contextmanager
    def at_target(self, traits: RequestTraits) -> Iterator[None]:
        """Count a request as being at a target within the context."""
        for trait in traits.all():
            self.at_targets[trait] = self.at_targets.get(trait, 0) + 1
        try:
            yield
        finally:
            for trait in traits.all():
                self.at_targets[trait] -= 1
                if not self.at_targets[trait]:
                    del self.at_targets[trait]
            if self.ledger.holding(traits):
                self.state.report_requested.set()
                self.changes.notify()

    def on_started(self) -> None:
        """Hold requests until another entry has told of crashes, for a limited time."""
        self.told_by_ms = self.state.clock.now_ms() + TOLD_WITHIN_MS

    def on_told(self) -> None:
        """Hold requests no longer for what others know of crashes."""
        if self.told_by_ms:
            self.told_by_ms = 0
            self.changes.notify()

    def check(self, traits: RequestTraits) -> None:
        """Raise RequestFailed if a request is quarantined."""
        if self.ledger.has_quarantined(traits.all()):
            raise RequestFailed(ResultCode.REQUEST_QUARANTINED)

    async def wait_for_verdict(self, handler: "RequestHandler") -> None:
        """Wait for a verdict on a request that is due; raise RequestFailed if it is to wait on."""
        while (untold_ms := self.told_by_ms - self.state.clock.now_ms()) > 0:
            await self.changes.wait(untold_ms / 1000)
        while True:
            self.check(handler.traits)
            traits = self.ledger.holding(handler.traits)
            if not traits:
                return
            wait_ms = max(map(self.ledger.settles_in_ms, traits))
            if not wait_ms:
                if max(map(self.ledger.crash_count, traits)) >= QUARANTINE_THRESHOLD:
                    self._apply_verdicts()
                    self.check(handler.traits)
                wait_ms = max(map(self.ledger.held_ms, traits))
                if not wait_ms:
                    return
                if any(
                    self.next_probes.setdefault(each, handler) is not handler for each in traits
                ):
                    raise handler.target_selector.refusal(
                        ResultCode.SUSPECT_WAITING, wanted_s=wait_ms / 1000
                    )
            await self.changes.wait(wait_ms / 1000)

    def refused_wait_ms(self, traits: RequestTraits) -> int:
        """Return for how long another request waits in place of one that comes now, 0 if none does.

        The one that comes is refused, as `wait_for_verdict` does once no verdict is due.
        """
        holding = self.ledger.holding(traits)
        if self.next_probes.keys().isdisjoint(holding):
            return 0
        if max(map(self.ledger.settles_in_ms, holding)):
            return 0
        return max(map(self.ledger.held_ms, holding))

    def may_send(self, handler: "RequestHandler") -> bool:
        """Return whether a request may be sent now."""
        return not self.is_held(handler.traits) and self.turns.may_send(handler)

    async def end_turn(self, handler: "RequestHandler", view: TargetView) -> None:
        """End a request's turn, once it is likely to be known whether its target has crashed."""
        if self.turns.has_turn(handler):
            await self.detector.wait_for_first_probe(view)
            self.turns.end(handler)

    def is_held(self, traits: RequestTraits) -> bool:
        """Return whether a request must not be sent now: it is quarantined, or a verdict is due."""
        if self.ledger.has_quarantined(traits.all()):
            return True
        return any(map(self.ledger.held_ms, self.ledger.holding(traits)))

    def is_suspected(self, traits: RequestTraits) -> bool:
        """Return whether a request is suspected of a crash that no verdict explains yet."""
        return bool(self.ledger.holding(traits))

    def is_isolated(self, traits: RequestTraits) -> bool:
        """Return whether a request should run where the fewest others would be lost."""
        return self.turns.is_isolated(self.ledger.holding(traits))

    def on_completed(self, traits: RequestTraits) -> None:
        """Clear a request that a target has run to its end, and the parts of its prompt."""
        suspected = [trait for trait in traits.all() if self.ledger.crash_count(trait)]
        cleared = self.ledger.clear(traits.digest)
        cleared |= self.ledger.on_served(traits.parts)
        if cleared:
            self._on_cleared(suspected, evidence="response")

    def on_written(self, traits: RequestTraits, written_ms: int) -> None:
        """Clear the parts of a prompt whose answer a target has been writing for long enough."""
        if written_ms >= WRITTEN_PROOF_MS and self.ledger.on_served(traits.parts):
            self._on_cleared(traits.parts, evidence="events")

    def _on_cleared(self, traits: Iterable[bytes], *, evidence: str) -> None:
        for trait in traits:
            self.state.log.write("cleared", trait=trait_name(trait), evidence=evidence)
        if self.ledger.has_undecided():
            # What was cleared may have been all that stood in the way of a verdict.
            self._apply_verdicts()
        self._schedule_review()
        self.state.report_requested.set()
        self.changes.notify()

    def on_coordinator_lost(self) -> None:
        """Rely on what this entry sees itself."""
        self.set_coverage(MISSING)
        self.turns.on_coordinator_lost()
        self.evidence_number = 0

    def on_coordinator_report(self, *, evidence_age_ms: int, gives_turns: bool) -> None:
        """Apply what a coordinator tells of the evidence of all entries, and of itself."""
        self.set_coverage(evidence_age_ms)
        self.turns.coordinated = gives_turns

    def set_coverage(self, age_ms: int) -> None:
        """Set for how long the evidence of all entries is known, MISSING while it isn't."""
        if self.ledger.set_covered(age_ms):
            self._schedule_review()

    def apply_reports(self, reports: Iterable[CrashReport], *, relay: bool) -> None:
        """Merge what another instance knows; relay it if this instance coordinates."""
        changed = False
        for each in reports:
            changed |= self.ledger.record(
                each.target,
                dict(each.traits),
                parts=each.parts,
                served=each.served,
                age_ms=each.age_ms,
                acknowledged=each.acknowledged,
                report=relay,
            )
        if changed:
            self._on_change()

    def answer_number(self) -> int:
        """Return the number of the last update on whose crashes this entry has no more to tell.

        It is sent with, or after, the report of what this entry had there.
        """
        if not self._awaited_evidence():
            self.evidence_number = self.turns.crashes_number
        return self.evidence_number

    def _awaited_evidence(self) -> bool:
        """Return whether a request is at a target that others saw crash, or that is probed."""
        targets = set(self.ledger.unacknowledged())
        if not targets:
            return False
        offers = (each for handler in self.handlers for each in handler.runs.active.values())
        at_targets = {each.view.record.incarnation for each in offers if each.in_flight}
        return not targets.isdisjoint(at_targets | self.detector.probes.keys())

    def take_reports(self) -> list[CrashReport]:
        """Return what has changed since the last call."""
        return self._messages(self.ledger.take_unreported())

    def all_reports(self) -> list[CrashReport]:
        """Return all that is known."""
        return self._messages(self.ledger.crashes.values())

    def listing(self) -> list[dict[str, object]]:
        """Return what is quarantined, for operators, with the crashes that it is blamed for."""
        now_ms = self.state.clock.now_ms()
        return [
            {
                "trait": trait_name(trait),
                "crashes": [
                    {"target": crash.target, "age_ms": now_ms - crash.known_since_ms}
                    for crash in crashes
                ],
            }
            for trait, crashes in self.ledger.quarantined().items()
        ]

    def lift(self, trait: bytes) -> bool:
        """Clear a trait on an operator's behalf; return whether it was suspected."""
        known = self.ledger.clear(trait)
        self.state.log.always("quarantine_lifted", trait=trait_name(trait), known=known)
        self._on_change()
        return known

    def _on_crash(
        self, incarnation: str, requests: Mapping[RequestTraits, Stage], evidence_age_ms: int
    ) -> None:
        stages = {traits.digest: stage for traits, stage in requests.items()}
        parts = {traits.digest: traits.parts for traits in requests if traits.parts}
        if not self.ledger.record(incarnation, stages, parts=parts):
            return
        crash = self.ledger.crashes[incarnation]
        for traits, stage in requests.items():
            self.state.log.write(
                "crash",
                target=incarnation,
                digest=traits.digest.hex(),
                parts=traits.part_names(),
                stage=stage.name.lower(),
                evidence="connection refused",
                age_ms=evidence_age_ms,
                requests=crash.request_count(),
                crashes=max(map(self.ledger.crash_count, traits.all())),
            )
        self._on_change()

    def _on_change(self) -> None:
        """Review the evidence now, and again once it has settled."""
        self._clear_by_runs()
        self._apply_verdicts()
        self.changes.notify()
        self._schedule_review()

    def _clear_by_runs(self) -> None:
        """Clear the parts of requests that targets are answering."""
        for handler in list(self.handlers):
            if attempt := handler.runs.leading:
                self.on_written(handler.traits, attempt.written_ms())

    def _schedule_review(self) -> None:
        if self.review is not None:
            self.review_again = True
            return
        delay_s = (SETTLE_MS + TIMER_MARGIN_MS) / 1000
        self.review = asyncio.get_running_loop().call_later(delay_s, self._review)

    def _review(self) -> None:
        self.review = None
        self._clear_by_runs()
        self._apply_verdicts()
        if self.review_again:
            self.review_again = False
            self._schedule_review()

    def _apply_verdicts(self) -> None:
        self.ledger.assign_blame()
        quarantined = self.ledger.quarantined()
        for trait in quarantined.keys() - self.announced:
            self._announce(trait, quarantined[trait])
        if quarantined.keys() != self.announced:
            # Waiters review the evidence too: notified of each review, they would wake each other.
            self.announced = set(quarantined)
            self.changes.notify()
        for handler in list(self.handlers) if quarantined else ():
            if not quarantined.keys().isdisjoint(handler.traits.all()):
                handler.end_quarantined()
        if self.ledger.unreported:
            self.state.report_requested.set()

    def _announce(self, trait: bytes, crashes: Sequence[Crash]) -> None:
        now_ms = self.state.clock.now_ms()
        self.state.log.always(
            "quarantined",
            trait=trait_name(trait),
            kind="part" if is_part(trait) else "request",
            targets=[crash.target for crash in crashes],
            ages_ms=[now_ms - crash.known_since_ms for crash in crashes],
            crashes=len(crashes),
            considered=alternatives(trait, crashes),
        )

    def _messages(self, crashes: Iterable[Crash]) -> list[CrashReport]:
        now_ms = self.state.clock.now_ms()
        return [
            CrashReport(
                each.target,
                max(0, now_ms - each.known_since_ms),
                list(each.traits.items()),
                {digest: list(parts) for digest, parts in each.parts.items()},
                list(each.served),
                each.acknowledged,
            )
            for each in crashes
        ]
