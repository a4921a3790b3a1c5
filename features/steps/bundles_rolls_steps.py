"""Steps for concurrent rolls and rolls during faults."""

import itertools
from functools import partial
from threading import Barrier

from behave import given
from behave import then
from behave import when
from behave.runner import Context

from harness.bundles_world import ENTRIES
from harness.bundles_world import PROCESSES
from harness.bundles_world import SETTLE_REQUESTS
from harness.bundles_world import TARGETS
from harness.bundles_world import await_ready
from harness.bundles_world import roll_notes
from harness.bundles_world import write_version
from harness.control import add_fault
from harness.control import call
from harness.control import run_concurrently
from harness.control import wait_for
from harness.drain_world import read_generation
from harness.repeater import Repeater
from mimosaspur_coordination import rolls
from mimosaspur_state.codes import ResultCode
from mimosaspur_state.errors import MimosaspurError

CUT_EVERY_S = 0.1
SAMPLE_EVERY_S = 0.005
HANDOVER_DELAY_MS = 60


@given("both entries' generations are sampled all the time")
def sample(context: Context) -> None:
    context.samples = {name: [] for name in ENTRIES}

    def run(name: str) -> None:
        context.samples[name].append(read_generation(context.site, name))

    context.samplers = [Repeater(partial(run, name), interval_s=SAMPLE_EVERY_S) for name in ENTRIES]


@when('version {version:d} of "notes" is rolled but the answer of the object API is lost')
def roll_lost(context: Context, version: int) -> None:
    add_fault(context.site.api, "lose_answer", match="PUT /objects/head", count=1)
    roll_notes(context, version)


@when('"{one}" rolls version {first:d} and "{two}" version {second:d} of "notes" at once')
def roll_both(context: Context, one: str, first: int, two: str, second: int) -> None:
    context.outcomes = {}
    for version in (first, second):
        write_version(context.site, version)
    gate = Barrier(2)

    def run(operator: str, version: int) -> None:
        gate.wait()
        try:
            result = context.site.roll_approved(f"notes-{version}", operator=operator)
            context.outcomes[operator] = result.roll
        except MimosaspurError as error:
            context.outcomes[operator] = error

    run_concurrently(partial(run, one, first), partial(run, two, second))


@when('versions {first:d} to {last:d} of "notes" are rolled while connections are cut')
def roll_rapidly(context: Context, first: int, last: int) -> None:
    site = context.site
    # Targets then deliver older bundles than the object API has already delivered.
    for name in TARGETS:
        call(site.relays[name].control, "POST", "/delay", {"ms": HANDOVER_DELAY_MS})
    cut = itertools.cycle((*TARGETS, *(f"api of {name}" for name in PROCESSES)))

    steady = Repeater(lambda: site.relays[next(cut)].mode("cut"), interval_s=CUT_EVERY_S)
    try:
        for version in range(first, last + 1):
            roll_notes(context, version)
    finally:
        steady.stop()


@then("one of the two rolls won and the other operator is told by which and why")
def check_race(context: Context) -> None:
    lost = {name: end for name, end in context.outcomes.items() if isinstance(end, MimosaspurError)}
    assert len(lost) == 1, context.outcomes
    winner, roll = next(pair for pair in context.outcomes.items() if pair[0] not in lost)
    error = next(iter(lost.values()))
    assert error.code in (ResultCode.ROLL_CONFLICT, ResultCode.SUPERSEDED), error
    assert winner in error.detail and roll.bundle in error.detail, error.detail
    head, _ = rolls.read_head(context.site.store())
    assert head and head.current == roll, head


@then("the roll is reported as done and is in the history once")
def check_once(context: Context) -> None:
    head, _ = rolls.read_head(context.site.store())
    assert head
    names = [roll.bundle for roll in (head.current, *head.history)]
    assert names == ["notes-2", "notes-1"], names
    assert context.rolled.roll == head.current, context.rolled
    assert not context.rolled.already, "its own roll is reported as another's"
    faults = call(context.site.api, "GET", "/faults")["faults"]
    assert [fault["struck"] for fault in faults] == [1], faults


@then("no entry reported or served anything older than before")
def check_monotone(context: Context) -> None:
    await_ready(context.site, 21)
    for sampler in context.samplers:
        sampler.stop()
    for name, seen in context.samples.items():
        assert len(seen) > SETTLE_REQUESTS and seen == sorted(seen), (name, seen)
    for traffic in context.bundle_traffic:
        wait_for(lambda t=traffic: t.versions[-1:] == [21], "version 21")  # type: ignore[misc]
        traffic.stop()
        assert traffic.versions == sorted(traffic.versions), traffic.versions
