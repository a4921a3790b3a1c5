"""Write and read the audit trail of operators' steps and their outcomes."""

import uuid
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from typing import TypeVar

from mimosaspur_coordination.confirmedwrites import WriteOutcome
from mimosaspur_coordination.confirmedwrites import create_confirmed
from mimosaspur_coordination.confirmedwrites import read_with_retries
from mimosaspur_state import keys
from mimosaspur_state.clock import Clock
from mimosaspur_state.codes import ResultCode
from mimosaspur_state.errors import MimosaspurError
from mimosaspur_state.errors import StoreUnavailable
from mimosaspur_state.log import log
from mimosaspur_state.objects import ObjectStore
from mimosaspur_state.records import AuditRecord
from mimosaspur_state.records import Head
from mimosaspur_state.records import Roll

T = TypeVar("T")

FILLED_IN = "filled in from the history of rolls"


class Action(Enum):
    """Enumerate the kinds of operators' steps."""

    WRITE = "write"
    APPROVE = "approve"
    ROLL = "roll"
    DRAIN = "drain"
    UNDRAIN = "undrain"


class StepOutcome(Enum):
    """Enumerate the recorded states of a step."""

    ASKED = "asked"
    DONE = "done"
    REFUSED = "refused"


@dataclass(slots=True, frozen=True)
class Step:
    """Describe an operator's step before it is executed."""

    operator: str
    action: Action
    subject: str
    detail: str = ""
    step_id: str = field(default_factory=lambda: uuid.uuid4().hex)


@dataclass(slots=True, frozen=True)
class AuditedStep:
    """Hold a recorded step; its outcome is `asked` while the result is unknown."""

    step_id: str
    at_ms: int
    operator: str
    action: str
    subject: str
    outcome: str
    detail: str


def run_audited(store: ObjectStore, clock: Clock, step: Step, execute: Callable[[], T]) -> T:
    """Record a requested step, execute it, and record its outcome.

    Raise StoreUnavailable without executing the step if the first record can't be written.
    """
    append(store, clock, step, StepOutcome.ASKED, step.detail)
    try:
        result = execute()
    except MimosaspurError as error:
        if error.code is not ResultCode.OUTCOME_UNSETTLED:
            detail = f"{error.code.value} {error.code.name}: {error.detail}"
            _append_if_possible(store, clock, step, StepOutcome.REFUSED, detail)
        raise
    _append_if_possible(store, clock, step, StepOutcome.DONE, "")
    return result


def append(store: ObjectStore, clock: Clock, step: Step, outcome: StepOutcome, detail: str) -> None:
    """Write one audit record; raise StoreUnavailable if the write can't be confirmed."""
    record = AuditRecord(
        record_id=f"{step.step_id}-{outcome.value}",
        at_ms=clock.wall_ms(),
        operator=step.operator,
        action=step.action.value,
        subject=step.subject,
        outcome=outcome.value,
        detail=detail,
    )
    value = record.to_value()
    key = keys.audit(record.at_ms, record.record_id)
    result = create_confirmed(store, key, value, lambda stored: bool(stored == value))
    if result.outcome is not WriteOutcome.DONE:
        raise StoreUnavailable("could not confirm that the audit record was written")


def read(store: ObjectStore, limit: int) -> list[AuditedStep]:
    """Return the latest steps, newest first, with missing outcomes of rolls filled in."""
    records = [AuditRecord.from_value(item.value) for item in store.list(keys.AUDIT).objects]
    outcomes = {_step_id(record): record for record in records if not _is_asked(record)}
    asked = [record for record in records if _is_asked(record)]
    newest = list(reversed(asked))[:limit]
    rolls = _rolls_by_id(store)
    return [_with_outcome(record, outcomes, rolls) for record in newest]


def _with_outcome(
    asked: AuditRecord, outcomes: dict[str, AuditRecord], rolls: dict[str, Roll]
) -> AuditedStep:
    step_id = _step_id(asked)
    known = outcomes.get(step_id)
    outcome = known.outcome if known else asked.outcome
    details = [asked.detail, known.detail if known else ""]
    if known is None and step_id in rolls:
        outcome = StepOutcome.DONE.value
        details.append(FILLED_IN)
    return AuditedStep(
        step_id=step_id,
        at_ms=asked.at_ms,
        operator=asked.operator,
        action=asked.action,
        subject=asked.subject,
        outcome=outcome,
        detail="; ".join(detail for detail in details if detail),
    )


def _rolls_by_id(store: ObjectStore) -> dict[str, Roll]:
    stored = read_with_retries(store, keys.HEAD)
    if stored is None:
        return {}
    head = Head.from_value(stored.value)
    return {roll.roll_id: roll for roll in (head.current, *head.history)}


def _step_id(record: AuditRecord) -> str:
    return record.record_id.rpartition("-")[0]


def _is_asked(record: AuditRecord) -> bool:
    return record.outcome == StepOutcome.ASKED.value


def _append_if_possible(
    store: ObjectStore, clock: Clock, step: Step, outcome: StepOutcome, detail: str
) -> None:
    # The step was executed either way; `read` fills in a missing outcome of a roll.
    try:
        append(store, clock, step, outcome, detail)
    except StoreUnavailable as error:
        log("AUDIT", "Could not record the outcome of a step.", step=step.step_id, error=str(error))
