"""Keep requests that crash targets away from them."""

import asyncio
import contextlib
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
from typing import TYPE_CHECKING

from mimosaspur_coordination.quarantine.blame import QUARANTINE_THRESHOLD
from mimosaspur_coordination.quarantine.crashledger import SETTLE_MS
from mimosaspur_coordination.quarantine.crashledger import Crash
from mimosaspur_coordination.quarantine.crashledger import CrashLedger
from mimosaspur_coordination.quarantine.crashledger import Stage
from mimosaspur_daemon.direct.changenotifier import ChangeNotifier
from mimosaspur_daemon.direct.crashdetector import CrashDetector
from mimosaspur_daemon.direct.refusal import RequestFailed
from mimosaspur_protocol.peermessages import CrashReport
from mimosaspur_state.codes import ResultCode

if TYPE_CHECKING:
    from mimosaspur_daemon.direct.entrystate import EntryState
    from mimosaspur_daemon.direct.requesthandler import RequestHandler

# A request that may have caused this many crashes runs where the fewest others would be lost.
ISOLATION_THRESHOLD = 2
# Limit on the wait for another copy of the same request: one that crashes targets does so sooner.
MAX_COPY_WAIT_MS = 1_000
# Timers may fire slightly early.
TIMER_MARGIN_MS = 5


