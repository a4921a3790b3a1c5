"""Define the input and the result of a model placement decision."""

import math
from collections.abc import Collection
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field

from mimosaspur_coordination.modeldemand import Demand
from mimosaspur_coordination.urgency import RELOAD_OVERHEAD_MS
from mimosaspur_coordination.urgency import is_urgent
from mimosaspur_coordination.weightcopies import copy_counts
from mimosaspur_state.routes import EngineSpec

# Demand above which a replica counts as crowded: a quarter of an engine's capacity, since its
# models share it.
CROWDED_REPLICA_TOKENS_PER_S = 5_000.0
# A load of this length blocks later loads, since an engine processes one order at a time.
LONG_LOAD_MS = 4_000
# Share of the engines that may be in long loads for models with little demand.
MAX_LONG_LOADS_SHARE = 0.34
NO_DEMAND = Demand()


@dataclass(slots=True)
class EngineSnapshot:
    """Hold the state of one engine that the decision needs."""

    identity: str
    # Requests in flight by resident model, without models that are being unloaded.
    residents: dict[str, int]
    # Time until the engine can accept an order, 0 if it can now.
    free_in_ms: int
    # Whether models may be loaded on the engine at all.
    usable: bool = True
    # Whether it is terminating and accepts no requests, so that its models don't count.
    leaving: bool = False
    # Whether it names a request limit: it takes no more models, and requests that wait for one of
    # its models need another replica.
    limited: bool = False
    loading: str = ""
    # Recently loaded models, for which requests may still be in flight.
    recent: frozenset[str] = frozenset()
    # Copies of weights, least recently used first.
    in_memory: tuple[str, ...] = ()
    on_disk: tuple[str, ...] = ()
    # Models for which memory is reserved, resident or not, since a late order may still load them.
    reserved_models: tuple[str, ...] = ()
    # Time to read prompts relative to the service's other engines; above 1 is slower.
    prefill_factor: float = 1.0
    # Version of its software: streams go on only at the one that began them.
    version: str = ""

    @property
    def speed(self) -> float:
        """Return the engine's speed of reading prompts relative to the others, 1 at most.

        Factors between 0.4 and 1.4 were measured at engines of one speed. A capacity that is taken
        for too high leaves a busy model with too few replicas.
        """
        return 1.0 / max(1.0, self.prefill_factor)


@dataclass(slots=True, frozen=True)
class Swap:
    """Describe the load of a model on an engine, after unloading the victims."""

    identity: str
    model: str
    victims: tuple[str, ...]
    # Whether the weights come from the weight store and count towards its rate limit.
    from_store: bool
    # Duration of the load itself.
    load_ms: int
    # How long the unload waits for the victims' running requests.
    unload_ms: int = 0
    # Whether the only purpose is to leave a copy on the engine's disk.
    for_copy: bool = False
    # Whether urgent demand decided it; None where all demand is equally urgent.
    urgent: bool | None = None


