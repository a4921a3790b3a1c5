"""Steps for drain orders and planned stops."""

import os
import subprocess
import time
from functools import partial

from behave import given
from behave import then
from behave import when
from behave.runner import Context

from harness.caller import chat_call
from harness.caller import service_call
from harness.control import add_fault
from harness.control import call
from harness.control import clear_faults
from harness.control import run_concurrently
from harness.control import wait_for
from harness.drain_world import Traffic
from harness.drain_world import get_json
from harness.drain_world import run_count
from harness.drain_world import service_targets
from harness.drain_world import targets_holding
from harness.drain_world import wait_until_drained
from harness.operators import COMMAND
from harness.site import REGION
from harness.site import model
from harness.site import start_scenario_site
from mimosaspur_standins.answers import expected_answer
from mimosaspur_state import keys
from mimosaspur_state.records import DrainOrder

ENTRIES = ("entry-0", "entry-1")
TARGETS = ("model-0", "model-1", "model-2")
STREAM_TOKENS = 300
TOKEN_MS = 10
COMMAND_TIMEOUT_S = 20.0
MIN_EXTRA_REQUESTS = 30
# Callers must be kept waiting for longer than a process takes to restart on a busy machine.
WAIT_READY_MS = 15_000


@given('a drain site of three model targets with "notes" twice and "dispatch" once')
def start_drain_site(context: Context) -> None:
    site = start_scenario_site(context)
    options = ("--token-ms", str(TOKEN_MS))
    for name in TARGETS:
        site.model_target(name, relay=True, engine_options=options)
    for name in ENTRIES:
        site.entry(name, wait_ready_ms=WAIT_READY_MS)
    site.wait_for_targets()
    site.roll("first", [model("notes", replicas=2), model("dispatch")])
    for name in ENTRIES:
        site.wait_until_served(name, "notes", "dispatch")
    wait_for(lambda: len(targets_holding(site, "notes", "ready")) == 2, "two replicas of notes")


@given('a drain site with the service "{service}" on {targets}')
def start_service_site(context: Context, service: str, targets: str) -> None:
    site = start_scenario_site(context)
    for number in range(1 if targets == "one target" else 2):
        site.service_target(f"carrier-{number}", service)
    site.entry("entry-0")
    site.wait_for_targets()
    site.roll("first", [], (service,))
    address = site.daemons["entry-0"].public
    wait_for(lambda: service_call(address, service, "x").wait().status == 200, "the service")
    expected = sum(1 for name in site.daemons if name.startswith("carrier"))
    wait_for(lambda: len(service_targets(site, service)) == expected, "all carriers registered")
    if "died" in targets:
        site.kill("carrier-1")


@given('requests for "{name}" run through both drain entries')
def run_requests(context: Context, name: str) -> None:
    site = context.site
    context.traffic = [Traffic(site.daemons[entry].public, name).start() for entry in ENTRIES]


@given('requests for the service "{service}" run')
def run_service_requests(context: Context, service: str) -> None:
    address = context.site.daemons["entry-0"].public
    context.traffic = [Traffic(address, service, service=True).start()]


@given("the drain site's instance list lags by {seconds:d} s")
def delay_instance_list(context: Context, seconds: int) -> None:
    site = context.site
    call(site.api, "POST", "/lag", {"lag_ms": seconds * 1000})
    # The stand-in returns an old list, so wait until it includes the start.
    wait_for(
        lambda: len(call(site.api, "GET", "/instances")["instances"]) == len(site.daemons),
        "the lagging list shows all",
    )
    for name in ENTRIES:
        site.wait_until_served(name, "notes", "dispatch")


@given("no drain target's engine hears of loads")
def lose_loads(context: Context) -> None:
    for engine in context.site.engines.values():
        add_fault(engine.address, "drop", match="POST /admin/orders")


@given('a stream of "{name}" is in flight at its target')
def begin_stream(context: Context, name: str) -> None:
    site = context.site
    address = site.daemons["entry-0"].public
    context.stream_name = name
    context.stream = chat_call(address, name, "long", max_tokens=STREAM_TOKENS, stream=True)
    wait_for(lambda: b"data" in context.stream.reply.body, "the stream begins")
    request_id = context.stream.reply.headers["x-request-id"]
    logs = {target: site.engine_log(target)["runs"] for target in targets_holding(site, name)}
    context.stream_target = next(
        target for target, seen in logs.items() if any(key.startswith(request_id) for key in seen)
    )


@when('an operator orders a target of "{name}" to leave by the {means}, {fault}')
def order_holder(context: Context, name: str, means: str, fault: str) -> None:
    site = context.site
    holding = sorted(targets_holding(site, name, "ready"))
    stream = getattr(context, "stream_target", "")
    target = stream if stream in holding else holding[0]
    if fault == "orders to engines get lost":
        for engine in site.engines.values():
            add_fault(engine.address, "drop", match="POST /admin/orders", count=2)
    if fault == "its connections are silent":
        site.relays[target].mode("freeze")
    _order(context, target, by_command=means == "command")
    if fault == "the object API goes down":
        add_fault(site.api, "error", status=503)


