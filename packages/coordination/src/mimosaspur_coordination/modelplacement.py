"""Decide which engine loads which model next, and what makes room for it."""

import math
from dataclasses import dataclass
from dataclasses import replace

from mimosaspur_coordination.engineheadroom import EngineHeadroom
from mimosaspur_coordination.engineheadroom import FleetHeadroom
from mimosaspur_coordination.placementcost import expected_unload_ms
from mimosaspur_coordination.placementproblem import CROWDED_REPLICA_TOKENS_PER_S
from mimosaspur_coordination.placementproblem import PlacementProblem
from mimosaspur_coordination.placementproblem import Swap
from mimosaspur_coordination.weightcopies import load_source
from mimosaspur_state.routes import ModelSpec

# Beyond this a replica is taken to refuse requests. Demand is counted in tokens of which a common
# engine reads 20,000 a second, whatever the real engines read: these are four tenths of its time,
# the rest of which goes to decoding and to its other models.
REPLICA_CAPACITY_TOKENS_PER_S = 8_000.0
# What a replica can't carry counts as the requests of so many seconds, beside those that wait for a
# model: a load takes as long before it helps.
OVERFLOW_WINDOW_S = 3.0
TOKENS_PER_REQUEST = 2_000.0
# What moves for load must gain this much more than it loses, so that models don't swing.
HYSTERESIS_RATIO = 1.6
# What a second until the model is there counts as, for a model without a replica, and for each
# request that waits for it.
FIRST_REPLICA_COST_PER_S = 4_000.0
WAITING_REQUEST_COST_PER_S = 500.0
# The same for one more replica.
EXTRA_REPLICA_COST_PER_S = 300.0
# How much the other load of the engine counts when a replica is added there.
SHARED_ENGINE_WEIGHT = 0.3
# Room that is free anyway is given to a model from this demand on, in tokens a second.
MIN_FREE_ROOM_TOKENS_PER_S = 200.0
# What a load from the weight store counts as beside its time: it is priced, and its copies push out
# others.
STORE_LOAD_COST = 2_500.0
# For a mere copy no more than this may be lost at the victims' place, in tokens a second.
MAX_COPY_COST = 100.0
# What a second until the copy is there counts as: among engines that lose as little, one that is
# free begins at once.
COPY_COST_PER_S = 1.0


def next_swap(problem: PlacementProblem) -> Swap | None:
    """Return the most useful load that an engine can begin now."""
    return PlacementSearch(problem).next_swap()


def next_copy(problem: PlacementProblem) -> Swap | None:
    """Return a load that leaves a copy of a model of which no engine has one."""
    return PlacementSearch(problem).next_copy()


