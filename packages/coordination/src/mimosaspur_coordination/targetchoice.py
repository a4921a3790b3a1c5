"""Choose the target for a request."""

import random
from collections.abc import Callable
from collections.abc import Sequence

from mimosaspur_coordination.fleetview import Prompt
from mimosaspur_coordination.fleetview import TargetView

# What crossing to another failure domain counts as, since its bytes cost more than its delay.
CROSS_DOMAIN_PENALTY_MS = 15.0
# A target that fails all requests counts as this much slower.
FAILURE_PENALTY_MS = 1_500.0
# While more than this share of the targets is avoided, the symptom is taken for a shared one.
PANIC_THRESHOLD_SHARE = 0.6
# Beyond this part of an engine's memory for running requests, a request would wait for room.
MAX_KV_CACHE_SHARE = 0.92
FULL_KV_CACHE_PENALTY_MS = 400.0
# A plain service's mean service time is seldom known; only the order of the targets matters.
PLAIN_SERVICE_TIME_MS = 100.0


def preferred_targets(views: Sequence[TargetView]) -> list[TargetView]:
    """Leave out the targets that are avoided, unless that would be most of them."""
    good = [view for view in views if not view.health.is_avoided()]
    if len(views) - len(good) > PANIC_THRESHOLD_SHARE * len(views):
        return list(views)
    return good or list(views)


def choose_engine(
    views: Sequence[TargetView], prompt: Prompt, *, rank: int, domain: str, kv_tokens: int
) -> TargetView | None:
    """Return the engine with the earliest first token."""

    def cost(view: TargetView) -> float:
        held = view.own_work.held_tokens + view.others_work.held_tokens
        needed = held + prompt.prompt_tokens + prompt.output_tokens
        full = (
            FULL_KV_CACHE_PENALTY_MS
            if kv_tokens and needed > MAX_KV_CACHE_SHARE * kv_tokens
            else 0.0
        )
        return view.first_token_ms(prompt, rank=rank) + full + _common_cost(view, domain)

    return _cheapest(preferred_targets(views), cost)


def choose_plain_target(views: Sequence[TargetView], *, domain: str) -> TargetView | None:
    """Return the plain target with the fewest requests for its slots."""

    def cost(view: TargetView) -> float:
        busy = view.own_work.requests + view.others_work.requests
        slots = max(1, view.record.slots)
        return busy * PLAIN_SERVICE_TIME_MS / slots + _common_cost(view, domain)

    return _cheapest(preferred_targets(views), cost)


def _common_cost(view: TargetView, domain: str) -> float:
    crossing = CROSS_DOMAIN_PENALTY_MS if view.record.failure_domain != domain else 0.0
    return crossing + view.health.failure_share() * FAILURE_PENALTY_MS


def _cheapest(
    views: Sequence[TargetView], cost: Callable[[TargetView], float]
) -> TargetView | None:
    if not views:
        return None
    # Entries that see the same figures must not all take the same target.
    return min(views, key=lambda view: cost(view) + random.random() * 4.0)
