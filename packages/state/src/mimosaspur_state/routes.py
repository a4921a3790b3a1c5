"""Define the operators' configuration and match requests to routes."""

from dataclasses import dataclass
from dataclasses import field
from enum import Enum

from mimosaspur_state.workspaces import Workspace


class RouteKind(Enum):
    """Enumerate the kinds of routes, which determine whether requests may be retried."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at_most_once"
    STREAM = "stream"


@dataclass(slots=True, frozen=True)
class Route:
    """Describe the services of a route and its limits."""

    name: str
    host: str
    prefix: str
    kind: RouteKind
    # Names and weights; a service is chosen at random in proportion to its weight.
    services: tuple[tuple[str, float], ...]
    timeout_ms: int
    objective_ms: int
    # 0 is the highest priority.
    priority: int
    max_attempts: int
    resumable: bool = False
    gap_objective_ms: int = 0
    # Whether requests are accepted without a credential.
    public: bool = False

    @property
    def repeatable(self) -> bool:
        """Return whether a request that may have run may be repeated."""
        return self.kind is RouteKind.IDEMPOTENT or (
            self.kind is RouteKind.STREAM and self.resumable
        )


@dataclass(slots=True, frozen=True)
class ModelSpec:
    """Describe a model that a service's engines can load."""

    name: str
    weights_mb: float
    # Load time from the weight store, the engine's disk and the engine's memory.
    load_s: float
    disk_load_s: float
    memory_load_s: float
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
    # Disk space of the engine for copies of weights.
    disk_mb: float
    # Memory of the engine for copies of weights.
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
    """Limit the size of a caller's request and its timeouts."""

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
    # None if requests need no credentials.
    workspaces: tuple[Workspace, ...] | None = None
    # Derived from routes: the routes of each host, longest prefix first.
    by_host: dict[str, list[Route]] = field(init=False, repr=False, default_factory=dict)
    # Derived from workspaces: digest of each API key -> the same digest and its workspace.
    by_credential: dict[bytes, tuple[bytes, Workspace]] = field(
        init=False, repr=False, default_factory=dict
    )

    def __post_init__(self) -> None:
        for route in sorted(self.routes, key=lambda route: -len(route.prefix)):
            self.by_host.setdefault(route.host, []).append(route)
        for workspace in self.workspaces or ():
            for digest in workspace.credentials:
                self.by_credential[digest] = digest, workspace

    def longest_stream_ms(self) -> int:
        """Return the longest timeout of a route with streams, 0 without one."""
        streams = (each.timeout_ms for each in self.routes if each.kind is RouteKind.STREAM)
        return max(streams, default=0)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the host's route with the longest matching prefix, or None."""
        for route in self.by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None