class PlacementSearch:
    """Search for the loads to begin in one state of the engines and of demand."""

    __slots__ = ("cached_headroom", "problem")

    def __init__(self, problem: PlacementProblem) -> None:
        self.problem = problem
        self.cached_headroom: FleetHeadroom | None = None

    def next_swap(self) -> Swap | None:
        """Return the most useful load that an engine can begin now."""
        self.problem.reserved_engines.clear()
        if not self.problem.any_engine_free():
            return None
        return self._for_unmet_demand() or self._for_crowded_models() or self._for_free_room()

    def next_copy(self) -> Swap | None:
        """Return a load that leaves a copy of a model of which no engine has one.

        A model without a copy takes a load from the weight store when it is first asked for,
        several times longer than one from disk.
        """
        problem = self.problem
        problem.reserved_engines.clear()
        if not problem.store_load_allowed or not problem.any_engine_free():
            return None
        for name, model in problem.spec.models.items():
            there = problem.copies.get(name) or problem.replicas.get(name)
            if there or name in problem.preloaded or model.weights_mb > problem.spec.disk_mb:
                continue
            if not problem.load_allowed(name, model.load_s, from_store=True):
                continue
            swap = self._best_swap(model, COPY_LOAD_TERMS)
            if swap:
                return replace(swap, for_copy=True)
        return None

    def _headroom(self) -> FleetHeadroom:
        if self.cached_headroom is None:
            self.cached_headroom = FleetHeadroom(self.problem)
        return self.cached_headroom

    def _for_unmet_demand(self) -> Swap | None:
        """Return the load that most requests need: of a model without a replica, or of one more."""
        problem = self.problem
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
                swap = self._extra_replica(name)
            else:
                waiting = problem.demand_of(name).waiting
                terms = _CostTerms(FIRST_REPLICA_COST_PER_S + waiting * WAITING_REQUEST_COST_PER_S)
                swap = self._best_swap(problem.spec.models[name], terms, reserve=True)
            if swap:
                return swap
        return None

    def _for_crowded_models(self) -> Swap | None:
        """Return the load that takes most from a model whose replicas are crowded."""
        problem = self.problem
        crowded = []
        for name, demand in problem.demand.items():
            replicas = problem.replicas.get(name, 0)
            if replicas and name in problem.spec.models:
                crowded.append((demand.fast_tokens / replicas, name))
        for share, name in sorted(crowded, reverse=True):
            if share < CROWDED_REPLICA_TOKENS_PER_S:
                return None
            swap = self._extra_replica(name)
            if swap:
                return swap
        return None

    def _extra_replica(self, name: str) -> Swap | None:
        """Return a load that adds a replica, if that gains enough more than it loses."""
        problem = self.problem
        gain = problem.demand_of(name).fast_tokens / (problem.replicas[name] + 1)
        terms = _CostTerms(
            EXTRA_REPLICA_COST_PER_S, SHARED_ENGINE_WEIGHT, max_cost=gain / HYSTERESIS_RATIO
        )
        return self._best_swap(problem.spec.models[name], terms)

    def _for_free_room(self) -> Swap | None:
        """Return a load that an engine has room for without a victim, as after its restart."""
        problem = self.problem
        if not any(room.may_fit_model for room in self._headroom().engines):
            return None
        wanted = []
        for name, demand in problem.demand.items():
            replicas = problem.replicas.get(name, 0)
            tokens = demand.fast_tokens / (replicas + 1) if replicas else demand.slow_tokens
            if tokens >= MIN_FREE_ROOM_TOKENS_PER_S and name in problem.spec.models:
                wanted.append((tokens, name))
        for _, name in sorted(wanted, reverse=True):
            swap = self._best_swap(problem.spec.models[name], FREE_ROOM_TERMS)
            if swap:
                return swap
        return None

    def _best_swap(
        self, model: ModelSpec, terms: "_CostTerms", *, reserve: bool = False
    ) -> Swap | None:
        """Return the cheapest way to a replica; None also while the cheapest engine isn't free."""
        best: _Candidate | None = None
        limit = terms.max_cost
        least_s = min(model.memory_load_s, model.disk_load_s, model.load_s)
        for room in self._headroom().engines:
            if room.min_loss + least_s * terms.cost_per_s > limit:
                # Nor can any engine after this one be cheaper.
                break
            found = self._candidate(room, model, terms, limit=limit)
            if found and not (best and found.loses_tie_to(best)):
                best, limit = found, found.cost
        if best is None:
            return None
        if not best.headroom.engine.free_in_ms:
            return best.swap
        if reserve:
            # Nobody with less need may take the engine first.
            self.problem.reserved_engines.add(best.headroom.engine.identity)
        return None

    def _candidate(
        self, room: EngineHeadroom, model: ModelSpec, terms: "_CostTerms", *, limit: float
    ) -> "_Candidate | None":
        """Return the load on one engine, None if it may not be or costs more than the limit."""
        problem = self.problem
        if not _can_load(problem, room, model):
            return None
        victims, loss = room.victims(problem, model)
        if loss is None or (victims and not terms.allow_victims):
            return None
        seconds, from_store = load_source(problem.spec, room.engine, model, victims)
        if not problem.load_allowed(model.name, seconds, from_store=from_store):
            return None
        unload_ms = expected_unload_ms(problem, room.engine, victims)
        wait_ms = room.engine.free_in_ms + unload_ms
        cost = loss + (seconds + wait_ms / 1000) * terms.cost_per_s
        if terms.shared_weight:
            cost += terms.shared_weight * room.demand_tokens(problem)
        if from_store and cost <= limit:
            cost += terms.store_cost + self._headroom().eviction_loss(room, model)
            cost += self._headroom().blocking_loss(room, model, seconds)
        if cost > limit:
            return None
        load_ms = round(seconds * 1000)
        swap = Swap(room.engine.identity, model.name, victims, from_store, load_ms, unload_ms)
        return _Candidate(cost, room, swap)


@dataclass(slots=True, frozen=True)
class _CostTerms:
    """Say what counts in the cost of a load, in tokens a second."""

    # A second until the model is there.
    cost_per_s: float
    # The part of the engine's other load.
    shared_weight: float = 0.0
    # No load that costs more is begun.
    max_cost: float = math.inf
    # A load from the weight store.
    store_cost: float = STORE_LOAD_COST
    # Whether residents may make room.
    allow_victims: bool = True


@dataclass(slots=True, frozen=True)
class _Candidate:
    """Hold the load on one engine."""

    cost: float
    headroom: EngineHeadroom
    swap: Swap

    def loses_tie_to(self, other: "_Candidate") -> bool:
        """Tell whether it costs the same as another one whose engine comes later."""
        return self.cost == other.cost and self.headroom.index < other.headroom.index


def _can_load(problem: PlacementProblem, room: EngineHeadroom, model: ModelSpec) -> bool:
    engine = room.engine
    held = model.name in engine.residents or engine.loading == model.name
    return not held and engine.identity not in problem.reserved_engines


COPY_LOAD_TERMS = _CostTerms(COPY_COST_PER_S, max_cost=MAX_COPY_COST, store_cost=0.0)
FREE_ROOM_TERMS = _CostTerms(EXTRA_REPLICA_COST_PER_S, allow_victims=False)
