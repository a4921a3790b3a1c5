"""Reckon what is lost and what is waited for when a model makes room for another."""

import math
from collections.abc import Sequence

from mimosaspur_coordination.placementproblem import EngineSnapshot
from mimosaspur_coordination.placementproblem import PlacementProblem
from mimosaspur_coordination.weightcopies import evicted_copies
from mimosaspur_state.routes import EngineSpec
from mimosaspur_state.routes import ModelSpec

# A sole replica counts by its demand over the longer time, times this: losing it means a load
# before the next request.
SOLE_REPLICA_WEIGHT = 5.0
# The same where the model can be back within the objective of its requests: they lose little.
RELOADABLE_REPLICA_WEIGHT = 1.0
# The least that the loss of a sole replica counts otherwise, in tokens a second: a model that
# nobody asks for now may be asked for by many in the next second.
MIN_SOLE_REPLICA_LOSS = 1_500.0
# From a request that finds no replica to the order that loads one, and from the load's end to the
# first event.
RELOAD_OVERHEAD_MS = 400.0
# Running requests hold up an unload; each counts as this much.
RUNNING_REQUEST_LOSS = 1_500.0
# What a second that a later load takes longer counts as, for a model whose last copy is lost.
LAST_COPY_COST_PER_S = 2_000.0


# Whether a model is asked for again counts over this time: a load lasts for as long as its demand.
REUSE_WINDOW_S = 10.0
# What a request has, of whatever model, where only tokens are counted.
TOKENS_PER_REQUEST = 2_000.0
# A second until a model is there again.
RELOAD_COST_PER_S = 4_000.0


def _reload_ms(load_s: float) -> float:
    return load_s * 1000 + RELOAD_OVERHEAD_MS


def copy_eviction_loss(
    problem: PlacementProblem, engine: EngineSnapshot, model: ModelSpec
) -> float:
    """Return what is lost with the copies on disk that a load from the weight store pushes out.

    A model whose last copy is gone comes back from the weight store too.
    """
    loss = 0.0
    if not problem.protect_last_copies:
        return loss
    for name in evicted_copies(problem.spec, engine, model):
        pushed = problem.spec.models.get(name)
        if pushed and problem.copies.get(name, 0) <= 1 and name != model.name:
            loss += (pushed.load_s - pushed.disk_load_s) * LAST_COPY_COST_PER_S
    return loss


def blocking_loss_per_s(
    problem: PlacementProblem, engine: EngineSnapshot, model: ModelSpec
) -> float:
    """Return what a second costs in which a load keeps an engine from bringing models back.

    An engine takes one order at a time. Models without a replica of which it has a copy come back
    within a few seconds, unless it is busy with a load that takes much longer.
    """
    loss = 0.0
    for name in {*engine.on_disk, *engine.in_memory}:
        if name == model.name or problem.replicas.get(name):
            continue
        demand = problem.demand_of(name)
        wanted = 1.0 - math.exp(-demand.slow_tokens / TOKENS_PER_REQUEST * REUSE_WINDOW_S)
        if demand.waiting:
            wanted = 1.0
        loss += wanted / max(1, problem.copies.get(name, 1))
    return loss * RELOAD_COST_PER_S


def engine_demand(problem: PlacementProblem, engine: EngineSnapshot) -> float:
    """Return the demand that falls to an engine, in tokens a second."""
    return sum(
        problem.demand_of(name).fast_tokens / problem.replicas.get(name, 1)
        for name in engine.residents
    )


def expected_unload_ms(
    problem: PlacementProblem, engine: EngineSnapshot, victims: Sequence[str]
) -> int:
    """Return how long an unload waits for the last of the victims' runs.

    The last of n runs whose lengths vary widely ends after as many mean lengths as the nth harmonic
    number says (1 for one run, 2.9 for ten).
    """
    runs = sum(engine.residents.get(name, 0) for name in victims)
    return round(problem.stream_ms * sum(1 / number for number in range(1, runs + 1)))


def unload_loss(problem: PlacementProblem, engine: EngineSnapshot, name: str) -> float:
    """Return what is lost when an engine unloads a model, infinity if it must not."""
    if name in engine.recent:
        return math.inf
    demand = problem.demand_of(name)
    replicas = problem.replicas.get(name, 1)
    running = engine.residents.get(name, 0) * RUNNING_REQUEST_LOSS
    if problem.idle and len(engine.residents) > 1:
        return running
    if replicas > 1:
        return running + demand.fast_tokens / replicas
    model = problem.spec.models.get(name)
    if model is None:
        return running
    # What is unloaded stays in memory or on disk for a while.
    back_ms = _reload_ms(model.disk_load_s)
    again = 1.0 - math.exp(-demand.slow_tokens / TOKENS_PER_REQUEST * REUSE_WINDOW_S)
    running += again * back_ms / 1000 * RELOAD_COST_PER_S
    if demand.objective_ms >= back_ms:
        return running + max(demand.fast_tokens, demand.slow_tokens * RELOADABLE_REPLICA_WEIGHT)
    return running + max(
        demand.fast_tokens, demand.slow_tokens * SOLE_REPLICA_WEIGHT, MIN_SOLE_REPLICA_LOSS
    )


def adapters_mb(spec: EngineSpec) -> float:
    """Return the room that full adapter places take."""
    largest_mb = max((model.adapter_mb for model in spec.models.values()), default=0.0)
    return spec.adapter_slots * largest_mb
