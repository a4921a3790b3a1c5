"""Hold calls to engines to what the engines say of themselves."""

from mimosaspur_coordination.fleetports import CallDeferred
from mimosaspur_coordination.fleetports import EnginePort
from mimosaspur_coordination.fleetports import HeadHandler
from mimosaspur_coordination.fleetports import StoppedRun
from mimosaspur_daemon.direct.targetnotices import TargetNotices
from mimosaspur_state.fleet import EngineOrder
from mimosaspur_state.fleet import EngineReport
from mimosaspur_state.fleet import OrderOutcome
from mimosaspur_state.fleet import TargetRecord


class LimitedEngines:
    """Forward calls that the engines' notices permit."""

    __slots__ = ("notices", "port")

    def __init__(self, port: EnginePort, notices: TargetNotices) -> None:
        self.port = port
        self.notices = notices

    def set_head_handler(self, handler: HeadHandler) -> None:
        """Set what is called with the head of each answer."""
        self.port.set_head_handler(handler)

    async def report(self, target: TargetRecord) -> EngineReport | None:
        """Return the engine's report; raise CallDeferred if its limit permits none now."""
        if not self.notices.permits_report(target):
            raise CallDeferred
        return await self.port.report(target)

    async def order(self, target: TargetRecord, order: EngineOrder) -> OrderOutcome:
        """Send an order; raise CallDeferred if the limit doesn't permit it now."""
        if not self.notices.permits_call(target):
            self.notices.reserve_for_call(target)
            raise CallDeferred
        outcome = await self.port.order(target, order)
        if outcome in (OrderOutcome.UNKNOWN, OrderOutcome.CONFLICT):
            self.notices.need_report(target)
        return outcome

    async def stop_and_copy(
        self, source: TargetRecord, request: bytes, to: TargetRecord
    ) -> StoppedRun | None:
        """Stop a run and copy its state; return None if the limit doesn't permit it."""
        if not self.notices.permits_call(source):
            return None
        return await self.port.stop_and_copy(source, request, to)

    async def drop_copy(self, source: TargetRecord, handle: str) -> None:
        """Free the state of a stopped run; otherwise it lapses by itself."""
        if self.notices.permits_call(source):
            await self.port.drop_copy(source, handle)