class Quarantine:
    """Hold back requests that are suspected of crashing targets, and reject those that do."""

    def __init__(self, state: "EntryState") -> None:
        self.state = state
        self.ledger = CrashLedger(clock=state.clock)
        self.detector = CrashDetector(state, on_crash=self._on_crash, on_survival=self.on_completed)
        self.handlers: dict[bytes, set[RequestHandler]] = {}
        # Digests of requests that are at a target, with their numbers.
        self.at_targets: dict[bytes, int] = {}
        # The one copy of each suspect that may be sent.
        self.turns: dict[bytes, RequestHandler] = {}
        # Requests whose quarantine has been logged.
        self.announced: set[bytes] = set()
        self.changes = ChangeNotifier()
        # The next review of the evidence, and whether another one must follow it.
        self.review: asyncio.TimerHandle | None = None
        self.review_again = False

    @contextlib.contextmanager
    def handling(self, handler: "RequestHandler") -> Iterator[None]:
        """Let a verdict on the request end its handler within the context."""
        handlers = self.handlers.setdefault(handler.digest, set())
        handlers.add(handler)
        try:
            yield
        finally:
            handlers.discard(handler)
            if not handlers:
                self.handlers.pop(handler.digest, None)
            if self.turns.get(handler.digest) is handler:
                del self.turns[handler.digest]
                self.changes.notify()

    @contextlib.contextmanager
    def at_target(self, digest: bytes) -> Iterator[None]:
        """Count a request as being at a target within the context."""
        self.at_targets[digest] = self.at_targets.get(digest, 0) + 1
        try:
            yield
        finally:
            self.at_targets[digest] -= 1
            if not self.at_targets[digest]:
                del self.at_targets[digest]
            if self.ledger.crash_count(digest):
                self.changes.notify()

    def check(self, digest: bytes) -> None:
        """Raise RequestFailed if a request is quarantined."""
        if self.ledger.is_quarantined(digest):
            raise RequestFailed(ResultCode.REQUEST_QUARANTINED)

    async def wait_to_send(self, handler: "RequestHandler") -> None:
        """Wait until a suspected request may be sent; raise RequestFailed if it may not.

        It waits for a verdict that is due, and for some time for another copy of it.
        """
        digest = handler.digest
        clock = self.state.clock
        copy_wait_ends_ms = clock.now_ms() + MAX_COPY_WAIT_MS
        while count := self.ledger.crash_count(digest):
            wait_ms = self.ledger.settles_in_ms(digest)
            if count >= QUARANTINE_THRESHOLD and not wait_ms:
                self._apply_verdicts()
            self.check(digest)
            if not wait_ms:
                wait_ms = copy_wait_ends_ms - clock.now_ms()
                if wait_ms <= 0 or not self._other_copy_is_sent(handler):
                    self.turns[digest] = handler
                    return
            await self.changes.wait(wait_ms / 1000)

    def _other_copy_is_sent(self, handler: "RequestHandler") -> bool:
        turn = self.turns.get(handler.digest)
        if turn is None:
            # Copies may have been sent before the request was suspected.
            return handler.digest in self.at_targets
        return turn is not handler

    def is_held(self, digest: bytes) -> bool:
        """Return whether a request must not be sent now: it is quarantined, or a verdict is due."""
        return self.ledger.is_quarantined(digest) or self.ledger.settles_in_ms(digest) > 0

    def is_isolated(self, digest: bytes) -> bool:
        """Return whether a request should run where the fewest others would be lost."""
        return self.ledger.crash_count(digest) >= ISOLATION_THRESHOLD

    def on_completed(self, digest: bytes) -> None:
        """Clear a request that a target has run to its end."""
        crashes = self.ledger.crash_count(digest)
        if self.ledger.clear(digest):
            self.state.log.write("cleared", digest=digest.hex(), crashes=crashes)
            self._schedule_review()
            self.state.report_requested.set()
            self.changes.notify()

    def set_coverage(self, age_ms: int) -> None:
        """Set for how long the evidence of all entries is known, MISSING while it isn't."""
        if self.ledger.set_covered(age_ms):
            self._schedule_review()

    def apply_reports(self, reports: Iterable[CrashReport], *, relay: bool) -> None:
        """Merge what another instance knows; relay it if this instance coordinates."""
        changed = False
        for each in reports:
            changed |= self.ledger.record(
                each.target, dict(each.requests), age_ms=each.age_ms, report=relay
            )
        if changed:
            self._on_change()

    def take_reports(self) -> list[CrashReport]:
        """Return what has changed since the last call."""
        return self._messages(self.ledger.take_unreported())

    def all_reports(self) -> list[CrashReport]:
        """Return all that is known."""
        return self._messages(self.ledger.crashes.values())

    def listing(self) -> list[dict[str, object]]:
        """Return the quarantined requests for operators, with the crashes they are blamed for."""
        now_ms = self.state.clock.now_ms()
        return [
            {
                "digest": digest.hex(),
                "crashes": [
                    {"target": crash.target, "age_ms": now_ms - crash.known_since_ms}
                    for crash in crashes
                ],
            }
            for digest, crashes in self.ledger.quarantined().items()
        ]

    def lift(self, digest: bytes) -> bool:
        """Clear a request on an operator's behalf; return whether it was suspected."""
        known = self.ledger.clear(digest)
        self.state.log.always("quarantine_lifted", digest=digest.hex(), known=known)
        self._on_change()
        return known

    def _on_crash(
        self, incarnation: str, requests: Mapping[bytes, Stage], evidence_age_ms: int
    ) -> None:
        if not self.ledger.record(incarnation, requests):
            return
        for digest, stage in requests.items():
            self.state.log.write(
                "crash",
                target=incarnation,
                digest=digest.hex(),
                stage=stage.name.lower(),
                evidence="connection refused",
                age_ms=evidence_age_ms,
                requests=len(self.ledger.crashes[incarnation].requests),
                crashes=self.ledger.crash_count(digest),
            )
        self._on_change()

    def _on_change(self) -> None:
        """Review the evidence now, and again once it has settled."""
        self._apply_verdicts()
        self.changes.notify()
        self._schedule_review()

    def _schedule_review(self) -> None:
        if self.review is not None:
            self.review_again = True
            return
        delay_s = (SETTLE_MS + TIMER_MARGIN_MS) / 1000
        self.review = asyncio.get_running_loop().call_later(delay_s, self._review)

    def _review(self) -> None:
        self.review = None
        self._apply_verdicts()
        if self.review_again:
            self.review_again = False
            self._schedule_review()

    def _apply_verdicts(self) -> None:
        self.ledger.assign_blame()
        quarantined = self.ledger.quarantined()
        for digest in quarantined.keys() - self.announced:
            self._announce(digest, quarantined[digest])
        if quarantined.keys() != self.announced:
            # Waiters review the evidence too: notified of each review, they would wake each other.
            self.announced = set(quarantined)
            self.changes.notify()
        for digest in quarantined:
            for handler in self.handlers.get(digest, ()):
                handler.end_quarantined()
        if self.ledger.unreported:
            self.state.report_requested.set()

    def _announce(self, digest: bytes, crashes: Sequence[Crash]) -> None:
        now_ms = self.state.clock.now_ms()
        self.state.log.always(
            "quarantined",
            digest=digest.hex(),
            targets=[crash.target for crash in crashes],
            ages_ms=[now_ms - crash.known_since_ms for crash in crashes],
            crashes=len(crashes),
        )

    def _messages(self, crashes: Iterable[Crash]) -> list[CrashReport]:
        now_ms = self.state.clock.now_ms()
        return [
            CrashReport(
                each.target,
                max(0, now_ms - each.known_since_ms),
                list(each.requests.items()),
            )
            for each in crashes
        ]
