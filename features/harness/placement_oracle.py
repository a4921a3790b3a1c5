"""Decide on loads by exhaustive search, as an oracle for the pruned search."""

import math
from dataclasses import replace

from mimosaspur_coordination.modelplacement import COPY_COST_PER_S
from mimosaspur_coordination.modelplacement import EXTRA_REPLICA_COST_PER_S
from mimosaspur_coordination.modelplacement import FIRST_REPLICA_COST_PER_S
from mimosaspur_coordination.modelplacement import HYSTERESIS_RATIO
from mimosaspur_coordination.modelplacement import MAX_COPY_COST
from mimosaspur_coordination.modelplacement import MIN_FREE_ROOM_TOKENS_PER_S
from mimosaspur_coordination.modelplacement import OVERFLOW_WINDOW_S
from mimosaspur_coordination.modelplacement import REPLICA_CAPACITY_TOKENS_PER_S
from mimosaspur_coordination.modelplacement import SHARED_ENGINE_WEIGHT
from mimosaspur_coordination.modelplacement import STORE_LOAD_COST
from mimosaspur_coordination.modelplacement import TOKENS_PER_REQUEST
from mimosaspur_coordination.modelplacement import WAITING_REQUEST_COST_PER_S
from mimosaspur_coordination.placementcost import adapters_mb
from mimosaspur_coordination.placementcost import blocking_loss_per_s
from mimosaspur_coordination.placementcost import copy_eviction_loss
from mimosaspur_coordination.placementcost import engine_demand
from mimosaspur_coordination.placementcost import expected_unload_ms
from mimosaspur_coordination.placementcost import unload_loss
from mimosaspur_coordination.placementproblem import CROWDED_REPLICA_TOKENS_PER_S
from mimosaspur_coordination.placementproblem import LONG_LOAD_MS
from mimosaspur_coordination.placementproblem import EngineSnapshot
from mimosaspur_coordination.placementproblem import PlacementProblem
from mimosaspur_coordination.placementproblem import Swap
from mimosaspur_coordination.weightcopies import load_source
from mimosaspur_coordination.weightcopies import weights_mb
from mimosaspur_state.routes import ModelSpec


def full_next_swap(problem: PlacementProblem) -> Swap | None:
    """Return the most useful load that an engine can begin now."""
    return _for_unmet_demand(problem) or _for_crowded_models(problem) or _for_free_room(problem)


def full_next_copy(problem: PlacementProblem) -> Swap | None:
    """Return a load that leaves a copy of a model of which no engine has one."""
    for name, model in problem.spec.models.items():
        available = problem.copies.get(name) or problem.replicas.get(name)
        if available or name in problem.preloaded or model.weights_mb > problem.spec.disk_mb:
            continue
        swap = _best_swap(
            problem,
            model,
            cost_per_s=COPY_COST_PER_S,
            max_cost=MAX_COPY_COST,
            store_cost=0.0,
        )
        if swap:
            return replace(swap, for_copy=True)
    return None


def _for_unmet_demand(problem: PlacementProblem) -> Swap | None:
    """Return the load that most requests need: a first replica, or one for excess demand."""
    needs = []
    for name, demand in problem.demand.items():
        if name not in problem.spec.models:
            continue
        replicas = problem.replicas.get(name, 0)
        if replicas:
            overflow = demand.fast_tokens - replicas * REPLICA_CAPACITY_TOKENS_PER_S
            needs.append((overflow / TOKENS_PER_REQUEST * OVERFLOW_WINDOW_S, name))
        elif demand.waiting:
            needs.append((demand.waiting * (1.0 + demand.waiting_ms / 1000), name))
    for requests, name in sorted(needs, reverse=True):
        if requests <= 0:
            return None
        if problem.replicas.get(name):
            swap = _extra_replica(problem, name)
        else:
            swap = _best_swap(
                problem,
                problem.spec.models[name],
                cost_per_s=FIRST_REPLICA_COST_PER_S
                + problem.demand_of(name).waiting * WAITING_REQUEST_COST_PER_S,
                reserve=True,
            )
        if swap:
            return swap
    return None


def _for_crowded_models(problem: PlacementProblem) -> Swap | None:
    crowded = []
    for name, demand in problem.demand.items():
        replicas = problem.replicas.get(name, 0)
        if replicas and name in problem.spec.models:
            crowded.append((demand.fast_tokens / replicas, name))
    for share, name in sorted(crowded, reverse=True):
        if share < CROWDED_REPLICA_TOKENS_PER_S:
            return None
        swap = _extra_replica(problem, name)
        if swap:
            return swap
    return None


