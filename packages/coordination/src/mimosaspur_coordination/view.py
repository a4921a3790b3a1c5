"""Define the planner's input and output."""

from dataclasses import dataclass
from dataclasses import field

from mimosaspur_state.bundle import BundleIndex
from mimosaspur_state.bundle import ModelEntry
from mimosaspur_state.placement import PlacementRecord
from mimosaspur_state.records import TargetStatus

DEFAULT_MOVE_COST = 20.0
DEFAULT_WINDOW_MS = 30_000
DEFAULT_SERVICE_TIME_MS = 500
DEFAULT_LOAD_TIMEOUT_MS = 180_000
DEFAULT_MAX_CONCURRENT_LOADS = 6

LoadKey = tuple[str, str, str]
"""Identify a load by model, target and version."""


@dataclass(slots=True, frozen=True)
class Placed:
    """Store a placement record and the version at which it was read."""

    record: PlacementRecord
    version: int


@dataclass(slots=True, frozen=True)
class DemandSum:
    """Sum one model's requests of all entries in a window; requests include refused ones."""

    requests: int = 0
    refused: int = 0


@dataclass(slots=True)
class PlannerView:
    """Describe a region at one moment; `alive` has only targets with recent heartbeats.

    `former_entries` maps resident names to entries of earlier bundles, for the memory of old
    versions. Where one is missing, the new version's memory is assumed.
    """

    index: BundleIndex
    placed: dict[str, Placed]
    alive: dict[str, TargetStatus]
    now_ms: int
    draining: frozenset[str] = frozenset()
    former_entries: dict[str, ModelEntry] = field(default_factory=dict)
    demand: dict[str, DemandSum] = field(default_factory=dict)
    low_windows: dict[str, int] = field(default_factory=dict)
    changed_ms: dict[str, int] = field(default_factory=dict)
    loading_since_ms: dict[LoadKey, int] = field(default_factory=dict)
    failed_ms: dict[tuple[str, str], int] = field(default_factory=dict)
    max_concurrent_loads: int = DEFAULT_MAX_CONCURRENT_LOADS
    move_cost: float = DEFAULT_MOVE_COST
    window_ms: int = DEFAULT_WINDOW_MS
    service_time_ms: int = DEFAULT_SERVICE_TIME_MS
    load_timeout_ms: int = DEFAULT_LOAD_TIMEOUT_MS


@dataclass(slots=True, frozen=True)
class RecordChange:
    """Describe a conditional change of a placement record: ABSENT creates, no new one deletes."""

    model: str
    record_version: int
    new: PlacementRecord | None
    reason: str
