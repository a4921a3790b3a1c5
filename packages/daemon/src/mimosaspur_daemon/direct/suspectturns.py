"""Send one request at a time of those that share a suspected trait, over all entries."""

from collections.abc import Callable
from collections.abc import Iterable
from typing import TYPE_CHECKING

from mimosaspur_coordination.quarantine.crashledger import CrashLedger
from mimosaspur_coordination.quarantine.traits import trait_name
from mimosaspur_coordination.quarantine.turnissuer import ISOLATION
from mimosaspur_coordination.quarantine.turnissuer import TURN_VALIDITY_MS
from mimosaspur_coordination.quarantine.turnissuer import Traits
from mimosaspur_coordination.quarantine.turnissuer import TurnDemand
from mimosaspur_daemon.direct.changenotifier import ChangeNotifier
from mimosaspur_protocol.peermessages import IssuedTurns
from mimosaspur_state.clock import Clock
from mimosaspur_state.codes import ResultCode
from mimosaspur_state.eventlog import EventLog

if TYPE_CHECKING:
    from mimosaspur_daemon.direct.requesthandler import RequestHandler

# Requests that may have caused this many crashes don't run beside one another, so that the next
# crash tells them apart.
ISOLATION_THRESHOLD = 2
# Limit on the wait for a turn: a run that crashes its target, or proves the request sound, takes
# less time.
MAX_TURN_WAIT_MS = 1_000
# A request that has waited for this long without a coordinator needs no turn but this entry's own.
UNCOORDINATED_WAIT_MS = 500
# A lost coordinator is followed by another one within this time, unless none can be reached.
ELECTION_MS = 1_500
# How often a request looks whether a coordinator has been lost.
RECHECK_INTERVAL_MS = 100
# After a refusal one of the requests before it has likely run.
REFUSED_RETRY_S = 1.0


