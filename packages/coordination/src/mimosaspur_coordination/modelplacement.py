"""Decide which engine loads which model next, and which models it unloads first.

Gains, losses and costs are all expressed as demand in tokens per second.
"""

import math
from dataclasses import dataclass
from dataclasses import replace

from mimosaspur_coordination.engineheadroom import EngineHeadroom
from mimosaspur_coordination.engineheadroom import FleetHeadroom
from mimosaspur_coordination.modeldemand import Demand
from mimosaspur_coordination.placementcost import LOST_STREAM_LOSS
from mimosaspur_coordination.placementcost import SOLE_REPLICA_WEIGHT
from mimosaspur_coordination.placementcost import EvictionRule
from mimosaspur_coordination.placementcost import expected_unload_ms
from mimosaspur_coordination.placementproblem import CROWDED_REPLICA_TOKENS_PER_S
from mimosaspur_coordination.placementproblem import EngineSnapshot
from mimosaspur_coordination.placementproblem import PlacementProblem
from mimosaspur_coordination.placementproblem import Swap
from mimosaspur_coordination.weightcopies import load_source
from mimosaspur_state.routes import ModelSpec

# Demand above which a replica is expected to refuse requests. Token costs are normalized to an
# engine that reads 20,000 a second, which also decodes and serves other models.
REPLICA_CAPACITY_TOKENS_PER_S = 8_000.0
# Excess demand over this time is compared with the waiting requests of other models. It is about
# the duration of a load.
OVERFLOW_WINDOW_S = 3.0
TOKENS_PER_REQUEST = 2_000.0
# Ratio of gain to cost required for an extra replica, to avoid thrashing.
HYSTERESIS_RATIO = 1.6
# Cost of each second until the first replica of a model is ready, and the same for each waiting
# request.
FIRST_REPLICA_COST_PER_S = 4_000.0
WAITING_REQUEST_COST_PER_S = 500.0
# Cost of each second until an extra replica is ready.
EXTRA_REPLICA_COST_PER_S = 300.0
# Weight of the engine's other demand when a replica is added there.
SHARED_ENGINE_WEIGHT = 0.3
# Minimum demand for loading a model into unused memory.
MIN_FREE_ROOM_TOKENS_PER_S = 200.0
# Cost of a load from the weight store beside its duration: the transfer is billed, and its copy
# evicts others from disk.
STORE_LOAD_COST = 2_500.0
# Maximum cost of a load that only leaves a copy on disk.
MAX_COPY_COST = 100.0
# Order of needs: first replicas and excess demand for models with urgent demand, or for all models
# where demand is equally urgent; the first replica for the earliest deadline of patient demand;
# other first replicas for patient demand; excess patient demand.
URGENT_NEED = 3
DEADLINE_NEED = 2
PATIENT_NEED = 1
PATIENT_EXCESS_NEED = 0
# Cost of each second until the copy is there, so that a free engine wins among equal losses.
COPY_COST_PER_S = 1.0

# How much a model needs a load, the model, and the version that it needs it at; None for any.
_Need = tuple[tuple[int, float], str, str | None]


def waiting_score(demand: Demand) -> float:
    """Return by how much a model's waiting requests need it: more, the longer they wait."""
    return demand.unmet * (1.0 + demand.waiting_ms / 1000)


def first_replica_need(problem: PlacementProblem, name: str) -> tuple[int, float]:
    """Return the sort key of a model that requests wait for, the greatest for the first load.

    Where requests differ in urgency, models with urgent demand go first. Among these a lower
    priority counts for less, but its requests' weight grows while they wait. Of the others, one at
    a time is loaded because its deadline is the earliest, so that each gets its turn; the rest
    follow by their requests.
    """
    demand = problem.demand_of(name)
    if not problem.by_urgency:
        return URGENT_NEED, waiting_score(demand)
    if problem.is_urgent(name):
        return URGENT_NEED, waiting_score(demand) / (1 + demand.priority)
    if name == problem.next_by_deadline:
        return DEADLINE_NEED, 0.0
    return PATIENT_NEED, demand.unmet * (1.0 + demand.waiting_ms / demand.objective_ms)


def next_swap(problem: PlacementProblem) -> Swap | None:
    """Return the most useful load that an engine can begin now."""
    return PlacementSearch(problem).next_swap()


def next_copy(problem: PlacementProblem) -> Swap | None:
    """Return a load that leaves a copy of a model of which no engine has one."""
    return PlacementSearch(problem).next_copy()


