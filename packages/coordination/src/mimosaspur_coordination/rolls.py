"""Write, approve and roll bundles, each step by a named operator."""

from dataclasses import dataclass

import msgspec

from mimosaspur_coordination import audit
from mimosaspur_coordination.audit import Action
from mimosaspur_coordination.audit import Step
from mimosaspur_coordination.confirmedwrites import WriteOutcome
from mimosaspur_coordination.confirmedwrites import WriteResult
from mimosaspur_coordination.confirmedwrites import create_confirmed
from mimosaspur_coordination.confirmedwrites import read_with_retries
from mimosaspur_coordination.confirmedwrites import update_confirmed
from mimosaspur_coordination.regions import check_fit_everywhere
from mimosaspur_state import keys
from mimosaspur_state.bundle import Bundle
from mimosaspur_state.clock import Clock
from mimosaspur_state.codes import Outcome
from mimosaspur_state.codes import ResultCode
from mimosaspur_state.errors import MimosaspurError
from mimosaspur_state.objects import ObjectStore
from mimosaspur_state.objects import StoredObject
from mimosaspur_state.records import HISTORY_LENGTH
from mimosaspur_state.records import Approval
from mimosaspur_state.records import Head
from mimosaspur_state.records import Roll
from mimosaspur_state.records import WrittenBundle

WITHOUT_FIT_CHECK = "without fit check"


@dataclass(slots=True, frozen=True)
class RollResult:
    """Describe the roll in force; `already` means that it was in force before."""

    roll: Roll
    already: bool


def write_bundle(
    store: ObjectStore, clock: Clock, bundle: Bundle, *, operator: str
) -> WrittenBundle:
    """Write a valid bundle based on the generation in force; raise BUNDLE_EXISTS, BAD_BUNDLE."""
    step = Step(operator, Action.WRITE, bundle.name)
    return audit.run_audited(store, clock, step, lambda: _write(store, clock, bundle, operator))


def approve(store: ObjectStore, clock: Clock, name: str, *, operator: str) -> Approval:
    """Approve a bundle that another operator wrote; raise UNKNOWN_BUNDLE, SAME_OPERATOR."""
    step = Step(operator, Action.APPROVE, name)
    return audit.run_audited(store, clock, step, lambda: _approve(store, clock, name, operator))


def roll(
    store: ObjectStore,
    clock: Clock,
    name: str,
    *,
    operator: str,
    without_fit_check: bool = False,
) -> RollResult:
    """Put an approved bundle in force, unless it already is.

    Raise UNKNOWN_BUNDLE, NOT_APPROVED, SUPERSEDED, BUNDLE_DOES_NOT_FIT, ROLL_CONFLICT or
    OUTCOME_UNSETTLED. The fit check can be skipped only while no target's status is known.
    """
    step = Step(operator, Action.ROLL, name, WITHOUT_FIT_CHECK if without_fit_check else "")
    return audit.run_audited(
        store, clock, step, lambda: _roll(store, clock, step, without_fit_check)
    )


def read_head(store: ObjectStore) -> tuple[Head | None, int]:
    """Return the head and its version, or None and 0 before the first roll."""
    stored = read_with_retries(store, keys.HEAD)
    return (Head.from_value(stored.value), stored.version) if stored else (None, 0)


def read_bundle(store: ObjectStore, name: str) -> WrittenBundle:
    """Return a written bundle; raise UNKNOWN_BUNDLE."""
    stored = read_with_retries(store, keys.bundle(name))
    if stored is None:
        raise MimosaspurError(ResultCode.UNKNOWN_BUNDLE, f"No bundle {name!r} has been written.")
    return WrittenBundle.from_value(stored.value)


def read_approval(store: ObjectStore, name: str) -> Approval | None:
    """Return a bundle's approval, or None."""
    stored = read_with_retries(store, keys.approval(name))
    return Approval.from_value(stored.value) if stored else None


def _write(store: ObjectStore, clock: Clock, bundle: Bundle, operator: str) -> WrittenBundle:
    head, _ = read_head(store)
    generation = head.current.generation if head else 0
    if bundle.base_generation > generation:
        detail = f"base_generation is {bundle.base_generation}, but {generation} is in force."
        raise MimosaspurError(ResultCode.BAD_BUNDLE, detail)
    if not bundle.base_generation:
        bundle = msgspec.structs.replace(bundle, base_generation=generation)
    written = WrittenBundle(bundle, bundle.digest(), operator, clock.wall_ms())
    value = written.to_value()
    key = keys.bundle(bundle.name)
    settled = create_confirmed(store, key, value, lambda stored: bool(stored == value))
    stored = _require_settled(settled)
    if stored is None:
        return written
    return _same_or_raise(written, WrittenBundle.from_value(stored.value))


