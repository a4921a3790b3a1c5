"""Let one request at a time be sent of those that share a suspected trait."""

from collections.abc import Sequence
from typing import TYPE_CHECKING

from mimosaspur_coordination.quarantine.crashledger import CrashLedger
from mimosaspur_coordination.quarantine.traits import trait_name
from mimosaspur_daemon.direct.changenotifier import ChangeNotifier
from mimosaspur_state.clock import Clock
from mimosaspur_state.codes import ResultCode
from mimosaspur_state.eventlog import EventLog

if TYPE_CHECKING:
    from mimosaspur_daemon.direct.requesthandler import RequestHandler

# Limit on the wait for a turn: a run that crashes its target, or proves the request sound, takes
# less time.
MAX_TURN_WAIT_MS = 1_000
# After a refusal one of the requests before it has likely run.
REFUSED_RETRY_S = 1.0


class SuspectTurns:
    """Give the turn to one of the suspected requests that share a trait.

    A request takes it once there is a target for it, and keeps it until its attempt has ended.
    """

    def __init__(
        self,
        *,
        ledger: CrashLedger,
        at_targets: dict[bytes, int],
        changes: ChangeNotifier,
        clock: Clock,
        log: EventLog,
    ) -> None:
        self.ledger = ledger
        # Traits of requests that are at a target, with the numbers of these.
        self.at_targets = at_targets
        self.changes = changes
        self.clock = clock
        self.log = log
        # The requests that have a turn, with the traits that it is for.
        self.holders: dict[RequestHandler, Sequence[bytes]] = {}
        # The requests that wait for one, with the time since when; the oldest first.
        self.waiting: dict[RequestHandler, int] = {}

    def may_send(self, handler: "RequestHandler") -> bool:
        """Return whether a request is not suspected, or has the turn."""
        traits = self.ledger.holding(handler.traits)
        return not traits or set(traits) <= set(self.holders.get(handler, ()))

    def has_turn(self, handler: "RequestHandler") -> bool:
        """Return whether a request has a turn."""
        return handler in self.holders

    async def wait(self, handler: "RequestHandler") -> None:
        """Wait for the turn of a suspected request; raise RequestFailed if it doesn't come."""
        self.end(handler)
        began_ms = self.waiting[handler] = self.clock.now_ms()
        ends_ms = began_ms + MAX_TURN_WAIT_MS
        try:
            while not self._take(handler):
                left_ms = ends_ms - self.clock.now_ms()
                if left_ms <= 0:
                    raise handler.target_selector.refusal(
                        ResultCode.SUSPECT_WAITING, wanted_s=REFUSED_RETRY_S
                    )
                await self.changes.wait(left_ms / 1000)
        finally:
            del self.waiting[handler]

    def end(self, handler: "RequestHandler") -> None:
        """End the turn of a request, if it has one."""
        if self.holders.pop(handler, None) is not None:
            self.changes.notify()

    def _take(self, handler: "RequestHandler") -> bool:
        """Return whether a request need not wait any longer; give it the turn if it is free."""
        traits = self.ledger.holding(handler.traits)
        if not traits:
            return True
        if any(self.ledger.settles_in_ms(each) for each in traits):
            return False
        taken = {trait for held in self.holders.values() for trait in held}
        if not taken.isdisjoint(traits) or not self.at_targets.keys().isdisjoint(traits):
            return False
        self.holders[handler] = traits
        self._log(handler, traits)
        return True

    def _log(self, handler: "RequestHandler", traits: Sequence[bytes]) -> None:
        behind = [each for each in self.waiting if each is not handler]
        self.log.write(
            "turn",
            traits=list(map(trait_name, traits)),
            request=handler.request_id(),
            waited_ms=self.clock.now_ms() - self.waiting[handler],
            behind=sum(not set(traits).isdisjoint(each.traits.all()) for each in behind),
            crashes=max(map(self.ledger.crash_count, traits)),
        )