class SuspectTurns:
    """Hold the turns of this entry's suspected requests.

    A request asks for its turn once there is a target for it, and keeps it until its attempt has
    ended. The coordinator gives turns; an entry that follows none gives its own.
    """

    def __init__(
        self,
        *,
        ledger: CrashLedger,
        at_targets: dict[bytes, int],
        changes: ChangeNotifier,
        clock: Clock,
        log: EventLog,
        request_report: Callable[[], None],
    ) -> None:
        self.ledger = ledger
        # Traits of requests that are at a target, with the numbers of these.
        self.at_targets = at_targets
        self.changes = changes
        # Counts the time while the machine is suspended, as the turns' validity does.
        self.clock = clock
        self.log = log
        # Called to send the coordinator a report soon.
        self.request_report = request_report
        # The requests that have a turn, with the traits that it is for.
        self.holders: dict[RequestHandler, Traits] = {}
        # The requests that wait for one, with the time since when; the oldest first.
        self.waiting: dict[RequestHandler, int] = {}
        # Requests that may take a turn that was given, its traits and when it lapses.
        self.assigned: dict[RequestHandler, tuple[Traits, int]] = {}
        # The number of the last message with turns on the present link.
        self.received_number = 0
        # The number of the coordinator's last message with crashes on the present link.
        self.crashes_number = 0
        # Whether a coordinator gives turns, and when the last one was lost; None if there was none.
        self.coordinated = False
        self.lost_ms: int | None = None

    def may_send(self, handler: "RequestHandler") -> bool:
        """Return whether a request is not suspected, or has the turn."""
        traits = self._suspected(handler)
        return not traits or set(traits) <= set(self.holders.get(handler, ()))

    def has_turn(self, handler: "RequestHandler") -> bool:
        """Return whether a request has a turn."""
        return handler in self.holders

    async def wait(self, handler: "RequestHandler") -> None:
        """Wait for the turn of a suspected request; raise RequestFailed if it doesn't come."""
        self.end(handler)
        began_ms = self.waiting[handler] = self.clock.now_ms()
        ends_ms = began_ms + MAX_TURN_WAIT_MS
        self.request_report()
        try:
            while not self._take(handler):
                left_ms = ends_ms - self.clock.now_ms()
                if left_ms <= 0:
                    raise handler.target_selector.refusal(
                        ResultCode.SUSPECT_WAITING, wanted_s=REFUSED_RETRY_S
                    )
                await self.changes.wait(min(left_ms, RECHECK_INTERVAL_MS) / 1000)
        finally:
            del self.waiting[handler]
            self.assigned.pop(handler, None)

    def end(self, handler: "RequestHandler") -> None:
        """End the turn of a request, if it has one."""
        if self.holders.pop(handler, None) is not None:
            self.request_report()
            self.changes.notify()

    def demand(self) -> TurnDemand:
        """Return what to report to the coordinator."""
        waiting = dict.fromkeys(map(self._suspected, self.waiting))
        asked = [traits for traits in waiting if traits and not self._is_held(traits)]
        taken = [*self.holders.values(), *(traits for traits, _ in self.assigned.values())]
        sent = {trait for traits in taken for trait in traits}
        sent.update(self.ledger.suspected(self.at_targets))
        return TurnDemand(asked, frozenset(sent))

    def apply(self, message: IssuedTurns) -> None:
        """Apply the turns that the coordinator has given."""
        self.received_number = message.number
        lapses_ms = message.asked_ms + TURN_VALIDITY_MS
        for traits in message.traits:
            waiting = [each for each in self.waiting if self._suspected(each) == traits]
            if waiting:
                # A late request would wait in a target's queue behind all others.
                chosen = max(waiting, key=lambda each: each.deadline_s)
                self.assigned[chosen] = traits, lapses_ms
        self.request_report()
        self.changes.notify()

    def on_crashes_number(self, number: int) -> None:
        """Tell the coordinator what is under way of all that its last update made suspected."""
        if number != self.crashes_number:
            self.crashes_number = number
            self.request_report()

    def on_coordinator_lost(self) -> None:
        """Drop the turns that no request has taken yet."""
        if self.coordinated:
            self.lost_ms = self.clock.now_ms()
        self.coordinated = False
        self.received_number = 0
        self.crashes_number = 0
        self.assigned.clear()

    def is_isolated(self, traits: Iterable[bytes]) -> bool:
        """Return whether a request with suspected traits may run beside no other such request."""
        return any(self.ledger.crash_count(each) >= ISOLATION_THRESHOLD for each in traits)

    def _suspected(self, handler: "RequestHandler") -> Traits:
        """Return what a request needs a turn for."""
        traits = self.ledger.holding(handler.traits)
        if self.is_isolated(traits):
            traits.append(ISOLATION)
        return tuple(sorted(traits))

    def _is_held(self, traits: Traits) -> bool:
        return any(self.ledger.held_ms(each) for each in traits)

    def _take(self, handler: "RequestHandler") -> bool:
        """Return whether a request need not wait any longer; give it the turn if it is free."""
        traits = self._suspected(handler)
        if not traits:
            return True
        if self._is_held(traits):
            return False
        assigned, lapses_ms = self.assigned.pop(handler, (None, 0))
        issued = assigned == traits and lapses_ms > self.clock.now_ms()
        if not issued and not self._may_take_own(handler, traits):
            return False
        self.holders[handler] = traits
        self._log(handler, traits, issued=issued)
        return True

    def _may_take_own(self, handler: "RequestHandler", traits: Traits) -> bool:
        """Return whether this entry gives a turn itself, as no coordinator does."""
        waited_ms = self.clock.now_ms() - self.waiting[handler]
        if self.coordinated or waited_ms < UNCOORDINATED_WAIT_MS:
            return False
        if self.lost_ms is not None and self.clock.now_ms() - self.lost_ms < ELECTION_MS:
            return False
        taken = {trait for held in self.holders.values() for trait in held}
        return taken.isdisjoint(traits) and self.at_targets.keys().isdisjoint(traits)

    def _log(self, handler: "RequestHandler", traits: Traits, *, issued: bool) -> None:
        behind = [each for each in self.waiting if each is not handler]
        self.log.write(
            "turn",
            traits=list(map(trait_name, traits)),
            request=handler.request_id(),
            given_by="coordinator" if issued else "this entry",
            waited_ms=self.clock.now_ms() - self.waiting[handler],
            behind=sum(not set(traits).isdisjoint(each.traits.all()) for each in behind),
            crashes=max(map(self.ledger.crash_count, traits)),
        )
