"""Define the settings of an entry that connects to its targets directly."""

from dataclasses import dataclass
from dataclasses import field

from mimosaspur_state.policy import Policy


@dataclass(slots=True, frozen=True)
class RetryBounds:
    """Limit the retries that reach a service, over all entries."""

    ratio: float
    window_ms: int
    slack: float


@dataclass(slots=True, frozen=True)
class OrderBounds:
    """Limit the orders to engines."""

    # Minimum time between the last order of one lease holder and the first of the next.
    handover_ms: int
    # Factor by which loads may exceed the weight store's rate within a window.
    load_window_ms: int
    load_overage: float


@dataclass(slots=True, frozen=True)
class QuotaBounds:
    """Limit what workspaces spend in any window, over all entries."""

    window_ms: int
    # Spending may exceed a quota by this share of it plus `slack`, which is in the quota's unit.
    overage: float
    slack: float


@dataclass(slots=True, frozen=True)
class DirectSettings:
    """Hold the settings of one entry process."""

    instance: str
    ip: str
    failure_domain: str
    callers_address: tuple[str, int]
    ready_address: tuple[str, int]
    # Port for connections from other entries.
    peer_port: int
    # Port of the metrics endpoint; 0 disables it.
    metrics_port: int
    store_address: tuple[str, int]
    memory_mb: float
    descriptors: int
    # Maximum time from SIGTERM to process exit.
    shutdown_ms: int
    # Maximum time from the store's acknowledgement of a configuration until all entries use it.
    configuration_ms: int
    # Maximum time from the store's acknowledgement that a target leaves until requests stop.
    drain_ms: int
    target_heartbeat_ms: int
    retries: RetryBounds
    orders: OrderBounds
    quotas: QuotaBounds = QuotaBounds(window_ms=8_000, overage=0.1, slack=0.0)
    # How long unconfirmed credentials stay valid; None is unlimited.
    credential_max_age_ms: int | None = None
    # Normalized core count and link rate of this machine; 0 if unknown.
    cores: float = 0.0
    link_mbps: float = 0.0
    policy: Policy = field(default_factory=Policy)