def _same_or_raise(written: WrittenBundle, stored: WrittenBundle) -> WrittenBundle:
    if (written.digest, written.operator) == (stored.digest, stored.operator):
        return stored
    detail = f"{stored.operator} has already written {stored.bundle.name!r}; choose another name."
    raise MimosaspurError(ResultCode.BUNDLE_EXISTS, detail)


def _approve(store: ObjectStore, clock: Clock, name: str, operator: str) -> Approval:
    written = read_bundle(store, name)
    if written.operator == operator:
        raise MimosaspurError(
            ResultCode.SAME_OPERATOR, f"{operator} wrote {name!r} and can't approve it."
        )
    approval = Approval(written.digest, operator, clock.wall_ms())
    value = approval.to_value()
    key = keys.approval(name)
    settled = create_confirmed(store, key, value, lambda stored: bool(stored == value))
    stored = _require_settled(settled)
    if stored is None:
        return approval
    earlier = Approval.from_value(stored.value)
    _check_approval(written, earlier)
    return earlier


def _roll(store: ObjectStore, clock: Clock, step: Step, without_fit_check: bool) -> RollResult:
    name = step.subject
    written = read_bundle(store, name)
    head, version = read_head(store)
    if head and _is_in_force(written, head.current):
        return RollResult(head.current, already=True)
    _check_approval(written, read_approval(store, name))
    _check_base(written, head)
    in_force = read_bundle(store, head.current.bundle).bundle if head else None
    check_fit_everywhere(store, written.bundle, in_force, allow_unknown_status=without_fit_check)
    generation = head.current.generation + 1 if head else 1
    wanted = Roll(generation, name, written.digest, step.operator, step.step_id, clock.wall_ms())
    return _put_head(store, head, version, wanted)


def _put_head(store: ObjectStore, head: Head | None, version: int, wanted: Roll) -> RollResult:
    def is_ours(value: object) -> bool:
        # Another roll may have followed this one before it was read back.
        return value is not None and wanted.roll_id in _roll_ids(Head.from_value(value))

    history = (head.current, *head.history)[:HISTORY_LENGTH] if head else ()
    value = Head(wanted, history).to_value()
    if head is None:
        settled = create_confirmed(store, keys.HEAD, value, is_ours)
    else:
        settled = update_confirmed(store, keys.HEAD, value, version, is_ours)
    stored = _require_settled(settled)
    if stored is None:
        return RollResult(wanted, already=False)
    winner = Head.from_value(stored.value).current
    if (winner.bundle, winner.digest) == (wanted.bundle, wanted.digest):
        return RollResult(winner, already=True)
    detail = f"{_describe_roll(winner)}. {wanted.bundle!r} is not in force."
    raise MimosaspurError(ResultCode.ROLL_CONFLICT, detail)


def _require_settled(settled: WriteResult) -> StoredObject | None:
    """Return the conflicting object, None if the write is done; raise OUTCOME_UNSETTLED."""
    if settled.outcome is WriteOutcome.DONE:
        return None
    if settled.outcome is WriteOutcome.UNSETTLED or settled.stored is None:
        raise MimosaspurError(ResultCode.OUTCOME_UNSETTLED, outcome=Outcome.UNKNOWN)
    return settled.stored


def _is_in_force(written: WrittenBundle, current: Roll) -> bool:
    return (written.bundle.name, written.digest) == (current.bundle, current.digest)


def _check_approval(written: WrittenBundle, approval: Approval | None) -> None:
    name = written.bundle.name
    if approval is None:
        raise MimosaspurError(ResultCode.NOT_APPROVED, f"{name!r} has not been approved.")
    if approval.operator == written.operator:
        raise MimosaspurError(
            ResultCode.SAME_OPERATOR, f"{approval.operator} wrote {name!r} and also approved it."
        )
    if {approval.digest} != {written.digest, written.bundle.digest()}:
        detail = f"{approval.operator} approved {name!r} with other content than is stored now."
        raise MimosaspurError(ResultCode.NOT_APPROVED, detail)


def _check_base(written: WrittenBundle, head: Head | None) -> None:
    if head is None or written.bundle.base_generation >= head.current.generation:
        return
    detail = (
        f"{written.bundle.name!r} was written against generation "
        f"{written.bundle.base_generation}. {_describe_roll(head.current)}."
    )
    raise MimosaspurError(ResultCode.SUPERSEDED, detail)


def _describe_roll(roll: Roll) -> str:
    return (
        f"{roll.operator} rolled {roll.bundle!r} as generation {roll.generation} "
        f"at {roll.at_ms} ms since the epoch"
    )


def _roll_ids(head: Head) -> set[str]:
    return {roll.roll_id for roll in (head.current, *head.history)}
