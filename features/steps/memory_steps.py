"""Check the engine reconciler and its memory ledger with lost, late and repeated orders."""

import time

from behave import given
from behave import step
from behave import then
from behave import when
from behave.runner import Context

from harness.control import UNTIL_CLEARED
from harness.control import add_fault
from harness.control import call
from harness.memory_replay import check_histories
from harness.memory_world import REGION
from harness.memory_world import TARGET
from harness.memory_world import MemoryWorld
from harness.memory_world import assert_holds
from harness.memory_world import wait_for
from mimosaspur_coordination.fencing import acquire_token
from mimosaspur_state import keys
from mimosaspur_state.placement import ReplicaState

ORDERS_REQUEST = "POST /admin/orders"
ARRIVAL_MARGIN_MS = 100
IMPORT_ID = "brought@1"


def split_names(text: str) -> list[str]:
    return sorted(name.strip() for name in text.split(",") if name.strip())


def split_numbers(text: str) -> list[int]:
    return [int(number) for number in text.split(",")]


def now_ms() -> float:
    return time.monotonic() * 1000


@given("the engine {fencing} fencing tokens and has accelerators of {sizes} MB")
def start_stand_ins(context: Context, fencing: str, sizes: str) -> None:
    world = MemoryWorld(
        context, capacity_mb=split_numbers(sizes), checks_fencing=fencing == "checks"
    )
    context.memory = world
    context.add_cleanup(world.close)
    world.start_api()
    world.start_engine()


@given("the keeper's longest order delay is {ms:d} ms")
def set_max_order_delay(context: Context, ms: int) -> None:
    context.memory.max_order_delay_ms = ms


@given("the engine takes {ms:d} ms for a load")
def set_load_time(context: Context, ms: int) -> None:
    context.memory.load_ms = ms
    context.memory.restart_engine()


@given("the engine holds an import of {mb:d} MB")
def load_import(context: Context, mb: int) -> None:
    order = {"order_id": "import", "fencing": 0, "kind": "load", "id": IMPORT_ID, "base": None}
    order |= {"resident_kind": "import", "memory_mb": mb, "accelerators": [0]}
    call(context.memory.engine, "POST", "/admin/orders", order)


@when("the engine's orders suffer {fault} of {ms:d} ms")
def add_order_fault(context: Context, fault: str, ms: int) -> None:
    context.memory.fault_delay_ms = ms
    add_fault(context.memory.engine, fault, match=ORDERS_REQUEST, count=UNTIL_CLEARED, delay_ms=ms)


@when("the engine's next order suffers {fault} of {ms:d} ms")
def add_fault_to_next_order(context: Context, fault: str, ms: int) -> None:
    context.memory.fault_delay_ms = ms
    add_fault(context.memory.engine, fault, match=ORDERS_REQUEST, count=1, delay_ms=ms)


@when("the engine's orders have suffered it")
def wait_for_affected_order(context: Context) -> None:
    address = context.memory.engine
    wait_for(
        lambda: any(it["struck"] for it in call(address, "GET", "/faults")["faults"]),
        "the fault affects an order",
    )
    context.memory.fault_applied_at_ms = now_ms()


@when("the keeper's bundle has version {version} of the adapters")
def change_adapters(context: Context, version: str) -> None:
    world: MemoryWorld = context.memory
    for model in list(world.models.values()):
        sizes = [adapter.memory_mb for adapter in model.adapters]
        world.add_model(model.resident_id(), model.memory_mb, sizes, adapter_version=version)


@then('the engine had "{first}" ready before it unloaded "{second}"')
def check_ready_before_unload(context: Context, first: str, second: str) -> None:
    world: MemoryWorld = context.memory
    at_ms = {(order["kind"], order["id"]): order["at_ms"] for order in world.engine_log()["orders"]}
    gap_ms = at_ms["unload", second] - at_ms["load", first]
    assert gap_ms >= world.load_ms, f"the unload came {gap_ms} ms after the load order"


@when("the engine's orders suffer nothing")
def clear_order_faults(context: Context) -> None:
    call(context.memory.engine, "DELETE", "/faults")
    # The fault affects no order after this.
    context.memory.fault_applied_at_ms = now_ms()


@then("the engine's late order has arrived")
def wait_for_late_order(context: Context) -> None:
    arrived_ms = (
        context.memory.fault_applied_at_ms + context.memory.fault_delay_ms + ARRIVAL_MARGIN_MS
    )
    wait_for(lambda: now_ms() > arrived_ms, "the late order arrives")


@step('the keeper\'s target is to load "{resident}" of {mb:d} MB')
def load_model(context: Context, resident: str, mb: int) -> None:
    load_with_adapters(context, resident, mb, "")


@step('the keeper\'s target is to load "{resident}" of {mb:d} MB too')
def load_model_too(context: Context, resident: str, mb: int) -> None:
    load_with_adapters(context, resident, mb, "")


@step('the keeper\'s target is to load "{resident}" of {mb:d} MB with adapters of {sizes} MB')
def load_with_adapters(context: Context, resident: str, mb: int, sizes: str) -> None:
    context.memory.add_model(resident, mb, split_numbers(sizes) if sizes else [])
    context.memory.write_replica(resident, ReplicaState.LOAD)