class PlacementSearch:
    """Search for the next load, given one state of the engines and of demand."""

    __slots__ = ("cached_headroom", "patient_load_allowed", "problem")

    def __init__(self, problem: PlacementProblem) -> None:
        self.problem = problem
        self.cached_headroom: dict[EvictionRule, FleetHeadroom] = {}
        # Whether another engine may begin a load for patient demand.
        self.patient_load_allowed = (
            not problem.by_urgency or problem.patient_loads < problem.max_patient_loads()
        )

    def next_swap(self) -> Swap | None:
        """Return the most useful load that an engine can begin now."""
        self.problem.reserved_engines.clear()
        if not self.problem.any_engine_free():
            return None
        return self._for_unmet_demand() or self._for_crowded_models() or self._for_free_room()

    def next_copy(self) -> Swap | None:
        """Return a load that leaves a copy of a model of which no engine has one.

        Without a copy the first request for a model must wait for a load from the weight store,
        which takes several times longer than one from disk.
        """
        problem = self.problem
        problem.reserved_engines.clear()
        if not problem.store_load_allowed or not problem.any_engine_free():
            return None
        for name, model in problem.spec.models.items():
            available = problem.copies.get(name) or problem.replicas.get(name)
            if available or name in problem.preloaded or model.weights_mb > problem.spec.disk_mb:
                continue
            if not problem.load_allowed(name, model.load_s, from_store=True):
                continue
            swap = self._best_swap(model, COPY_LOAD_TERMS)
            if swap:
                return replace(swap, for_copy=True, urgent=None)
        return None

    def _headroom(self, rule: EvictionRule = EvictionRule.BY_LOSS) -> FleetHeadroom:
        headroom = self.cached_headroom.get(rule)
        if headroom is None:
            headroom = self.cached_headroom[rule] = FleetHeadroom(self.problem, rule)
        return headroom

    def _may_load(self, name: str) -> bool:
        """Return whether a load may begin now, as far as the model's urgency counts."""
        return self.patient_load_allowed or self.problem.is_urgent(name)

    def _for_unmet_demand(self) -> Swap | None:
        """Return the load that most requests need: a first replica, or one for excess demand.

        Streams that no replica of their version lets go on need a replica as well.
        """
        problem = self.problem
        needs = [*self._needs(), *self._stream_needs()]
        for _, name, version in sorted(needs, key=lambda each: each[:2], reverse=True):
            if not self._may_load(name):
                continue
            if version is not None:
                swap = self._version_replica(name, version)
            elif problem.replicas.get(name):
                swap = self._extra_replica(name)
            else:
                swap = self._best_swap(
                    problem.spec.models[name], self._first_replica_terms(name), reserve=True
                )
            if swap:
                return swap
        return None

    def _needs(self) -> list[_Need]:
        """Return the models that lack a replica, or room for their demand."""
        problem = self.problem
        needs: list[_Need] = []
        for name, demand in problem.demand.items():
            if name not in problem.spec.models:
                continue
            replicas = problem.replicas.get(name, 0)
            if replicas:
                capacity = problem.speeds[name] * REPLICA_CAPACITY_TOKENS_PER_S
                if demand.fast_tokens > capacity:
                    needs.append(
                        (self._excess_need(name, demand.fast_tokens - capacity), name, None)
                    )
            elif demand.unmet:
                needs.append((first_replica_need(problem, name), name, None))
        return needs

    def _stream_needs(self) -> list[_Need]:
        """Return the models whose streams lack a replica at their version."""
        return [
            (self._stream_need(name, streams), name, version)
            for name, lost in self.problem.lost_streams.items()
            for version, streams in lost.items()
        ]

    def _stream_need(self, name: str, streams: float) -> tuple[int, float]:
        """Return the sort key of a model whose streams can't go on at their version."""
        urgent = not self.problem.by_urgency or self.problem.is_urgent(name)
        return URGENT_NEED if urgent else PATIENT_NEED, streams

    def _version_replica(self, name: str, version: str) -> Swap | None:
        """Return the load that lets a version's streams go on, None if it isn't worth it."""
        terms = _CostTerms(
            EXTRA_REPLICA_COST_PER_S,
            max_cost=self.problem.streams[name, version] * LOST_STREAM_LOSS,
            rule=self._rule(name, urgent_rule=EvictionRule.BY_LOSS),
            version=version,
        )
        return self._best_swap(self.problem.spec.models[name], terms)

    def _excess_need(self, name: str, excess_tokens: float) -> tuple[int, float]:
        """Return the sort key of a model whose demand exceeds its replicas' capacity."""
        requests = excess_tokens / TOKENS_PER_REQUEST * OVERFLOW_WINDOW_S
        if not self.problem.by_urgency:
            return URGENT_NEED, requests
        if not self.problem.is_urgent(name):
            return PATIENT_EXCESS_NEED, requests
        return URGENT_NEED, requests / (1 + self.problem.demand_of(name).priority)

    def first_replica(self, name: str) -> Swap | None:
        """Return the load of a model without a replica, also on an engine that is busy."""
        best = self._best_candidate(self.problem.spec.models[name], self._first_replica_terms(name))
        return best.swap if best else None

    def refresh(self, engine: EngineSnapshot) -> None:
        """Update what is cached about an engine whose state has changed."""
        for headroom in self.cached_headroom.values():
            headroom.refresh(engine)

    def _first_replica_terms(self, name: str) -> "_CostTerms":
        unmet = self.problem.demand_of(name).unmet
        return _CostTerms(
            FIRST_REPLICA_COST_PER_S + unmet * WAITING_REQUEST_COST_PER_S,
            rule=self._rule(name, urgent_rule=EvictionRule.URGENT_LAST),
        )

    def _rule(self, name: str, *, urgent_rule: EvictionRule) -> EvictionRule:
        """Return which models may be unloaded for a model."""
        if not self.problem.by_urgency:
            return EvictionRule.BY_LOSS
        return urgent_rule if self.problem.is_urgent(name) else EvictionRule.URGENT_NEVER

    def _for_crowded_models(self) -> Swap | None:
        """Return the load that adds a replica of the model with the most demand per replica."""
        problem = self.problem
        crowded = []
        for name, demand in problem.demand.items():
            replicas = problem.replicas.get(name, 0)
            if replicas and name in problem.spec.models:
                share = demand.fast_tokens / problem.speeds[name]
                if share >= CROWDED_REPLICA_TOKENS_PER_S:
                    crowded.append((self._goes_first(name), share, name))
        for *_, name in sorted(crowded, reverse=True):
            swap = self._extra_replica(name) if self._may_load(name) else None
            if swap:
                return swap
        return None

    def _extra_replica(self, name: str) -> Swap | None:
        """Return a load that adds a replica, None if its gain doesn't justify the cost."""
        problem = self.problem
        rule = self._rule(name, urgent_rule=EvictionRule.BY_LOSS)
        tokens = problem.demand_of(name).fast_tokens
        max_speed = self._headroom(rule).max_speed
        gain = _gain(tokens, problem.speeds[name], max_speed)
        if problem.by_urgency:
            gain += _overload_gain(tokens, problem.speeds[name], max_speed)
        terms = _CostTerms(
            EXTRA_REPLICA_COST_PER_S,
            SHARED_ENGINE_WEIGHT,
            max_cost=gain / HYSTERESIS_RATIO,
            rule=rule,
            extra_tokens=tokens,
        )
        return self._best_swap(problem.spec.models[name], terms)

    def _goes_first(self, name: str) -> bool:
        """Return whether a model's demand goes before that for other models."""
        return self.problem.by_urgency and self.problem.is_urgent(name)

    def _for_free_room(self) -> Swap | None:
        """Return a load that fits without a victim, for example after an engine's restart."""
        problem = self.problem
        if not any(headroom.may_fit_model for headroom in self._headroom().engines):
            return None
        wanted = []
        for name, demand in problem.demand.items():
            replicas = problem.replicas.get(name, 0)
            tokens = demand.fast_tokens / (replicas + 1) if replicas else demand.slow_tokens
            if tokens >= MIN_FREE_ROOM_TOKENS_PER_S and name in problem.spec.models:
                wanted.append((self._goes_first(name), tokens, name))
        for *_, name in sorted(wanted, reverse=True):
            if not self._may_load(name):
                continue
            terms = FREE_ROOM_TERMS
            if problem.replicas.get(name):
                terms = replace(terms, extra_tokens=problem.demand_of(name).fast_tokens)
            swap = self._best_swap(problem.spec.models[name], terms)
            if swap:
                return swap
        return None

    def _best_swap(
        self, model: ModelSpec, terms: "_CostTerms", *, reserve: bool = False
    ) -> Swap | None:
        """Return the cheapest load of a model, None if there is none or its engine is busy."""
        best = self._best_candidate(model, terms)
        if best is None:
            return None
        if not best.headroom.engine.free_in_ms:
            return best.swap
        if reserve:
            # Keeps models with less need from taking the engine first.
            self.problem.reserved_engines.add(best.headroom.engine.identity)
        return None

    def _best_candidate(self, model: ModelSpec, terms: "_CostTerms") -> "_Candidate | None":
        """Return the cheapest load of a model, also on an engine that is busy."""
        best: _Candidate | None = None
        limit = terms.max_cost
        min_load_s = min(model.memory_load_s, model.disk_load_s, model.load_s)
        for headroom in self._headroom(terms.rule).engines:
            if headroom.min_loss + min_load_s * terms.cost_per_s > limit:
                # Engines are sorted by min_loss, so no later one can be cheaper.
                break
            candidate = self._candidate(headroom, model, terms, limit=limit)
            if candidate and not (best and candidate.loses_tie_to(best)):
                best, limit = candidate, candidate.cost
        return best

    def _candidate(
        self, headroom: EngineHeadroom, model: ModelSpec, terms: "_CostTerms", *, limit: float
    ) -> "_Candidate | None":
        """Return the load on one engine, None if it isn't allowed or costs more than the limit."""
        problem = self.problem
        if not _can_load(problem, headroom, model):
            return None
        if terms.version not in (None, headroom.engine.version):
            return None
        victims, loss = headroom.victims(problem, model)
        if loss is None or (victims and not terms.allow_victims):
            return None
        seconds, from_store = load_source(problem.spec, headroom.engine, model, victims)
        if not problem.load_allowed(model.name, seconds, from_store=from_store):
            return None
        unload_ms = expected_unload_ms(problem, headroom.engine, victims)
        wait_ms = headroom.engine.free_in_ms + unload_ms
        cost = loss + (seconds + wait_ms / 1000) * terms.cost_per_s
        if terms.extra_tokens:
            cost += self._slowness_cost(headroom, model, terms)
        if problem.lost_streams and not problem.replicas.get(model.name):
            cost += problem.missed_streams(headroom.engine, model.name) * LOST_STREAM_LOSS
        if terms.shared_weight:
            cost += terms.shared_weight * headroom.demand_tokens(problem)
        if from_store and cost <= limit:
            cost += terms.store_cost + self._headroom().eviction_loss(headroom, model)
            cost += self._headroom().blocking_loss(headroom, model, seconds)
        if cost > limit:
            return None
        load_ms = round(seconds * 1000)
        swap = Swap(
            headroom.engine.identity,
            model.name,
            victims,
            from_store,
            load_ms,
            unload_ms,
            urgent=problem.is_urgent(model.name) if problem.by_urgency else None,
        )
        return _Candidate(cost, headroom, swap)

    def _slowness_cost(
        self, headroom: EngineHeadroom, model: ModelSpec, terms: "_CostTerms"
    ) -> float:
        """Return how much less demand an extra replica serves than on the fastest engine."""
        speeds = self.problem.speeds.get(model.name, 0.0)
        max_speed = self._headroom(terms.rule).max_speed
        at_best = _gain(terms.extra_tokens, speeds, max_speed)
        return at_best - _gain(terms.extra_tokens, speeds, headroom.engine.speed)


