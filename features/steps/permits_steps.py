"""Steps for permits to send requests to targets that name a limit."""

import time

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from hypothesis import given as given_any
from hypothesis import settings
from hypothesis import strategies

from harness.direct_fleet import ManualClock
from harness.permit_simulation import STEP_MS
from harness.permit_simulation import Event
from harness.permit_simulation import PermitSimulation
from mimosaspur_coordination.limits.permitissuer import PermitIssuer
from mimosaspur_coordination.limits.requestlimit import BadLimit
from mimosaspur_coordination.limits.requestlimit import LimitLedger
from mimosaspur_coordination.limits.requestlimit import RequestLimit
from mimosaspur_coordination.limits.requestlimit import parse_limit

MAX_EXAMPLES = 60
# Events are rare beside the steps, so that what they leave behind has time to show.
STEPS_PER_EVENT = 12
MAX_EVENTS = 40
REQUESTS_PER_S = 150.0
SEED = 7
NOT_RUN = " (not run)"


@then(
    "in any play of {entries:d} entries a target that takes {limit} a second "
    "gets at most {allowed:d} requests in any 4 s"
)
def check_any_play(context: Context, entries: int, limit: str, allowed: int) -> None:
    events = strategies.tuples(
        strategies.integers(0, entries - 1),
        strategies.sampled_from(list(Event)),
        strategies.integers(1, STEPS_PER_EVENT),
    )

    @settings(max_examples=MAX_EXAMPLES, derandomize=True, database=None, deadline=None)
    @given_any(strategies.lists(events, max_size=MAX_EVENTS), strategies.integers(0, 1000))
    def play(plan: list[tuple[int, Event, int]], seed: int) -> None:
        simulation = PermitSimulation(
            entries, limit_per_s=float(limit), requests_per_s=REQUESTS_PER_S, seed=seed
        )
        for number, event, steps in plan:
            simulation.step(number, event)
            for _ in range(steps):
                simulation.step()
        assert simulation.most_in_window() <= allowed, simulation.arrivals_ms

    play()


@when("{entries:d} entries have {per_s:d} requests a second for it for {seconds:d} s")
def remember_load(context: Context, entries: int, per_s: int, seconds: int) -> None:
    context.load = (entries, per_s, seconds)


@then(
    "a target that takes {limit} a second got at most the limit and one more in any 4 s, "
    "and at least {share} of its limit"
)
def play_load(context: Context, limit: str, share: str) -> None:
    entries, per_s, seconds = context.load
    per_target = float(limit)
    simulation = context.simulation = PermitSimulation(
        entries, limit_per_s=per_target, requests_per_s=per_s, seed=SEED, max_delay_ms=STEP_MS
    )
    for _ in range(seconds * 1000 // STEP_MS):
        simulation.step()
    most = simulation.most_in_window()
    used = len(simulation.arrivals_ms) / (per_target * seconds)
    print(f"MEASURED most in 4 s {most}, used {used:.2f}, rejected {simulation.rejected}")
    assert most <= 4 * per_target + 1, most
    assert used >= float(share), used


@then("no request waited longer than {ms:d} ms")
def check_waits(context: Context, ms: int) -> None:
    assert context.simulation.longest_wait_ms <= ms, context.simulation.longest_wait_ms


@then("issuing takes less than {us:d} us an entry's report")
def check_cost(context: Context, us: int) -> None:
    simulation = context.simulation
    issuer = simulation.issuer
    rounds = 50
    began_s = time.process_time()
    for _ in range(rounds):
        simulation.clock.ms += STEP_MS
        issuer.issue()
        issuer.waiting()
    cost_us = (time.process_time() - began_s) / rounds / len(simulation.entries) * 1e6
    print(f"MEASURED {cost_us:.2f} us an entry and round")
    assert cost_us < us, cost_us


@given("a response that names {values}")
def remember_values(context: Context, values: str) -> None:
    context.values = values


@then("the limit it names is {limit}")
def check_parsed(context: Context, limit: str) -> None:
    values = [] if context.values == "none" else context.values.encode().split(b", ")
    try:
        parsed = parse_limit(values)
    except BadLimit:
        assert limit == "invalid"
        return
    assert parsed == (None if limit == "none" else float(limit)), parsed


@given("responses to requests sent under the versions {responses}")
def apply_responses(context: Context, responses: str) -> None:
    context.ledger = LimitLedger()
    for response in responses.split(", "):
        version, _, named = response.partition(": ")
        per_s = named.removesuffix(NOT_RUN)
        context.ledger.observe(
            "i-1",
            None if per_s == "none" else float(per_s),
            sent_version=int(version),
            proves_end=not named.endswith(NOT_RUN),
        )


@then("the limit in force is {limit}")
def check_in_force(context: Context, limit: str) -> None:
    per_s = context.ledger.get("i-1").per_s
    assert per_s == (None if limit == "none" else float(limit)), per_s


@then("in any order of the same news every entry ends with the same limits")
def check_merged(context: Context) -> None:
    limits = strategies.builds(
        RequestLimit, strategies.integers(1, 4), strategies.sampled_from([None, 0.0, 1.0, 2.5])
    )
    news = strategies.lists(strategies.tuples(strategies.sampled_from("ab"), limits), max_size=8)
    orders = news.flatmap(
        lambda each: strategies.lists(strategies.permutations(each), min_size=2, max_size=2)
    )

    @settings(max_examples=300, derandomize=True, database=None, deadline=None)
    @given_any(orders)
    def merge(orders: list[list[tuple[str, RequestLimit]]]) -> None:
        ledgers = []
        for order in orders:
            ledger = LimitLedger()
            for target, limit in [*order, *order[:2]]:
                ledger.merge(target, limit, report=False)
            ledgers.append(ledger.limits)
        assert ledgers[0] == ledgers[1], ledgers

    merge()


@given("a target that takes {limit:d} a second and was asked for a report")
def ask_for_report(context: Context, limit: int) -> None:
    context.limits = {"i-1": RequestLimit(1, float(limit))}


def _permitted_after(context: Context, *, seconds: int, unanswered: bool) -> bool:
    clock = ManualClock(1_000)
    issuer = PermitIssuer(clock=clock, may_issue=lambda: True)
    issuer.apply_limits(context.limits)
    issuer.on_report("i-1")
    if unanswered:
        issuer.need_report("i-1")
    clock.ms += seconds * 1000
    return issuer.try_report("i-1")


@then("another report is permitted {later:d} s later, but not {sooner:d} s")
def check_report_interval(context: Context, later: int, sooner: int) -> None:
    assert _permitted_after(context, seconds=later, unanswered=False)
    assert not _permitted_after(context, seconds=sooner, unanswered=False)


@then("{seconds:d} s later if an order was left without an answer")
def check_needed_report(context: Context, seconds: int) -> None:
    assert _permitted_after(context, seconds=seconds, unanswered=True)
