"""Count the streams that callers take up by whether they went on, and log why one couldn't."""

from typing import TYPE_CHECKING

from mimosaspur_daemon.direct.targetchooser import TargetChooser
from mimosaspur_state.codes import ResultCode

if TYPE_CHECKING:
    from mimosaspur_daemon.direct.requesthandler import RequestHandler

# Targets that a log line names for each version.
MAX_NAMED = 4


def record_take_up(handler: "RequestHandler", code: ResultCode | None) -> None:
    """Record the outcome of a request that takes a stream up, if it is one; a code if it failed."""
    if not handler.continuation.is_resumption:
        return
    counters = handler.state.log.counters
    if handler.last_event_s:
        counters.count("stream_taken_up", "went_on")
        return
    if code is not ResultCode.STREAM_VERSION_GONE:
        counters.count("stream_taken_up", str(code.value) if code else "failed")
        return
    reason = version_gone_reason(handler.target_selector)
    counters.count("stream_taken_up", f"{code.value}_{reason}")
    handler.state.log.write(
        "stream_ended",
        request=handler.request_id(),
        resumes=handler.resumes(),
        version=handler.continuation.version,
        model=handler.prompt.model,
        reason=reason,
        holders=holders_by_version(handler.target_selector),
        loading_ms=handler.state.load_outlook.version_loading_ms(
            handler.prompt.model, handler.continuation.version or ""
        ),
    )


def version_gone_reason(chooser: TargetChooser) -> str:
    """Return why a stream can't go on at its version."""
    return "not_held" if chooser.allowed_by_version() else "no_target"


def holders_by_version(chooser: TargetChooser) -> dict[str, list[str]]:
    """Return some of the targets that hold a request's model, by version."""
    holders: dict[str, list[str]] = {}
    for view in chooser.state.fleet.serving_targets(chooser.service):
        named = holders.setdefault(view.record.version, [])
        if view.can_run(chooser.prompt) and len(named) < MAX_NAMED:
            named.append(view.record.identity)
    return holders