def _extra_replica(problem: PlacementProblem, name: str) -> Swap | None:
    """Return a load that adds a replica, None if its gain doesn't justify the cost."""
    gain = problem.demand_of(name).fast_tokens / (problem.replicas[name] + 1)
    return _best_swap(
        problem,
        problem.spec.models[name],
        cost_per_s=EXTRA_REPLICA_COST_PER_S,
        shared_weight=SHARED_ENGINE_WEIGHT,
        max_cost=gain / HYSTERESIS_RATIO,
    )


def _for_free_room(problem: PlacementProblem) -> Swap | None:
    """Return a load that fits without a victim, for example after an engine's restart."""
    wanted = []
    for name, demand in problem.demand.items():
        replicas = problem.replicas.get(name, 0)
        tokens = demand.fast_tokens / (replicas + 1) if replicas else demand.slow_tokens
        if tokens >= MIN_FREE_ROOM_TOKENS_PER_S and name in problem.spec.models:
            wanted.append((tokens, name))
    for _, name in sorted(wanted, reverse=True):
        swap = _best_swap(
            problem,
            problem.spec.models[name],
            cost_per_s=EXTRA_REPLICA_COST_PER_S,
            allow_victims=False,
        )
        if swap:
            return swap
    return None


def _best_swap(
    problem: PlacementProblem,
    model: ModelSpec,
    *,
    cost_per_s: float,
    shared_weight: float = 0.0,
    max_cost: float = math.inf,
    store_cost: float = STORE_LOAD_COST,
    reserve: bool = False,
    allow_victims: bool = True,
) -> Swap | None:
    """Return the cheapest load of a model, None if there is none or its engine is busy."""
    best_cost = max_cost
    best: tuple[EngineSnapshot, Swap] | None = None
    for engine in problem.engines:
        if not _can_load(problem, engine, model):
            continue
        chosen, loss = _victims_for(problem, engine, model)
        if loss is None or (chosen and not allow_victims):
            continue
        seconds, from_store = load_source(problem.spec, engine, model, chosen)
        if not problem.load_allowed(model.name, seconds, from_store=from_store):
            continue
        unload_ms = expected_unload_ms(problem, engine, chosen)
        wait_ms = engine.free_in_ms + unload_ms
        cost = loss + (seconds + wait_ms / 1000) * cost_per_s
        cost += shared_weight * engine_demand(problem, engine)
        if from_store:
            cost += store_cost + _store_load_loss(problem, engine, model, seconds)
        if cost <= best_cost:
            best_cost = cost
            load_ms = round(seconds * 1000)
            best = (
                engine,
                Swap(engine.identity, model.name, chosen, from_store, load_ms, unload_ms),
            )
    if best is None:
        return None
    engine, swap = best
    if not engine.free_in_ms:
        return swap
    if reserve:
        # Keeps models with less need from taking the engine first.
        problem.reserved_engines.add(engine.identity)
    return None


def _store_load_loss(
    problem: PlacementProblem, engine: EngineSnapshot, model: ModelSpec, seconds: float
) -> float:
    loss = copy_eviction_loss(problem, engine, model)
    if seconds * 1000 >= LONG_LOAD_MS:
        loss += seconds * blocking_loss_per_s(problem, engine, model)
    return loss


def _can_load(problem: PlacementProblem, engine: EngineSnapshot, model: ModelSpec) -> bool:
    held = model.name in engine.residents or engine.loading == model.name
    return engine.usable and not held and engine.identity not in problem.reserved_engines


def _victims_for(
    problem: PlacementProblem, engine: EngineSnapshot, model: ModelSpec
) -> tuple[tuple[str, ...], float | None]:
    """Return the cheapest victims for a model and their loss, None if it can't fit."""
    spec = problem.spec
    sizes = {name: weights_mb(spec, name) for name in engine.residents}
    room_mb = spec.weights_mb - sum(sizes.values()) - adapters_mb(spec)
    reserved = engine.reserved_models
    room_mb -= sum(weights_mb(spec, name) for name in {*reserved} - {model.name, *sizes})
    by_loss = sorted(engine.residents, key=lambda name: unload_loss(problem, engine, name))
    by_loss = [name for name in by_loss if name not in reserved]
    victims = []
    loss = 0.0
    for name in by_loss:
        if room_mb >= model.weights_mb:
            break
        victims.append(name)
        loss += unload_loss(problem, engine, name)
        room_mb += sizes[name]
    if room_mb < model.weights_mb or loss == math.inf:
        return (), None
    return tuple(victims), loss
