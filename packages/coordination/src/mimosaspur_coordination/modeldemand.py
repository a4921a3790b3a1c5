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
    # Those of them that can't wait for a load.
    urgent_waiting: int = 0
    # Requests that were refused because no engine holds the model, while their callers may return.
    rejected: int = 0
    # How long there has been a waiting or refused request.
    waiting_ms: int = 0
    waiting_since_ms: int = 0
    # Strictest recent objective for the time to the first event, 0 if unknown.
    objective_ms: float = 0.0
    # Lowest recent priority, 0 is the highest, and when it was last reported.
    priority: int = 0
    priority_ms: int = 0

    @property
    def unmet(self) -> int:
        """Return the number of requests that need the model's first replica."""
        return self.waiting + self.rejected

    def requested(self) -> bool:
        """Return whether requests wait for the model or were made recently."""
        tokens = max(self.slow_tokens, self.fast_tokens)
        return bool(self.unmet) or tokens >= MIN_RECENT_TOKENS_PER_S

    def update_waiting(
        self, requests: int, now_ms: int, *, urgent: int = 0, rejected: int = 0
    ) -> None:
        """Set the numbers of waiting and refused requests."""
        unmet = requests + rejected
        if not unmet:
            self.waiting_since_ms = 0
        elif not self.waiting_since_ms:
            self.waiting_since_ms = now_ms
        self.waiting = requests
        self.urgent_waiting = urgent
        self.rejected = rejected
        self.waiting_ms = max(0, now_ms - self.waiting_since_ms) if unmet else 0

    def update_priority(self, priority: int, now_ms: int) -> None:
        """Set the priority if it is lower than the known one, or if that is old."""
        if priority <= self.priority or now_ms - self.priority_ms >= SLOW_DECAY_MS:
            self.priority = priority
            self.priority_ms = now_ms


class ModelDemand:
    """Track the demand for all models."""

    __slots__ = ("clock", "models", "rejections", "waiting_models")

    def __init__(self, *, clock: Clock) -> None:
        self.clock = clock
        self.models: dict[str, Demand] = {}
        # By model: until when refused requests count, and how many there are.
        self.rejections: dict[str, list[tuple[int, int]]] = {}
        # The models that requests waited for, or were refused for, at the last update.
        self.waiting_models: frozenset[str] = frozenset()

    def count(self, model: str, tokens: float, *, objective_ms: float, priority: int = 0) -> None:
        """Record requests for a model by their cost in tokens."""
        demand = self.current(model)
        demand.update_priority(priority, self.clock.now_ms())
        relaxed_ms = demand.objective_ms * OBJECTIVE_GROWTH_RATIO or objective_ms
        demand.objective_ms = min(relaxed_ms, objective_ms)
        demand.fast_tokens += tokens * 1000 / FAST_DECAY_MS
        demand.slow_tokens += tokens * 1000 / SLOW_DECAY_MS
        demand.last_request_ms = self.clock.now_ms()

    def learn_unmet(self, model: str, *, objective_ms: float, priority: int) -> None:
        """Record what is asked of a model by requests that are no longer counted in tokens.

        After a change of coordinator, these are the requests that waited before.
        """
        demand = self.current(model)
        if not demand.objective_ms or objective_ms < demand.objective_ms:
            demand.objective_ms = objective_ms
        demand.update_priority(priority, self.clock.now_ms())

    def reject(self, model: str, requests: int, *, counts_for_ms: int) -> None:
        """Record refused requests, which count while their callers may return."""
        expires_ms = self.clock.now_ms() + counts_for_ms
        self.rejections.setdefault(model, []).append((expires_ms, requests))

    def update_waiting(
        self, waiting: Mapping[str, int], urgent: Mapping[str, int] | None = None
    ) -> None:
        """Set the number of waiting requests by model, zero for models that aren't listed."""
        now_ms = self.clock.now_ms()
        urgent = urgent or {}
        rejected = self._count_rejected(now_ms)
        for model in self.waiting_models.union(waiting, rejected):
            self.current(model).update_waiting(
                waiting.get(model, 0),
                now_ms,
                urgent=urgent.get(model, 0),
                rejected=rejected.get(model, 0),
            )
        self.waiting_models = frozenset({*waiting, *rejected})

    def _count_rejected(self, now_ms: int) -> dict[str, int]:
        """Return the refused requests by model whose callers may still return."""
        for model, rejections in list(self.rejections.items()):
            self.rejections[model] = [each for each in rejections if each[0] > now_ms]
            if not self.rejections[model]:
                del self.rejections[model]
        return {
            model: sum(requests for _, requests in rejections)
            for model, rejections in self.rejections.items()
        }

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
