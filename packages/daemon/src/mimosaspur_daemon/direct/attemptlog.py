"""Log the outcome of a request at one target, and the targets that fall silent."""

import asyncio
from typing import TYPE_CHECKING

from mimosaspur_coordination.fleetview import TargetView

if TYPE_CHECKING:
    from mimosaspur_daemon.direct.attempt import Attempt
    from mimosaspur_daemon.direct.attemptresult import AttemptResult
    from mimosaspur_daemon.direct.offer import Offer


def log_attempt(offer: "Offer", result: "AttemptResult") -> None:
    """Log an attempt that has ended and record its latencies."""
    handler, view, attempt = offer.handler, offer.view, offer.attempt
    log = handler.state.log
    if handler.first_ms:
        log.counters.observe("first_event_ms", handler.first_ms)
    log.counters.observe("waited_ms", handler.waited_ms)
    log.counters.observe("load_age_ms", handler.target_selector.load_age_ms)
    if handler.longest_pause_ms:
        log.counters.observe("longest_pause_ms", handler.longest_pause_ms)
        if limit_ms := handler.route.gap_objective_ms:
            kept = handler.longest_pause_ms <= limit_ms
            log.counters.count("stream_pauses", "kept" if kept else "too_long")
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
        offer=offer.number,
        backup=offer.is_backup,
        continued=offer.continued is not None,
        result=result.value,
        cause=offer.cause,
        head=attempt.head_received if attempt else False,
        status=attempt.status if attempt else None,
        says=attempt.says if attempt else {},
        framing=offer.framing.value if offer.framing else None,
        port=attempt.channel.local_port() if attempt else 0,
        connection=offer.connection_end.value,
        unfinished_bytes=len(attempt.events.incomplete) if attempt else 0,
        started=handler.started,
        last_event=handler.cutter.last_id,
        waited_ms=handler.waited_ms,
        rank=attempt.rank if attempt else handler.target_selector.rank,
        share_exceeded=handler.target_selector.share.exceeded,
        predicted_ms=round(attempt.predicted_ms) if attempt else 0,
        first_ms=handler.first_ms,
        written_ms=attempt.written_ms() if attempt else 0,
        objective_ms=handler.route.objective_ms,
        load_age_ms=handler.target_selector.load_age_ms,
        predicted_pause_ms=_predicted_pause_ms(attempt),
        longest_pause_ms=handler.longest_pause_ms,
        lasted_ms=round((asyncio.get_running_loop().time() - handler.request.arrived_s) * 1000),
        at_target=view.request_count(),
        limit_per_s=handler.state.notices.limit_per_s(view.record),
        sent_recently=handler.state.notices.history.count(view.record.incarnation),
        failing=round(view.health.failure_share(), 2),
    )


def log_pausing_engine(attempt: "Attempt") -> None:
    """Log that streams were measured to pause for too long at a lifetime of an engine."""
    handler, view = attempt.handler, attempt.view
    handler.state.log.write(
        "pauses_too_long",
        request=handler.request_id(),
        route=handler.route.name,
        target=view.record.identity,
        incarnation=view.record.incarnation,
        pause_ms=round(attempt.pauses.longest_ms),
        limit_ms=handler.route.gap_objective_ms,
        predicted_ms=round(attempt.pauses.predicted_ms),
        # Pauses to expect by predicted ones: of all engines of the service, and of this one.
        common=round(view.pauses.common.value, 2),
        own=round(view.pauses.own.value, 2),
    )


def _predicted_pause_ms(attempt: "Attempt | None") -> int:
    """Return the predicted longest pause of an engine's stream that has a limit, or 0."""
    if attempt is None or not attempt.handler.route.gap_objective_ms:
        return 0
    return round(attempt.pauses.predicted_ms)


def log_silence(attempt: "Attempt", *, backup: TargetView | None, reason: str) -> None:
    """Log that a target is silent, and where a backup runs, or why there is none."""
    handler, view = attempt.handler, attempt.view
    runs = [each.runs.leading for each in handler.state.quarantine.handlers]
    here = [each for each in runs if each and each.view is view]
    handler.state.log.write(
        "silent",
        request=handler.request_id(),
        route=handler.route.name,
        model=handler.prompt.model,
        target=view.record.identity,
        backup=backup.record.identity if backup else None,
        reason=reason,
        silent_ms=attempt.silent_ms(),
        received_bytes=attempt.channel.received_bytes,
        head=attempt.head_received,
        last_event=handler.cutter.last_id,
        written_ms=attempt.written_ms(),
        left_ms=round(handler.target_selector.remaining_s() * 1000),
        # This entry's other runs at the target, and the least time for which one was silent.
        others=len(here) - 1,
        least_silent_ms=min((each.silent_ms() for each in here), default=None),
        failing=round(view.health.failure_share(), 2),
    )


def log_endless(attempt: "Attempt", *, part: str, cause: str) -> None:
    """Log that a target sends bytes that are no answer, without end, and was cut off."""
    handler, view = attempt.handler, attempt.view
    handler.state.log.write(
        "endless",
        what=part,
        request=handler.request_id(),
        route=handler.route.name,
        model=handler.prompt.model,
        target=view.record.identity,
        cause=cause,
        head=attempt.head_received,
        status=attempt.status,
        received_bytes=attempt.channel.received_bytes,
        last_event=handler.cutter.last_id,
        lasted_ms=round((asyncio.get_running_loop().time() - attempt.sent_s) * 1000),
        left_ms=round(handler.target_selector.remaining_s() * 1000),
        failing=round(view.health.failure_share(), 2),
    )
