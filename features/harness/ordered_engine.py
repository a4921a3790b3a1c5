"""Order a simulated engine as the coordinator does."""

from harness.direct_engine import SimulatedEngine
from harness.direct_entry import null_log
from harness.direct_fleet import ManualClock
from mimosaspur_coordination.fleetports import LeaseRecord
from mimosaspur_coordination.orderlease import OrderLease
from mimosaspur_coordination.outstandingloads import OutstandingLoads
from mimosaspur_daemon.direct.enginecontroller import EngineController
from mimosaspur_state.clock import SystemClock
from mimosaspur_state.fleet import TargetRecord

ADDRESS = ("127.0.0.1", 1)
RECORD = TargetRecord("engine-0", "service", ADDRESS, "here")
LOAD_MS = 150
POLL_S = 0.02


async def start_controller(
    engine: SimulatedEngine,
    *,
    record: TargetRecord = RECORD,
    outstanding: OutstandingLoads | None = None,
) -> EngineController:
    """Return the controller of an engine that has reported, with a lease that allows orders."""
    lease = OrderLease("me", handover_ms=0, clock=ManualClock(1_000))
    lease.acquire(LeaseRecord("me", ADDRESS, 1, 1), asked_ms=1_000, predecessor="")
    clock = SystemClock()
    log = null_log("me")
    controller = EngineController(
        record,
        port=engine,
        lease=lease,
        outstanding=outstanding or OutstandingLoads(clock=clock),
        clock=clock,
        log=log,
        on_change=lambda: None,
    )
    await controller.refresh()
    return controller
