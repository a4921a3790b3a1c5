"""Tell how a request would be refused, and what would change that."""

from mimosaspur_daemon.direct.refusal import RequestFailed
from mimosaspur_daemon.direct.targetchooser import TargetChooser
from mimosaspur_protocol.explanations import ExplainedRefusal
from mimosaspur_state.codes import CODE_TABLE
from mimosaspur_state.codes import ResultCode

# What operators can change; the codes' own next steps are meant for callers.
_WOULD_CHANGE = {
    ResultCode.NOT_FOUND: "A route for this host and path.",
    ResultCode.NO_BUNDLE: "A configuration and a list of targets, from the store or a peer.",
    ResultCode.UNKNOWN_CREDENTIAL: "A key that a workspace holds; or name the workspace.",
    ResultCode.CONFIGURATION_OLD: "A connection to the store, or to the coordinator.",
    ResultCode.DRAINING: "Another entry: this one leaves.",
    ResultCode.DEADLINE_UNREACHABLE: "Less work queued at the targets that may run it, more of"
    " them, or a longer time limit.",
    ResultCode.TARGET_LIMITED: "A permit in time: more targets, or a higher limit of these.",
    ResultCode.TARGET_RESTING: "The end of the targets' rests, or more targets.",
    ResultCode.STREAM_VERSION_UNKNOWN: "An entry that remembers the stream's version, or the end of"
    " all versions but one.",
    ResultCode.STREAM_VERSION_GONE: "A target of the version that began the stream.",
    ResultCode.SUSPECT_WAITING: "The end of the request like it that waits or runs, or a verdict on"
    " the crashes: see the log lines crash and quarantined.",
    ResultCode.SHARE_EXCEEDED: "Less demand of this workspace, a higher weight of it, or more"
    " room at the service.",
    ResultCode.QUOTA_EXCEEDED: "Time in which the quota refills, or a higher quota.",
    ResultCode.QUOTA_UNKNOWN: "An update from a coordinator: see coordinator_lost.",
    ResultCode.REQUEST_QUARANTINED: "DELETE /quarantine/TRAIT, if the verdict is wrong.",
}


def explain_refusal(failure: RequestFailed, chooser: TargetChooser | None) -> ExplainedRefusal:
    """Return what a caller would be told, and what would change it."""
    info = CODE_TABLE[failure.code]
    return ExplainedRefusal(
        code=failure.code.value,
        name=failure.code.name,
        status=failure.status,
        meaning=f"{info.meaning} {failure.detail}".strip(),
        retry_after_s=failure.retry_after_s,
        would_change=_would_change(failure.code, chooser),
    )


def _would_change(code: ResultCode, chooser: TargetChooser | None) -> str:
    if code is ResultCode.NO_READY_TARGET and chooser:
        model = chooser.prompt.model
        if model and chooser.needs_engine():
            return f"An engine that holds {model} within the time that the caller waits."
        return f"A target of {chooser.service} that serves."
    return _WOULD_CHANGE.get(code, CODE_TABLE[code].next_step)
