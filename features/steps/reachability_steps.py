"""Steps for reachability during rolls and losses, and for the weight store's limits."""

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
from harness.site import QUICK_PLANNER
from harness.site import start_scenario_site

MS_PER_SECOND = 1000
ROLL_TIMEOUT_S = 20.0
OUTAGE_DURATION_S = 4.0
MAX_ORDER_DELAY_MS = 1800
ORDER_DELAY_MS = 1500
MIN_SAMPLES = 5
LOAD_DELAY_MS = 400


def start_reach_site(
    context: Context, engines: str, *, policy: str = "normal", rate: int = 50, at_once: int = 6
) -> None:
    """Start one entry and a target for each engine."""
    site = start_scenario_site(context)
    if at_once < 6:
        options = ("--loads-per-second", str(rate), "--at-once", str(at_once))
        slow = (*options, "--ms-per-gb", "5000")
        site.weights = context.processes.start_stand_in("weightstore", *slow).address
    for number, mb in enumerate(engines.split(", ")):
        site.model_target(f"model-{number}", engine_options=("--capacity-mb", mb))
    limits = {"loads_per_second": rate, "at_once": at_once}
    settings = {"policy": policy, "weight_store": limits, "planner": QUICK_PLANNER}
    site.entry("entry-0", settings=settings)
    site.wait_for_targets()


@given("a reach site with engines of {engines} MB and the policy {policy}")
def start_with_policy(context: Context, engines: str, policy: str) -> None:
    start_reach_site(context, engines, policy=policy)


@given("a reach site with engines of {engines} MB, {rate:d} loads a second and {at_once:d} at once")
def start_with_limits(context: Context, engines: str, rate: int, at_once: int) -> None:
    start_reach_site(context, engines, rate=rate, at_once=at_once)
    context.at_once = at_once


@given("a reach site of two {mb:d} MB engines that ignore fencing tokens")
def start_ignoring(context: Context, mb: int) -> None:
    site = start_scenario_site(context)
    for number in range(2):
        options = ("--capacity-mb", str(mb), "--ignore-fencing")
        site.model_target(
            f"model-{number}",
            engine_options=options,
            checks_fencing=False,
            longest_order_delay_ms=MAX_ORDER_DELAY_MS,
        )
    site.entry("entry-0")
    site.wait_for_targets()


@given('the reach site serves "{bundle}"')
def serve_bundle(context: Context, bundle: str) -> None:
    context.site.roll("first", parse_models(bundle))
    context.names = served_names(bundle)
    context.bundle = bundle
    context.site.wait_until_served("entry-0", *context.names)


@when('every name is sampled while the reach site rolls "{bundle}"')
def sample_a_roll(context: Context, bundle: str) -> None:
    site = context.site
    first, second = residents_by_name(context.bundle), residents_by_name(bundle)
    # A name that only the new bundle has can't answer before it is loaded.
    may_be = {name: {first[name], each} for name, each in second.items() if name in first}
    sampler = Sampler(site, "entry-0", may_be)
    context.sampler = sampler
    # Loads are slowed down so that samples would reveal a gap.
    add_fault(site.weights, "slow", match="/weights/", delay_ms=LOAD_DELAY_MS)
    sampler.start()
    site.roll("second", parse_models(bundle))
    try:
        wait_for(
            partial(is_roll_complete, site, bundle), "the roll's end", timeout_s=ROLL_TIMEOUT_S
        )
        enough = partial(sampler.all_counts_exceed, MIN_SAMPLES)
        wait_for(enough, "samples of every name")
    finally:
        sampler.stop()


@then("{failures} of the reach samples failed")
def check_samples(context: Context, failures: str) -> None:
    sampler = context.sampler
    failed = (sampler.request_counts, len(sampler.failures), sampler.failures[:5])
    assert bool(sampler.failures) == (failures == "some"), failed


@then("no reach engine was overcommitted")
def check_memory(context: Context) -> None:
    logs = engine_logs(context.site)
    found = {name: log["max_used_mb"] for name, log in logs.items() if log["overcommitted"]}
    assert not found, found


