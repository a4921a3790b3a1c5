"""Steps for spreading bundles to all processes during outages."""

import time
from typing import Any

from behave import given
from behave import then
from behave import when
from behave.runner import Context

from harness.bundles_world import ENTRIES
from harness.bundles_world import PROCESSES
from harness.bundles_world import SETTLE_REQUESTS
from harness.bundles_world import TARGETS
from harness.bundles_world import await_generation
from harness.bundles_world import await_ready
from harness.bundles_world import roll_notes
from harness.caller import chat_call
from harness.control import add_fault
from harness.control import call
from harness.control import wait_for
from harness.drain_world import MAX_TOKENS
from harness.drain_world import Traffic
from harness.drain_world import read_generation
from harness.site import Site
from harness.site import start_scenario_site
from mimosaspur_standins.answers import expected_answer

IDLE_MS = 300


@given('a bundle site of two targets and two entries that serves version 1 of "notes"')
def start_bundle_site(context: Context) -> None:
    site = start_scenario_site(context)
    # Each process has its own relay to the object API, so that single ones can be cut.
    for name in TARGETS:
        api = site.relay(f"api of {name}", site.api).address
        site.model_target(name, relay=True, api=api)
    for name in ENTRIES:
        api = site.relay(f"api of {name}", site.api).address
        # Idle connections close early: the bundle must not depend on an open one.
        site.entry(name, api=api, peer_idle_ms=IDLE_MS)
    site.wait_for_targets()
    roll_notes(context, 1)
    for name in ENTRIES:
        site.wait_until_served(name, "notes")
    await_generation(context, PROCESSES, 1)


@given('only "{first}" still reaches the object API')
def cut_relays(context: Context, first: str) -> None:
    context.first = first
    for name in PROCESSES:
        if name != first:
            context.site.relays[f"api of {name}"].mode("refuse")


@given("the instance list of the bundle site is down and all connections are idle")
def break_list(context: Context) -> None:
    site = context.site
    add_fault(site.api, "error", match="/instances", status=503)

    def idle() -> bool:
        return all(call(site.relays[name].control, "GET", "/mode")["open"] == 0 for name in TARGETS)

    wait_for(idle, "no connection to a target")


@given('"{name}" is frozen')
def freeze(context: Context, name: str) -> None:
    context.site.pause(name)


@given('requests for "notes" run through both bundle entries')
def run_requests(context: Context) -> None:
    site = context.site
    context.bundle_traffic = [
        Traffic(site.daemons[name].public, "notes").start() for name in ENTRIES
    ]


@when('version 2 of "notes" is rolled and, once "{first}" has it, {outage}')
def roll_and_break(context: Context, first: str, outage: str) -> None:
    roll_notes(context, 2)
    await_generation(context, (first,), 2)
    assert outage == "the object API goes down", outage
    break_api(context)
    for name in PROCESSES:
        context.site.relays[f"api of {name}"].mode("pass")


@when("the object API goes down under the bundle site")
def break_api(context: Context) -> None:
    for path in ("/objects", "/watch"):
        add_fault(context.site.api, "error", match=path, status=503)


@when('the entry "{name}" starts')
def start_entry(context: Context, name: str) -> None:
    context.site.entry(name)


@when("every target's process is replaced")
def replace_targets(context: Context) -> None:
    context.orders = {name: _orders(context.site, name) for name in TARGETS}
    for name in TARGETS:
        context.site.kill(name)
        context.site.restart(name)


@when('versions 2 and 3 of "notes" are rolled and ready')
def roll_twice(context: Context) -> None:
    for version in (2, 3):
        roll_notes(context, version)
        await_ready(context.site, version)


@when('"{name}" wakes up')
def wake_up(context: Context, name: str) -> None:
    context.site.resume(name)


@when('version {version:d} of "notes" is rolled')
def roll_version(context: Context, version: int) -> None:
    roll_notes(context, version)
    context.rolled_at = time.monotonic()


@then("every other process has the new generation too")
def check_spread(context: Context) -> None:
    await_generation(context, PROCESSES, 2)


@then("every process has the generation {wanted:d}")
def check_everyone(context: Context, wanted: int) -> None:
    await_generation(context, PROCESSES, wanted)
    assert all(read_generation(context.site, name) == wanted for name in PROCESSES)


@then("every process has the new generation within {seconds:d} s of the roll")
def check_in_time(context: Context, seconds: int) -> None:
    await_generation(context, PROCESSES, 2)
    took_s = time.monotonic() - context.rolled_at
    print(f"measured: in force everywhere {took_s * 1000:.0f} ms after the roll")
    assert took_s < seconds, f"{took_s} s"


@then('"notes" is still answered through both entries')
def check_answered(context: Context) -> None:
    for name in ENTRIES:
        context.site.wait_until_served(name, "notes")


@then('"{entry}" answers "notes" by version {version:d} in generation {wanted:d}')
def check_entry(context: Context, entry: str, version: int, wanted: int) -> None:
    context.site.wait_until_served(entry, "notes")
    assert _answering(context.site, entry) == version
    assert read_generation(context.site, entry) == wanted


@then('both entries answer "notes" by version {version:d}')
def check_both(context: Context, version: int) -> None:
    for name in ENTRIES:
        context.site.wait_until_served(name, "notes")
        assert _answering(context.site, name) == version


@then("no engine has got an order since")
def check_orders(context: Context) -> None:
    assert context.orders == {name: _orders(context.site, name) for name in TARGETS}


@then('requests through "{entry}" are answered by version {version:d} alone')
def check_only(context: Context, entry: str, version: int) -> None:
    traffic = Traffic(context.site.daemons[entry].public, "notes").start()
    wait_for(lambda: len(traffic.versions) > SETTLE_REQUESTS, "answers")
    traffic.stop()
    assert set(traffic.versions) == {version}, traffic.versions


@then("the requests are answered by version 1 and from then on only by version 2")
def check_switch(context: Context) -> None:
    for traffic in context.bundle_traffic:
        wait_for(lambda t=traffic: t.versions[-SETTLE_REQUESTS:] == [2] * SETTLE_REQUESTS, "2 only")  # type: ignore[misc]
        assert set(traffic.versions) == {1, 2}, traffic.versions
        assert traffic.versions == sorted(traffic.versions), traffic.versions


@then("no request of the bundle site failed")
def check_no_failure(context: Context) -> None:
    for traffic in context.bundle_traffic:
        traffic.stop()
        assert not traffic.failures, (traffic.sent, traffic.failures[:3])


def _answering(site: Site, entry: str) -> int | None:
    address = site.daemons[entry].public
    reply = chat_call(address, "notes", "which", max_tokens=MAX_TOKENS).wait()
    for version in range(30):
        if reply.is_complete() and reply.text() == expected_answer(
            f"notes@{version}", "which", MAX_TOKENS
        ):
            return version
    return None


def _orders(site: Site, name: str) -> Any:
    state = call(site.engines[name].address, "GET", "/admin/state")
    return state["engine_id"], state["orders"], state["residents"]