@step('the keeper\'s target is to load "{resident}" of {mb:d} MB instead')
def replace_model(context: Context, resident: str, mb: int) -> None:
    world: MemoryWorld = context.memory
    previous = list(world.models)
    world.models.clear()
    world.add_model(resident, mb, [])
    for name in previous:
        own_replicas = [item for item in world.read_record(name).replicas if item.target == TARGET]
        for replica in own_replicas:
            world.write_record(world.read_record(name).without(TARGET, replica.version))
    world.write_replica(resident, ReplicaState.LOAD)


@when("the keeper starts")
def start_reconciler(context: Context) -> None:
    world: MemoryWorld = context.memory
    world.start_reconciler()
    sender = world.reconciler.sender
    wait_for(lambda: sender.token > 0, "the reconciler acquires a fencing token")
    if world.checks_fencing:
        wait_for(
            lambda: call(world.engine, "GET", "/admin/state")["fencing"] >= sender.token,
            "the reconciler fences its predecessor off",
        )


@when("the keeper starts without a token")
def start_without_token(context: Context) -> None:
    context.memory.start_reconciler()


@when("the keeper is killed")
def kill_reconciler(context: Context) -> None:
    context.memory.reconcilers[-1].kill()


@when("the keeper has paused for {ms:d} ms")
def pause_reconciler(context: Context, ms: int) -> None:
    context.memory.clock.paused_ms += ms


@when("the keeper's successor takes a token")
def successor_takes_token(context: Context) -> None:
    acquire_token(context.memory.store, TARGET, "successor")


@when("the keeper goes on")
def check_running(context: Context) -> None:
    assert not context.memory.reconcilers[-1].stop.is_set()


@when('the engine is loading "{resident}"')
def wait_for_loading(context: Context, resident: str) -> None:
    world: MemoryWorld = context.memory
    wait_for(lambda: world.residents().get(resident) == "loading", f"{resident} is loading")


@when("the engine restarts")
def restart_engine(context: Context) -> None:
    world: MemoryWorld = context.memory
    world.restart_engine()


@then('the keeper makes "{resident}" ready')
def check_ready(context: Context, resident: str) -> None:
    world: MemoryWorld = context.memory
    wait_for(lambda: world.replica_state(resident) is ReplicaState.READY, f"{resident} is READY")
    world.ready_revision = world.store.list(keys.placements(REGION)).revision
    assert resident in world.reconciler.ready_residents(), world.reconciler.ready_residents()


@then('the engine has only "{wanted}" resident')
@then('the engine has only "" resident')
def check_only_residents(context: Context, wanted: str = "") -> None:
    world: MemoryWorld = context.memory
    ready = dict.fromkeys(split_names(wanted), "ready")
    wait_for(lambda: world.residents() == ready, f"only {wanted!r} is resident")


@then('the engine has "{wanted}" resident for {ms:d} ms')
@then('the engine has "" resident for {ms:d} ms')
def check_stays_resident(context: Context, ms: int, wanted: str = "") -> None:
    world: MemoryWorld = context.memory
    ready = dict.fromkeys(split_names(wanted), "ready")
    assert_holds(lambda: world.residents() == ready, ms, f"{wanted} did not stay resident")


@then("the engine loaded {count:d} times")
def check_load_count(context: Context, count: int) -> None:
    assert context.memory.engine_log()["loads"] == count, context.memory.engine_log()


@then("the engine was never overcommitted")
def check_never_overcommitted(context: Context) -> None:
    context.memory.check_memory()


@then("the keeper reports {mb:d} MB free on accelerator {index:d}")
def check_free_memory(context: Context, mb: int, index: int) -> None:
    reconciler = context.memory.reconciler
    wait_for(
        lambda: reconciler.free_mb()[index : index + 1] == (mb,),
        f"{mb} MB free on accelerator {index}",
    )


@then('the keeper reports "{model}" with {mb:d} MB on accelerator {index:d}')
def check_layout(context: Context, model: str, mb: int, index: int) -> None:
    reconciler = context.memory.reconciler
    wait_for(
        lambda: (reconciler.layout(), reconciler.held_mb()) == ({model: (index,)}, {model: mb}),
        f"{model} with {mb} MB on accelerator {index}",
    )


@when('the keeper\'s serving side has {count:d} request on "{resident}"')
@when('the keeper\'s serving side has {count:d} requests on "{resident}"')
def set_request_count(context: Context, count: int, resident: str) -> None:
    context.memory.serving.requests[resident] = count


@then('the keeper has "{wanted}" usable for {ms:d} ms')
@then('the keeper has "" usable for {ms:d} ms')
def check_stays_usable(context: Context, ms: int, wanted: str = "") -> None:
    reconciler = context.memory.reconciler
    expected = tuple(split_names(wanted))
    wait_for(lambda: reconciler.ready_residents() == expected, f"{wanted!r} is usable")
    assert_holds(
        lambda: reconciler.ready_residents() == expected, ms, f"{wanted!r} did not stay usable"
    )


@then("the keeper before it gives no more orders")
def check_fenced_out(context: Context) -> None:
    previous = context.memory.reconcilers[0].reconciler
    wait_for(lambda: previous.sender.fenced_out, "the previous reconciler stops sending orders")


@then("the keeper's ledger agrees with a naive replay of {count:d} random histories")
def check_ledger(context: Context, count: int) -> None:
    check_histories(count)
