"""Choose the target for a request."""

import math
from collections.abc import Callable
from collections.abc import Sequence

from mimosaspur_coordination.evenload import JITTER_MS
from mimosaspur_coordination.evenload import draw
from mimosaspur_coordination.fleetview import Prompt
from mimosaspur_coordination.fleetview import TargetView
from mimosaspur_coordination.streampauses import IN_TIME_SHARE
from mimosaspur_coordination.streampauses import pause_penalty_ms
from mimosaspur_coordination.streampauses import pauses_too_long

# Higher than the added latency, because traffic between failure domains is charged.
CROSS_DOMAIN_PENALTY_MS = 15.0
# Added in proportion to the share of failed requests.
FAILURE_PENALTY_MS = 1_500.0
# When more targets than this look unhealthy, the cause is probably shared and health is ignored.
PANIC_THRESHOLD_SHARE = 0.6
# Beyond this share of an engine's KV cache, a request would wait for memory.
MAX_KV_CACHE_SHARE = 0.92
FULL_KV_CACHE_PENALTY_MS = 400.0
# A nominal value: the service time is seldom known, and only the order of the targets matters.
PLAIN_SERVICE_TIME_MS = 100.0


def preferred_targets(views: Sequence[TargetView]) -> list[TargetView]:
    """Return the targets that are neither avoided nor silent, or all if too many are."""
    healthy = [view for view in views if not view.health.is_avoided() and not view.is_silent()]
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
    """Return the engine with the lowest predicted time to first token, or one within the spread.

    If streams have paused for longer than the limit, those pauses are weighed too, among the
    engines whose first event is expected well within the time left to the objective.
    """

    def cost(view: TargetView) -> float:
        held = view.own_work.held_tokens + view.others_work.held_tokens
        needed = held + prompt.prompt_tokens + prompt.output_tokens
        memory_penalty = (
            FULL_KV_CACHE_PENALTY_MS
            if kv_tokens and needed > MAX_KV_CACHE_SHARE * kv_tokens
            else 0.0
        )
        return view.first_token_ms(prompt, rank=rank) + memory_penalty + _common_cost(view, domain)

    preferred = preferred_targets(views)
    if gap_objective_ms and preferred and pauses_too_long(preferred[0]):

        def penalty(view: TargetView) -> float:
            return pause_penalty_ms(
                view, prompt, gap_objective_ms=gap_objective_ms, spare_ms=spare_ms
            )

        in_time = _cheapest_with_penalty(
            preferred, cost, penalty, limit_ms=IN_TIME_SHARE * spare_ms, spread_ms=spread_ms
        )
        if in_time is not None:
            return in_time
    costs = [(cost(view), view) for view in preferred]
    return _draw_engine(costs, prompt, spread_ms=spread_ms)


def choose_emptiest(views: Sequence[TargetView]) -> TargetView | None:
    """Return the target with the fewest requests, without jitter, so that entries agree on it."""

    def key(view: TargetView) -> tuple[int, str]:
        return view.request_count(), view.record.identity

    return min(preferred_targets(views), key=key, default=None)


def choose_plain_target(
    views: Sequence[TargetView], *, domain: str, spread_ms: float = 0.0
) -> TargetView | None:
    """Return the plain target with the fewest requests per slot, or one up to a spread above."""

    def cost(view: TargetView) -> float:
        busy = view.own_work.requests + view.others_work.requests
        slots = max(1, view.record.slots)
        return busy * PLAIN_SERVICE_TIME_MS / slots + _common_cost(view, domain)

    candidates = [(cost(view), 1.0, view) for view in preferred_targets(views)]
    return draw(candidates, spread=spread_ms)


def _common_cost(view: TargetView, domain: str) -> float:
    domain_penalty = CROSS_DOMAIN_PENALTY_MS if view.record.failure_domain != domain else 0.0
    return domain_penalty + view.health.failure_share() * FAILURE_PENALTY_MS


def _draw_engine(
    costs: Sequence[tuple[float, TargetView]], prompt: Prompt, *, spread_ms: float
) -> TargetView | None:
    """Draw an engine, among those that have as much of the prompt cached as the cheapest."""
    if not costs:
        return None
    if spread_ms:
        # A prompt part that another engine has to read again costs more than an even load gains.
        cached = min(costs, key=lambda each: each[0])[1].cached_tokens(prompt)
        costs = [each for each in costs if each[1].cached_tokens(prompt) >= cached]
    candidates = [(cost_ms, 1.0 / max(0.1, view.prefill_factor), view) for cost_ms, view in costs]
    return draw(candidates, spread=spread_ms)


def _cheapest_with_penalty(
    views: Sequence[TargetView],
    cost: Callable[[TargetView], float],
    penalty: Callable[[TargetView], float],
    *,
    limit_ms: float,
    spread_ms: float,
) -> TargetView | None:
    """Return a target of the lowest cost and penalty among those whose cost is in the limit."""
    costs = [(cost(view), index) for index, view in enumerate(views)]
    best_ms, candidates = math.inf, []
    # A penalty isn't negative, so targets whose cost alone is higher are not looked at.
    for cost_ms, index in sorted(costs):
        if cost_ms > limit_ms or cost_ms >= best_ms + max(spread_ms, JITTER_MS):
            break
        view = views[index]
        total_ms = cost_ms + penalty(view)
        best_ms = min(best_ms, total_ms)
        candidates.append((total_ms, 1.0 / max(0.1, view.prefill_factor), view))
    return draw(candidates, spread=spread_ms)