@when('the reach site\'s holder of "{name}" suffers {loss}')
def lose_holder(context: Context, name: str, loss: str) -> None:
    site = context.site
    (found,) = site.replicas(name)
    target = found.split()[0]
    context.lost_at = time.monotonic()
    outage = "outage" in loss
    if outage:
        add_fault(site.api, "error", match="/objects")
        add_fault(site.api, "error", match="/watch")
    if loss.startswith(("its process", "both")):
        site.kill(target)
    if loss.startswith(("its engine", "both")):
        site.kill_engine(target)
    if loss.startswith(("its engine restarted", "both restarted")):
        address = site.engines[target].address
        site.engine(target, address=address)
    if loss.startswith(("its process restarted", "both restarted")):
        site.restart(target)
    if outage:
        time.sleep(OUTAGE_DURATION_S)
        clear_faults(site.api)


@then("the reach site serves all names again within {bound:d} s")
def check_served_again(context: Context, bound: int) -> None:
    site = context.site
    entry = getattr(context, "entry", "entry-0")
    for name in context.names:
        left_s = context.lost_at + bound - time.monotonic()
        what = f"{name} after {bound} s; records {site.replicas(name)}"
        wait_for(partial(site.serves, entry, name), what, timeout_s=left_s)
    print(f"MEASURED served again after {time.monotonic() - context.lost_at:.1f} s")


@when("the reach site loses the holders in one failure domain at once")
def lose_domain(context: Context) -> None:
    site = context.site
    lost = ("model-0", "model-1")
    held = {name: site.replicas(name) for name in context.names}
    context.lost = [
        name for name, found in held.items() if any(key.split()[0] in lost for key in found)
    ]
    context.loads_before = {name: len(site.engine_log(name)["orders"]) for name in site.engines}
    for target in lost:
        site.kill(target)
        site.kill_engine(target)
    context.lost_at = time.monotonic()


@then("the reach site's loads followed priority, {at_once:d} at once")
def check_priority(context: Context, at_once: int) -> None:
    orders = []
    for name, log in engine_logs(context.site).items():
        orders += log["orders"][context.loads_before[name] :]
    orders = sorted((it for it in orders if it["kind"] == "load"), key=lambda it: it["at_ms"])
    loaded = [order["id"].partition("@")[0] for order in orders]
    # Names sort in order of priority; loads placed together may swap places.
    ranks = [sorted(context.lost).index(name) for name in loaded]
    assert len(ranks) > at_once, (context.lost, loaded)
    assert all(abs(rank - place) < at_once for place, rank in enumerate(ranks)), loaded


@then("the weight store refused none and had at most {at_once:d} at once")
def check_weight_store(context: Context, at_once: int) -> None:
    counts = call(context.site.weights, "GET", "/counts")
    assert counts["refused"] == 0 and counts["peak_at_once"] <= at_once, counts


@when('the reach site rolls "{bundle}"')
def roll_first(context: Context, bundle: str) -> None:
    context.lost_at = time.monotonic()
    context.names = served_names(bundle)
    context.site.roll("rolled bundle", parse_models(bundle))


@when('orders suffer {fault} in a reach roll of "{second}", {event}, and "{third}" follows')
def roll_with_bad_orders(context: Context, second: str, fault: str, event: str, third: str) -> None:
    site = context.site
    for engine in site.engines.values():
        match = "POST /admin/orders"
        add_fault(engine.address, fault, match=match, count=1, delay_ms=ORDER_DELAY_MS)
    site.roll("second", parse_models(second))
    for name, engine in site.engines.items():
        wait_for(partial(_fault_applied, engine.address, 1), f"{fault} fault on an order to {name}")
    if event == "its processes restart":
        for name in site.engines:
            site.kill(name)
    context.lost_at = time.monotonic()
    site.roll("third", parse_models(third))
    context.names = served_names(third)
    context.bundle = third
    if event == "its processes restart":
        for name in site.engines:
            site.restart(name)


@then("the reach engines took the late orders and hold just the bundle")
def check_late_orders(context: Context) -> None:
    time.sleep(max(0.0, context.lost_at + ORDER_DELAY_MS / MS_PER_SECOND - time.monotonic()))
    wait_for(partial(is_roll_complete, context.site, context.bundle), f"just {context.bundle}")


def _fault_applied(address: str, count: int) -> bool:
    return injected_fault_count(address) >= count
