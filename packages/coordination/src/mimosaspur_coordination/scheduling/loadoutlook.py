"""Tell how long a request would wait for a model that no engine holds.

Addresses fleets with more requested models than places, where most requests for an unloaded model
would wait until their callers give up.
"""

import math
from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass

from mimosaspur_coordination.loadforecast import LEFT_MS
from mimosaspur_coordination.loadforecast import NEVER_MS
from mimosaspur_coordination.loadforecast import SENT_CHANGE_SHARE
from mimosaspur_coordination.orderlease import CONFIRMATION_VALIDITY_MS
from mimosaspur_state.clock import Clock
from mimosaspur_state.routes import EngineSpec

# A request for which no load is forecast is held for at most this share of its objective.
MAX_HOLD_SHARE = 1 / 8
# Forecasts are made every 250 ms, and sent with the next report.
FORECAST_LAG_MS = 300
# A load that isn't in progress may end after this share of its forecast: requests for other models
# that go first are served or leave meanwhile.
LEAST_FORECAST_SHARE = 0.5
# A new coordinator gives its first orders this long after its handover time, at the latest: an
# earlier one may hold its lease until then.
SETTLE_MS = CONFIRMATION_VALIDITY_MS + FORECAST_LAG_MS


def shortest_load_ms(engine: EngineSpec | None, model: str) -> float:
    """Return the shortest load time of a model from any source, 0 if it is unknown."""
    spec = engine.models.get(model) if engine else None
    if spec is None:
        return 0.0
    return min(spec.memory_load_s, spec.disk_load_s, spec.load_s) * 1000


@dataclass(slots=True, frozen=True)
class LoadForecast:
    """Hold the coordinator's forecast for a model: ms until it is ready, or NEVER_MS."""

    ready_in_ms: int
    received_ms: int


class LoadOutlook:
    """Track the coordinator's forecasts, and which waits it has answered."""

    __slots__ = (
        "answered_number",
        "clock",
        "followed_since_ms",
        "forecasts",
        "gives_forecasts",
        "handover_ms",
        "loading",
        "loading_by_version",
        "reported",
        "updated_ms",
    )

    def __init__(self, *, handover_ms: int, clock: Clock) -> None:
        self.clock = clock
        self.handover_ms = handover_ms
        # None without a coordinator that can issue orders.
        self.followed_since_ms: int | None = None
        # Time until each model that is being loaded is ready, as of the last update.
        self.loading: Mapping[str, int] = {}
        # The same by model and version, of services that run several versions.
        self.loading_by_version: Mapping[str, Mapping[str, int]] = {}
        self.updated_ms = 0
        self.forecasts: dict[str, LoadForecast] = {}
        # Whether the coordinator has sent a forecast, as earlier versions don't.
        self.gives_forecasts = False
        # The number of the first report that named the model as waited for.
        self.reported: dict[str, int] = {}
        # The last report that the coordinator's last update takes into account.
        self.answered_number = 0

    def on_reported(self, number: int, waiting: Iterable[str]) -> None:
        """Record a report to the coordinator and the models that it names as waited for."""
        self.reported = {model: self.reported.get(model, number) for model in waiting}

    def on_answered(self, number: int) -> None:
        """Record that the next update takes the reports up to a number into account."""
        self.answered_number = number

    def on_update(
        self,
        loading: Mapping[str, int] | None,
        forecasts: Mapping[str, int],
        *,
        by_version: Mapping[str, Mapping[str, int]] | None = None,
        can_issue_orders: bool = True,
    ) -> None:
        """Apply the coordinator's update: all loads, None if they hold, and changed forecasts.

        A coordinator that can't issue orders counts as none: that it begins no load says nothing.
        """
        now_ms = self.clock.now_ms()
        if not can_issue_orders:
            self.followed_since_ms = None
        elif self.followed_since_ms is None:
            self.followed_since_ms = now_ms
        if loading is not None:
            self.loading, self.updated_ms = loading, now_ms
            self.loading_by_version = by_version or {}
        self.gives_forecasts |= bool(forecasts)
        for model, ready_in_ms in forecasts.items():
            if ready_in_ms == LEFT_MS:
                self.forecasts.pop(model, None)
            else:
                self.forecasts[model] = LoadForecast(ready_in_ms, now_ms)

    def on_coordinator_lost(self) -> None:
        """Drop what only a coordinator knows."""
        self.followed_since_ms = None
        self.loading = {}
        self.loading_by_version = {}
        self.forecasts.clear()
        self.gives_forecasts = False
        self.reported = {}
        self.answered_number = 0

    def loading_ms(self, model: str) -> float | None:
        """Return the time until a load in progress ends, None if there is none."""
        ready_in_ms = self.loading.get(model)
        return None if ready_in_ms is None else max(0, ready_in_ms - self._age_ms(self.updated_ms))

    def version_loading_ms(self, model: str, version: str) -> float | None:
        """Return the time until a load at a software version ends, None if none is known."""
        ready_in_ms = self.loading_by_version.get(model, {}).get(version)
        return None if ready_in_ms is None else max(0, ready_in_ms - self._age_ms(self.updated_ms))

    def wait_ms(
        self,
        model: str,
        *,
        held_ms: float,
        objective_ms: float,
        engine: EngineSpec | None,
        returned: bool = False,
    ) -> float:
        """Return the least time until the model is ready: 0 if unknown, inf if it won't be.

        It is asked for a request that has been held for a time, and has perhaps returned after a
        refusal, while no engine holds the model.
        """
        loading_ms = self.loading_ms(model)
        if loading_ms is not None:
            return loading_ms
        forecast = self.forecasts.get(model)
        if forecast is None:
            held_long = held_ms >= MAX_HOLD_SHARE * objective_ms and not returned
            return self._unforecast_ms(model, engine, held_long=held_long)
        if forecast.ready_in_ms <= NEVER_MS:
            return math.inf
        # An earlier time would have been sent.
        least_ms = forecast.ready_in_ms * (1 - SENT_CHANGE_SHARE) - FORECAST_LAG_MS
        return max(0, least_ms, forecast.ready_in_ms - self._age_ms(forecast.received_ms))

    def _unforecast_ms(self, model: str, engine: EngineSpec | None, *, held_long: bool) -> float:
        if not self._is_settled():
            return 0.0
        if held_long and self.reported.get(model, math.inf) <= self.answered_number:
            # The coordinator knew of the wait, and has begun no load.
            return math.inf
        return shortest_load_ms(engine, model)

    def _is_settled(self) -> bool:
        """Return whether there is a coordinator that has had time to begin giving orders."""
        since_ms = self.followed_since_ms
        return since_ms is not None and self._age_ms(since_ms) >= self.handover_ms + SETTLE_MS

    def _age_ms(self, at_ms: int) -> int:
        # The clock may have jumped back.
        return max(0, self.clock.now_ms() - at_ms)
