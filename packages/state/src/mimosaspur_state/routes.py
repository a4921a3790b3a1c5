"""Hold the operators' routes and find the one that serves a request."""

from dataclasses import dataclass
from dataclasses import field
from enum import Enum

from mimosaspur_state.workspaces import Workspace


class RouteKind(Enum):
    """Say what a route's requests are and whether they may run more than once."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at_most_once"
    STREAM = "stream"


@dataclass(slots=True, frozen=True)
class Route:
    """Describe where a route's requests go and what may be done for them."""

    name: str
    host: str
    prefix: str
    kind: RouteKind
    # Names and weights: a request goes to one of them with a chance in proportion.
    services: tuple[tuple[str, float], ...]
    timeout_ms: int
    objective_ms: int
    # 0 is the most urgent.
    priority: int
    max_attempts: int
    resumable: bool = False
    gap_objective_ms: int = 0
    # Whether callers need no credential.
    public: bool = False

    @property
    def repeatable(self) -> bool:
        """Tell whether a request that may have run may run again."""
        return self.kind is RouteKind.IDEMPOTENT or (
            self.kind is RouteKind.STREAM and self.resumable
        )


@dataclass(slots=True, frozen=True)
class ModelSpec:
    """Describe a model that a service's engines may hold."""

    name: str
    weights_mb: float
    # Seconds a load takes from the weight store, the engine's own disk and its own memory.
    load_s: float
    disk_load_s: float
    memory_load_s: float
    # The names of its adapters.
    adapters: tuple[str, ...] = ()
    adapter_mb: float = 0.0


@dataclass(slots=True, frozen=True)
class EngineSpec:
    """Describe the model engines of a service."""

    slots: int
    kv_cache_tokens: int
    weights_mb: float
    adapter_slots: int
    loads_per_s: float
    # The engine's own disk, for copies of weights.
    disk_mb: float
    # The engine's memory for copies of weights.
    memory_mb: float
    models: dict[str, ModelSpec]


@dataclass(slots=True, frozen=True)
class ServiceSpec:
    """Describe a service; engine is None for a plain service."""

    name: str
    health_path: str
    connection_limit: int
    engine: EngineSpec | None = None


@dataclass(slots=True, frozen=True)
class CallerLimits:
    """Bound what a caller may send and how long it may take or stay idle."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


@dataclass(slots=True, frozen=True)
class Configuration:
    """Hold one version of the operators' configuration."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, ServiceSpec]
    limits: CallerLimits = CallerLimits()
    # None where callers need no credentials.
    workspaces: tuple[Workspace, ...] | None = None
    # Filled from routes: each host's routes, the longest prefix first.
    by_host: dict[str, list[Route]] = field(init=False, repr=False, default_factory=dict)
    # Filled from workspaces: by the digest of each API key, the digest again and who holds it.
    by_credential: dict[bytes, tuple[bytes, Workspace]] = field(
        init=False, repr=False, default_factory=dict
    )

    def __post_init__(self) -> None:
        for route in sorted(self.routes, key=lambda route: -len(route.prefix)):
            self.by_host.setdefault(route.host, []).append(route)
        for workspace in self.workspaces or ():
            for digest in workspace.credentials:
                self.by_credential[digest] = digest, workspace

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of the path, if the host has one."""
        for route in self.by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None
