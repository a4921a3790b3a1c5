"""Hold calls to engines within the request limits that the engines name."""

from mimosaspur_coordination.fleetports import CallDeferred
from mimosaspur_coordination.fleetports import EnginePort
from mimosaspur_coordination.fleetports import StoppedRun
from mimosaspur_daemon.direct.targetlimits import TargetLimits
from mimosaspur_state.fleet import EngineOrder
from mimosaspur_state.fleet import EngineReport
from mimosaspur_state.fleet import OrderOutcome
from mimosaspur_state.fleet import TargetRecord


class LimitedEngines:
    """Forward calls to engines that the limits permit."""

    __slots__ = ("limits", "port")

    def __init__(self, port: EnginePort, limits: TargetLimits) -> None:
        self.port = port
        self.limits = limits

    async def report(self, target: TargetRecord) -> EngineReport | None:
        """Return the engine's report; raise CallDeferred if its limit permits none now."""
        if not self.limits.permits_report(target):
            raise CallDeferred
        return await self.port.report(target)

    async def order(self, target: TargetRecord, order: EngineOrder) -> OrderOutcome:
        """Send an order; raise CallDeferred if the limit doesn't permit it now."""
        if not self.limits.permits_call(target):
            self.limits.reserve_for_call(target)
            raise CallDeferred
        outcome = await self.port.order(target, order)
        if outcome in (OrderOutcome.UNKNOWN, OrderOutcome.CONFLICT):
            self.limits.need_report(target)
        return outcome

    async def stop_and_copy(
        self, source: TargetRecord, request: bytes, to: TargetRecord
    ) -> StoppedRun | None:
        """Stop a run and copy its state; return None if the limit doesn't permit it."""
        if not self.limits.permits_call(source):
            return None
        return await self.port.stop_and_copy(source, request, to)

    async def drop_copy(self, source: TargetRecord, handle: str) -> None:
        """Free the state of a stopped run; otherwise it lapses by itself."""
        if self.limits.permits_call(source):
            await self.port.drop_copy(source, handle)
