"""Hold the settings of an entry that reaches its targets without a process beside them."""

from dataclasses import dataclass
from dataclasses import field

from mimosaspur_state.policy import Policy


@dataclass(slots=True, frozen=True)
class RetryBounds:
    """Bound the arrivals at a service beyond the first of each request, over all entries."""

    ratio: float
    window_ms: int
    slack: float


@dataclass(slots=True, frozen=True)
class OrderBounds:
    """Bound the orders to engines."""

    # Between the last order of one holder and the first of the next.
    handover_ms: int
    # The weight store's rate may be passed by this factor within a window.
    load_window_ms: int
    load_overage: float


@dataclass(slots=True, frozen=True)
class QuotaBounds:
    """Bound what workspaces spend in any window, over all entries."""

    window_ms: int
    # What a quota allows may be passed by this part of it, and by this much besides, in the
    # quota's own unit.
    overage: float
    slack: float


@dataclass(slots=True, frozen=True)
class DirectSettings:
    """Hold the settings of one process."""

    instance: str
    ip: str
    failure_domain: str
    callers_address: tuple[str, int]
    ready_address: tuple[str, int]
    # Entries listen here for one another.
    peer_port: int
    # Metrics are served here as text; 0 serves none.
    metrics_port: int
    store_address: tuple[str, int]
    memory_mb: float
    descriptors: int
    # From SIGTERM to the end of the process.
    shutdown_ms: int
    # From the store's acknowledgement of a configuration until it is in force everywhere.
    configuration_ms: int
    # From the store's acknowledgement that a target leaves until nothing more is sent there.
    drain_ms: int
    target_heartbeat_ms: int
    retries: RetryBounds
    orders: OrderBounds
    quotas: QuotaBounds = QuotaBounds(window_ms=8_000, overage=0.1, slack=0.0)
    # For how long credentials are relied on that nobody has confirmed; None for any time.
    credential_max_age_ms: int | None = None
    # What this machine offers: cores of common speed, and its link. 0 where it isn't known.
    cores: float = 0.0
    link_mbps: float = 0.0
    policy: Policy = field(default_factory=Policy)