@dataclass(slots=True)
class PlacementProblem:
    """Hold the input of a placement decision."""

    spec: EngineSpec
    engines: Sequence[EngineSnapshot]
    demand: Mapping[str, Demand]
    # Whether the weight store's rate limit allows another load.
    store_load_allowed: bool = True
    # Whether there has been no request yet, as before a site's first callers.
    idle: bool = False
    # Expected duration of a response stream.
    stream_ms: float = 0.0
    # Whether evicting the last copy of a model's weights counts as a loss.
    protect_last_copies: bool = True
    # Models that were already loaded for a copy, even if the engine has dropped it since.
    preloaded: Collection[str] = ()
    # Whether requests differ in urgency or priority, so that these count.
    by_urgency: bool = False
    # Whether the part of the weight store's rate that patient demand may use allows another load.
    patient_store_load_allowed: bool = True
    # Whether the demand for models that engines hold is known: a new coordinator knows only the
    # requests that wait.
    held_demand_known: bool = True
    replicas: dict[str, int] = field(default_factory=dict)
    # By model: the sum of its engines' speeds, 1 for a usual engine.
    speeds: dict[str, float] = field(default_factory=dict)
    # Number of engines on which a model is loaded or has a copy.
    copies: dict[str, int] = field(default_factory=dict)
    # Engines reserved for a model that waits for them.
    reserved_engines: set[str] = field(default_factory=set)
    # Number of engines that are busy with long loads.
    long_loads: int = 0
    # Number of engines that load models for patient demand, and of those in long loads.
    patient_loads: int = 0
    patient_long_loads: int = 0
    # The model without urgent demand that is loaded next because its deadline is the earliest;
    # empty while a model with an earlier one is being loaded.
    next_by_deadline: str = ""
    # Whether each model's demand is urgent, as far as it was asked for.
    urgent_models: dict[str, bool] = field(default_factory=dict)
    # Streams that may be taken up, by model and version; empty while all engines have one version.
    streams: Mapping[tuple[str, str], float] = field(default_factory=dict)
    # By model and version, the replicas that streams may go on at.
    version_replicas: dict[tuple[str, str], int] = field(default_factory=dict)
    # By model and version, the streams that no replica lets go on, though an engine could hold one.
    lost_streams: dict[str, dict[str, float]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        staying = [engine for engine in self.engines if not engine.leaving]
        self.copies = copy_counts(staying)
        for engine in staying:
            if engine.limited:
                continue
            for model in (*engine.residents, *filter(None, (engine.loading,))):
                self.replicas[model] = self.replicas.get(model, 0) + 1
                self.speeds[model] = self.speeds.get(model, 0.0) + engine.speed
        if self.streams:
            self.version_replicas = _count_by_version(staying)
            self.lost_streams = self._lost_streams()
        self.long_loads = sum(engine.free_in_ms >= LONG_LOAD_MS / 2 for engine in self.engines)
        if self.by_urgency:
            patient = [
                engine
                for engine in self.engines
                if engine.loading and not self.is_urgent(engine.loading)
            ]
            self.patient_loads = len(patient)
            self.patient_long_loads = sum(each.free_in_ms >= LONG_LOAD_MS / 2 for each in patient)
            self.next_by_deadline = self._next_by_deadline({engine.loading for engine in patient})

    def any_engine_free(self) -> bool:
        """Return whether some engine can begin a load now."""
        return any(engine.usable and not engine.free_in_ms for engine in self.engines)

    def load_allowed(self, model: str, seconds: float, *, from_store: bool) -> bool:
        """Return whether the weight store's rate and the limit on long loads allow a load."""
        if from_store and not self.store_load_allowed:
            return False
        long_loads = self.long_loads
        if self.by_urgency and self.is_urgent(model):
            # Loads for patient demand don't delay those for urgent demand.
            long_loads -= self.patient_long_loads
        elif self.by_urgency and from_store and not self.patient_store_load_allowed:
            return False
        short = seconds * 1000 < LONG_LOAD_MS
        if short or self.idle or self.demand_of(model).fast_tokens >= CROWDED_REPLICA_TOKENS_PER_S:
            return True
        return long_loads + 1 <= max(1.0, len(self.engines) * MAX_LONG_LOADS_SHARE)

    def is_urgent(self, model: str) -> bool:
        """Return whether a model is requested now by callers that can't wait for its load."""
        urgent = self.urgent_models.get(model)
        if urgent is None:
            urgent = self.urgent_models[model] = self._is_urgent(model)
        return urgent

    def _is_urgent(self, model: str) -> bool:
        demand = self.demand_of(model)
        spec = self.spec.models.get(model)
        if demand.urgent_waiting:
            return True
        return bool(spec and demand.requested() and is_urgent(demand.objective_ms, spec))

    def _next_by_deadline(self, loading: Collection[str]) -> str:
        """Return the patient model with the earliest deadline, if it isn't being loaded."""
        deadlines = [
            (demand.objective_ms - demand.waiting_ms, name not in loading, name)
            for name, demand in self.demand.items()
            if demand.unmet
            and name in self.spec.models
            and (name in loading or not self.replicas.get(name))
            and not self.is_urgent(name)
        ]
        _, waits, name = min(deadlines, default=(0.0, False, ""))
        return name if waits else ""

    def has_spare_replica(self, model: str) -> bool:
        """Return whether a model's demand could be met without one of its replicas."""
        others = self.replicas.get(model, 1) - 1
        tokens = self.demand_of(model).fast_tokens
        return others > 0 and tokens <= others * CROWDED_REPLICA_TOKENS_PER_S

    def sole_streams(self, engine: EngineSnapshot, model: str) -> float:
        """Return the streams that only an engine's replica of a model lets go on."""
        if not self.streams:
            return 0.0
        key = (model, engine.version)
        return self.streams.get(key, 0.0) if self.version_replicas.get(key, 0) <= 1 else 0.0

    def missed_streams(self, engine: EngineSnapshot, model: str) -> float:
        """Return a model's streams without a replica that a load on an engine won't let go on."""
        lost = self.lost_streams.get(model)
        return sum(lost.values()) - lost.get(engine.version, 0.0) if lost else 0.0

    def _lost_streams(self) -> dict[str, dict[str, float]]:
        versions = {engine.version for engine in self.engines if engine.usable}
        lost: dict[str, dict[str, float]] = {}
        for (model, version), streams in self.streams.items():
            held = self.version_replicas.get((model, version))
            if not held and version in versions and model in self.spec.models:
                lost.setdefault(model, {})[version] = streams
        return lost

    def max_patient_loads(self, *, also: str = "") -> int:
        """Return how many engines may load models for patient demand at once.

        It is the least number with which all models that patient requests wait for, loaded in the
        order of their deadlines, are ready in time, up to the share of long loads. A model in
        `also` counts as if a request waited for it.
        """
        density = 0.0
        loading = {engine.loading for engine in self.engines}
        for name, demand in self.demand.items():
            spec = self.spec.models.get(name)
            waits = (demand.unmet or name == also) and not self.replicas.get(name)
            if spec is None or not (waits or name in loading) or self.is_urgent(name):
                continue
            load_ms = spec.load_s * 1000 + RELOAD_OVERHEAD_MS
            left_ms = demand.objective_ms - demand.waiting_ms
            density += load_ms / max(load_ms, left_ms)
        share = math.floor(len(self.engines) * MAX_LONG_LOADS_SHARE)
        return max(1, min(math.ceil(density), share))

    def demand_of(self, model: str) -> Demand:
        """Return a model's demand."""
        return self.demand.get(model, NO_DEMAND)


def _count_by_version(engines: Sequence[EngineSnapshot]) -> dict[tuple[str, str], int]:
    counts: dict[tuple[str, str], int] = {}
    for engine in engines:
        if engine.limited:
            continue
        for model in (*engine.residents, *filter(None, (engine.loading,))):
            key = (model, engine.version)
            counts[key] = counts.get(key, 0) + 1
    return counts
