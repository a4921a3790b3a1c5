"""Define the input and the result of a model placement decision."""

from collections.abc import Collection
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field

from mimosaspur_coordination.modeldemand import Demand
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
    # Time to read prompts, relative to the engines of the service; above 1 is slower.
    prefill_factor: float = 1.0


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
    replicas: dict[str, int] = field(default_factory=dict)
    # Number of engines on which a model is loaded or has a copy.
    copies: dict[str, int] = field(default_factory=dict)
    # Engines reserved for a model that waits for them.
    reserved_engines: set[str] = field(default_factory=set)
    # Number of engines that are busy with long loads.
    long_loads: int = 0

    def __post_init__(self) -> None:
        staying = [engine for engine in self.engines if not engine.leaving]
        self.copies = copy_counts(staying)
        for engine in staying:
            if engine.limited:
                continue
            for model in (*engine.residents, *filter(None, (engine.loading,))):
                self.replicas[model] = self.replicas.get(model, 0) + 1
        self.long_loads = sum(engine.free_in_ms >= LONG_LOAD_MS / 2 for engine in self.engines)

    def any_engine_free(self) -> bool:
        """Return whether some engine can begin a load now."""
        return any(engine.usable and not engine.free_in_ms for engine in self.engines)

    def load_allowed(self, model: str, seconds: float, *, from_store: bool) -> bool:
        """Return whether the weight store's rate and the limit on long loads allow a load."""
        if from_store and not self.store_load_allowed:
            return False
        short = seconds * 1000 < LONG_LOAD_MS
        if short or self.idle or self.demand_of(model).fast_tokens >= CROWDED_REPLICA_TOKENS_PER_S:
            return True
        return self.long_loads + 1 <= max(1.0, len(self.engines) * MAX_LONG_LOADS_SHARE)

    def demand_of(self, model: str) -> Demand:
        """Return a model's demand."""
        return self.demand.get(model, NO_DEMAND)
