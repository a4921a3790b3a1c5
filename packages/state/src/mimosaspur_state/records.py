"""Define the system's own objects as the object API holds them."""

from enum import Enum
from typing import Any
from typing import TypeVar

import msgspec

from mimosaspur_state.bundle import Bundle

RecordT = TypeVar("RecordT", bound="Record")

HISTORY_LENGTH = 50


class Record(msgspec.Struct, frozen=True):
    """Convert to and from plain JSON data; unknown keys are left for newer versions."""

    def to_value(self) -> Any:
        """Return it as plain JSON data."""
        return msgspec.to_builtins(self)

    @classmethod
    def from_value(cls: type[RecordT], value: Any) -> RecordT:
        """Read it from plain JSON data; raise msgspec.ValidationError."""
        return msgspec.convert(value, cls)


class Roll(Record, frozen=True):
    """Tell one accepted roll."""

    generation: int
    bundle: str
    digest: str
    operator: str
    roll_id: str
    at_ms: int


class Head(Record, frozen=True):
    """Name the bundle in force and the rolls before it, newest first."""

    current: Roll
    history: tuple[Roll, ...] = ()


class WrittenBundle(Record, frozen=True):
    """Hold a bundle as an operator wrote it; never changed afterwards."""

    bundle: Bundle
    digest: str
    operator: str
    at_ms: int


class Approval(Record, frozen=True):
    """Tell who approved which content."""

    digest: str
    operator: str
    at_ms: int


class DrainOrder(Record, frozen=True):
    """Order an instance to leave."""

    operator: str
    reason: str
    at_ms: int


class AuditRecord(Record, frozen=True):
    """Tell one step of an operator; outcome is asked, done or refused."""

    record_id: str
    at_ms: int
    operator: str
    action: str
    subject: str
    outcome: str
    detail: str = ""


class TargetStatus(Record, frozen=True):
    """Report a target to the planner; beat grows with every write.

    Layout and held_mb give, by model in memory, its accelerators and its memory with all its
    adapters on each of them. A target of an older version reports neither.
    """

    instance: str
    incarnation: str
    kind: str
    service: str
    failure_domain: str
    address: str
    capacity_mb: tuple[int, ...]
    free_mb: tuple[int, ...]
    residents: tuple[str, ...]
    draining: bool
    active: int
    queued: int
    slots: int
    beat: int
    generation: int = 0
    service_time_ms: int = 0
    layout: dict[str, tuple[int, ...]] = {}
    held_mb: dict[str, int] = {}


class ModelDemand(Record, frozen=True):
    """Count one model's requests at one entry in a window."""

    requests: int
    refused: int


class DemandReport(Record, frozen=True):
    """Report an entry's demand to the planner; beat grows with every write."""

    instance: str
    window_ms: int
    models: dict[str, ModelDemand]
    beat: int


class PlannerLease(Record, frozen=True):
    """Say who plans; a beat that stands still for the lease's time frees the duty."""

    holder: str
    incarnation: str
    beat: int


class FencingRecord(Record, frozen=True):
    """Hold the newest fencing token handed out for a target."""

    token: int
    incarnation: str


class ClaimState(Enum):
    """Name the states of a claim on an idempotency key."""

    CLAIMED = "claimed"
    DONE = "done"
    UNKNOWN = "unknown"


class Claim(Record, frozen=True):
    """Give one attempt the sole right to run a keyed request, and keep its answer.

    deadline_ms is the time that the request had left at at_ms. kept is False for an answer
    too large to keep.
    """

    attempt_id: str
    request_digest: str
    target: str
    state: ClaimState
    at_ms: int
    status: int = 0
    content_type: str = ""
    body: str = ""
    deadline_ms: int = 0
    kept: bool = True