@dataclass(slots=True, frozen=True)
class _CostTerms:
    """Hold the weights and limits of a load's cost."""

    # Cost of each second until the model is ready.
    cost_per_s: float
    # Weight of the engine's other demand.
    shared_weight: float = 0.0
    # Loads that cost more are rejected.
    max_cost: float = math.inf
    # Cost of a load from the weight store.
    store_cost: float = STORE_LOAD_COST
    # Whether residents may be unloaded, and which.
    allow_victims: bool = True
    rule: EvictionRule = EvictionRule.BY_LOSS
    # Demand for a model that gets an extra replica, 0 for a first one.
    extra_tokens: float = 0.0
    # The version of the engines that may load it; None for any.
    version: str | None = None


@dataclass(slots=True, frozen=True)
class _Candidate:
    """Hold a possible load on one engine and its cost."""

    cost: float
    headroom: EngineHeadroom
    swap: Swap

    def loses_tie_to(self, other: "_Candidate") -> bool:
        """Return whether the cost equals that of another candidate with a higher engine index."""
        return self.cost == other.cost and self.headroom.index < other.headroom.index


def _gain(tokens: float, speeds: float, speed: float) -> float:
    """Return the share of a model's demand that an extra replica serves, by engines' speeds."""
    return tokens * speed / (speeds + speed)


def _overload_gain(tokens: float, speeds: float, speed: float) -> float:
    """Return the gain of serving demand that exceeds the capacity of a model's replicas.

    Its requests are as late as those whose model has to be loaded first, so they weigh the same.
    """
    excess = tokens - speeds * REPLICA_CAPACITY_TOKENS_PER_S
    return SOLE_REPLICA_WEIGHT * min(max(0.0, excess), speed * REPLICA_CAPACITY_TOKENS_PER_S)


def _can_load(problem: PlacementProblem, headroom: EngineHeadroom, model: ModelSpec) -> bool:
    engine = headroom.engine
    held = model.name in engine.residents or engine.loading == model.name
    return not held and engine.identity not in problem.reserved_engines


COPY_LOAD_TERMS = _CostTerms(COPY_COST_PER_S, max_cost=MAX_COPY_COST, store_cost=0.0)
FREE_ROOM_TERMS = _CostTerms(EXTRA_REPLICA_COST_PER_S, allow_victims=False)
