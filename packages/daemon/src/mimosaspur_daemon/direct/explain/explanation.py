"""Explain the choice for one request by running it without effects."""

import asyncio
import math

from mimosaspur_coordination.fleetview import TargetView
from mimosaspur_coordination.quarantine.traits import RequestTraits
from mimosaspur_daemon.direct.admission import check_leaving
from mimosaspur_daemon.direct.admission import find_route
from mimosaspur_daemon.direct.admission import pick_service
from mimosaspur_daemon.direct.entrystate import EntryState
from mimosaspur_daemon.direct.explain.question import as_request
from mimosaspur_daemon.direct.explain.question import workspace_of
from mimosaspur_daemon.direct.explain.refusals import explain_refusal
from mimosaspur_daemon.direct.explain.streams import explain_stream
from mimosaspur_daemon.direct.explain.targets import explain_targets
from mimosaspur_daemon.direct.prompts import read_prompt
from mimosaspur_daemon.direct.prompts import time_limit_ms
from mimosaspur_daemon.direct.refusal import RequestFailed
from mimosaspur_daemon.direct.requestdigest import request_traits
from mimosaspur_daemon.direct.requesthandler import OTHER_ENTRY_RETRY_S
from mimosaspur_daemon.direct.streamcontinuation import StreamContinuation
from mimosaspur_daemon.direct.streamversions import ANSWER_TIMEOUT_S
from mimosaspur_daemon.direct.suspectturns import MAX_TURN_WAIT_MS
from mimosaspur_daemon.direct.targetchooser import TargetChooser
from mimosaspur_daemon.direct.workspacequota import check_quota
from mimosaspur_protocol.explanations import ExplainedWait
from mimosaspur_protocol.explanations import ExplainRequest
from mimosaspur_protocol.explanations import Explanation
from mimosaspur_state.codes import ResultCode
from mimosaspur_state.routes import Route
from mimosaspur_transport.callerconnection import CallerRequest

# The chosen target cools down for this long in the choice of the next one.
NEXT_COOLDOWN_S = 60.0


def explain(state: EntryState, question: ExplainRequest) -> Explanation:
    """Return where a request would be sent now, and why; raise BadQuestion."""
    request = as_request(
        question, state.dependencies.dialect, arrived_s=asyncio.get_running_loop().time()
    )
    explanation = Explanation(state.settings.instance, state.version())
    try:
        route = find_route(state, request)
        explanation.route = route.name
        chooser = _chooser(state, question, route, request)
    except RequestFailed as failure:
        explanation.refusal = explain_refusal(failure, None)
        return explanation
    explanation.service = chooser.service
    explanation.workspace = chooser.workspace.name if chooser.workspace else ""
    view: TargetView | None = None
    try:
        traits = request_traits(request, chooser.workspace, chooser.prompt)
        _check_admission(chooser, traits, explanation)
        view = chooser.target_now()
        if view is None:
            explanation.waits_for = explanation.waits_for or _wait(chooser)
        elif chooser.queued.reason:
            explanation.waits_for = explanation.waits_for or _hold(chooser)
        elif not chooser.needs_engine() and chooser.leaves_room(view):
            explanation.waits_for = explanation.waits_for or _room(chooser)
        elif state.quarantine.is_suspected(traits):
            explanation.waits_for = explanation.waits_for or _turn()
    except RequestFailed as failure:
        explanation.refusal = explain_refusal(failure, chooser)
    explanation.rank = chooser.weighed_rank
    explanation.load_age_ms = chooser.load_age_ms
    explanation.spread_ms = round(chooser.weighed[1], 1)
    explanation.targets = explain_targets(chooser, chosen=view is not None)
    if view is not None:
        explanation.chosen = view.record.identity
        explanation.next = _next(chooser, view)
    return explanation


def _chooser(
    state: EntryState, question: ExplainRequest, route: Route, request: CallerRequest
) -> TargetChooser:
    """Return a chooser as the request's handler would make it; raise RequestFailed."""
    dialect = state.dependencies.dialect
    workspace = workspace_of(state, question, route, request)
    service = pick_service(route)
    prompt = read_prompt(request.headers, dialect)
    limit_s = time_limit_ms(request, route, dialect) / 1000
    configuration = state.configuration
    return TargetChooser(
        state,
        route,
        service,
        configuration.services.get(service) if configuration else None,
        prompt,
        continuation=StreamContinuation(
            state.stream_versions, request.headers, dialect, route=route, service=service
        ),
        request="",
        digest=request_traits(request, workspace, prompt).digest,
        workspace=workspace,
        arrived_s=request.arrived_s,
        deadline_s=request.arrived_s + limit_s,
    )


