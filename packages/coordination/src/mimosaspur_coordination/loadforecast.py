"""Forecast when models that are requested, and that no engine holds or loads, would be ready.

Entries refuse a request that can't be served in time as soon as they know it, rather than holding
it. The forecast assigns the models to engines one after another, in the order and at the costs of
the placement decisions, without searching for extra replicas.
"""

import heapq
from dataclasses import replace

from mimosaspur_coordination.modelplacement import PlacementSearch
from mimosaspur_coordination.modelplacement import first_replica_need
from mimosaspur_coordination.placementproblem import LONG_LOAD_MS
from mimosaspur_coordination.placementproblem import MAX_LONG_LOADS_SHARE
from mimosaspur_coordination.placementproblem import EngineSnapshot
from mimosaspur_coordination.placementproblem import PlacementProblem
from mimosaspur_coordination.placementproblem import Swap
from mimosaspur_coordination.weightloadlimiter import USED_RATE_SHARE

# The forecast of a model that will not be loaded while demand stays as it is.
NEVER_MS = -1
# Marks a model that has left the forecast, in the changes that are sent.
LEFT_MS = 0
# A change of a value is sent if it exceeds this share of the value sent before.
SENT_CHANGE_SHARE = 0.2
# The notice of an unload to entries, and the unload of an idle model.
UNLOAD_MS = 90
# A model that was loaded recently stays for this long.
RESIDENCE_MS = 700
# Limit on the loads tried, which bounds a forecast to some 20 ms. Models beyond it get no forecast.
MAX_TRIED_LOADS = 2_000


