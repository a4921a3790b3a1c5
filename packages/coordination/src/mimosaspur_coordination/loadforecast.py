"""Forecast when models that are requested, and that no engine holds or loads, would be ready.

Entries refuse a request that can't be served in time as soon as they know it, rather than holding
it. The forecast assigns the models to engines one after another, in the order and at the costs of
the placement decisions, without searching for extra replicas.
"""

from collections.abc import Iterator
from collections.abc import Sequence
from dataclasses import replace

from mimosaspur_coordination.modelplacement import PlacementSearch
from mimosaspur_coordination.modelplacement import first_replica_need
from mimosaspur_coordination.placementproblem import CROWDED_REPLICA_TOKENS_PER_S
from mimosaspur_coordination.placementproblem import LONG_LOAD_MS
from mimosaspur_coordination.placementproblem import MAX_LONG_LOADS_SHARE
from mimosaspur_coordination.placementproblem import EngineSnapshot
from mimosaspur_coordination.placementproblem import PlacementProblem
from mimosaspur_coordination.placementproblem import Swap
from mimosaspur_coordination.weightloadlimiter import USED_RATE_SHARE

# The forecast of a model that will not be loaded while demand stays as it is.
NEVER_MS = -1
# The times between which a load runs.
Span = tuple[int, int]
# The end of a load that has no place yet.
NEVER_ENDS_MS = 10**9
# Marks a model that has left the forecast, in the changes that are sent.
LEFT_MS = 0
# A change of a value is sent if it exceeds this share of the value sent before.
SENT_CHANGE_SHARE = 0.2
# The notice of an unload to entries, and the unload of an idle model.
UNLOAD_MS = 90
# A model that was loaded recently stays for this long.
RESIDENCE_MS = 700
# Limit on the loads tried, which bounds a forecast to some 20 ms.
MAX_TRIED_LOADS = 2_000


