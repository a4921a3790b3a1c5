"""Decide which engine loads which model next, and what makes room for it."""

import math
from collections.abc import Collection
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace

from mimosaspur_coordination.modeldemand import Demand
from mimosaspur_coordination.weightcopies import copy_counts
from mimosaspur_coordination.weightcopies import load_source
from mimosaspur_coordination.weightcopies import pushed_out
from mimosaspur_coordination.weightcopies import weights_mb
from mimosaspur_state.routes import EngineSpec
from mimosaspur_state.routes import ModelSpec

# Tokens a second that one replica should carry at most; an engine reads some 20,000 and shares
# them among its models.
REPLICA_TOKENS = 5_000.0
# Beyond this a replica is taken to refuse requests: an engine reads some 20,000 tokens a second and
# gives its time to decoding and to its other models too.
REPLICA_CAPACITY = 8_000.0
# What a replica can't carry counts as the requests of so many seconds, beside those that wait for a
# model: a load takes as long before it helps.
OVERFLOW_S = 3.0
REQUEST_TOKENS = 2_000.0
# What moves for load must gain this much more than it loses, so that models don't swing.
HYSTERESIS = 1.6
# A sole replica counts by its demand over the longer time, times this: losing it means a load
# before the next request.
SOLE_WEIGHT = 5.0
# The same where the model can be back within the objective of its requests: they lose little.
PATIENT_WEIGHT = 1.0
# The least that the loss of a sole replica counts otherwise, in tokens a second: a model that
# nobody asks for now may be asked for by many in the next second.
SOLE_TOKENS = 1_500.0
# From a request that finds no replica to the order that loads one, and from the load's end to the
# first event.
COMING_BACK_MS = 400.0
# What a second until the model is there counts as, for a model without a replica, and for each
# request that waits for it.
SECOND_TOKENS = 4_000.0
WAITING_SECOND_TOKENS = 500.0
# The same for one more replica.
REPLICA_SECOND_TOKENS = 300.0
# How much the other load of the engine counts when a replica is added there.
SHARED_ENGINE_PART = 0.3
# Running requests hold up an unload; each counts as this much.
RUNNING_TOKENS = 1_500.0
# Room that is free anyway is given to a model from this demand on, in tokens a second.
ROOM_TOKENS = 200.0
# What a load from the weight store counts as beside its time: it is priced, and its copies push out
# others.
STORE_TOKENS = 2_500.0
# What a second that a later load takes longer counts as, for a model whose last copy is lost.
LAST_COPY_SECOND_TOKENS = 2_000.0
# For a mere copy no more than this may be lost at the victims' place, in tokens a second.
COPY_LOSS = 100.0
# An engine takes one order at a time: a load of this length keeps it from what is needed next.
LONG_LOAD_MS = 4_000
# At most this part of the engines may be kept so for models that few ask for.
LONG_LOADS_PART = 0.34
NO_DEMAND = Demand()


@dataclass(slots=True)
class EngineSnapshot:
    """Hold one engine's part in the decision."""

    identity: str
    # Requests in flight by resident model; models on their way out are left out.
    residents: dict[str, int]
    # When the engine can take an order, 0 for now.
    free_in_ms: int
    # Whether the engine may get models at all.
    usable: bool = True
    loading: str = ""
    # Models that have just come and whose requests may still be on their way.
    recent: frozenset[str] = frozenset()
    # Copies of weights, those that were used longest ago first.
    in_memory: tuple[str, ...] = ()
    on_disk: tuple[str, ...] = ()
    # Models for which room is kept, since late orders may load them.
    kept_free: tuple[str, ...] = ()


@dataclass(slots=True, frozen=True)
class Swap:
    """Load a model on an engine after the victims are unloaded."""

    identity: str
    model: str
    victims: tuple[str, ...]
    # Whether the weights come from the weight store and count in its rate.
    from_store: bool
    # The load's own time.
    load_ms: int
    # How long the victims' unload waits for their runs.
    unload_ms: int = 0
    # Whether the load serves only to leave a copy on the engine's disk.
    for_copy: bool = False


@dataclass(slots=True)
class PlacementProblem:
    """Hold what a decision is made from."""

    spec: EngineSpec
    engines: Sequence[EngineSnapshot]
    demand: Mapping[str, Demand]
    # Whether the weight store's rate allows another load.
    store_free: bool = True
    # Whether nobody has asked for anything yet, as before a site's first callers.
    idle: bool = False
    # How long a stream lasts once it has begun.
    stream_ms: float = 0.0
    # Whether the last copy of a model's weights is spared.
    spares_copies: bool = True
    # Models that were loaded for their copies already, which an engine needn't have kept.
    copied: Collection[str] = ()
    replicas: dict[str, int] = field(default_factory=dict)
    # On how many engines a model is held or has a copy.
    copies: dict[str, int] = field(default_factory=dict)
    # Engines that a model waits for.
    reserved: set[str] = field(default_factory=set)

    def __post_init__(self) -> None:
        self.copies = copy_counts(self.engines)
        for engine in self.engines:
            for model in (*engine.residents, *filter(None, (engine.loading,))):
                self.replicas[model] = self.replicas.get(model, 0) + 1

    def load_allowed(self, model: str, seconds: float, *, from_store: bool) -> bool:
        """Tell whether a load may begin, for the store's rate and for the engine that it keeps."""
        if from_store and not self.store_free:
            return False
        short = seconds * 1000 < LONG_LOAD_MS
        if short or self.idle or self.demand_of(model).fast_tokens >= REPLICA_TOKENS:
            return True
        kept = sum(engine.free_in_ms >= LONG_LOAD_MS / 2 for engine in self.engines)
        return kept + 1 <= max(1.0, len(self.engines) * LONG_LOADS_PART)

    def demand_of(self, model: str) -> Demand:
        """Return a model's demand."""
        return self.demand.get(model, NO_DEMAND)


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


