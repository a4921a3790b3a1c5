"""Choose the target for a request."""

from collections.abc import Sequence

from mimosaspur_coordination.enginecosts import EngineCost
from mimosaspur_coordination.enginecosts import EngineCosts
from mimosaspur_coordination.enginecosts import common_cost
from mimosaspur_coordination.evenload import JITTER_MS
from mimosaspur_coordination.evenload import Candidate
from mimosaspur_coordination.evenload import draw
from mimosaspur_coordination.fleetview import Prompt
from mimosaspur_coordination.fleetview import TargetView
from mimosaspur_coordination.streampauses import IN_TIME_SHARE
from mimosaspur_coordination.streampauses import pause_penalty_ms
from mimosaspur_coordination.streampauses import pauses_too_long

# When more targets than this look unhealthy, the cause is probably shared and health is ignored.
PANIC_THRESHOLD_SHARE = 0.6
# A nominal value: the service time is seldom known, and only the order of the targets matters.
PLAIN_SERVICE_TIME_MS = 100.0


def preferred_targets(views: Sequence[TargetView]) -> list[TargetView]:
    """Return the targets that are neither avoided nor silent, or all if too many are."""
    # The conditions in front spare the calls for targets that can't be avoided or silent.
    healthy = [
        view
        for view in views
        if not (view.health.last_failure_share and view.health.is_avoided())
        and not ((view.awaited_streams or view.own_work.requests) and view.is_silent())
    ]
    if len(views) - len(healthy) > PANIC_THRESHOLD_SHARE * len(views):
        return list(views)
    return healthy or list(views)


def choose_engine(
    views: Sequence[TargetView],
    prompt: Prompt,
    *,
    rank: int,
    domain: str,
    kv_tokens: int,
    gap_objective_ms: float = 0.0,
    spare_ms: float = 0.0,
    spread_ms: float = 0.0,
) -> TargetView | None:
    """Return the engine with the lowest predicted time to first token, or one within the spread."""
    candidates = engine_candidates(
        views,
        prompt,
        rank=rank,
        domain=domain,
        kv_tokens=kv_tokens,
        gap_objective_ms=gap_objective_ms,
        spare_ms=spare_ms,
        spread_ms=spread_ms,
    )
    return draw(candidates, spread=spread_ms)


def engine_candidates(
    views: Sequence[TargetView],
    prompt: Prompt,
    *,
    rank: int,
    domain: str,
    kv_tokens: int,
    gap_objective_ms: float = 0.0,
    spare_ms: float = 0.0,
    spread_ms: float = 0.0,
    reach_ms: float | None = None,
) -> list[Candidate[TargetView]]:
    """Return the engines to draw from, with their costs.

    If streams have paused for longer than the limit, those pauses are weighed too, among the
    engines whose first event is expected well within the time left to the objective. Engines above
    the lowest cost by more than `reach_ms` may be left out; by default those that no draw reaches.
    """
    preferred = preferred_targets(views)
    if not preferred:
        return []
    if reach_ms is None:
        reach_ms = max(spread_ms, JITTER_MS)
    costs = EngineCosts(prompt, rank=rank, domain=domain, kv_tokens=kv_tokens, reach_ms=reach_ms)
    if gap_objective_ms and pauses_too_long(preferred[0]):

        def penalty(view: TargetView) -> float:
            return pause_penalty_ms(
                view, prompt, gap_objective_ms=gap_objective_ms, spare_ms=spare_ms
            )

        in_time = costs.with_penalty(preferred, penalty, limit_ms=IN_TIME_SHARE * spare_ms)
        if in_time:
            return _candidates(in_time)
    near = costs.in_reach(preferred)
    if spread_ms:
        # A prompt part that another engine has to read again costs more than an even load gains.
        cached = min(near, key=lambda each: each[0])[1]
        near = [each for each in near if each[1] >= cached]
    return _candidates(near)


def choose_emptiest(views: Sequence[TargetView]) -> TargetView | None:
    """Return the target with the fewest requests, without jitter, so that entries agree on it."""

    def key(view: TargetView) -> tuple[int, str]:
        return view.request_count(), view.record.identity

    return min(preferred_targets(views), key=key, default=None)


def plain_candidates(views: Sequence[TargetView], *, domain: str) -> list[Candidate[TargetView]]:
    """Return the plain targets to draw from, with their costs."""
    return [
        (slots_ms(view) + common_cost(view, domain), 1.0, view) for view in preferred_targets(views)
    ]


def slots_ms(view: TargetView) -> float:
    """Return the cost of the requests at a plain target, by its slots."""
    return view.request_count() * PLAIN_SERVICE_TIME_MS / max(1, view.record.slots)


def _candidates(costs: Sequence[EngineCost]) -> list[Candidate[TargetView]]:
    return [(cost_ms, 1.0 / max(0.1, view.prefill_factor), view) for cost_ms, _, view in costs]
