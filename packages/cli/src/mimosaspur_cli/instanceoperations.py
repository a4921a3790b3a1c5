"""Perform operators' actions on instances."""

from dataclasses import dataclass
from urllib.parse import unquote

from expression import Result

from mimosaspur_cli.placements import read_placements
from mimosaspur_cli.platform import Platform
from mimosaspur_cli.platform import run_operation
from mimosaspur_coordination import audit
from mimosaspur_coordination.audit import Action
from mimosaspur_coordination.audit import Step
from mimosaspur_coordination.confirmedwrites import WriteOutcome
from mimosaspur_coordination.confirmedwrites import create_confirmed
from mimosaspur_coordination.confirmedwrites import delete_confirmed
from mimosaspur_coordination.confirmedwrites import read_with_retries
from mimosaspur_coordination.regions import statuses_by_region
from mimosaspur_state import keys
from mimosaspur_state.codes import Outcome
from mimosaspur_state.codes import ResultCode
from mimosaspur_state.errors import MimosaspurError
from mimosaspur_state.errors import StoreUnavailable
from mimosaspur_state.records import DrainOrder

LIVE = "live"
LEAVING = "leaving"
UNLISTED = "unlisted"
TARGET = "target"


@dataclass(slots=True, frozen=True)
class InstanceRow:
    """Describe an instance from the instance list, its status and drain orders."""

    name: str
    role: str
    region: str
    failure_domain: str
    address: str
    state: str
    drained_by: str


@dataclass(slots=True, frozen=True)
class DrainResult:
    """Represent the drain order and the models whose only ready replica is there."""

    instance: str
    order: DrainOrder
    already: bool
    only_ready_of: list[str]


@dataclass(slots=True, frozen=True)
class UndrainResult:
    """Report whether a drain order was cancelled."""

    instance: str
    was_drained: bool


def list_instances(platform: Platform) -> Result[list[InstanceRow], MimosaspurError]:
    """Return every instance that the instance list or a target status names."""
    return run_operation(lambda: _instance_rows(platform))


def drain(
    platform: Platform, name: str, operator: str, reason: str
) -> Result[DrainResult, MimosaspurError]:
    """Create a drain order for an instance."""
    step = Step(operator, Action.DRAIN, name, reason)
    order = DrainOrder(operator, reason, platform.clock.wall_ms())
    return run_operation(
        lambda: audit.run_audited(
            platform.store, platform.clock, step, lambda: _drain(platform, name, order)
        )
    )


def undrain(platform: Platform, name: str, operator: str) -> Result[UndrainResult, MimosaspurError]:
    """Delete an instance's drain order."""
    step = Step(operator, Action.UNDRAIN, name)
    return run_operation(
        lambda: audit.run_audited(
            platform.store, platform.clock, step, lambda: _undrain(platform, name)
        )
    )


def _instance_rows(platform: Platform) -> list[InstanceRow]:
    orders = {
        unquote(item.key.removeprefix(keys.DRAINS)): DrainOrder.from_value(item.value).operator
        for item in platform.store.list(keys.DRAINS).objects
    }
    rows = {
        item.name: InstanceRow(
            name=item.name,
            role=item.role,
            region=item.region,
            failure_domain=item.failure_domain,
            address=item.address,
            state=LEAVING if item.leaving else LIVE,
            drained_by=orders.get(item.name, ""),
        )
        for item in platform.instance_list.instances()
    }
    for region, targets in statuses_by_region(platform.store).items():
        for target in targets:
            row = InstanceRow(
                name=target.instance,
                role=TARGET,
                region=region,
                failure_domain=target.failure_domain,
                address=target.address,
                state=UNLISTED,
                drained_by=orders.get(target.instance, ""),
            )
            rows.setdefault(target.instance, row)
    return [rows[name] for name in sorted(rows)]


def _drain(platform: Platform, name: str, order: DrainOrder) -> DrainResult:
    _check_known(platform, name)
    only_ready_of = _only_ready_of(platform, name)
    value = order.to_value()
    key = keys.drain(name)
    write = create_confirmed(platform.store, key, value, lambda stored: bool(stored == value))
    if write.outcome is WriteOutcome.DONE:
        return DrainResult(name, order, already=False, only_ready_of=only_ready_of)
    if write.outcome is WriteOutcome.UNSETTLED or write.stored is None:
        raise MimosaspurError(ResultCode.OUTCOME_UNSETTLED, outcome=Outcome.UNKNOWN)
    existing = DrainOrder.from_value(write.stored.value)
    return DrainResult(name, existing, already=True, only_ready_of=only_ready_of)


def _undrain(platform: Platform, name: str) -> UndrainResult:
    key = keys.drain(name)
    stored = read_with_retries(platform.store, key)
    if stored is None:
        return UndrainResult(name, was_drained=False)
    write = delete_confirmed(platform.store, key, stored.version)
    if write.outcome is not WriteOutcome.DONE:
        raise MimosaspurError(ResultCode.OUTCOME_UNSETTLED, outcome=Outcome.UNKNOWN)
    return UndrainResult(name, was_drained=True)


def _check_known(platform: Platform, name: str) -> None:
    statuses = statuses_by_region(platform.store)
    if any(target.instance == name for targets in statuses.values() for target in targets):
        return
    try:
        listed = {item.name for item in platform.instance_list.instances()}
    except StoreUnavailable as error:
        detail = f"no status names {name!r}, and the instance list did not answer: {error}"
        raise StoreUnavailable(detail) from error
    if name not in listed:
        detail = f"Neither the instance list nor a status names {name!r}."
        raise MimosaspurError(ResultCode.UNKNOWN_INSTANCE, detail)


def _only_ready_of(platform: Platform, name: str) -> list[str]:
    return [
        placement.record.model
        for placement in read_placements(platform.store)
        if [replica.target for replica in placement.record.ready()] == [name]
    ]
