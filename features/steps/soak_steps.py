"""Steps for the soak of real entries, for its checks and its relays."""

import asyncio

from behave import given
from behave import then
from behave import when
from behave.runner import Context

from harness.soak_links import send_while_cut_off
from harness.soak_records import build
from soak.checks import CHECKS
from soak.run import describe
from soak.run import run_seed
from soak.schedule import draw_schedule

# A version change is over before the next one.
REDUCED_GAP_S = 9.0


@given("a record of {example}")
def make_record(context: Context, example: str) -> None:
    context.record = build(example)


@then("{rule} is broken, and no other rule")
def check_broken(context: Context, rule: str) -> None:
    broken = [name for name, check in CHECKS.items() if check(context.record)]
    assert broken == [rule], broken


@then("no rule is broken")
def check_kept(context: Context) -> None:
    broken = {name: cases for name, check in CHECKS.items() if (cases := check(context.record))}
    assert not broken, broken


@when("seed {seed:d} is played on {entries:d} entries for {seconds:d} s")
def play_seed(context: Context, seed: int, entries: int, seconds: int) -> None:
    context.result = run_seed(draw_schedule(seed, seconds, entries=entries))


@when('seed {seed:d} of "{fault}" is played on {entries:d} entries for {seconds:d} s')
def play_fault(context: Context, seed: int, fault: str, entries: int, seconds: int) -> None:
    schedule = draw_schedule(seed, seconds, entries=entries, only=[fault], gap_s=REDUCED_GAP_S)
    context.result = run_seed(schedule)


@then("each rule was kept")
def check_result(context: Context) -> None:
    assert not context.result.cases, describe(context.result)


@when("an entry that is cut off from {what} sends {kind}, and what is held back is {fate}")
def send_cut_off(context: Context, what: str, kind: str, fate: str) -> None:
    store, entries = what in ("the store", "both"), what in ("the others", "both")
    sending = send_while_cut_off(kind, store=store, entries=entries, lost=fate == "lost")
    context.arrives = asyncio.run(sending)


@then("it arrives {when}")
def check_arrival(context: Context, when: str) -> None:
    assert context.arrives == when, context.arrives
