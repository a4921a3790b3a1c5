"""Steps for generated orders of silences, crashes, refusals and changes."""

import contextlib
import functools
import os
import time
from collections import Counter
from collections.abc import Callable
from collections.abc import Sequence
from dataclasses import replace

from behave import then
from behave.runner import Context
from hypothesis import Phase
from hypothesis import given as given_any
from hypothesis import seed as with_seed
from hypothesis import settings

from harness.generated_plans import Plan
from harness.generated_plans import TargetPlan
from harness.generated_plans import any_plan
from harness.generated_play import SilencePlay
from harness.generated_records import Played
from harness.generated_rules import RULES
from harness.generated_rules import TIMER_MARGIN_S

MAX_EXAMPLES = int(os.environ.get("SILENCE_EXAMPLES", "350"))
# Without one the examples are always the same.
SEED = os.environ.get("SILENCE_SEED")
# For how long a smaller example is looked for, by hand.
SHRINK_S = 30.0
# How many the plays must hold at least.
LEAST = {"200": 300, "503": 5, "left": 50, "ended": 50, "repeats": 50, "cut": 10}


@then("in any play of silences a request {rule}")
def check_rule(context: Context, rule: str) -> None:
    failing = find_failing(lambda plan: judge(plan)[rule])
    assert failing is None, "\n".join([*judge(failing)[rule], f"in {failing}"])


@then("in any play without faults all requests are answered in time")
def check_calm(context: Context) -> None:
    failing = find_failing(unanswered)
    assert failing is None, "\n".join([*unanswered(failing), f"in {failing}"])


@then("the generated plays hold answers, refusals, silences that were left and ends of targets")
def check_coverage(context: Context) -> None:
    counts = sum(map(count, generated_plans()), start=Counter[str]())
    print(f"MEASURED {dict(sorted(counts.items()))}")
    assert all(counts[name] >= least for name, least in LEAST.items()), counts


def find_failing(faults: Callable[[Plan], Sequence[str]]) -> Plan | None:
    """Return the smallest plan with a fault, None without one."""
    plans = sorted(generated_plans(), key=lambda plan: len(repr(plan)))
    found = next(filter(faults, plans), None)
    return shrink(faults) if found and SEED is not None else found


@functools.cache
def generated_plans() -> Sequence[Plan]:
    """Return the generated plans."""
    plans: list[Plan] = []
    search(plans.append, phases=[Phase.generate])
    return plans


def shrink(faults: Callable[[Plan], Sequence[str]]) -> Plan:
    """Return the smallest plan with a fault that is found in some time."""
    until_s = time.monotonic() + SHRINK_S
    failing: dict[Plan, None] = {}
    known = set(generated_plans())

    def check(plan: Plan) -> None:
        # Later ones pass unseen, which ends the search.
        may_look = plan in known or time.monotonic() < until_s
        if plan not in failing and may_look and faults(plan):
            failing[plan] = None
        assert plan not in failing

    with contextlib.suppress(AssertionError):
        search(check, phases=[Phase.generate, Phase.shrink])
    return min(failing, key=lambda plan: len(repr(plan)))


def search(check: Callable[[Plan], None], *, phases: Sequence[Phase]) -> None:
    """Call a function with generated plans."""

    @settings(
        max_examples=MAX_EXAMPLES,
        derandomize=SEED is None,
        database=None,
        deadline=None,
        phases=phases,
        report_multiple_bugs=False,
        print_blob=False,
    )
    @given_any(any_plan)
    def play(plan: Plan) -> None:
        check(plan)

    (play if SEED is None else with_seed(int(SEED))(play))()


@functools.cache
def judge(plan: Plan) -> dict[str, list[str]]:
    """Play a plan; return what breaks each rule."""
    played = SilencePlay(plan).play()
    counted[plan] = events_of(played)
    return {name: list(rule(played)) for name, rule in RULES.items()}


counted: dict[Plan, Counter[str]] = {}


def count(plan: Plan) -> Counter[str]:
    """Return what happened in the play of a plan."""
    judge(plan)
    return counted[plan]


def events_of(played: Played) -> Counter[str]:
    """Count what happened in a play."""
    runs = [run for target in played.targets for run in target.runs]
    counts = Counter(str(call.status) for call in played.calls if call.whole)
    counts["plays"] = 1
    counts["cut"] = sum(call.read and not call.whole and not call.left for call in played.calls)
    counts["left"] = sum(run.was_left() for run in runs)
    counts["ended"] = sum(min(run.failed_s(), run.crashed_s()) < float("inf") for run in runs)
    counts["repeats"] = played.spent
    return counts


def unanswered(plan: Plan) -> list[str]:
    """Play a plan without its faults; return the requests that aren't answered in time."""
    targets = tuple(TargetPlan(each.event_ms) for each in plan.targets)
    played = SilencePlay(replace(plan, targets=targets, changes=())).play()
    return [
        f"{call.identity} got {call.status}: {call}"
        for call in played.calls
        if call.ended_s < call.limit_s - TIMER_MARGIN_S
        and not call.left
        and not (call.whole and call.status == 200)
    ]