@when('an operator orders "{name}" to leave')
def order_named(context: Context, name: str) -> None:
    _order(context, name)


@when("the operator takes the order back")
def withdraw_order(context: Context) -> None:
    store, key = context.site.store(), keys.drain(context.drained)
    found = store.get(key)
    assert found
    store.delete(key, found.version)


@when('both targets of "{name}" are ordered to leave at the same moment')
def order_both(context: Context, name: str) -> None:
    context.leaving = sorted(targets_holding(context.site, name, "ready"))
    assert len(context.leaving) == 2, context.leaving
    run_concurrently(*(partial(_order, context, target) for target in context.leaving))


@when('"{name}" registers for "{service}"')
def register_carrier(context: Context, name: str, service: str) -> None:
    context.site.service_target(name, service)
    wait_for(lambda: name in service_targets(context.site, service), f"{name} registers")
    context.ordered_at = time.monotonic()


@then("{seconds:d} s after the order the target gets no new work")
def check_no_new_work(context: Context, seconds: int) -> None:
    site, target = context.site, context.drained
    end = context.ordered_at + seconds
    # The scenario bounds the time since the order after which no new work may arrive.
    wait_for(lambda: time.monotonic() >= end, "the order's age", timeout_s=seconds + 1)
    before = run_count(site, target)
    sent = [traffic.sent for traffic in context.traffic]
    for traffic, sent_before in zip(context.traffic, sent, strict=True):
        wait_for(lambda t=traffic, h=sent_before: t.sent > h + MIN_EXTRA_REQUESTS, "more requests")  # type: ignore[misc]
    after = run_count(site, target)
    assert after == before, f"{after - before} requests ran on {target} after {seconds} s"


@then("the target has left the drain site")
def check_left(context: Context) -> None:
    site, target = context.site, context.drained
    wait_until_drained(site, target)
    status = site.store().get(keys.status(REGION, target))
    assert status and status.value["draining"], status


@then("the target has left the drain site once {what}")
def check_left_after_recovery(context: Context, what: str) -> None:
    for address in (context.site.api, *(e.address for e in context.site.engines.values())):
        clear_faults(address)
    check_left(context)


@then('the third target holds "{name}" before either lets go')
def check_third_target(context: Context, name: str) -> None:
    site = context.site
    third = next(target for target in TARGETS if target not in context.leaving)

    def let_go() -> bool:
        holding = targets_holding(site, name)
        if not set(context.leaving) <= holding:
            assert third in targets_holding(site, name, "ready"), site.replicas(name)
        return not set(context.leaving) & holding

    wait_for(let_go, "both removed the model")


@then('the target still serves "{name}" and gets new work')
def check_stays_in_service(context: Context, name: str) -> None:
    site, target = context.site, context.drained
    assert targets_holding(site, name) == {target}, site.replicas(name)
    for engine in site.engines.values():
        clear_faults(engine.address)
    before = run_count(site, target)
    wait_for(lambda: run_count(site, target) > before, "new work at the target")


@then("no request of the drain failed")
def check_no_failure(context: Context) -> None:
    for traffic in context.traffic:
        traffic.stop()
        assert traffic.sent > 0
        assert not traffic.failures, (traffic.sent, traffic.failures[:3])


@then("the stream in flight ended whole")
def check_stream(context: Context) -> None:
    reply = context.stream.wait()
    assert reply.is_complete(), (reply.status, reply.broken, reply.body[-200:])
    wanted = expected_answer(f"{context.stream_name}@1", "long", STREAM_TOKENS)
    assert reply.text() == wanted


@then('"{name}" tells the balancer that it is {state}')
def check_readiness(context: Context, name: str, state: str) -> None:
    wanted = 200 if state == "ready" else 503
    address = context.site.daemons[name].public
    wait_for(lambda: get_json(address, "/readyz")[0] == wanted, f"{name} is {state}", timeout_s=3)


@then('"{name}" still serves "{service}" {seconds:d} s later')
def check_still_served(context: Context, name: str, service: str, seconds: int) -> None:
    end = context.ordered_at + seconds
    wait_for(lambda: time.monotonic() >= end, "the order's age", timeout_s=seconds + 1)
    assert name in service_targets(context.site, service), "it deregistered itself"
    before = run_count(context.site, name)
    wait_for(lambda: run_count(context.site, name) > before, f"new work at {name}", timeout_s=3)


def _order(context: Context, target: str, *, by_command: bool = False) -> None:
    site = context.site
    context.drained = target
    if by_command:
        command = [*COMMAND, "instance", "drain", target, "--reason", "new host"]
        environment = {"MIMOSASPUR_OBJECT_API": site.api, "MIMOSASPUR_OPERATOR": "ana"}
        completed = subprocess.run(
            command,
            env={**os.environ, **environment},
            capture_output=True,
            timeout=COMMAND_TIMEOUT_S,
            check=False,
        )
        assert completed.returncode == 0, completed.stderr
    else:
        site.store().create(keys.drain(target), DrainOrder("ana", "new host", 0).to_value())
    context.ordered_at = time.monotonic()
    site.list_instance(site.daemons[target], state="leaving")
