"""Hold what the planner decides from, and what it decides."""

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
"""Name a load: model, target, version."""


@dataclass(slots=True, frozen=True)
class Placed:
    """Hold a placement record and the version at which it was read."""

    record: PlacementRecord
    version: int


@dataclass(slots=True, frozen=True)
class DemandSum:
    """Sum one model's requests over all entries in a window; requests count refused ones too."""

    requests: int = 0
    refused: int = 0


@dataclass(slots=True)
class PlannerView:
    """Hold one moment of a region; `alive` has only targets whose status still beats.

    `former` finds entries of bundles once in force by their resident's name: what a replica of
    an old version takes is known only from there, and else guessed from the new version.
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
    """Change one placement record at a version (ABSENT creates); None as the new one deletes."""

    model: str
    record_version: int
    new: PlacementRecord | None
    reason: str
