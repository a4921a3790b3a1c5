"""Decide which engine loads which model next, and what makes room for it."""

import math
from dataclasses import replace

from mimosaspur_coordination.placementcost import copies_loss
from mimosaspur_coordination.placementcost import engine_tokens
from mimosaspur_coordination.placementcost import unload_ms_of
from mimosaspur_coordination.placementcost import victims_for
from mimosaspur_coordination.placementproblem import REPLICA_TOKENS
from mimosaspur_coordination.placementproblem import EngineSnapshot
from mimosaspur_coordination.placementproblem import PlacementProblem
from mimosaspur_coordination.placementproblem import Swap
from mimosaspur_coordination.weightcopies import load_source
from mimosaspur_state.routes import ModelSpec

# Beyond this a replica is taken to refuse requests. Demand is counted in tokens of which a common
# engine reads 20,000 a second, whatever the real engines read: these are four tenths of its time,
# the rest of which goes to decoding and to its other models.
REPLICA_CAPACITY = 8_000.0
# What a replica can't carry counts as the requests of so many seconds, beside those that wait for a
# model: a load takes as long before it helps.
OVERFLOW_S = 3.0
REQUEST_TOKENS = 2_000.0
# What moves for load must gain this much more than it loses, so that models don't swing.
HYSTERESIS = 1.6
# What a second until the model is there counts as, for a model without a replica, and for each
# request that waits for it.
SECOND_TOKENS = 4_000.0
WAITING_SECOND_TOKENS = 500.0
# The same for one more replica.
REPLICA_SECOND_TOKENS = 300.0
# How much the other load of the engine counts when a replica is added there.
SHARED_ENGINE_PART = 0.3
# Room that is free anyway is given to a model from this demand on, in tokens a second.
ROOM_TOKENS = 200.0
# What a load from the weight store counts as beside its time: it is priced, and its copies push out
# others.
STORE_TOKENS = 2_500.0
# For a mere copy no more than this may be lost at the victims' place, in tokens a second.
COPY_LOSS = 100.0


def next_swap(problem: PlacementProblem) -> Swap | None:
    """Return the most useful load that an engine can begin now."""
    return _for_needs(problem) or _for_load(problem) or _for_room(problem)


def next_copy(problem: PlacementProblem) -> Swap | None:
    """Return a load that leaves a copy of a model of which no engine has one.

    A model without a copy takes a load from the weight store when it is first asked for, several
    times longer than one from disk.
    """
    for name, model in problem.spec.models.items():
        there = problem.copies.get(name) or problem.replicas.get(name)
        if there or name in problem.copied or model.weights_mb > problem.spec.disk_mb:
            continue
        swap = _best_swap(problem, model, second_tokens=0.0, most_cost=COPY_LOSS, store_tokens=0.0)
        if swap:
            return replace(swap, for_copy=True)
    return None


def _for_needs(problem: PlacementProblem) -> Swap | None:
    """Return the load that most requests need: of a model without a replica, or of one more."""
    needs = []
    for name, demand in problem.demand.items():
        if name not in problem.spec.models:
            continue
        replicas = problem.replicas.get(name, 0)
        if replicas:
            overflow = demand.fast_tokens - replicas * REPLICA_CAPACITY
            needs.append((overflow / REQUEST_TOKENS * OVERFLOW_S, name))
        elif demand.waiting:
            needs.append((demand.waiting * (1.0 + demand.waiting_ms / 1000), name))
    for requests, name in sorted(needs, reverse=True):
        if requests <= 0:
            return None
        if problem.replicas.get(name):
            swap = _one_more(problem, name)
        else:
            swap = _best_swap(
                problem,
                problem.spec.models[name],
                second_tokens=SECOND_TOKENS
                + problem.demand_of(name).waiting * WAITING_SECOND_TOKENS,
                reserve=True,
            )
        if swap:
            return swap
    return None


def _for_load(problem: PlacementProblem) -> Swap | None:
    crowded = []
    for name, demand in problem.demand.items():
        replicas = problem.replicas.get(name, 0)
        if replicas and name in problem.spec.models:
            crowded.append((demand.fast_tokens / replicas, name))
    for share, name in sorted(crowded, reverse=True):
        if share < REPLICA_TOKENS:
            return None
        swap = _one_more(problem, name)
        if swap:
            return swap
    return None


def _one_more(problem: PlacementProblem, name: str) -> Swap | None:
    """Return a load that adds a replica, if that gains enough more than it loses."""
    gain = problem.demand_of(name).fast_tokens / (problem.replicas[name] + 1)
    return _best_swap(
        problem,
        problem.spec.models[name],
        second_tokens=REPLICA_SECOND_TOKENS,
        shared_part=SHARED_ENGINE_PART,
        most_cost=gain / HYSTERESIS,
    )


def _for_room(problem: PlacementProblem) -> Swap | None:
    """Return a load that an engine has room for without a victim, as after its restart."""
    wanted = []
    for name, demand in problem.demand.items():
        replicas = problem.replicas.get(name, 0)
        tokens = demand.fast_tokens / (replicas + 1) if replicas else demand.slow_tokens
        if tokens >= ROOM_TOKENS and name in problem.spec.models:
            wanted.append((tokens, name))
    for _, name in sorted(wanted, reverse=True):
        swap = _best_swap(
            problem, problem.spec.models[name], second_tokens=REPLICA_SECOND_TOKENS, victims=False
        )
        if swap:
            return swap
    return None


def _best_swap(
    problem: PlacementProblem,
    model: ModelSpec,
    *,
    second_tokens: float,
    shared_part: float = 0.0,
    most_cost: float = math.inf,
    store_tokens: float = STORE_TOKENS,
    reserve: bool = False,
    victims: bool = True,
) -> Swap | None:
    """Return the cheapest way to a replica; None also while the cheapest engine isn't free yet."""
    best_cost = most_cost
    best: tuple[EngineSnapshot, Swap] | None = None
    for engine in problem.engines:
        if not _may_get(problem, engine, model):
            continue
        chosen, loss = victims_for(problem, engine, model)
        if loss is None or (chosen and not victims):
            continue
        seconds, from_store = load_source(problem.spec, engine, model, chosen)
        if not problem.load_allowed(model.name, seconds, from_store=from_store):
            continue
        unload_ms = unload_ms_of(problem, engine, chosen)
        wait_ms = engine.free_in_ms + unload_ms
        cost = loss + (seconds + wait_ms / 1000) * second_tokens
        cost += shared_part * engine_tokens(problem, engine)
        if from_store:
            cost += store_tokens + copies_loss(problem, engine, model)
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
        # Nobody with less need may take the engine first.
        problem.reserved.add(engine.identity)
    return None


def _may_get(problem: PlacementProblem, engine: EngineSnapshot, model: ModelSpec) -> bool:
    held = model.name in engine.residents or engine.loading == model.name
    return engine.usable and not held and engine.identity not in problem.reserved