def _check_admission(
    chooser: TargetChooser, traits: RequestTraits, explanation: Explanation
) -> None:
    """Check what precedes the choice, in the order of a request; raise RequestFailed."""
    quarantine = chooser.state.quarantine
    check_leaving(chooser)
    quarantine.check(traits)
    check_quota(chooser)
    explanation.waits_for = _version_wait(chooser, explanation)
    untold_ms = quarantine.told_by_ms - chooser.state.clock.now_ms()
    if untold_ms > 0:
        what = "what other entries know of crashes, as this one has just started"
        explanation.waits_for = explanation.waits_for or ExplainedWait(what, at_most_ms=untold_ms)
    if wait_ms := quarantine.refused_wait_ms(traits):
        raise chooser.refusal(ResultCode.SUSPECT_WAITING, wanted_s=wait_ms / 1000)
    if quarantine.is_held(traits):
        held_ms = max(map(quarantine.ledger.held_ms, quarantine.ledger.holding(traits)))
        what = "a verdict on crashes of targets that requests like it may have caused"
        explanation.waits_for = explanation.waits_for or ExplainedWait(what, at_most_ms=held_ms)
    chooser.isolated = quarantine.is_isolated(traits)


def _version_wait(chooser: TargetChooser, explanation: Explanation) -> ExplainedWait | None:
    """Return the wait for other entries to tell a resumed stream's version, None without it.

    Raise RequestFailed if the version is unknown and there is no other entry to ask.
    """
    continuation = chooser.continuation
    if continuation is None or not continuation.is_resumption:
        return None
    asks_others = continuation.asks_others()
    source = None if asks_others else continuation.resolve_here()
    explanation.stream = explain_stream(chooser, continuation.version, source)
    if asks_others:
        # An explanation doesn't ask them.
        at_most_ms = round(ANSWER_TIMEOUT_S * 1000)
        what = "the software version that began the stream"
        return ExplainedWait(what, at_most_ms=at_most_ms)
    if source is None:
        raise chooser.refusal(ResultCode.STREAM_VERSION_UNKNOWN, wanted_s=OTHER_ENTRY_RETRY_S)
    return None


def _wait(chooser: TargetChooser) -> ExplainedWait:
    """Return what a request that no target takes now waits for; raise RequestFailed."""
    wait = chooser.engine_wait() if chooser.needs_engine() else chooser.plain_wait()
    if wait.is_in_vain:
        raise chooser.refusal_in_vain(wait)
    if wait.held:
        names = ", ".join(view.record.identity for view in wait.held)
        what = f"a permit, or the end of a rest, of {names}"
    elif chooser.prompt.model:
        what = f"an engine that holds {chooser.prompt.model} and takes it"
    else:
        what = "a target that takes it"
    is_known = math.isfinite(wait.expected_s) and wait.expected_s > 0
    expected_ms = round(wait.expected_s * 1000) if is_known else None
    return ExplainedWait(what, expected_ms, round(wait.left_s * 1000))


def _hold(chooser: TargetChooser) -> ExplainedWait:
    """Return what a request waits for that is held back for more urgent ones."""
    at_most_ms = round(chooser.longest_hold_s() * 1000)
    what = f"more urgent requests ({chooser.queued.reason})"
    return ExplainedWait(what, at_most_ms=at_most_ms)


def _room(chooser: TargetChooser) -> ExplainedWait:
    """Return what a plain request waits for that exceeds its workspace's share."""
    at_most_ms = round(chooser.longest_hold_s() * 1000)
    return ExplainedWait("room that other workspaces leave", at_most_ms=at_most_ms)


def _turn() -> ExplainedWait:
    """Return what a suspected request waits for once there is a target for it."""
    what = "its turn among the requests that may have crashed a target"
    return ExplainedWait(what, at_most_ms=MAX_TURN_WAIT_MS)


def _next(chooser: TargetChooser, view: TargetView) -> str | None:
    """Return the target that is chosen if the first one refuses the request, None without."""
    chooser.cool_down(view, NEXT_COOLDOWN_S)
    try:
        following = chooser.target_now()
    except RequestFailed:
        return None
    return following.record.identity if following else None
