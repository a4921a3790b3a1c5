"""Compute the costs of engines for one prompt, but of none that a draw among them can't reach.

Addresses services of hundreds of engines: a choice among 365 of them takes under 0.5 ms.
"""

import math
from collections.abc import Callable
from collections.abc import Sequence

from mimosaspur_coordination.fleetview import Prompt
from mimosaspur_coordination.fleetview import TargetView

# Higher than the added latency, because traffic between failure domains is charged.
CROSS_DOMAIN_PENALTY_MS = 15.0
# Added in proportion to the share of failed requests.
FAILURE_PENALTY_MS = 1_500.0
# Beyond this share of an engine's KV cache, a request would wait for memory.
MAX_KV_CACHE_SHARE = 0.92
FULL_KV_CACHE_PENALTY_MS = 400.0

# An engine's cost in ms, how many tokens of the prompt it has cached, and its view.
EngineCost = tuple[float, int, TargetView]


def common_cost(view: TargetView, domain: str) -> float:
    """Return the cost in ms of a target of any service beside the time that it takes."""
    # Without a call for each part: this is computed for hundreds of targets.
    cost_ms = CROSS_DOMAIN_PENALTY_MS if view.record.failure_domain != domain else 0.0
    if view.health.last_failure_share:
        cost_ms += failure_penalty_ms(view)
    return cost_ms


def domain_penalty_ms(view: TargetView, domain: str) -> float:
    """Return the cost of traffic to another failure domain."""
    return CROSS_DOMAIN_PENALTY_MS if view.record.failure_domain != domain else 0.0


def failure_penalty_ms(view: TargetView) -> float:
    """Return the cost of the target's recent failures."""
    return view.health.failure_share() * FAILURE_PENALTY_MS


def most_held_tokens(prompt: Prompt, *, kv_tokens: int) -> float:
    """Return the tokens that an engine may hold, so that a prompt fits beside them without a wait.

    `kv_tokens` is the size of its KV cache, 0 if unknown.
    """
    if not kv_tokens:
        return math.inf
    return MAX_KV_CACHE_SHARE * kv_tokens - prompt.prompt_tokens - prompt.output_tokens


def memory_penalty_ms(view: TargetView, *, most_held: float) -> float:
    """Return the cost of a wait for memory, if the engine holds more than this."""
    held = view.own_work.held_tokens + view.others_work.held_tokens
    return FULL_KV_CACHE_PENALTY_MS if held > most_held else 0.0


class EngineCosts:
    """Compare the costs of engines for one prompt.

    A draw reaches engines up to `reach_ms` above the lowest cost. Nothing that adds to a cost is
    negative, so most engines are ruled out by a part of theirs.
    """

    __slots__ = ("domain", "most_held", "prompt", "rank", "reach_ms", "shared", "shared_tokens")

    def __init__(
        self, prompt: Prompt, *, rank: int, domain: str, kv_tokens: int, reach_ms: float
    ) -> None:
        self.prompt = prompt
        self.rank = rank
        self.domain = domain
        self.reach_ms = reach_ms
        self.most_held = most_held_tokens(prompt, kv_tokens=kv_tokens)
        self.shared = prompt.shared_parts()
        self.shared_tokens = sum(tokens for _, tokens in self.shared)

    def in_reach(
        self, views: Sequence[TargetView], *, limit_ms: float = math.inf
    ) -> list[EngineCost]:
        """Return the engines in reach whose cost is within a limit."""
        return self._within(views, limit_ms=limit_ms, reach_ms=self.reach_ms)

    def _within(
        self, views: Sequence[TargetView], *, limit_ms: float, reach_ms: float
    ) -> list[EngineCost]:
        """Return the engines up to a reach above the lowest cost, and within a limit."""
        prompt, rank, domain, most_held = self.prompt, self.rank, self.domain, self.most_held
        shared, shared_tokens = self.shared, self.shared_tokens
        # The engines of a service share the costs of tokens.
        token_cost = views[0].paces.token_cost(prompt.model)
        least_unread = max(1, prompt.prompt_tokens - shared_tokens) * token_cost
        found = []
        for view in views:
            queued = view.queued_tokens(rank)
            # The least that it can be, with all shared parts cached.
            cost_ms = view.work_ms(least_unread, queued=queued)
            if cost_ms > limit_ms:
                continue
            cached = view.cached_tokens(shared) if shared else 0
            if cached != shared_tokens:
                unread = max(1, prompt.prompt_tokens - cached) * token_cost
                cost_ms = view.work_ms(unread, queued=queued)
            # As memory_penalty_ms, without the call for each engine.
            if view.own_work.held_tokens + view.others_work.held_tokens > most_held:
                cost_ms += FULL_KV_CACHE_PENALTY_MS
            cost_ms += common_cost(view, domain)
            if cost_ms <= limit_ms:
                found.append((cost_ms, cached, view))
                limit_ms = min(limit_ms, cost_ms + reach_ms)
        return [each for each in found if each[0] <= limit_ms]

    def with_penalty(
        self,
        views: Sequence[TargetView],
        penalty: Callable[[TargetView], float],
        *,
        limit_ms: float,
    ) -> list[EngineCost]:
        """Return the engines in reach with their penalties, whose cost without is in the limit."""
        costs = self.in_reach(views, limit_ms=limit_ms)
        if not costs:
            return []
        found = self._add_penalties(costs, penalty)
        lowest_ms = min(cost_ms for cost_ms, _, _ in costs)
        best_ms = min(cost_ms for cost_ms, _, _ in found)
        if best_ms <= lowest_ms:
            return found
        # Engines with a higher cost may have a lower penalty.
        limit_ms = min(limit_ms, best_ms + self.reach_ms)
        costs = self._within(views, limit_ms=limit_ms, reach_ms=math.inf)
        return self._add_penalties(costs, penalty)

    def _add_penalties(
        self, costs: list[EngineCost], penalty: Callable[[TargetView], float]
    ) -> list[EngineCost]:
        """Add the penalties, apart from those of engines that are out of reach without."""
        found = []
        best_ms = math.inf
        for cost_ms, cached, view in sorted(costs, key=lambda each: each[0]):
            if cost_ms >= best_ms + self.reach_ms:
                break
            total_ms = cost_ms + penalty(view)
            best_ms = min(best_ms, total_ms)
            found.append((total_ms, cached, view))
        return found
