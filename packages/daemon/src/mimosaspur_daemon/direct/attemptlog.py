"""Log what became of a request at one target."""

import asyncio
from typing import TYPE_CHECKING

from mimosaspur_coordination.fleetview import TargetView
from mimosaspur_daemon.direct.attempt import AttemptResult

if TYPE_CHECKING:
    from mimosaspur_daemon.direct.requesthandler import RequestHandler


def log_attempt(
    journey: "RequestHandler",
    view: TargetView,
    result: AttemptResult,
    offer: int,
    *,
    continued: bool,
) -> None:
    """Write the line of an attempt that has ended, and count its times."""
    log = journey.state.log
    if journey.first_ms:
        log.counters.observe("first_event_ms", journey.first_ms)
    log.counters.observe("waited_ms", journey.waited_ms)
    log.write(
        "answered" if result is AttemptResult.DONE else "attempt",
        request=journey.request_id(),
        workspace=journey.workspace.name if journey.workspace else "",
        route=journey.route.name,
        model=journey.prompt.model,
        adapter=journey.prompt.adapter,
        target=view.record.identity,
        offer=offer,
        continued=continued,
        result=result.value,
        cause=journey.cause,
        started=journey.started,
        last_event=journey.cutter.last_id,
        waited_ms=journey.waited_ms,
        rank=journey.target_selector.rank,
        predicted_ms=journey.predicted_ms,
        first_ms=journey.first_ms,
        objective_ms=journey.route.objective_ms,
        longest_pause_ms=journey.longest_pause_ms,
        lasted_ms=round((asyncio.get_running_loop().time() - journey.request.arrived_s) * 1000),
        at_target=view.request_count(),
        failing=round(view.health.failure_share(), 2),
    )
