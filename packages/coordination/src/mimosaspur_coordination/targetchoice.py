"""Choose the target for a request."""

import math
from collections.abc import Callable
from collections.abc import Sequence

from mimosaspur_coordination.evenload import JITTER_MS
from mimosaspur_coordination.evenload import Candidate
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
) -> list[Candidate[TargetView]]:
    """Return the engines to draw from, with their costs.

    If streams have paused for longer than the limit, those pauses are weighed too, among the
    engines whose first event is expected well within the time left to the objective.
    """

    def cost(view: TargetView) -> float:
        memory_ms = memory_penalty_ms(view, prompt, kv_tokens=kv_tokens)
        return view.first_token_ms(prompt, rank=rank) + memory_ms + _common_cost(view, domain)

    preferred = preferred_targets(views)
    if gap_objective_ms and preferred and pauses_too_long(preferred[0]):

        def penalty(view: TargetView) -> float:
            return pause_penalty_ms(
                view, prompt, gap_objective_ms=gap_objective_ms, spare_ms=spare_ms
            )

        in_time = _cheapest_with_penalty(
            preferred, cost, penalty, limit_ms=IN_TIME_SHARE * spare_ms, spread_ms=spread_ms
        )
        if in_time:
            return in_time
    costs = [(cost(view), view) for view in preferred]
    return _with_as_much_cached(costs, prompt, spread_ms=spread_ms)


def memory_penalty_ms(view: TargetView, prompt: Prompt, *, kv_tokens: int) -> float:
    """Return the cost of a wait for memory, if the engine's KV cache would be nearly full."""
    held = view.own_work.held_tokens + view.others_work.held_tokens
    needed = held + prompt.prompt_tokens + prompt.output_tokens
    is_full = kv_tokens and needed > MAX_KV_CACHE_SHARE * kv_tokens
    return FULL_KV_CACHE_PENALTY_MS if is_full else 0.0


def choose_emptiest(views: Sequence[TargetView]) -> TargetView | None:
    """Return the target with the fewest requests, without jitter, so that entries agree on it."""

    def key(view: TargetView) -> tuple[int, str]:
        return view.request_count(), view.record.identity

    return min(preferred_targets(views), key=key, default=None)


def plain_candidates(views: Sequence[TargetView], *, domain: str) -> list[Candidate[TargetView]]:
    """Return the plain targets to draw from, with their costs."""
    return [
        (slots_ms(view) + _common_cost(view, domain), 1.0, view)
        for view in preferred_targets(views)
    ]


def slots_ms(view: TargetView) -> float:
    """Return the cost of the requests at a plain target, by its slots."""
    return view.request_count() * PLAIN_SERVICE_TIME_MS / max(1, view.record.slots)


def domain_penalty_ms(view: TargetView, domain: str) -> float:
    """Return the cost of traffic to another failure domain."""
    return CROSS_DOMAIN_PENALTY_MS if view.record.failure_domain != domain else 0.0


def failure_penalty_ms(view: TargetView) -> float:
    """Return the cost of the target's recent failures."""
    return view.health.failure_share() * FAILURE_PENALTY_MS


def _common_cost(view: TargetView, domain: str) -> float:
    return domain_penalty_ms(view, domain) + failure_penalty_ms(view)


def _with_as_much_cached(
    costs: Sequence[tuple[float, TargetView]], prompt: Prompt, *, spread_ms: float
) -> list[Candidate[TargetView]]:
    """Return the engines that have as much of the prompt cached as the cheapest, if drawn."""
    if costs and spread_ms:
        # A prompt part that another engine has to read again costs more than an even load gains.
        cached = min(costs, key=lambda each: each[0])[1].cached_tokens(prompt)
        costs = [each for each in costs if each[1].cached_tokens(prompt) >= cached]
    return [(cost_ms, 1.0 / max(0.1, view.prefill_factor), view) for cost_ms, view in costs]


def _cheapest_with_penalty(
    views: Sequence[TargetView],
    cost: Callable[[TargetView], float],
    penalty: Callable[[TargetView], float],
    *,
    limit_ms: float,
    spread_ms: float,
) -> list[Candidate[TargetView]]:
    """Return the targets of the lowest cost and penalty among those whose cost is in the limit."""
    costs = [(cost(view), index) for index, view in enumerate(views)]
    best_ms = math.inf
    candidates: list[Candidate[TargetView]] = []
    # A penalty isn't negative, so targets whose cost alone is higher are not looked at.
    for cost_ms, index in sorted(costs):
        if cost_ms > limit_ms or cost_ms >= best_ms + max(spread_ms, JITTER_MS):
            break
        view = views[index]
        total_ms = cost_ms + penalty(view)
        best_ms = min(best_ms, total_ms)
        candidates.append((total_ms, 1.0 / max(0.1, view.prefill_factor), view))
    return candidates
