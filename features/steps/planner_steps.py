"""Steps for single decisions of the planner."""

import re
from dataclasses import replace

import msgspec
from behave import given
from behave import then
from behave import when
from behave.runner import Context

from harness.planner_bundles import MB_PER_GB
from harness.planner_bundles import read_bundle
from harness.planner_target import target_status
from harness.planner_world import FixedTokens
from mimosaspur_coordination.fit import check_fit
from mimosaspur_coordination.planner import plan
from mimosaspur_coordination.view import DemandSum
from mimosaspur_coordination.view import Placed
from mimosaspur_coordination.view import PlannerView
from mimosaspur_coordination.view import RecordChange
from mimosaspur_state.bundle import Bundle
from mimosaspur_state.bundle import BundleIndex
from mimosaspur_state.errors import MimosaspurError
from mimosaspur_state.placement import PlacementRecord
from mimosaspur_state.placement import Replica
from mimosaspur_state.placement import ReplicaState
from mimosaspur_state.records import TargetStatus

NOW_MS = 1_000_000
GENERATION = 7
WINDOW_MS = 10_000


def read_target(text: str) -> tuple[TargetStatus, str]:
    name, domain, sizes, *rest = text.split(":")
    capacity = tuple(int(size) * MB_PER_GB for size in sizes.split("/"))
    condition = rest[0] if rest else ""
    kind = "service" if condition == "service" else "engine"
    return target_status(name, capacity, domain=domain, kind=kind), condition


@given('a plan for the targets "{text}"')
def step_targets(context: Context, text: str) -> None:
    context.targets = [read_target(part) for part in text.split()]
    context.view = PlannerView(
        index=BundleIndex.build(GENERATION, Bundle("none", ())),
        placed={},
        alive={s.instance: s for s, condition in context.targets if condition != "dead"},
        now_ms=NOW_MS,
        draining=frozenset(
            s.instance for s, condition in context.targets if condition == "draining"
        ),
        window_ms=WINDOW_MS,
    )
    context.failed_before = [
        status.instance for status, condition in context.targets if condition == "failed"
    ]
    context.tokens = 99


@given('a plan for the bundle "{text}"')
def step_bundle(context: Context, text: str) -> None:
    view = context.view
    view.index = BundleIndex.build(GENERATION, read_bundle(text))
    view.failed_ms = {
        (name, target): 0 for name in view.index.models for target in context.failed_before
    }


@given('a plan whose records hold ""')
def step_no_records(context: Context) -> None:
    context.view.placed = {}


@given('a plan whose records hold "{text}"')
def step_records(context: Context, text: str) -> None:
    view = context.view
    for part in text.split():
        model, version, target, state = re.split("[@/:]", part)
        known = view.placed.get(model)
        record = known.record if known else PlacementRecord(model, GENERATION)
        if state != "none":
            replica = Replica(target, version, ReplicaState(state))
            record = record.with_replica(replica)
            if state != "load" and target in view.alive:
                view.alive[target] = with_resident(view, target, model, version)
        view.placed[model] = Placed(record, len(model))


def with_resident(view: PlannerView, target: str, model: str, version: str) -> TargetStatus:
    status = view.alive[target]
    free = list(status.free_mb)
    entry = view.index.models.get(model)
    for index in range(entry.accelerators if entry else 0):
        free[index] -= entry.memory_mb if entry else 0
    resident = f"{model}@{version}"
    layout = {**status.layout, resident: tuple(range(entry.accelerators if entry else 0))}
    residents = (*status.residents, resident)
    return msgspec.structs.replace(status, free_mb=tuple(free), residents=residents, layout=layout)


@given('a plan where the engine of "{target}" is silent')
def step_silent(context: Context, target: str) -> None:
    status = context.view.alive[target]
    context.view.alive[target] = msgspec.structs.replace(status, capacity_mb=(), free_mb=())


@given("a plan with {at_once:d} loads at once and {tokens:d} tokens")
def step_limits(context: Context, at_once: int, tokens: int) -> None:
    context.view.max_concurrent_loads = at_once
    context.tokens = tokens


@given(
    'a plan where "{model}" has {requests:d} requests and {refused:d} refused,'
    " and {low:d} low windows"
)
def step_demand(context: Context, model: str, requests: int, refused: int, low: int) -> None:
    context.view.demand[model] = DemandSum(requests, refused)
    context.view.low_windows[model] = low


@given('a plan where "{target}" changed {ago:d} ms ago')
def step_changed(context: Context, target: str, ago: int) -> None:
    context.view.changed_ms[target] = NOW_MS - ago


@given('a plan where "{model}" has been loading on "{target}" for {ms:d} ms of {bound:d}')
def step_loading(context: Context, model: str, target: str, ms: int, bound: int) -> None:
    context.view.loading_since_ms[(model, target, "1")] = NOW_MS - ms
    context.view.load_timeout_ms = bound


@given("a plan whose records are of a newer generation")
def step_newer(context: Context) -> None:
    for model, placed in context.view.placed.items():
        record = msgspec.structs.replace(placed.record, generation=GENERATION + 1)
        context.view.placed[model] = replace(placed, record=record)


@when("the planner decides")
def step_decide(context: Context) -> None:
    context.changes = plan(context.view, FixedTokens(context.tokens))


@then('the planner writes ""')
def step_writes_nothing(context: Context) -> None:
    check_written(context, "")


@then('the planner writes "{text}"')
def step_writes(context: Context, text: str) -> None:
    check_written(context, text)


def check_written(context: Context, text: str) -> None:
    found = [mark for change in context.changes for mark in change_marks(context.view, change)]
    assert sorted(found) == sorted(text.split()), f"{found}, not {text}: {context.changes}"


@then("the planner starts {count:d} loads")
def step_loads(context: Context, count: int) -> None:
    found = [mark for change in context.changes for mark in change_marks(context.view, change)]
    assert len([mark for mark in found if "+" in mark]) == count, found


def change_marks(view: PlannerView, change: RecordChange) -> list[str]:
    placed = view.placed.get(change.model)
    assert change.record_version == (placed.version if placed else 0)
    if change.new is None:
        return [f"{change.model}#"]
    assert change.new.generation == GENERATION
    old = set(placed.record.replicas) if placed else set()
    new = set(change.new.replicas)
    added = {item.target: item for item in new - old}
    signs = {ReplicaState.LOAD: "+", ReplicaState.LEAVING: "-"}
    found = [f"{change.model}{signs[item.state]}{name}" for name, item in added.items()]
    gone = {(item.target, item.version) for item in old} - {(i.target, i.version) for i in new}
    return found + [f"{change.model}!{target}" for target, _ in gone]


@when('a plan from "" to "{bundle}" is checked')
def step_check_first(context: Context, bundle: str) -> None:
    context.fit_error = fit_error(context, None, bundle)


@when('a plan from "{in_force}" to "{bundle}" is checked')
def step_check(context: Context, in_force: str, bundle: str) -> None:
    context.fit_error = fit_error(context, read_bundle(in_force), bundle)


def fit_error(context: Context, in_force: Bundle | None, bundle: str) -> str:
    try:
        check_fit(read_bundle(bundle), in_force, [status for status, _ in context.targets])
    except MimosaspurError as error:
        return str(error)
    return ""


@then('a plan check says ""')
def step_check_silent(context: Context) -> None:
    assert not context.fit_error, context.fit_error


@then('a plan check says "{text}"')
def step_check_says(context: Context, text: str) -> None:
    assert text in context.fit_error, context.fit_error or "it fits"
