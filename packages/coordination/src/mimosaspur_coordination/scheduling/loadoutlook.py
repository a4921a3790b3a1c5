"""Tell how long a request would wait for a model that no engine holds.

Addresses fleets with more requested models than places, where most requests for an unloaded model
would wait until their callers give up.
"""

import math
import random
from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass

from mimosaspur_coordination.loadforecast import LEFT_MS
from mimosaspur_state.clock import Clock
from mimosaspur_state.routes import EngineSpec

# A request for which no load is forecast is held for at most this share of its objective.
MAX_HOLD_SHARE = 1 / 8
# A new coordinator gives its first orders this long after its handover time, at the latest.
SETTLE_MS = 1_500
# A forecast that the model won't be loaded depends on demand, which changes within seconds.
REFUSAL_FORECAST_AGE_MS = 2_000
# A forecast that is overdue by this factor is not used: it is sent only when it has changed.
OVERDUE_FACTOR = 2.0
OVERDUE_SLACK_MS = 1_000
# After an unloaded model was not loaded on request, places count as scarce for this long.
SCARCITY_MS = 30_000
# Callers that are told the same time would otherwise return together.
RETRY_SPREAD = (1.0, 1.25)


def spread_retry_s(wait_s: float) -> float:
    """Return a time to retry at, at random between the wait and 1.25 times the wait."""
    return wait_s * random.uniform(*RETRY_SPREAD)


def shortest_load_ms(engine: EngineSpec | None, model: str) -> float:
    """Return the shortest load time of a model from any source, 0 if it is unknown."""
    spec = engine.models.get(model) if engine else None
    if spec is None:
        return 0.0
    return min(spec.memory_load_s, spec.disk_load_s, spec.load_s) * 1000


@dataclass(slots=True, frozen=True)
class LoadForecast:
    """Hold the coordinator's forecast for a model: ms until it is ready, negative for never."""

    ready_in_ms: int
    received_ms: int


@dataclass(slots=True, frozen=True)
class ModelRequest:
    """Describe a request for a model that no engine holds."""

    model: str
    objective_ms: float
    held_ms: float
    # The shortest load time of the model, 0 if unknown.
    shortest_load_ms: float
    # Whether the request was refused before and its caller has come back.
    returned: bool = False


class LoadOutlook:
    """Track the coordinator's forecasts, and which waits it has answered."""

    __slots__ = (
        "answered_number",
        "clock",
        "followed_since_ms",
        "forecasts",
        "handover_ms",
        "loading",
        "reported",
        "scarce_until_ms",
    )

    def __init__(self, *, handover_ms: int, clock: Clock) -> None:
        self.clock = clock
        self.handover_ms = handover_ms
        # None without a coordinator.
        self.followed_since_ms: int | None = None
        # Time until each model that is being loaded is ready.
        self.loading: Mapping[str, int] = {}
        self.forecasts: dict[str, LoadForecast] = {}
        # The number of the first report that named the model as waited for.
        self.reported: dict[str, int] = {}
        # The last report that the coordinator's last update takes into account.
        self.answered_number = 0
        # While an unloaded model was recently not loaded although a request waited for it.
        self.scarce_until_ms: int | None = None

    def on_reported(self, number: int, waiting: Iterable[str]) -> None:
        """Record a report to the coordinator and the models that it names as waited for."""
        self.reported = {model: self.reported.get(model, number) for model in waiting}

    def on_answered(self, number: int) -> None:
        """Record that the next update takes the reports up to a number into account."""
        self.answered_number = number

    def on_update(self, loading: Mapping[str, int], forecasts: Mapping[str, int]) -> None:
        """Apply the coordinator's update; forecasts that have not changed may be left out."""
        now_ms = self.clock.now_ms()
        if self.followed_since_ms is None:
            self.followed_since_ms = now_ms
        self.loading = loading
        for model, ready_in_ms in forecasts.items():
            if ready_in_ms == LEFT_MS:
                self.forecasts.pop(model, None)
            else:
                self.forecasts[model] = LoadForecast(ready_in_ms, now_ms)

    def on_coordinator_lost(self) -> None:
        """Drop what only a coordinator knows."""
        self.followed_since_ms = None
        self.loading = {}
        self.forecasts.clear()
        self.reported = {}
        self.answered_number = 0

    def wait_ms(self, request: ModelRequest) -> float:
        """Return the least time until the model is ready: 0 if unknown, inf if it won't be."""
        if request.model in self.loading:
            return self.loading[request.model]
        if self.followed_since_ms is None:
            return 0.0
        age_ms, ready_in_ms = self._forecast(request.model)
        if ready_in_ms is not None and ready_in_ms >= 0:
            return max(0, ready_in_ms - age_ms)
        if ready_in_ms is not None:
            self._note_scarcity()
            if age_ms <= REFUSAL_FORECAST_AGE_MS:
                return math.inf
        elif not self._is_settled():
            return 0.0
        if self._is_answered(request.model):
            self._note_scarcity()
        held_long = request.held_ms >= MAX_HOLD_SHARE * request.objective_ms
        if held_long and self._is_scarce() and not request.returned:
            return math.inf
        return request.shortest_load_ms

    def _forecast(self, model: str) -> tuple[int, int | None]:
        """Return the age of a model's forecast and its value, None without one."""
        forecast = self.forecasts.get(model)
        if forecast is None:
            return 0, None
        # The clock may have jumped.
        age_ms = max(0, self.clock.now_ms() - forecast.received_ms)
        if age_ms > forecast.ready_in_ms * OVERDUE_FACTOR + OVERDUE_SLACK_MS >= OVERDUE_SLACK_MS:
            del self.forecasts[model]
            return 0, None
        return age_ms, forecast.ready_in_ms

    def _is_settled(self) -> bool:
        """Return whether the coordinator has had time to begin giving orders."""
        since_ms = self.followed_since_ms
        settle_ms = self.handover_ms + SETTLE_MS
        return since_ms is not None and self.clock.now_ms() - since_ms >= settle_ms

    def _is_answered(self, model: str) -> bool:
        """Return whether the coordinator knew of a wait for the model at its last update."""
        return self.reported.get(model, math.inf) <= self.answered_number

    def _note_scarcity(self) -> None:
        self.scarce_until_ms = self.clock.now_ms() + SCARCITY_MS

    def _is_scarce(self) -> bool:
        """Return whether models were recently not loaded although requests waited for them."""
        until_ms = self.scarce_until_ms
        return until_ms is not None and 0 <= until_ms - self.clock.now_ms() <= SCARCITY_MS
