"""Track the demand for each model with exponential decay."""

from collections.abc import Mapping
from dataclasses import dataclass

from mimosaspur_state.clock import Clock

# Time constant for load, which changes within seconds.
FAST_DECAY_MS = 1_500
# Time constant for estimating whether a model will be requested again.
SLOW_DECAY_MS = 15_000
# Slowly decayed demand of about one request within SLOW_DECAY_MS; below, the model counts as not
# requested.
MIN_RECENT_TOKENS_PER_S = 50.0
# Growth of the known objective per count, so that an old strict one is gradually replaced.
OBJECTIVE_GROWTH_RATIO = 1.05


@dataclass(slots=True)
class Demand:
    """Hold one model's demand; token rates are per second."""

    fast_tokens: float = 0.0
    slow_tokens: float = 0.0
    updated_ms: int = 0
    last_request_ms: int = 0
    # Requests that are waiting for a replica, over all entries.
    waiting: int = 0
    # How long there has been a waiting request.
    waiting_ms: int = 0
    waiting_since_ms: int = 0
    # Strictest recent objective for the time to the first event, 0 if unknown.
    objective_ms: float = 0.0

    def requested(self) -> bool:
        """Return whether requests wait for the model or were made recently."""
        return bool(self.waiting) or self.slow_tokens >= MIN_RECENT_TOKENS_PER_S

    def update_waiting(self, requests: int, now_ms: int) -> None:
        """Set the number of waiting requests."""
        if not requests:
            self.waiting_since_ms = 0
        elif not self.waiting_since_ms:
            self.waiting_since_ms = now_ms
        self.waiting = requests
        self.waiting_ms = now_ms - self.waiting_since_ms if requests else 0


class ModelDemand:
    """Track the demand for all models."""

    __slots__ = ("clock", "models", "waiting_models")

    def __init__(self, *, clock: Clock) -> None:
        self.clock = clock
        self.models: dict[str, Demand] = {}
        # The models that requests waited for at the last update.
        self.waiting_models: frozenset[str] = frozenset()

    def count(self, model: str, tokens: float, *, objective_ms: float) -> None:
        """Record requests for a model by their cost in tokens."""
        demand = self.current(model)
        relaxed_ms = demand.objective_ms * OBJECTIVE_GROWTH_RATIO or objective_ms
        demand.objective_ms = min(relaxed_ms, objective_ms)
        demand.fast_tokens += tokens * 1000 / FAST_DECAY_MS
        demand.slow_tokens += tokens * 1000 / SLOW_DECAY_MS
        demand.last_request_ms = self.clock.now_ms()

    def update_waiting(self, waiting: Mapping[str, int]) -> None:
        """Set the number of waiting requests by model, zero for models that aren't listed."""
        now_ms = self.clock.now_ms()
        for model in self.waiting_models.union(waiting):
            self.current(model).update_waiting(waiting.get(model, 0), now_ms)
        self.waiting_models = frozenset(waiting)

    def any_requested(self) -> bool:
        """Return whether any model was ever requested."""
        return any(demand.last_request_ms for demand in self.models.values())

    def current(self, model: str) -> Demand:
        """Return a model's demand, decayed to now."""
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
