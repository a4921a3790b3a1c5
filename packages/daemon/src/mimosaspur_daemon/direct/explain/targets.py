"""Tell what a choice saw of each target of a service."""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence

from mimosaspur_coordination.enginecosts import domain_penalty_ms
from mimosaspur_coordination.enginecosts import failure_penalty_ms
from mimosaspur_coordination.enginecosts import memory_penalty_ms
from mimosaspur_coordination.enginecosts import most_held_tokens
from mimosaspur_coordination.evenload import chances
from mimosaspur_coordination.fleetview import TargetView
from mimosaspur_coordination.streampauses import predicted_pause_ms
from mimosaspur_coordination.targetchoice import slots_ms
from mimosaspur_daemon.direct.targetchooser import TargetChooser
from mimosaspur_protocol.explanations import ExplainedTarget
from mimosaspur_state.codes import ResultCode

# A part of a cost that is smaller is an error of rounding.
LEAST_PART_MS = 0.05

# A step of the choice, with the code and the reason of the targets that don't pass it.
Step = tuple[Sequence[TargetView], Callable[[TargetView], tuple[ResultCode | None, str]]]


def explain_targets(chooser: TargetChooser, *, chosen: bool) -> list[ExplainedTarget]:
    """Return what the chooser's last choice saw of each target, the most probable ones first.

    If no target was chosen, all of them were expected to be too late.
    """
    state = chooser.state
    candidates, spread = chooser.weighed
    costs = {view.record.identity: cost for cost, _, view in candidates}
    drawn = chances(candidates, spread=spread) if candidates else []
    names = [view.record.identity for _, _, view in candidates]
    probabilities = dict(zip(names, drawn, strict=True))
    reasons = _reasons(chooser)
    views = state.fleet.by_service.get(chooser.service, {})
    targets = [
        _explain(chooser, view, reasons.get(name, (None, "")), costs.get(name))
        for name, view in views.items()
    ]
    if chosen:
        for target in targets:
            target.probability = round(probabilities.get(target.target, 0.0), 4)
    return sorted(targets, key=_order)


def _order(target: ExplainedTarget) -> tuple[float, bool, float, str]:
    cost = float("inf") if target.cost_ms is None else target.cost_ms
    return -target.probability, not target.may_run, cost, target.target


def _explain(
    chooser: TargetChooser,
    view: TargetView,
    reason: tuple[ResultCode | None, str],
    cost: float | None,
) -> ExplainedTarget:
    code, text = reason
    explained = ExplainedTarget(
        target=view.record.identity,
        failure_domain=view.record.failure_domain,
        software=view.record.version,
        may_run=code is None,
        code=code.value if code else 0,
        reason=text,
        requests=view.request_count(),
    )
    if chooser.needs_engine():
        predicted_ms = view.first_token_ms(chooser.prompt, rank=chooser.weighed_rank)
        explained.first_event_ms = round(predicted_ms, 1)
        explained.longest_pause_ms = round(predicted_pause_ms(view, chooser.prompt), 1)
    if cost is not None:
        explained.cost_ms = round(cost, 1)
        explained.cost_parts_ms = _cost_parts(chooser, view, cost)
    return explained


def _cost_parts(chooser: TargetChooser, view: TargetView, cost: float) -> dict[str, float]:
    """Return the parts of a cost; what the other parts leave is that of pauses."""
    if chooser.isolated:
        return {}
    domain = chooser.state.settings.failure_domain
    parts = {"domain": domain_penalty_ms(view, domain), "failures": failure_penalty_ms(view)}
    if chooser.needs_engine():
        engine = chooser.spec.engine if chooser.spec else None
        parts["first_event"] = view.first_token_ms(chooser.prompt, rank=chooser.weighed_rank)
        kv_tokens = engine.kv_cache_tokens if engine else 0
        most_held = most_held_tokens(chooser.prompt, kv_tokens=kv_tokens)
        parts["memory"] = memory_penalty_ms(view, most_held=most_held)
        parts["pauses"] = cost - sum(parts.values())
    else:
        parts["requests"] = slots_ms(view)
    return {name: round(part, 1) for name, part in parts.items() if part >= LEAST_PART_MS}


def _reasons(chooser: TargetChooser) -> Mapping[str, tuple[ResultCode | None, str]]:
    """Return why targets aren't weighed: the first step of the choice that they don't pass."""
    left = list(chooser.state.fleet.by_service.get(chooser.service, {}).values())
    reasons: dict[str, tuple[ResultCode | None, str]] = {}
    for passed, reason in _steps(chooser):
        passing = {view.record.identity for view in passed}
        for view in left:
            if view.record.identity not in passing:
                reasons[view.record.identity] = reason(view)
        left = [view for view in left if view.record.identity in passing]
    return reasons


def _steps(chooser: TargetChooser) -> list[Step]:
    state, prompt = chooser.state, chooser.prompt
    allowed = chooser.allowed_by_version()
    steps: list[Step] = [
        (
            state.fleet.serving_targets(chooser.service),
            lambda view: (ResultCode.DRAINING, "leaves"),
        ),
        (allowed, lambda view: (ResultCode.STREAM_VERSION_GONE, f"runs {view.record.version}")),
    ]
    candidates = allowed
    if chooser.needs_engine():
        holding = [view for view in allowed if view.can_run(prompt)]
        candidates = chooser.holders()
        steps += [
            (holding, lambda view: (ResultCode.NOT_READY_HERE, _missing(chooser, view))),
            (
                candidates,
                lambda view: (ResultCode.NO_READY_TARGET, "accepted no connection, cools down"),
            ),
        ]
    sendable = chooser.permits.sendable(candidates)
    weighed = [view for _, _, view in chooser.weighed[0]]
    return [
        *steps,
        (sendable, lambda view: _held(chooser, view)),
        (weighed, lambda view: (None, _passed_over(view))),
    ]


def _missing(chooser: TargetChooser, view: TargetView) -> str:
    model, adapter = chooser.prompt.model, chooser.prompt.adapter
    if model not in view.residents:
        return f"doesn't hold {model}"
    if model in view.unloading:
        return f"is about to unload {model}"
    return f"doesn't hold the adapter {adapter}"


def _held(chooser: TargetChooser, view: TargetView) -> tuple[ResultCode, str]:
    notices = chooser.state.notices
    if rest_ms := notices.rest_ms(view.record):
        return ResultCode.TARGET_RESTING, f"rests for {rest_ms} ms"
    per_s = notices.limit_per_s(view.record)
    if per_s is None:
        return ResultCode.DRAINING, "leaves"
    return ResultCode.TARGET_LIMITED, f"takes {per_s:g} requests a second, no permit is left"


def _passed_over(view: TargetView) -> str:
    if view.is_silent():
        return "silent; others are preferred"
    if view.health.is_avoided():
        return "failed recently; others are preferred"
    return "others have room, cost less or keep pauses"
