"""Steps for faults of the object API and failover of the planner."""

import time
from functools import partial

from behave import given
from behave import then
from behave import when
from behave.runner import Context

from harness.control import add_fault
from harness.control import call
from harness.control import clear_faults
from harness.control import injected_fault_count
from harness.control import wait_for
from harness.reach_world import Sampler
from harness.reach_world import engine_logs
from harness.reach_world import is_roll_complete
from harness.reach_world import parse_models
from harness.reach_world import residents_by_name
from harness.reach_world import served_names
from harness.site import REGION
from harness.site import Site
from harness.site import start_scenario_site
from mimosaspur_state import keys

SLOW_API_DELAY_MS = 800
LATE_WRITE_DELAY_MS = 4500
DEFAULT_WATCH_TIMEOUT_MS = 10_000
DEFAULT_STATUS_INTERVAL_MS = 5000
CALL_KINDS = ("read", "write", "watch")


@given('a platform site with two entries that serves "{bundle}"')
def start_platform_site(context: Context, bundle: str) -> None:
    site = start_scenario_site(context)
    for number in range(2):
        site.model_target(f"model-{number}")
    for number in range(2):
        site.entry(f"entry-{number}")
    site.wait_for_targets()
    site.roll("first", parse_models(bundle))
    context.bundle = bundle
    context.names = served_names(bundle)
    for name in ("entry-0", "entry-1"):
        site.wait_until_served(name, *context.names)
    wait_for(partial(is_roll_complete, site, bundle), "the first bundle's replicas")


@when("the platform's API is {fault} for {seconds:d} s while every name is sampled")
def break_api(context: Context, fault: str, seconds: int) -> None:
    samplers = _start_samplers(context, context.bundle)
    add_fault(context.site.api, fault)
    time.sleep(seconds)
    assert injected_fault_count(context.site.api) > 0
    clear_faults(context.site.api)
    _stop_samplers(context, samplers)


@when("the platform's API is slow")
def slow_api(context: Context) -> None:
    add_fault(context.site.api, "slow", delay_ms=SLOW_API_DELAY_MS)


@when('the platform site rolls "{bundle}" while every name is sampled')
def roll_sampled(context: Context, bundle: str) -> None:
    samplers = _start_samplers(context, bundle)
    roll_platform(context, bundle)
    site, rolled_at = context.site, time.monotonic()
    # Poll the engines: reads of the placement records are slowed down too.
    expected = set(residents_by_name(bundle).values())
    wait_for(lambda: _resident_ids(site) == expected, "the roll in a slow API", timeout_s=30)
    print(f"MEASURED slow roll done after {time.monotonic() - rolled_at:.1f} s")
    _stop_samplers(context, samplers)


@then("none of the platform samples failed")
def check_platform_samples(context: Context) -> None:
    for sampler in context.samplers:
        assert all(count > 10 for count in sampler.request_counts.values()), sampler.request_counts
        assert not sampler.failures, (sampler.entry, sampler.request_counts, sampler.failures[:5])


@when('the platform site rolls "{bundle}"')
def roll_platform(context: Context, bundle: str) -> None:
    context.rolled_at = time.monotonic()
    context.site.roll("second", parse_models(bundle))
    context.bundle = bundle


@then("the platform site holds just that within {bound:d} s")
def check_rolled(context: Context, bound: int) -> None:
    site = context.site
    is_rolled = partial(is_roll_complete, site, context.bundle)
    wait_for(is_rolled, f"{context.bundle}; {_resident_ids(site)}", timeout_s=bound)
    print(f"MEASURED rolled after {time.monotonic() - context.rolled_at:.1f} s")


@then('the platform site holds just "{bundle}" within {bound:d} s')
def check_holds(context: Context, bundle: str, bound: int) -> None:
    running = {
        name: engine
        for name, engine in context.site.engines.items()
        if engine.process.poll() is None
    }
    context.site.engines = running
    wait_for(partial(is_roll_complete, context.site, bundle), bundle, timeout_s=bound)


@when('the platform\'s API answers 429 to "{calls}" for {seconds:d} s')
def refuse_calls(context: Context, calls: str, seconds: int) -> None:
    site = context.site
    add_fault(site.api, "error", match=f" {calls}", status=429)
    _measure_call_rates(context, seconds)
    clear_faults(site.api)


@then("no platform caller made more than {bound:g} calls a second meanwhile")
def check_rates(context: Context, bound: float) -> None:
    print(f"MEASURED calls a second {context.rates}")
    over = {name: rate for name, rate in context.rates.items() if rate > bound}
    assert not over, over


@given("the platform site's daemons run on their default timing")
def use_default_timing(context: Context) -> None:
    site = context.site
    for name, daemon in site.daemons.items():
        settings = daemon.settings
        settings["platform"]["watch_ms"] = DEFAULT_WATCH_TIMEOUT_MS
        settings["planner"] = {}
        if daemon.role == "target":
            settings["target"]["status_ms"] = DEFAULT_STATUS_INTERVAL_MS
        site.kill(name)
        site.restart(name)
    for name in ("entry-0", "entry-1"):
        site.wait_until_served(name, *context.names)
    wait_for(
        lambda: _planner_holder(site) in site.daemons,
        "an entry holds the planner lease",
        timeout_s=15,
    )


