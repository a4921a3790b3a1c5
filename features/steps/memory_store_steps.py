"""Check the engine reconciler with changed placement records and object API faults."""

from behave import given
from behave import step
from behave import then
from behave import when
from behave.runner import Context

from harness.control import UNTIL_CLEARED
from harness.control import add_fault
from harness.control import call
from harness.memory_world import OTHER_TARGET
from harness.memory_world import REGION
from harness.memory_world import MemoryWorld
from harness.memory_world import wait_for
from mimosaspur_state import keys
from mimosaspur_state.placement import ReplicaState


@given("the keeper's next write of {kind} suffers {fault}")
def add_write_fault(context: Context, kind: str, fault: str) -> None:
    add_fault(context.memory.api, fault, match=f"PUT /objects/{kind}", count=1)


@step("the keeper's object API suffers {fault}")
def add_store_fault(context: Context, fault: str) -> None:
    for match in (" /objects", " /watch"):
        add_fault(context.memory.api, fault, match=match, count=UNTIL_CLEARED)


@given("the keeper's token can't be had")
def add_token_fault(context: Context) -> None:
    add_fault(context.memory.api, "error", match="/objects/fencing", count=UNTIL_CLEARED)


@when("the keeper's object API is back")
def clear_store_faults(context: Context) -> None:
    call(context.memory.api, "DELETE", "/faults")


@then("the keeper's write has suffered it")
def check_write_fault(context: Context) -> None:
    faults = call(context.memory.api, "GET", "/faults")["faults"]
    assert [fault["struck"] for fault in faults] == [1], faults


@then('the keeper turns "{resident}" back to load')
def check_turned_back(context: Context, resident: str) -> None:
    world: MemoryWorld = context.memory
    prefixes = (keys.placements(REGION),)
    changes = world.store.watch(prefixes, world.ready_revision, 5000).objects
    assert changes, "the record did not change"
    assert changes[0].value["replicas"][0]["state"] == "load", changes[0]


@then("the keeper's fencing token is {token:d}")
def check_token(context: Context, token: int) -> None:
    assert context.memory.reconciler.sender.token == token


@when('the keeper\'s replica "{resident}" is to leave')
def mark_leaving(context: Context, resident: str) -> None:
    context.memory.write_replica(resident, ReplicaState.LEAVING)


@when('the keeper learns of "{resident}" ready on another target')
def add_ready_replica(context: Context, resident: str) -> None:
    context.memory.write_replica(resident, ReplicaState.READY, target=OTHER_TARGET)


@then('the keeper takes "{resident}" out of the record')
def check_removed(context: Context, resident: str) -> None:
    world: MemoryWorld = context.memory
    wait_for(lambda: world.replica_state(resident) is None, f"{resident} is out of the record")


@when("the keeper knows no bundle and its records are gone")
def remove_bundle_and_records(context: Context) -> None:
    world: MemoryWorld = context.memory
    world.index = None
    for item in world.store.list(keys.placements(REGION)).objects:
        world.store.delete(item.key, item.version)
