"""Compute each engine's free memory and eviction order, to prune the placement search.

A decision considers many models on many engines, most of which can't be the cheapest. What an
engine must evict depends only on the model's size, so it is computed once per decision, and engines
are searched in ascending order of a lower bound on the loss.
"""

import math
from dataclasses import dataclass

from mimosaspur_coordination.placementcost import EvictionRule
from mimosaspur_coordination.placementcost import adapters_mb
from mimosaspur_coordination.placementcost import blocking_loss_per_s
from mimosaspur_coordination.placementcost import copy_eviction_loss
from mimosaspur_coordination.placementcost import engine_demand
from mimosaspur_coordination.placementcost import ruled_unload_loss
from mimosaspur_coordination.placementproblem import LONG_LOAD_MS
from mimosaspur_coordination.placementproblem import EngineSnapshot
from mimosaspur_coordination.placementproblem import PlacementProblem
from mimosaspur_coordination.weightcopies import weights_mb
from mimosaspur_state.routes import ModelSpec

Victims = tuple[str, ...]


@dataclass(slots=True, frozen=True)
class EvictionCandidate:
    """Hold a resident that may be evicted, the loss of evicting it, and its size."""

    name: str
    loss: float
    weights_mb: float


class EngineHeadroom:
    """Hold one engine's free memory, and its residents in the order of eviction."""

    __slots__ = (
        "cached_demand",
        "engine",
        "eviction_order",
        "free_mb",
        "index",
        "may_fit_model",
        "min_loss",
    )

    def __init__(
        self,
        problem: PlacementProblem,
        engine: EngineSnapshot,
        *,
        index: int,
        spec_sizes: "SpecSizes",
        rule: EvictionRule = EvictionRule.BY_LOSS,
    ) -> None:
        spec = problem.spec
        self.engine = engine
        # Of two engines with equal cost the one with the higher index is chosen.
        self.index = index
        sizes = {name: weights_mb(spec, name) for name in engine.residents}
        reserved_mb = sum(
            weights_mb(spec, name) for name in engine.reserved_models if name not in sizes
        )
        self.free_mb = spec.weights_mb - sum(sizes.values()) - spec_sizes.adapters_mb - reserved_mb
        by_loss = sorted(
            (
                EvictionCandidate(name, ruled_unload_loss(problem, engine, name, rule), sizes[name])
                for name in engine.residents
                # A late order may load it again, so that to unload it frees no room.
                if name not in engine.reserved_models
            ),
            key=lambda each: each.loss,
        )
        self.eviction_order = tuple(by_loss)
        self.cached_demand: float | None = None
        # Whether some model may fit without a victim.
        self.may_fit_model = (
            bool(engine.reserved_models) or self.free_mb >= spec_sizes.smallest_model_mb
        )
        self.min_loss = self._min_loss()

    def victims(self, problem: PlacementProblem, model: ModelSpec) -> tuple[Victims, float | None]:
        """Return the cheapest victims for a model and their loss, None if it can't fit."""
        room_mb = self.free_mb
        if model.name in self.engine.reserved_models:
            room_mb += weights_mb(problem.spec, model.name)
        if room_mb >= model.weights_mb:
            return (), 0.0
        victims = []
        loss = 0.0
        for each in self.eviction_order:
            victims.append(each.name)
            loss += each.loss
            room_mb += each.weights_mb
            if room_mb >= model.weights_mb:
                return (tuple(victims), loss) if loss < math.inf else ((), None)
        return (), None

    def demand_tokens(self, problem: PlacementProblem) -> float:
        """Return the engine's share of the demand, in tokens per second."""
        if self.cached_demand is None:
            self.cached_demand = engine_demand(problem, self.engine)
        return self.cached_demand

    def _min_loss(self) -> float:
        """Return a lower bound on the loss of loading any model here."""
        if self.may_fit_model:
            return 0.0
        return self.eviction_order[0].loss if self.eviction_order else math.inf


@dataclass(slots=True, frozen=True)
class SpecSizes:
    """Hold sizes that are the same for all engines of a service."""

    # Memory reserved for full adapter slots, and the smallest model's weights.
    adapters_mb: float
    smallest_model_mb: float


class FleetHeadroom:
    """Hold the headroom of all usable engines, in ascending order of their minimum loss."""

    __slots__ = ("engines", "eviction_losses", "max_speed", "problem", "rule", "spec_sizes")

    def __init__(
        self, problem: PlacementProblem, rule: EvictionRule = EvictionRule.BY_LOSS
    ) -> None:
        self.problem = problem
        self.rule = rule
        models = problem.spec.models.values()
        smallest_model_mb = min((model.weights_mb for model in models), default=0.0)
        self.spec_sizes = SpecSizes(adapters_mb(problem.spec), smallest_model_mb)
        headrooms = [
            EngineHeadroom(problem, engine, index=index, spec_sizes=self.spec_sizes, rule=rule)
            for index, engine in enumerate(problem.engines)
            if engine.usable
        ]
        self.engines = sorted(headrooms, key=lambda headroom: headroom.min_loss)
        self.max_speed = max((each.engine.speed for each in headrooms), default=1.0)
        self.eviction_losses: dict[tuple[str, float], float] = {}

    def refresh(self, engine: EngineSnapshot) -> None:
        """Compute the headroom of an engine again, whose state has changed."""
        self.engines = [
            (
                EngineHeadroom(
                    self.problem,
                    engine,
                    index=headroom.index,
                    spec_sizes=self.spec_sizes,
                    rule=self.rule,
                )
                if headroom.engine is engine
                else headroom
            )
            for headroom in self.engines
        ]
        self.engines.sort(key=lambda headroom: headroom.min_loss)

    def blocking_loss(self, headroom: EngineHeadroom, model: ModelSpec, seconds: float) -> float:
        """Return the loss while a long load blocks the engine from reloading other models."""
        if seconds * 1000 < LONG_LOAD_MS:
            return 0.0
        return seconds * blocking_loss_per_s(self.problem, headroom.engine, model)

    def eviction_loss(self, headroom: EngineHeadroom, model: ModelSpec) -> float:
        """Return the loss of the disk copies that a load from the weight store evicts."""
        if model.name in headroom.engine.on_disk:
            return copy_eviction_loss(self.problem, headroom.engine, model)
        key = (headroom.engine.identity, model.weights_mb)
        loss = self.eviction_losses.get(key)
        if loss is None:
            loss = self.eviction_losses[key] = copy_eviction_loss(
                self.problem, headroom.engine, model
            )
        return loss