@when("the platform site is idle for {seconds:d} s")
def stay_idle(context: Context, seconds: int) -> None:
    site = context.site
    # Wait until a killed holder's lease has expired and its successor has done its first list.
    for _ in range(2):
        wait_for(
            partial(_lease_renewed, site, _lease_version(site)),
            "a renewal of the planner lease",
            timeout_s=20,
        )
    context.planner = _planner_holder(site)
    _measure_call_rates(context, seconds)


@then(
    "a platform target made at most {target:g} calls a second, an entry {entry:g}, "
    "and the planning one {planner:g}"
)
def check_idle(context: Context, target: float, entry: float, planner: float) -> None:
    print(f"MEASURED calls a second {context.rates}, {context.planner} plans")
    for name, daemon in context.site.daemons.items():
        bound = target if daemon.role == "target" else entry
        bound = planner if name == context.planner else bound
        assert context.rates.get(name, 0) <= bound, (name, context.rates)


@when('the planning entry is paused with a late write while the site rolls "{bundle}"')
def pause_with_late_write(context: Context, bundle: str) -> None:
    site = context.site
    context.former_planner = _planner_holder(site)
    add_fault(
        site.api, "late", match="PUT /objects/placement", count=1, delay_ms=LATE_WRITE_DELAY_MS
    )
    roll_platform(context, bundle)
    wait_for(lambda: injected_fault_count(site.api) == 1, "a write of the planning entry")
    site.pause(context.former_planner)
    context.lost_at = time.monotonic()


@when('the planning entry is killed while the site rolls "{bundle}"')
def kill_planning(context: Context, bundle: str) -> None:
    site = context.site
    context.former_planner = _planner_holder(site)
    site.kill(context.former_planner)
    context.lost_at = time.monotonic()
    roll_platform(context, bundle)


@when('the planning entry is paused while the holder of "{name}" is killed with its engine')
def pause_and_kill(context: Context, name: str) -> None:
    site = context.site
    context.former_planner = _planner_holder(site)
    site.pause(context.former_planner)
    context.lost_at = time.monotonic()
    (replica,) = site.replicas(name)
    target = replica.split()[0]
    site.kill(target)
    site.kill_engine(target)
    context.entry = next(it for it in ("entry-0", "entry-1") if it != context.former_planner)


@then("another entry plans within {bound:d} s")
def check_successor(context: Context, bound: int) -> None:
    site = context.site
    wait_for(
        lambda: _planner_holder(site) != context.former_planner,
        "another entry holds the planner lease",
        timeout_s=bound,
    )
    print(f"MEASURED another plans after {time.monotonic() - context.lost_at:.1f} s")


@when("the planning entry that was paused goes on")
def resume_planning(context: Context) -> None:
    context.versions = _placement_versions(context)
    context.site.resume(context.former_planner)


@then("its late writes changed nothing and each resident was loaded once")
def check_late_write(context: Context) -> None:
    site = context.site
    remaining_s = context.lost_at + LATE_WRITE_DELAY_MS / 1000 + 1.0 - time.monotonic()
    # Check after the delayed write has arrived: it must not have changed anything.
    time.sleep(max(1.0, remaining_s))
    assert is_roll_complete(site, context.bundle), (context.bundle, _resident_ids(site))
    assert _placement_versions(context) == context.versions, (context.versions, site.replicas("a"))
    loaded = [
        order["id"]
        for log in engine_logs(site).values()
        for order in log["orders"]
        if order["kind"] == "load"
    ]
    assert sorted(loaded) == ["a@1", "a@2", "b@1"], loaded


def _planner_holder(site: Site) -> str:
    lease = site.store().get(keys.planner_lease(REGION))
    return str(lease.value["holder"]) if lease else ""


def _placement_versions(context: Context) -> dict[str, int]:
    store = context.site.store()
    records = {name: store.get(keys.placement(REGION, name)) for name in context.names}
    return {name: item.version for name, item in records.items() if item}


def _lease_version(site: Site) -> int:
    lease = site.store().get(keys.planner_lease(REGION))
    return lease.version if lease else 0


def _lease_renewed(site: Site, version: int) -> bool:
    return _lease_version(site) > version


def _resident_ids(site: Site) -> set[str]:
    ids = set()
    for engine in site.engines.values():
        residents = call(engine.address, "GET", "/admin/state")["residents"]
        ids |= {item["id"] for item in residents}
    return ids


def _start_samplers(context: Context, bundle: str) -> list[Sampler]:
    first, second = residents_by_name(context.bundle), residents_by_name(bundle)
    expected = {name: {first[name], second[name]} for name in second}
    samplers = [Sampler(context.site, entry, expected) for entry in ("entry-0", "entry-1")]
    for sampler in samplers:
        sampler.start()
    return samplers


def _stop_samplers(context: Context, samplers: list[Sampler]) -> None:
    for sampler in samplers:
        sampler.stop()
    context.samplers = samplers


def _measure_call_rates(context: Context, seconds: int) -> None:
    site = context.site
    call(site.api, "DELETE", "/counts")
    time.sleep(seconds)
    calls_by_caller = call(site.api, "GET", "/counts")["by_caller"]
    print(f"MEASURED calls {calls_by_caller}")
    context.rates = {
        name: round(sum(kinds.get(kind, 0) for kind in CALL_KINDS) / seconds, 2)
        for name, kinds in calls_by_caller.items()
        if name in site.daemons
    }
