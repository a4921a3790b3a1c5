"""Know what each engine can give up for a model, so that most engines needn't be tried.

A decision tries many models at many engines, and most of them can't be the cheapest. What an engine
gives up depends on the model's size alone, so it is reckoned once a decision, and the engines are
tried in the order of the least that any model costs there.
"""

import math
from dataclasses import dataclass

from mimosaspur_coordination.placementcost import adapters_mb
from mimosaspur_coordination.placementcost import copies_loss_of
from mimosaspur_coordination.placementcost import engine_tokens
from mimosaspur_coordination.placementcost import kept_from_loss_of
from mimosaspur_coordination.placementcost import resident_loss
from mimosaspur_coordination.placementproblem import LONG_LOAD_MS
from mimosaspur_coordination.placementproblem import EngineSnapshot
from mimosaspur_coordination.placementproblem import PlacementProblem
from mimosaspur_coordination.weightcopies import weights_mb
from mimosaspur_state.routes import ModelSpec

Victims = tuple[str, ...]


@dataclass(slots=True, frozen=True)
class Yielding:
    """Hold a resident that may make room, what is lost with it, and its size."""

    name: str
    loss: float
    weights_mb: float


class EngineRoom:
    """Hold one engine's room, and its residents in the order in which they would yield."""

    __slots__ = ("engine", "has_room", "least_loss", "number", "room_mb", "tokens", "yielding")

    def __init__(
        self,
        problem: PlacementProblem,
        engine: EngineSnapshot,
        *,
        number: int,
        sizes_of: "SpecSizes",
    ) -> None:
        spec = problem.spec
        self.engine = engine
        # The engine's place among the others: of two that cost the same the later one is taken.
        self.number = number
        sizes = {name: weights_mb(spec, name) for name in engine.residents}
        kept_mb = sum(weights_mb(spec, name) for name in engine.kept_free)
        self.room_mb = spec.weights_mb - sum(sizes.values()) - sizes_of.adapters_mb - kept_mb
        by_loss = sorted(
            (
                Yielding(name, resident_loss(problem, engine, name), sizes[name])
                for name in engine.residents
            ),
            key=lambda each: each.loss,
        )
        self.yielding = tuple(by_loss)
        self.tokens: float | None = None
        # Whether some model may have room here without a victim.
        self.has_room = bool(engine.kept_free) or self.room_mb >= sizes_of.least_mb
        self.least_loss = self._least_loss()

    def victims(self, problem: PlacementProblem, model: ModelSpec) -> tuple[Victims, float | None]:
        """Return the cheapest residents that make room, and what is lost with them."""
        room_mb = self.room_mb
        if model.name in self.engine.kept_free:
            room_mb += weights_mb(problem.spec, model.name)
        if room_mb >= model.weights_mb:
            return (), 0.0
        victims = []
        loss = 0.0
        for each in self.yielding:
            victims.append(each.name)
            loss += each.loss
            room_mb += each.weights_mb
            if room_mb >= model.weights_mb:
                return (tuple(victims), loss) if loss < math.inf else ((), None)
        return (), None

    def tokens_now(self, problem: PlacementProblem) -> float:
        """Return the demand that falls to the engine, in tokens a second."""
        if self.tokens is None:
            self.tokens = engine_tokens(problem, self.engine)
        return self.tokens

    def _least_loss(self) -> float:
        """Return a loss that no model's load here goes below."""
        if self.has_room:
            return 0.0
        return self.yielding[0].loss if self.yielding else math.inf


@dataclass(slots=True, frozen=True)
class SpecSizes:
    """Hold sizes that are the same for all engines of a service."""

    # The room that full adapter places take, and the smallest model's weights.
    adapters_mb: float
    least_mb: float


class EngineRooms:
    """Hold the engines that may get models, those that lose least first."""

    __slots__ = ("copies_losses", "problem", "rooms")

    def __init__(self, problem: PlacementProblem) -> None:
        self.problem = problem
        models = problem.spec.models.values()
        least_mb = min((model.weights_mb for model in models), default=0.0)
        sizes_of = SpecSizes(adapters_mb(problem.spec), least_mb)
        rooms = [
            EngineRoom(problem, engine, number=number, sizes_of=sizes_of)
            for number, engine in enumerate(problem.engines)
            if engine.usable
        ]
        self.rooms = sorted(rooms, key=lambda room: room.least_loss)
        self.copies_losses: dict[tuple[str, float], float] = {}

    def kept_from_loss(self, room: EngineRoom, model: ModelSpec, seconds: float) -> float:
        """Return what is lost while a long load keeps the engine from bringing models back."""
        if seconds * 1000 < LONG_LOAD_MS:
            return 0.0
        return seconds * kept_from_loss_of(self.problem, room.engine, model)

    def copies_loss(self, room: EngineRoom, model: ModelSpec) -> float:
        """Return what is lost with the copies that a load from the weight store pushes out."""
        if model.name in room.engine.on_disk:
            return copies_loss_of(self.problem, room.engine, model)
        key = (room.engine.identity, model.weights_mb)
        loss = self.copies_losses.get(key)
        if loss is None:
            loss = self.copies_losses[key] = copies_loss_of(self.problem, room.engine, model)
        return loss
