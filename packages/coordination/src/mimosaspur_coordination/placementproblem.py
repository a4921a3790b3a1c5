"""Hold what a decision on models is made from, and its result."""

from collections.abc import Collection
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field

from mimosaspur_coordination.modeldemand import Demand
from mimosaspur_coordination.weightcopies import copy_counts
from mimosaspur_state.routes import EngineSpec

# What one replica should carry at most, in a common engine's tokens a second: a quarter of an
# engine's time, which its models share.
CROWDED_REPLICA_TOKENS_PER_S = 5_000.0
# An engine takes one order at a time: a load of this length keeps it from what is needed next.
LONG_LOAD_MS = 4_000
# At most this part of the engines may be kept so for models that few ask for.
MAX_LONG_LOADS_SHARE = 0.34
NO_DEMAND = Demand()


@dataclass(slots=True)
class EngineSnapshot:
    """Hold one engine's part in the decision."""

    identity: str
    # Requests in flight by resident model; models on their way out are left out.
    residents: dict[str, int]
    # When the engine can take an order, 0 for now.
    free_in_ms: int
    # Whether the engine may get models at all.
    usable: bool = True
    # Whether it is about to end and takes no more requests: what it holds serves nobody.
    leaving: bool = False
    loading: str = ""
    # Models that have just come and whose requests may still be on their way.
    recent: frozenset[str] = frozenset()
    # Copies of weights, those that were used longest ago first.
    in_memory: tuple[str, ...] = ()
    on_disk: tuple[str, ...] = ()
    # Models for which room is kept, since late orders may load them.
    reserved_models: tuple[str, ...] = ()


@dataclass(slots=True, frozen=True)
class Swap:
    """Load a model on an engine after the victims are unloaded."""

    identity: str
    model: str
    victims: tuple[str, ...]
    # Whether the weights come from the weight store and count in its rate.
    from_store: bool
    # The load's own time.
    load_ms: int
    # How long the victims' unload waits for their runs.
    unload_ms: int = 0
    # Whether the load serves only to leave a copy on the engine's disk.
    for_copy: bool = False


@dataclass(slots=True)
class PlacementProblem:
    """Hold what a decision is made from."""

    spec: EngineSpec
    engines: Sequence[EngineSnapshot]
    demand: Mapping[str, Demand]
    # Whether the weight store's rate allows another load.
    store_load_allowed: bool = True
    # Whether nobody has asked for anything yet, as before a site's first callers.
    idle: bool = False
    # How long a stream lasts once it has begun.
    stream_ms: float = 0.0
    # Whether the last copy of a model's weights is spared.
    protect_last_copies: bool = True
    # Models that were loaded for their copies already, which an engine needn't have kept.
    preloaded: Collection[str] = ()
    replicas: dict[str, int] = field(default_factory=dict)
    # On how many engines a model is held or has a copy.
    copies: dict[str, int] = field(default_factory=dict)
    # Engines that a model waits for.
    reserved_engines: set[str] = field(default_factory=set)
    # How many engines are kept by long loads.
    long_loads: int = 0

    def __post_init__(self) -> None:
        staying = [engine for engine in self.engines if not engine.leaving]
        self.copies = copy_counts(staying)
        for engine in staying:
            for model in (*engine.residents, *filter(None, (engine.loading,))):
                self.replicas[model] = self.replicas.get(model, 0) + 1
        self.long_loads = sum(engine.free_in_ms >= LONG_LOAD_MS / 2 for engine in self.engines)

    def any_engine_free(self) -> bool:
        """Tell whether some engine can begin a load now."""
        return any(engine.usable and not engine.free_in_ms for engine in self.engines)

    def load_allowed(self, model: str, seconds: float, *, from_store: bool) -> bool:
        """Tell whether a load may begin, for the store's rate and for the engine that it keeps."""
        if from_store and not self.store_load_allowed:
            return False
        short = seconds * 1000 < LONG_LOAD_MS
        if short or self.idle or self.demand_of(model).fast_tokens >= CROWDED_REPLICA_TOKENS_PER_S:
            return True
        return self.long_loads + 1 <= max(1.0, len(self.engines) * MAX_LONG_LOADS_SHARE)

    def demand_of(self, model: str) -> Demand:
        """Return a model's demand."""
        return self.demand.get(model, NO_DEMAND)
