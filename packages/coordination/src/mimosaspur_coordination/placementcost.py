"""Estimate the losses and delays of unloading a model to load another.

Losses are expressed as demand in tokens per second.
"""

import math
from collections.abc import Sequence
from enum import Enum

from mimosaspur_coordination.placementproblem import EngineSnapshot
from mimosaspur_coordination.placementproblem import PlacementProblem
from mimosaspur_coordination.urgency import RELOAD_OVERHEAD_MS
from mimosaspur_coordination.weightcopies import evicted_copies
from mimosaspur_state.routes import EngineSpec
from mimosaspur_state.routes import ModelSpec

# Weight of a sole replica's long-term demand: after an unload the next request waits for a load.
SOLE_REPLICA_WEIGHT = 5.0
# Weight if a reload fits within the latency objective of the model's requests.
RELOADABLE_REPLICA_WEIGHT = 1.0
# Minimum loss of a sole replica whose reload misses the objective: requests may arrive at any time.
MIN_SOLE_REPLICA_LOSS = 1_500.0
# Loss per running request, which delays the unload.
RUNNING_REQUEST_LOSS = 1_500.0
# Loss per stream that may be taken up and can't go on.
LOST_STREAM_LOSS = 4_000.0
# Cost of each second by which a later load is slower after the last copy is lost.
LAST_COPY_COST_PER_S = 2_000.0
# Period over which the probability of another request is estimated.
REUSE_WINDOW_S = 10.0
# Assumed size of a request, since demand is counted in tokens.
TOKENS_PER_REQUEST = 2_000.0
# Cost of each second until a model is loaded again.
RELOAD_COST_PER_S = 4_000.0
# Loss of a model with urgent demand beside its other loss. It exceeds the losses of models with
# patient demand and the costs of a slower source and of a wait for a busy engine.
URGENT_VICTIM_LOSS = 100_000.0


class EvictionRule(Enum):
    """Enumerate the rules on which models may be unloaded for another one."""

    # Any model, by its loss alone.
    BY_LOSS = "by loss"
    # Models without urgent demand before those with it.
    URGENT_LAST = "urgent last"
    # Only models without urgent demand.
    URGENT_NEVER = "urgent never"


def _reload_ms(load_s: float) -> float:
    return load_s * 1000 + RELOAD_OVERHEAD_MS


def copy_eviction_loss(
    problem: PlacementProblem, engine: EngineSnapshot, model: ModelSpec
) -> float:
    """Return the loss of the disk copies that a load from the weight store evicts.

    A model without any copy must itself be loaded from the weight store later.
    """
    loss = 0.0
    if not problem.protect_last_copies:
        return loss
    for name in evicted_copies(problem.spec, engine, model):
        evicted = problem.spec.models.get(name)
        if evicted and problem.copies.get(name, 0) <= 1 and name != model.name:
            loss += (evicted.load_s - evicted.disk_load_s) * LAST_COPY_COST_PER_S
    return loss


def blocking_loss_per_s(
    problem: PlacementProblem, engine: EngineSnapshot, model: ModelSpec
) -> float:
    """Return the loss per second while a load blocks an engine from reloading other models.

    An engine processes one order at a time. It could otherwise reload models without a replica
    from its copies within a few seconds.
    """
    loss = 0.0
    for name in {*engine.on_disk, *engine.in_memory}:
        if name == model.name or problem.replicas.get(name):
            continue
        demand = problem.demand_of(name)
        reuse_probability = 1.0 - math.exp(
            -demand.slow_tokens / TOKENS_PER_REQUEST * REUSE_WINDOW_S
        )
        if demand.unmet:
            reuse_probability = 1.0
        loss += reuse_probability / max(1, problem.copies.get(name, 1))
    return loss * RELOAD_COST_PER_S


def engine_demand(problem: PlacementProblem, engine: EngineSnapshot) -> float:
    """Return an engine's share of the demand, in tokens per second."""
    return sum(
        problem.demand_of(name).fast_tokens / problem.replicas.get(name, 1)
        for name in engine.residents
    )


def expected_unload_ms(
    problem: PlacementProblem, engine: EngineSnapshot, victims: Sequence[str]
) -> int:
    """Return how long an unload is expected to wait for the last of the victims' runs.

    The expected maximum of n exponentially distributed durations is the nth harmonic number times
    their mean.
    """
    runs = sum(engine.residents.get(name, 0) for name in victims)
    return round(problem.stream_ms * sum(1 / number for number in range(1, runs + 1)))


def ruled_unload_loss(
    problem: PlacementProblem, engine: EngineSnapshot, name: str, rule: EvictionRule
) -> float:
    """Return the loss when an engine unloads a model under a rule, infinity if it must not."""
    loss = unload_loss(problem, engine, name)
    if rule is EvictionRule.BY_LOSS:
        return loss
    spare = problem.has_spare_replica(name) and not problem.sole_streams(engine, name)
    urgent = problem.is_urgent(name) and not spare
    if rule is EvictionRule.URGENT_LAST:
        return loss + URGENT_VICTIM_LOSS if urgent else loss
    # What nobody is known to ask for may only not have been reported yet.
    return math.inf if urgent or not (problem.held_demand_known or spare) else loss


def unload_loss(problem: PlacementProblem, engine: EngineSnapshot, name: str) -> float:
    """Return the loss when an engine unloads a model, infinity if it must not."""
    if name in engine.recent:
        return math.inf
    demand = problem.demand_of(name)
    replicas = problem.replicas.get(name, 1)
    loss = engine.residents.get(name, 0) * RUNNING_REQUEST_LOSS
    streams = problem.sole_streams(engine, name)
    if streams:
        loss += MIN_SOLE_REPLICA_LOSS + streams * LOST_STREAM_LOSS
    if problem.idle and len(engine.residents) > 1:
        return loss
    if replicas > 1:
        return loss + demand.fast_tokens * engine.speed / problem.speeds[name]
    model = problem.spec.models.get(name)
    if model is None:
        return loss
    # An unloaded model keeps a copy in memory or on disk for a while.
    reload_ms = _reload_ms(model.disk_load_s)
    reuse_probability = 1.0 - math.exp(-demand.slow_tokens / TOKENS_PER_REQUEST * REUSE_WINDOW_S)
    loss += reuse_probability * reload_ms / 1000 * RELOAD_COST_PER_S
    if demand.objective_ms >= reload_ms:
        return loss + max(demand.fast_tokens, demand.slow_tokens * RELOADABLE_REPLICA_WEIGHT)
    return loss + max(
        demand.fast_tokens, demand.slow_tokens * SOLE_REPLICA_WEIGHT, MIN_SOLE_REPLICA_LOSS
    )


def adapters_mb(spec: EngineSpec) -> float:
    """Return the memory that full adapter slots take."""
    largest_mb = max((model.adapter_mb for model in spec.models.values()), default=0.0)
    return spec.adapter_slots * largest_mb
