"""Log the outcome of a request at one target, and the runs that are left for another one."""

import asyncio
from typing import TYPE_CHECKING

from mimosaspur_coordination.fleetview import TargetView

if TYPE_CHECKING:
    from mimosaspur_daemon.direct.attempt import Attempt
    from mimosaspur_daemon.direct.attempt import AttemptResult
    from mimosaspur_daemon.direct.requesthandler import RequestHandler


def log_attempt(
    handler: "RequestHandler",
    view: TargetView,
    result: "AttemptResult",
    offer: int,
    *,
    continued: bool,
) -> None:
    """Log an attempt that has ended and record its latencies."""
    log = handler.state.log
    if handler.first_ms:
        log.counters.observe("first_event_ms", handler.first_ms)
    log.counters.observe("waited_ms", handler.waited_ms)
    log.write(
        "answered" if result.value == "done" else "attempt",
        request=handler.request_id(),
        digest=handler.traits.digest.hex(),
        parts=handler.traits.part_names(),
        workspace=handler.workspace.name if handler.workspace else "",
        route=handler.route.name,
        model=handler.prompt.model,
        adapter=handler.prompt.adapter,
        target=view.record.identity,
        software=view.record.version,
        resumes=handler.resumes(),
        resumed_after=handler.resumed_after,
        offer=offer,
        continued=continued,
        result=result.value,
        cause=handler.cause,
        head=handler.head_received,
        status=handler.target_status,
        says=handler.target_says,
        framing=handler.framing.value if handler.framing else None,
        connection=handler.connection_end.value,
        unfinished_bytes=len(handler.cutter.incomplete),
        started=handler.started,
        last_event=handler.cutter.last_id,
        waited_ms=handler.waited_ms,
        rank=handler.target_selector.rank,
        predicted_ms=handler.predicted_ms,
        first_ms=handler.first_ms,
        written_ms=handler.written_ms,
        objective_ms=handler.route.objective_ms,
        longest_pause_ms=handler.longest_pause_ms,
        lasted_ms=round((asyncio.get_running_loop().time() - handler.request.arrived_s) * 1000),
        at_target=view.request_count(),
        limit_per_s=handler.state.notices.limit_per_s(view.record),
        sent_recently=handler.state.notices.history.count(view.record.incarnation),
        failing=round(view.health.failure_share(), 2),
    )


def log_left(attempt: "Attempt") -> None:
    """Log that a run is left because its target is silent, and what else is known of the target."""
    handler, view = attempt.handler, attempt.view
    runs = [each for each in handler.state.quarantine.handlers if each.attempt]
    here = [each.attempt for each in runs if each.attempt and each.attempt.view is view]
    handler.state.log.write(
        "left",
        request=handler.request_id(),
        route=handler.route.name,
        model=handler.prompt.model,
        target=view.record.identity,
        silent_ms=attempt.silent_ms(),
        head=handler.head_received,
        last_event=handler.cutter.last_id,
        written_ms=attempt.written_ms(),
        left_ms=round(handler.target_selector.remaining_s() * 1000),
        # This entry's other runs at the target, and the least time for which one was silent.
        others=len(here) - 1,
        least_silent_ms=min((each.silent_ms() for each in here), default=None),
        failing=round(view.health.failure_share(), 2),
    )