def forecast_loads(problem: PlacementProblem) -> dict[str, int]:
    """Return the time in ms until each requested model without a replica would be ready.

    For a model that no request waits for, it is the time if one came now, after those that wait.
    For those beyond MAX_TRIED_LOADS it is the least time.
    """
    wanted = _wanted(problem)
    if not wanted or not _engines_known(problem):
        return {}
    count = max(1, MAX_TRIED_LOADS // max(1, len(problem.engines)))
    simulation = _Simulation(problem)
    forecast = {}
    for waiting, others in _by_urgency(problem, wanted[:count]):
        while waiting:
            name = simulation.take_next(waiting)
            forecast[name] = simulation.load(name)
        # None of these is loaded unless it is requested: they don't wait for one another.
        forecast |= {name: simulation.ready_ms(name) for name in others}
    # The models beyond the limit wait for these. Without a forecast entries would take it that they
    # won't be loaded, and refuse their requests.
    last_ms = max(forecast.values())
    if last_ms > NEVER_MS:
        forecast |= dict.fromkeys(wanted[count:], last_ms)
    return forecast


def _engines_known(problem: PlacementProblem) -> bool:
    """Return whether it is known of some engine that it takes loads, or of all that none does.

    A new coordinator has no engine's state before the first reports: nothing can be said then.
    """
    engines = problem.engines
    if any(engine.usable for engine in engines):
        return True
    return bool(engines) and all(engine.leaving or engine.limited for engine in engines)


def _wanted(problem: PlacementProblem) -> list[str]:
    """Return the models to forecast, in the order in which requests need them."""
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


def _by_urgency(
    problem: PlacementProblem, names: Sequence[str]
) -> Iterator[tuple[list[str], list[str]]]:
    """Yield the models that requests wait for, and the others: urgent ones, then the rest."""
    for urgent in (True, False):
        group = [
            name for name in names if (not problem.by_urgency or problem.is_urgent(name)) == urgent
        ]
        waiting = [name for name in group if problem.demand_of(name).unmet]
        yield waiting, [name for name in group if name not in waiting]


def _known(problem: PlacementProblem, name: str) -> bool:
    """Return whether it is known which models may be unloaded for a model."""
    return problem.held_demand_known or not problem.by_urgency or problem.is_urgent(name)


class _Simulation:
    """Assign loads to engines one after another, in virtual time."""

    def __init__(self, problem: PlacementProblem) -> None:
        self.initial = problem
        # When each engine is free.
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
            version_replicas={},
            lost_streams={},
            reserved_engines=set(),
        )
        self.problem.long_loads = self.problem.patient_long_loads = 0
        self.search = PlacementSearch(self.problem)
        rate = problem.spec.loads_per_s * USED_RATE_SHARE
        self.store_interval_ms = round(1000 / rate) if rate else 0
        # When loads from the weight store begin.
        self.store_starts_ms = [] if problem.store_load_allowed else [0]
        self.max_long_loads = max(1, int(len(self.engines) * MAX_LONG_LOADS_SHARE))
        # When loads count as long ones, for urgent and for patient demand.
        self.long_loads: dict[bool, list[Span]] = {True: [], False: []}
        # When models are loaded for patient demand.
        self.patient_loads: list[Span] = []
        # When the last load ends that was begun because its deadline was the earliest.
        self.deadline_ends_ms = 0
        for each in problem.engines:
            if each.free_in_ms >= LONG_LOAD_MS / 2:
                urgent = not problem.by_urgency or problem.is_urgent(each.loading)
                self.long_loads[urgent].append(_long_span(0, each.free_in_ms))
            if problem.by_urgency and each.loading and not problem.is_urgent(each.loading):
                self.patient_loads.append((0, each.free_in_ms))
        if not problem.next_by_deadline:
            self.deadline_ends_ms = min((end_ms for _, end_ms in self.patient_loads), default=0)
        self.max_patient_loads = problem.max_patient_loads()

    def _start_state(self, problem: PlacementProblem, engine: EngineSnapshot) -> EngineSnapshot:
        """Return a copy of an engine that holds the model that it is loading."""
        residents = dict(engine.residents)
        free_ms = self.free_ms[engine.identity] = engine.free_in_ms
        for name in engine.recent:
            self.settled_ms[engine.identity, name] = RESIDENCE_MS
        if engine.loading:
            residents[engine.loading] = 0
            self.settled_ms[engine.identity, engine.loading] = free_ms + RESIDENCE_MS
        return replace(
            engine, residents=residents, loading="", recent=frozenset(), free_in_ms=free_ms
        )

    def take_next(self, waiting: list[str]) -> str:
        """Take the model that is loaded next from those that requests wait for, in order."""
        name = waiting[0]
        if self._is_patient(name):
            start_ms = _slot_ms(self.patient_loads, self.max_patient_loads)
            if start_ms >= self.deadline_ends_ms:
                name = min(waiting, key=self._left_ms)
                self.deadline_ends_ms = NEVER_ENDS_MS
        waiting.remove(name)
        return name

    def _left_ms(self, name: str) -> float:
        demand = self.problem.demand_of(name)
        return demand.objective_ms - demand.waiting_ms

    def load(self, name: str) -> int:
        """Load a model where it costs least; return when it is ready."""
        swap = self.search.first_replica(name)
        if swap is None:
            return NEVER_MS
        start_ms = self._start_ms(swap, self.max_patient_loads)
        if swap.from_store:
            self.store_starts_ms.append(start_ms)
        ready_ms = start_ms + _duration_ms(swap)
        patient = self._is_patient(name)
        if patient:
            self.patient_loads.append((start_ms, ready_ms))
            if self.deadline_ends_ms == NEVER_ENDS_MS:
                self.deadline_ends_ms = ready_ms
        if _duration_ms(swap) >= LONG_LOAD_MS / 2:
            self.long_loads[not patient].append(_long_span(start_ms, ready_ms))
        self._apply(self.engines[swap.identity], swap, ready_ms)
        return max(1, ready_ms)

    def ready_ms(self, name: str) -> int:
        """Return when a model would be ready if a request for it came now."""
        swap = self.search.first_replica(name)
        if swap is None:
            return NEVER_MS
        # The limit follows from all that waits: in the simulation nothing waits any more.
        start_ms = self._start_ms(swap, self.initial.max_patient_loads(also=name))
        return max(1, start_ms + _duration_ms(swap))

    def _start_ms(self, swap: Swap, max_patient_loads: int) -> int:
        """Return when a load begins, after what it waits for."""
        engine = self.engines[swap.identity]
        settled = (self.settled_ms.get((engine.identity, victim), 0) for victim in swap.victims)
        start_ms = max(self.free_ms[engine.identity], *settled, 0)
        patient = self._is_patient(swap.model)
        if patient:
            start_ms = _slot_ms(self.patient_loads, max_patient_loads, start_ms)
        demand = self.problem.demand_of(swap.model)
        if swap.load_ms >= LONG_LOAD_MS and demand.fast_tokens < CROWDED_REPLICA_TOKENS_PER_S:
            # Loads for patient demand don't delay those for urgent demand.
            loads = self.long_loads[True] + (self.long_loads[False] if patient else [])
            start_ms = _slot_ms(loads, self.max_long_loads, start_ms)
        return self._store_ms(start_ms) if swap.from_store else start_ms

    def _store_ms(self, from_ms: int) -> int:
        """Return when the weight store allows a load, at a time or later."""
        start_ms = from_ms
        for each_ms in sorted(self.store_starts_ms):
            if each_ms <= start_ms < each_ms + self.store_interval_ms:
                start_ms = each_ms + self.store_interval_ms
        return start_ms

    def _is_patient(self, name: str) -> bool:
        return self.problem.by_urgency and not self.problem.is_urgent(name)

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
        engine.free_in_ms = ready_ms
        self.search.refresh(engine)


def _duration_ms(swap: Swap) -> int:
    """Return how long a load takes with the unloads before it."""
    return (swap.unload_ms + UNLOAD_MS if swap.victims else 0) + swap.load_ms


def _long_span(start_ms: int, ready_ms: int) -> Span:
    """Return when a load counts in the limit on long ones, as the decisions count it."""
    return start_ms, ready_ms - LONG_LOAD_MS // 2


def _slot_ms(loads: Sequence[Span], limit: int, from_ms: int = 0) -> int:
    """Return when fewer loads than the limit run, at a time or later.

    A load that waits for its engine takes no place until then, and another one goes first.
    """
    times = sorted(end_ms for _, end_ms in loads if end_ms > from_ms)
    for at_ms in (from_ms, *times):
        if sum(start_ms <= at_ms < end_ms for start_ms, end_ms in loads) < limit:
            return at_ms
    return from_ms


def confirmed(previous: dict[str, int], newest: dict[str, int]) -> dict[str, int]:
    """Return the newest forecast without longer times that the previous one doesn't confirm.

    Which engine a model gets, and how many go before it, may change for one forecast only, and
    requests are refused by longer times.
    """
    return {model: _shorter(previous.get(model, ms), ms) for model, ms in newest.items()}


def _shorter(one_ms: int, other_ms: int) -> int:
    if NEVER_MS in (one_ms, other_ms):
        return max(one_ms, other_ms)
    return min(one_ms, other_ms)


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
