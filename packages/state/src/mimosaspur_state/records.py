"""Define the system's objects as stored in the object API."""

from enum import Enum
from typing import Any
from typing import TypeVar

import msgspec

from mimosaspur_state.bundle import Bundle

RecordT = TypeVar("RecordT", bound="Record")

HISTORY_LENGTH = 50


class Record(msgspec.Struct, frozen=True):
    """Convert to and from plain JSON data; unknown keys, from newer versions, are ignored."""

    def to_value(self) -> Any:
        """Return the record as plain JSON data."""
        return msgspec.to_builtins(self)

    @classmethod
    def from_value(cls: type[RecordT], value: Any) -> RecordT:
        """Return the record of plain JSON data; raise msgspec.ValidationError."""
        return msgspec.convert(value, cls)


class Roll(Record, frozen=True):
    """Describe one accepted roll."""

    generation: int
    bundle: str
    digest: str
    operator: str
    roll_id: str
    at_ms: int


class Head(Record, frozen=True):
    """Reference the bundle in force and the previous rolls, newest first."""

    current: Roll
    history: tuple[Roll, ...] = ()


class WrittenBundle(Record, frozen=True):
    """Hold a bundle as an operator wrote it; immutable."""

    bundle: Bundle
    digest: str
    operator: str
    at_ms: int


class Approval(Record, frozen=True):
    """Record who approved which content."""

    digest: str
    operator: str
    at_ms: int


class DrainOrder(Record, frozen=True):
    """Order an instance to drain."""

    operator: str
    reason: str
    at_ms: int


class AuditRecord(Record, frozen=True):
    """Record one action of an operator; outcome is asked, done or refused."""

    record_id: str
    at_ms: int
    operator: str
    action: str
    subject: str
    outcome: str
    detail: str = ""


class TargetStatus(Record, frozen=True):
    """Report a target to the planner; beat increases with every write.

    layout and held_mb hold, for each loaded model, its accelerators and its memory per accelerator
    including adapters. Targets of older versions report neither.
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
    """Report an entry's demand to the planner; beat increases with every write."""

    instance: str
    window_ms: int
    models: dict[str, ModelDemand]
    beat: int


class PlannerLease(Record, frozen=True):
    """Record the planner; the lease expires when beat is unchanged for its duration."""

    holder: str
    incarnation: str
    beat: int


class FencingRecord(Record, frozen=True):
    """Hold the newest fencing token issued for a target."""

    token: int
    incarnation: str


class ClaimState(Enum):
    """Enumerate the states of a claim on an idempotency key."""

    CLAIMED = "claimed"
    DONE = "done"
    UNKNOWN = "unknown"


class Claim(Record, frozen=True):
    """Grant one attempt the exclusive right to run a keyed request, and store its answer.

    deadline_ms is the request's remaining time at at_ms. kept is False if the answer is too large
    to store.
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