def _back_ms(load_s: float) -> float:
    return load_s * 1000 + COMING_BACK_MS


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
        chosen, loss = _victims(problem, engine, model)
        if loss is None or (chosen and not victims):
            continue
        seconds, from_store = load_source(problem.spec, engine, model, chosen)
        if not problem.load_allowed(model.name, seconds, from_store=from_store):
            continue
        unload_ms = _unload_ms(problem, engine, chosen)
        wait_ms = engine.free_in_ms + unload_ms
        cost = loss + (seconds + wait_ms / 1000) * second_tokens
        cost += shared_part * _engine_tokens(problem, engine)
        if from_store:
            cost += store_tokens + _copies_loss(problem, engine, model)
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


def _copies_loss(problem: PlacementProblem, engine: EngineSnapshot, model: ModelSpec) -> float:
    """Return what is lost with the copies on disk that a load from the weight store pushes out.

    A model whose last copy is gone comes back from the weight store too.
    """
    loss = 0.0
    if not problem.spares_copies:
        return loss
    for name in pushed_out(problem.spec, engine, model):
        pushed = problem.spec.models.get(name)
        if pushed and problem.copies.get(name, 0) <= 1 and name != model.name:
            loss += (pushed.load_s - pushed.disk_load_s) * LAST_COPY_SECOND_TOKENS
    return loss


def _engine_tokens(problem: PlacementProblem, engine: EngineSnapshot) -> float:
    """Return the demand that falls to an engine, in tokens a second."""
    return sum(
        problem.demand_of(name).fast_tokens / problem.replicas.get(name, 1)
        for name in engine.residents
    )


def _victims(
    problem: PlacementProblem, engine: EngineSnapshot, model: ModelSpec
) -> tuple[tuple[str, ...], float | None]:
    """Return the cheapest residents that make room, and what is lost with them."""
    spec = problem.spec
    sizes = {name: weights_mb(spec, name) for name in engine.residents}
    room_mb = spec.weights_mb - sum(sizes.values()) - _adapters_mb(spec)
    room_mb -= sum(weights_mb(spec, name) for name in engine.kept_free if name != model.name)
    by_loss = sorted(engine.residents, key=lambda name: _loss(problem, engine, name))
    victims = []
    loss = 0.0
    for name in by_loss:
        if room_mb >= model.weights_mb:
            break
        victims.append(name)
        loss += _loss(problem, engine, name)
        room_mb += sizes[name]
    if room_mb < model.weights_mb or loss == math.inf:
        return (), None
    return tuple(victims), loss


def _unload_ms(problem: PlacementProblem, engine: EngineSnapshot, victims: Sequence[str]) -> int:
    """Return how long an unload waits for the last of the victims' runs.

    The last of n runs whose lengths vary widely ends after as many mean lengths as the nth harmonic
    number says (1 for one run, 2.9 for ten).
    """
    runs = sum(engine.residents.get(name, 0) for name in victims)
    return round(problem.stream_ms * sum(1 / number for number in range(1, runs + 1)))


def _loss(problem: PlacementProblem, engine: EngineSnapshot, name: str) -> float:
    if name in engine.recent:
        return math.inf
    demand = problem.demand_of(name)
    replicas = problem.replicas.get(name, 1)
    running = engine.residents.get(name, 0) * RUNNING_TOKENS
    if problem.idle and len(engine.residents) > 1:
        return running
    if replicas > 1:
        return running + demand.fast_tokens / replicas
    model = problem.spec.models.get(name)
    if model is None:
        return running
    # What is unloaded stays in memory or on disk for a while.
    if demand.objective_ms >= _back_ms(model.disk_load_s):
        return running + max(demand.fast_tokens, demand.slow_tokens * PATIENT_WEIGHT)
    return running + max(demand.fast_tokens, demand.slow_tokens * SOLE_WEIGHT, SOLE_TOKENS)


def _adapters_mb(spec: EngineSpec) -> float:
    """Return the room that full adapter places take."""
    largest_mb = max((model.adapter_mb for model in spec.models.values()), default=0.0)
    return spec.adapter_slots * largest_mb
