"""Steps for the replacement of instances."""

import time
from http.client import HTTPConnection

from behave import given
from behave import then
from behave import when
from behave.runner import Context

from harness.caller import chat_call
from harness.caller import service_call
from harness.control import CALL_TIMEOUT_S
from harness.control import wait_for
from harness.drain_world import Traffic
from harness.site import QUICK_PLANNER
from harness.site import REGION
from harness.site import Site
from harness.site import model
from mimosaspur_state import keys
from mimosaspur_state.codes import ResultCode

LONG_TOKENS = 1000
SHORT_DEADLINE_MS = 700
HTTP_OK = 200
HTTP_GATEWAY_TIMEOUT = 504
CONCURRENT_CALLS = 4
LONG_WATCH_MS = 20_000
IDLE_TIMEOUT_MS = 500
ENGINES = ("model-0", "model-1", "model-2")


@when('the process beside the target of "{name}" is stopped and started again')
def replace_process(context: Context, name: str) -> None:
    site: Site = context.site
    context.orders = {engine: len(site.engine_log(engine)["orders"]) for engine in ENGINES}
    target = next(iter(site.replicas(name))).split()[0]
    site.terminate(target)
    assert site.daemons[target].started.process.wait(20) == 0
    site.restart(target)
    context.replaced = target


@given('requests for "{name}" run through "{entry}" alone')
def run_through_one_entry(context: Context, name: str, entry: str) -> None:
    context.traffic = [Traffic(context.site.daemons[entry].public, name).start()]


@when('"{name}" is stopped and started again at its address')
def replace_entry(context: Context, name: str) -> None:
    site: Site = context.site
    host, _, port = site.daemons[name].public.rpartition(":")
    kept = HTTPConnection(host, int(port), timeout=CALL_TIMEOUT_S)
    kept.request("GET", "/healthz")
    assert kept.getresponse().read()
    # The entry closes first, which leaves its address in TIME_WAIT.
    site.terminate(name)
    assert site.daemons[name].started.process.wait(20) == 0
    site.restart(name)


@then('"{name}" is served through both drain entries again')
def check_served(context: Context, name: str) -> None:
    context.site.wait_until_served("entry-0", name)
    context.site.wait_until_served("entry-1", name)


@then("no engine was given an order for the replacement")
def check_no_orders(context: Context) -> None:
    site: Site = context.site
    for engine in ENGINES:
        orders = [order["kind"] for order in site.engine_log(engine)["orders"]]
        changes = [kind for kind in orders[context.orders[engine] :] if kind != "fence"]
        assert not changes, (engine, changes)


@then('"{name}" runs new work for "{service}"')
def check_runs_new_work(context: Context, name: str, service: str) -> None:
    site: Site = context.site
    # The platform no longer lists the instance as leaving.
    site.list_instance(site.daemons[name])
    address = site.daemons["entry-0"].public
    before = len(site.service_log(name)["runs"])

    def runs() -> bool:
        # Sequential calls would all go to the target in the entry's failure domain.
        calls = [service_call(address, service, "again") for _ in range(CONCURRENT_CALLS)]
        replies = [sent.wait() for sent in calls]
        assert all(reply.status == HTTP_OK for reply in replies), [reply.body for reply in replies]
        return len(site.service_log(name)["runs"]) > before

    wait_for(runs, f"{name} runs {service}")


@when('a caller gives "{name}" less time than its answer takes')
def call_with_short_deadline(context: Context, name: str) -> None:
    address = context.site.daemons["entry-0"].public
    headers = {"X-Deadline-Ms": str(SHORT_DEADLINE_MS)}
    call = chat_call(address, name, "x", max_tokens=LONG_TOKENS, headers=headers)
    context.reply = call.wait()


@then("the caller is told that the deadline passed")
def check_deadline(context: Context) -> None:
    reply = context.reply
    assert reply.status == HTTP_GATEWAY_TIMEOUT, (reply.status, reply.body)
    error = reply.error()
    assert error["code"] == ResultCode.DEADLINE_PASSED, error
    assert error["outcome"] == "unknown", error


@given("an entry that closes connections that rest")
def start_entry_with_idle_timeout(context: Context) -> None:
    site: Site = context.site
    site.entry("entry-2", peer_idle_ms=IDLE_TIMEOUT_MS)
    site.wait_until_served("entry-2", "notes", "dispatch")


@when('the model "{name}" is rolled in while its connections rest')
def roll_out_model(context: Context, name: str) -> None:
    site: Site = context.site
    closed = site.daemons["entry-2"].started

    def closed_as_idle() -> bool:
        return "Closed an idle connection." in closed.error_text()

    wait_for(closed_as_idle, "a connection is closed as idle")
    models = [model("notes", replicas=2), model("dispatch"), model(name, replicas=3)]
    site.roll("second", models)
    wait_for(lambda: list(site.replicas(name).values()).count("ready") == 3, f"{name} is ready")


@then('every target\'s entry serves "{name}"')
def check_served_by_every_target(context: Context, name: str) -> None:
    site: Site = context.site
    for _ in ENGINES:
        reply = chat_call(site.daemons["entry-2"].public, name, "x").wait()
        assert reply.is_complete(), (reply.status, reply.body)


@given("an entry in the middle of a long watch")
def start_watching_entry(context: Context) -> None:
    site: Site = context.site
    platform = {"object_api": site.api, "instance_list": site.api, "watch_ms": LONG_WATCH_MS}
    site.entry("entry-2", settings={"platform": platform})
    site.wait_until_served("entry-2", "notes")


@when("the watching entry is stopped")
def stop_watching_entry(context: Context) -> None:
    context.stopped_at = time.monotonic()
    context.site.terminate("entry-2")


@then("it has ended within {seconds:d} s")
def check_ended(context: Context, seconds: int) -> None:
    remaining_s = context.stopped_at + seconds - time.monotonic()
    assert context.site.daemons["entry-2"].started.process.wait(remaining_s) == 0


@given("a planner that forgets instances after {seconds:d} s")
def start_planner_with_short_expiry(context: Context, seconds: int) -> None:
    site: Site = context.site
    planner = {**QUICK_PLANNER, "forget_ms": seconds * 1000}
    site.entry("entry-2", settings={"planner": planner})
    for name in ("entry-0", "entry-1"):
        site.kill(name)


@when('the process beside the target of "{name}" is killed for good')
def kill_permanently(context: Context, name: str) -> None:
    site: Site = context.site
    context.gone = next(iter(site.replicas(name))).split()[0]
    site.kill(context.gone)


@then("its status is deleted and the others' are kept")
def check_status_deleted(context: Context) -> None:
    store = context.site.store()
    wait_for(lambda: store.get(keys.status(REGION, context.gone)) is None, "the status is deleted")
    kept = {item.value["instance"] for item in store.list(keys.statuses(REGION)).objects}
    assert kept == set(ENGINES) - {context.gone}, kept
