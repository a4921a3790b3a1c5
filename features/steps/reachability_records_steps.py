"""Steps for targets that remove themselves from a placement record concurrently."""

from collections.abc import Callable
from functools import partial

from behave import given
from behave import then
from behave import when
from behave.runner import Context

from harness.control import add_fault
from harness.control import clear_faults
from harness.control import injected_fault_count
from harness.control import run_concurrently
from harness.site import REGION
from harness.site import start_scenario_site
from mimosaspur_coordination import replicas
from mimosaspur_state import keys
from mimosaspur_state.bundle import Bundle
from mimosaspur_state.bundle import BundleIndex
from mimosaspur_state.bundle import bundle_from_value
from mimosaspur_state.objects import StoredObject
from mimosaspur_state.placement import PlacementRecord
from mimosaspur_state.placement import Replica
from mimosaspur_state.placement import ReplicaState
from mimosaspur_state.placement import placement_from_value

API_DELAY_MS = 150
LEAVING_TARGETS = ("t1", "t2")


@given("a placement record whose copies at two targets say that {copies}")
def prepare_record(context: Context, copies: str) -> None:
    site = start_scenario_site(context)
    others = (Replica("t3", "1", ReplicaState.READY),) if "third" in copies else ()
    alone = copies == "the other one stays"
    key = keys.placement(REGION, "a")
    record = PlacementRecord("a", 1, (*_leaving("t2"), *_leaving("t1"), *others))
    if alone:
        record = PlacementRecord("a", 1, (*_leaving("t1"), _ready("t2")))
    version = site.store().create(key, record.to_value())
    context.copies = {
        target: StoredObject(key, version, record.to_value()) for target in LEAVING_TARGETS
    }
    if alone:
        # What the record would be if a paused planner's stale write had succeeded.
        wrong = PlacementRecord("a", 1, (_ready("t1"), *_leaving("t2")))
        context.copies["t2"] = StoredObject(key, version, wrong.to_value())


@when("both targets try to leave it at once while the API's answers are {fault}")
def leave_at_once(context: Context, fault: str) -> None:
    api = context.site.api
    if fault == "slow":
        add_fault(api, "slow", match="/objects", delay_ms=API_DELAY_MS)
    else:
        add_fault(api, "lose_answer", match="PUT /objects", count=1)
    context.left = {}
    run_concurrently(*(partial(_leave, context, target) for target in LEAVING_TARGETS))
    assert injected_fault_count(api) > 0 or not any(context.left.values())
    clear_faults(api)


@then(
    "{left:d} of the two targets left and the record keeps a ready replica unless {nobody:d} is 0"
)
def check_left(context: Context, left: int, nobody: int) -> None:
    record = placement_from_value(context.site.store().get(keys.placement(REGION, "a")).value)
    assert sum(context.left.values()) == left, (context.left, record)
    assert bool(record.ready()) == bool(nobody), record
    gone = {target for target in LEAVING_TARGETS if not record.on_target(target)}
    assert gone == {target for target, out in context.left.items() if out}, (gone, context.left)


def _leave(context: Context, target: str) -> None:
    value = {"name": "one", "models": [{"name": "a", "version": "1", "memory_mb": 1}]}
    bundle: Bundle = bundle_from_value(value)
    leave: Callable[..., bool] = partial(
        replicas.remove_replaced, index=BundleIndex.build(1, bundle), on_update=lambda item: None
    )
    context.left[target] = leave(context.site.store(), context.copies[target], target, "1")


def _leaving(target: str) -> tuple[Replica]:
    return (Replica(target, "1", ReplicaState.LEAVING),)


def _ready(target: str) -> Replica:
    return Replica(target, "1", ReplicaState.READY)