def forecast_loads(problem: PlacementProblem) -> dict[str, int]:
    """Return the time in ms until each requested model without a replica would be ready."""
    order = _order(problem)
    if not order or not _engines_known(problem):
        return {}
    simulation = _Simulation(problem)
    count = max(1, MAX_TRIED_LOADS // max(1, len(problem.engines)))
    return {name: simulation.load(name) for name in order[:count]}


def _engines_known(problem: PlacementProblem) -> bool:
    """Return whether it is known of some engine that it takes loads, or of all that none does.

    A new coordinator has no engine's state before the first reports: nothing can be said then.
    """
    engines = problem.engines
    if any(engine.usable for engine in engines):
        return True
    return bool(engines) and all(engine.leaving or engine.limited for engine in engines)


def _order(problem: PlacementProblem) -> list[str]:
    """Return the models to forecast, in the order in which they are loaded.

    A model that was requested recently is treated as if a request waited for it, after those that
    requests do wait for: the forecast tells what its next caller has to expect.
    """
    held = {
        model
        for engine in problem.engines
        if engine.limited and not engine.leaving
        for model in engine.residents
    }
    wanted = [
        (first_replica_need(problem, name), demand.slow_tokens, name)
        for name, demand in problem.demand.items()
        if name in problem.spec.models
        and not problem.replicas.get(name)
        and name not in held
        and demand.requested()
        and _known(problem, name)
    ]
    return [name for *_, name in sorted(wanted, reverse=True)]


def _known(problem: PlacementProblem, name: str) -> bool:
    """Return whether it is known which models may be unloaded for a model."""
    return problem.held_demand_known or not problem.by_urgency or problem.is_urgent(name)


class _Simulation:
    """Assign loads to engines one after another, in virtual time."""

    def __init__(self, problem: PlacementProblem) -> None:
        # When each engine is free. For the choice of an engine, `free_in_ms` includes the time for
        # which a loaded model stays.
        self.free_ms: dict[str, int] = {}
        # When each model that is loaded in the simulation, or before, may be unloaded again.
        self.settled_ms: dict[tuple[str, str], int] = {}
        self.engines = {
            engine.identity: self._start_state(problem, engine) for engine in problem.engines
        }
        # The limits on the weight store and on long loads are applied as waits.
        self.problem = replace(
            problem,
            engines=list(self.engines.values()),
            store_load_allowed=True,
            patient_store_load_allowed=True,
            replicas={},
            speeds={},
            copies={},
            reserved_engines=set(),
        )
        self.problem.long_loads = self.problem.patient_long_loads = 0
        self.search = PlacementSearch(self.problem)
        rate = problem.spec.loads_per_s * USED_RATE_SHARE
        self.store_interval_ms = round(1000 / rate) if rate else 0
        # When the weight store allows the next load.
        self.store_free_ms = 0 if problem.store_load_allowed else self.store_interval_ms
        # When each of the long loads that may run at once ends.
        count = max(1, int(len(self.engines) * MAX_LONG_LOADS_SHARE))
        busy = sorted(each.free_in_ms for each in problem.engines if each.free_in_ms)
        busy = [each_ms for each_ms in busy if each_ms >= LONG_LOAD_MS / 2][-count:]
        self.long_load_ends_ms = [0] * (count - len(busy)) + busy
        # The same for loads for patient demand.
        count = problem.max_patient_loads()
        busy = sorted(
            each.free_in_ms
            for each in problem.engines
            if each.loading and not problem.is_urgent(each.loading)
        )[-count:]
        self.patient_load_ends_ms = [0] * (count - len(busy)) + busy

    def _start_state(self, problem: PlacementProblem, engine: EngineSnapshot) -> EngineSnapshot:
        """Return a copy of an engine that holds the model that it is loading."""
        residents = dict(engine.residents)
        free_ms = self.free_ms[engine.identity] = engine.free_in_ms
        for name in engine.recent:
            self.settled_ms[engine.identity, name] = RESIDENCE_MS
        if engine.loading:
            residents[engine.loading] = 0
            self.settled_ms[engine.identity, engine.loading] = free_ms + RESIDENCE_MS
        if engine.loading or engine.recent:
            free_ms += RESIDENCE_MS
        return replace(
            engine, residents=residents, loading="", recent=frozenset(), free_in_ms=free_ms
        )

    def load(self, name: str) -> int:
        """Load a model where it costs least; return when it is ready."""
        swap = self.search.first_replica(name)
        if swap is None:
            return NEVER_MS
        engine = self.engines[swap.identity]
        settled = (self.settled_ms.get((engine.identity, victim), 0) for victim in swap.victims)
        start_ms = max(self.free_ms[engine.identity], *settled, 0)
        if swap.from_store:
            start_ms = max(start_ms, self.store_free_ms)
        load_ends_ms = self._load_ends_ms(swap)
        if load_ends_ms:
            start_ms = max(start_ms, heapq.heappop(load_ends_ms))
        if swap.from_store:
            self.store_free_ms = start_ms + self.store_interval_ms
        unload_ms = swap.unload_ms + UNLOAD_MS if swap.victims else 0
        ready_ms = start_ms + unload_ms + swap.load_ms
        if load_ends_ms is not None:
            heapq.heappush(load_ends_ms, ready_ms)
        self._apply(engine, swap, ready_ms)
        return max(1, ready_ms)

    def _load_ends_ms(self, swap: Swap) -> list[int] | None:
        """Return when the loads end that limit how many of a load's kind run at once."""
        if self.problem.by_urgency and not self.problem.is_urgent(swap.model):
            return self.patient_load_ends_ms
        return self.long_load_ends_ms if swap.load_ms >= LONG_LOAD_MS else None

    def _apply(self, engine: EngineSnapshot, swap: Swap, ready_ms: int) -> None:
        for victim in swap.victims:
            del engine.residents[victim]
            self.problem.replicas[victim] = max(0, self.problem.replicas.get(victim, 1) - 1)
            self.problem.speeds[victim] = max(
                engine.speed, self.problem.speeds.get(victim, 0.0) - engine.speed
            )
        # The requests that have waited for it have run by the time it may be unloaded.
        engine.residents[swap.model] = 0
        self.problem.replicas[swap.model] = 1
        self.problem.speeds[swap.model] = engine.speed
        self.settled_ms[engine.identity, swap.model] = ready_ms + RESIDENCE_MS
        self.free_ms[engine.identity] = ready_ms
        engine.free_in_ms = ready_ms + RESIDENCE_MS
        self.search.refresh(engine)


class SharedForecast:
    """Hold the forecast as entries were sent it, and find what to send next."""

    __slots__ = ("sent",)

    def __init__(self) -> None:
        self.sent: dict[str, int] = {}

    def update(self, forecast: dict[str, int]) -> dict[str, int]:
        """Return the values to send, and keep them as sent."""
        changes = {
            model: value_ms
            for model, value_ms in forecast.items()
            if _differs(self.sent.get(model), value_ms)
        }
        changes.update(dict.fromkeys(self.sent.keys() - forecast.keys(), LEFT_MS))
        self.sent = apply_changes(self.sent, changes)
        return changes


def apply_changes(known: dict[str, int], changes: dict[str, int]) -> dict[str, int]:
    """Return a forecast with the changes that were sent."""
    merged = known | changes
    return {model: value_ms for model, value_ms in merged.items() if value_ms != LEFT_MS}


def _differs(sent_ms: int | None, value_ms: int) -> bool:
    if sent_ms is None or (sent_ms == NEVER_MS) != (value_ms == NEVER_MS):
        return True
    return abs(value_ms - sent_ms) > abs(sent_ms) * SENT_CHANGE_SHARE
