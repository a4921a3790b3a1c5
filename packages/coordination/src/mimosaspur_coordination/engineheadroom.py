"""Know what each engine can give up for a model, so that most engines needn't be tried.

A decision tries many models at many engines, and most of them can't be the cheapest. What an engine
gives up depends on the model's size alone, so it is reckoned once a decision, and the engines are
tried in the order of the least that any model costs there.
"""

import math
from dataclasses import dataclass

from mimosaspur_coordination.placementcost import adapters_mb
from mimosaspur_coordination.placementcost import blocking_loss_per_s
from mimosaspur_coordination.placementcost import copy_eviction_loss
from mimosaspur_coordination.placementcost import engine_demand
from mimosaspur_coordination.placementcost import unload_loss
from mimosaspur_coordination.placementproblem import LONG_LOAD_MS
from mimosaspur_coordination.placementproblem import EngineSnapshot
from mimosaspur_coordination.placementproblem import PlacementProblem
from mimosaspur_coordination.weightcopies import weights_mb
from mimosaspur_state.routes import ModelSpec

Victims = tuple[str, ...]


@dataclass(slots=True, frozen=True)
class EvictionCandidate:
    """Hold a resident that may make room, what is lost with it, and its size."""

    name: str
    loss: float
    weights_mb: float


class EngineHeadroom:
    """Hold one engine's room, and its residents in the order in which they would yield."""

    __slots__ = (
        "engine",
        "may_fit_model",
        "min_loss",
        "index",
        "free_mb",
        "cached_demand",
        "eviction_order",
    )

    def __init__(
        self,
        problem: PlacementProblem,
        engine: EngineSnapshot,
        *,
        index: int,
        spec_sizes: "SpecSizes",
    ) -> None:
        spec = problem.spec
        self.engine = engine
        # The engine's place among the others: of two that cost the same the later one is taken.
        self.index = index
        sizes = {name: weights_mb(spec, name) for name in engine.residents}
        kept_mb = sum(weights_mb(spec, name) for name in engine.reserved_models)
        self.free_mb = spec.weights_mb - sum(sizes.values()) - spec_sizes.adapters_mb - kept_mb
        by_loss = sorted(
            (
                EvictionCandidate(name, unload_loss(problem, engine, name), sizes[name])
                for name in engine.residents
            ),
            key=lambda each: each.loss,
        )
        self.eviction_order = tuple(by_loss)
        self.cached_demand: float | None = None
        # Whether some model may have room here without a victim.
        self.may_fit_model = (
            bool(engine.reserved_models) or self.free_mb >= spec_sizes.smallest_model_mb
        )
        self.min_loss = self._min_loss()

    def victims(self, problem: PlacementProblem, model: ModelSpec) -> tuple[Victims, float | None]:
        """Return the cheapest residents that make room, and what is lost with them."""
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
        """Return the demand that falls to the engine, in tokens a second."""
        if self.cached_demand is None:
            self.cached_demand = engine_demand(problem, self.engine)
        return self.cached_demand

    def _min_loss(self) -> float:
        """Return a loss that no model's load here goes below."""
        if self.may_fit_model:
            return 0.0
        return self.eviction_order[0].loss if self.eviction_order else math.inf


@dataclass(slots=True, frozen=True)
class SpecSizes:
    """Hold sizes that are the same for all engines of a service."""

    # The room that full adapter places take, and the smallest model's weights.
    adapters_mb: float
    smallest_model_mb: float


class FleetHeadroom:
    """Hold the engines that may get models, those that lose least first."""

    __slots__ = ("eviction_losses", "problem", "engines")

    def __init__(self, problem: PlacementProblem) -> None:
        self.problem = problem
        models = problem.spec.models.values()
        least_mb = min((model.weights_mb for model in models), default=0.0)
        sizes_of = SpecSizes(adapters_mb(problem.spec), least_mb)
        rooms = [
            EngineHeadroom(problem, engine, index=number, spec_sizes=sizes_of)
            for number, engine in enumerate(problem.engines)
            if engine.usable
        ]
        self.engines = sorted(rooms, key=lambda room: room.min_loss)
        self.eviction_losses: dict[tuple[str, float], float] = {}

    def blocking_loss(self, room: EngineHeadroom, model: ModelSpec, seconds: float) -> float:
        """Return what is lost while a long load keeps the engine from bringing models back."""
        if seconds * 1000 < LONG_LOAD_MS:
            return 0.0
        return seconds * blocking_loss_per_s(self.problem, room.engine, model)

    def eviction_loss(self, room: EngineHeadroom, model: ModelSpec) -> float:
        """Return what is lost with the copies that a load from the weight store pushes out."""
        if model.name in room.engine.on_disk:
            return copy_eviction_loss(self.problem, room.engine, model)
        key = (room.engine.identity, model.weights_mb)
        loss = self.eviction_losses.get(key)
        if loss is None:
            loss = self.eviction_losses[key] = copy_eviction_loss(self.problem, room.engine, model)
        return loss
