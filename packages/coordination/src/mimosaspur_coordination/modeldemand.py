"""Measure what callers ask of each model, fading with time."""

from collections.abc import Mapping
from dataclasses import dataclass

from mimosaspur_state.clock import Clock

# A model's load follows demand that moves within seconds.
FAST_DECAY_MS = 1_500
# Whether a model will be asked for again shows over a longer time.
SLOW_DECAY_MS = 15_000
# A stricter objective is forgotten by so much with each later count.
OBJECTIVE_GROWTH_RATIO = 1.05


@dataclass(slots=True)
class Demand:
    """Hold one model's demand; rates are for a second."""

    fast_tokens: float = 0.0
    slow_tokens: float = 0.0
    updated_ms: int = 0
    last_request_ms: int = 0
    # Requests that wait for a replica now, over all entries.
    waiting: int = 0
    # For how long some request has waited.
    waiting_ms: int = 0
    waiting_since_ms: int = 0
    # The shortest time to a first event that requests of late allow, 0 if none is known.
    objective_ms: float = 0.0

    def update_waiting(self, requests: int, now_ms: int) -> None:
        """Take the number of requests that wait now."""
        if not requests:
            self.waiting_since_ms = 0
        elif not self.waiting_since_ms:
            self.waiting_since_ms = now_ms
        self.waiting = requests
        self.waiting_ms = now_ms - self.waiting_since_ms if requests else 0


class ModelDemand:
    """Keep the demand for all models."""

    __slots__ = ("clock", "models", "waiting_models")

    def __init__(self, *, clock: Clock) -> None:
        self.clock = clock
        self.models: dict[str, Demand] = {}
        # The models that requests waited for when that was last told.
        self.waiting_models: frozenset[str] = frozenset()

    def count(self, model: str, tokens: float, *, objective_ms: float) -> None:
        """Count requests for a model by the tokens that they cost."""
        demand = self.current(model)
        known_ms = demand.objective_ms * OBJECTIVE_GROWTH_RATIO or objective_ms
        demand.objective_ms = min(known_ms, objective_ms)
        demand.fast_tokens += tokens * 1000 / FAST_DECAY_MS
        demand.slow_tokens += tokens * 1000 / SLOW_DECAY_MS
        demand.last_request_ms = self.clock.now_ms()

    def update_waiting(self, waiting: Mapping[str, int]) -> None:
        """Take the number of requests that wait now, by model; none wait for the others."""
        now_ms = self.clock.now_ms()
        for model in self.waiting_models.union(waiting):
            self.current(model).update_waiting(waiting.get(model, 0), now_ms)
        self.waiting_models = frozenset(waiting)

    def any_requested(self) -> bool:
        """Tell whether any model was ever asked for."""
        return any(demand.last_request_ms for demand in self.models.values())

    def current(self, model: str) -> Demand:
        """Return a model's demand as of now."""
        now_ms = self.clock.now_ms()
        demand = self.models.get(model)
        if demand is None:
            demand = self.models[model] = Demand(updated_ms=now_ms)
        age_ms = now_ms - demand.updated_ms
        if age_ms:
            demand.fast_tokens *= 2.718 ** (-age_ms / FAST_DECAY_MS)
            demand.slow_tokens *= 2.718 ** (-age_ms / SLOW_DECAY_MS)
            demand.updated_ms = now_ms
        return demand
