"""Decide which engine loads which model next, and what makes room for it."""

import math
from dataclasses import dataclass
from dataclasses import replace

from mimosaspur_coordination.engineroom import EngineRoom
from mimosaspur_coordination.engineroom import EngineRooms
from mimosaspur_coordination.placementcost import unload_ms_of
from mimosaspur_coordination.placementproblem import REPLICA_TOKENS
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
# What a second until the copy is there counts as: among engines that lose as little, one that is
# free begins at once.
COPY_SECOND_TOKENS = 1.0


def next_swap(problem: PlacementProblem) -> Swap | None:
    """Return the most useful load that an engine can begin now."""
    return PlacementSearch(problem).next_swap()


def next_copy(problem: PlacementProblem) -> Swap | None:
    """Return a load that leaves a copy of a model of which no engine has one."""
    return PlacementSearch(problem).next_copy()


class PlacementSearch:
    """Search for the loads to begin in one state of the engines and of demand."""

    __slots__ = ("cached_rooms", "problem")

    def __init__(self, problem: PlacementProblem) -> None:
        self.problem = problem
        self.cached_rooms: EngineRooms | None = None

    def next_swap(self) -> Swap | None:
        """Return the most useful load that an engine can begin now."""
        self.problem.reserved.clear()
        if not self.problem.any_free():
            return None
        return self._for_needs() or self._for_load() or self._for_room()

    def next_copy(self) -> Swap | None:
        """Return a load that leaves a copy of a model of which no engine has one.

        A model without a copy takes a load from the weight store when it is first asked for,
        several times longer than one from disk.
        """
        problem = self.problem
        problem.reserved.clear()
        if not problem.store_free or not problem.any_free():
            return None
        for name, model in problem.spec.models.items():
            there = problem.copies.get(name) or problem.replicas.get(name)
            if there or name in problem.copied or model.weights_mb > problem.spec.disk_mb:
                continue
            if not problem.load_allowed(name, model.load_s, from_store=True):
                continue
            swap = self._best_swap(model, COPY_TERMS)
            if swap:
                return replace(swap, for_copy=True)
        return None

    def _rooms(self) -> EngineRooms:
        if self.cached_rooms is None:
            self.cached_rooms = EngineRooms(self.problem)
        return self.cached_rooms

    def _for_needs(self) -> Swap | None:
        """Return the load that most requests need: of a model without a replica, or of one more."""
        problem = self.problem
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
                swap = self._one_more(name)
            else:
                waiting = problem.demand_of(name).waiting
                terms = _Terms(SECOND_TOKENS + waiting * WAITING_SECOND_TOKENS)
                swap = self._best_swap(problem.spec.models[name], terms, reserve=True)
            if swap:
                return swap
        return None

    def _for_load(self) -> Swap | None:
        """Return the load that takes most from a model whose replicas are crowded."""
        problem = self.problem
        crowded = []
        for name, demand in problem.demand.items():
            replicas = problem.replicas.get(name, 0)
            if replicas and name in problem.spec.models:
                crowded.append((demand.fast_tokens / replicas, name))
        for share, name in sorted(crowded, reverse=True):
            if share < REPLICA_TOKENS:
                return None
            swap = self._one_more(name)
            if swap:
                return swap
        return None

    def _one_more(self, name: str) -> Swap | None:
        """Return a load that adds a replica, if that gains enough more than it loses."""
        problem = self.problem
        gain = problem.demand_of(name).fast_tokens / (problem.replicas[name] + 1)
        terms = _Terms(REPLICA_SECOND_TOKENS, SHARED_ENGINE_PART, most_cost=gain / HYSTERESIS)
        return self._best_swap(problem.spec.models[name], terms)

    def _for_room(self) -> Swap | None:
        """Return a load that an engine has room for without a victim, as after its restart."""
        problem = self.problem
        if not any(room.has_room for room in self._rooms().rooms):
            return None
        wanted = []
        for name, demand in problem.demand.items():
            replicas = problem.replicas.get(name, 0)
            tokens = demand.fast_tokens / (replicas + 1) if replicas else demand.slow_tokens
            if tokens >= ROOM_TOKENS and name in problem.spec.models:
                wanted.append((tokens, name))
        for _, name in sorted(wanted, reverse=True):
            swap = self._best_swap(problem.spec.models[name], ROOM_TERMS)
            if swap:
                return swap
        return None

    def _best_swap(
        self, model: ModelSpec, terms: "_Terms", *, reserve: bool = False
    ) -> Swap | None:
        """Return the cheapest way to a replica; None also while the cheapest engine isn't free."""
        best: _Candidate | None = None
        limit = terms.most_cost
        least_s = min(model.memory_load_s, model.disk_load_s, model.load_s)
        for room in self._rooms().rooms:
            if room.least_loss + least_s * terms.second_tokens > limit:
                # Nor can any engine after this one be cheaper.
                break
            found = self._candidate(room, model, terms, limit=limit)
            if found and not (best and found.ties_before(best)):
                best, limit = found, found.cost
        if best is None:
            return None
        if not best.room.engine.free_in_ms:
            return best.swap
        if reserve:
            # Nobody with less need may take the engine first.
            self.problem.reserved.add(best.room.engine.identity)
        return None

    def _candidate(
        self, room: EngineRoom, model: ModelSpec, terms: "_Terms", *, limit: float
    ) -> "_Candidate | None":
        """Return the load on one engine, None if it may not be or costs more than the limit."""
        problem = self.problem
        if not _may_get(problem, room, model):
            return None
        victims, loss = room.victims(problem, model)
        if loss is None or (victims and not terms.victims):
            return None
        seconds, from_store = load_source(problem.spec, room.engine, model, victims)
        if not problem.load_allowed(model.name, seconds, from_store=from_store):
            return None
        unload_ms = unload_ms_of(problem, room.engine, victims)
        wait_ms = room.engine.free_in_ms + unload_ms
        cost = loss + (seconds + wait_ms / 1000) * terms.second_tokens
        if terms.shared_part:
            cost += terms.shared_part * room.tokens_now(problem)
        if from_store and cost <= limit:
            cost += terms.store_tokens + self._rooms().copies_loss(room, model)
            cost += self._rooms().kept_from_loss(room, model, seconds)
        if cost > limit:
            return None
        load_ms = round(seconds * 1000)
        swap = Swap(room.engine.identity, model.name, victims, from_store, load_ms, unload_ms)
        return _Candidate(cost, room, swap)


@dataclass(slots=True, frozen=True)
class _Terms:
    """Say what counts in the cost of a load, in tokens a second."""

    # A second until the model is there.
    second_tokens: float
    # The part of the engine's other load.
    shared_part: float = 0.0
    # No load that costs more is begun.
    most_cost: float = math.inf
    # A load from the weight store.
    store_tokens: float = STORE_TOKENS
    # Whether residents may make room.
    victims: bool = True


@dataclass(slots=True, frozen=True)
class _Candidate:
    """Hold the load on one engine."""

    cost: float
    room: EngineRoom
    swap: Swap

    def ties_before(self, other: "_Candidate") -> bool:
        """Tell whether it costs the same as another one whose engine comes later."""
        return self.cost == other.cost and self.room.number < other.room.number


def _may_get(problem: PlacementProblem, room: EngineRoom, model: ModelSpec) -> bool:
    engine = room.engine
    held = model.name in engine.residents or engine.loading == model.name
    return not held and engine.identity not in problem.reserved


COPY_TERMS = _Terms(COPY_SECOND_TOKENS, most_cost=COPY_LOSS, store_tokens=0.0)
ROOM_TERMS = _Terms(REPLICA_SECOND_TOKENS, victims=False)
