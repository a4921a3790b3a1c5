"""Steps for even load from old information."""

import random
import time
from collections import Counter

from behave import given
from behave import then
from behave import when
from behave.runner import Context

from harness.direct_entry import entry_dependencies
from harness.direct_entry import settings_for
from harness.direct_fleet import ManualClock
from harness.even_load_play import EvenLoadPlay
from harness.even_load_play import Outcome
from mimosaspur_coordination.evenload import JITTER_MS
from mimosaspur_coordination.evenload import LoadAge
from mimosaspur_coordination.evenload import chances
from mimosaspur_coordination.evenload import spread_ms
from mimosaspur_coordination.fleetview import Prompt
from mimosaspur_coordination.fleetview import TargetView
from mimosaspur_coordination.targetchoice import choose_engine
from mimosaspur_coordination.targethealth import TargetHealth
from mimosaspur_daemon.direct.entrystate import EntryState
from mimosaspur_state.fleet import TargetRecord

PROMPT = Prompt("notes", prompt_tokens=2_000, parts=(("shared", 500), ("own", 1_500)))


@given("{entries:d} entries whose reports are up to {age_ms:d} ms old")
def set_entries(context: Context, entries: int, age_ms: int) -> None:
    context.entries, context.age_ms = entries, age_ms


def _play(context: Context, *, spread: bool, age_ms: int) -> Outcome:
    play = EvenLoadPlay(
        spread=spread, entries=context.entries, engines=22, age_ms=age_ms, load=0.6, seed=1
    )
    return play.play(20)


@when("requests come for 20 s, with the spread and without")
def play_both(context: Context) -> None:
    context.even = _play(context, spread=True, age_ms=context.age_ms)
    context.today = _play(context, spread=False, age_ms=context.age_ms)


@then("the first token at the 99th percentile comes no later with it")
def check_not_later(context: Context) -> None:
    assert context.even.p99_ms <= context.today.p99_ms, (context.even, context.today)


@then("the first token at the 99th percentile comes within 1.3 times of that with fresh reports")
def check_near_fresh(context: Context) -> None:
    fresh = _play(context, spread=False, age_ms=0)
    assert context.even.p99_ms <= 1.3 * fresh.p99_ms, (context.even, fresh)


@then(
    "with {entries:d} entries, reports {age_ms:d} ms old and {spare:d} ms to the objective the"
    " spread is {spread:d} ms"
)
def check_spread(context: Context, entries: int, age_ms: int, spare: int, spread: int) -> None:
    clock = ManualClock(100_000)
    load_age = LoadAge(clock=clock)
    clock.ms += age_ms
    age = load_age.highest_age_ms()
    assert spread_ms(entries=entries, age_ms=age, spare_ms=spare) == spread


@given("two of three idle engines have the first part of a prompt cached")
def make_engines(context: Context) -> None:
    context.engines = []
    for name in ("a", "b", "c"):
        view = TargetView(
            TargetRecord(name, "s", ("127.0.0.1", 1), "here"), TargetHealth(clock=ManualClock(0))
        )
        view.residents = {"notes": frozenset()}
        if name != "c":
            view.prompt_parts["notes", "", "shared"] = 500
        context.engines.append(view)


@when("200 requests are chosen for with a spread of {spread:d} ms")
def choose_often(context: Context, spread: int) -> None:
    random.seed(1)
    context.chosen = set()
    for _ in range(200):
        view = choose_engine(
            context.engines, PROMPT, rank=5, domain="here", kv_tokens=0, spread_ms=spread
        )
        assert view
        context.chosen.add(view.record.identity)


@then("both are chosen, and the third is not")
def check_chosen(context: Context) -> None:
    assert context.chosen == {"a", "b"}, context.chosen


@given("an entry of 24 that has lost its coordinator {seconds:d} s ago")
def lose_coordinator(context: Context, seconds: int) -> None:
    clock = ManualClock(0)
    context.state = EntryState(settings_for("entry-1"), entry_dependencies("entry-1", clock=clock))
    context.state.staying_entries = 24
    context.state.on_coordinator_lost()
    clock.ms = seconds * 1000


@then("it takes the load as {age_ms:d} ms old")
def check_age(context: Context, age_ms: int) -> None:
    assert context.state.load_age.age_ms() == context.state.load_age.highest_age_ms() == age_ms


@given("the costs of {targets:d} targets within the jitter, {alike:d} of them alike")
def set_costs(context: Context, targets: int, alike: int) -> None:
    context.costs = [
        100.0 + JITTER_MS * (number // alike * alike) / targets for number in range(targets)
    ]


@when("the probability of each target is computed")
def compute_chances(context: Context) -> None:
    candidates = [(cost, 0.0, number) for number, cost in enumerate(context.costs)]
    times_s = []
    for _ in range(3):
        began_s = time.thread_time()
        context.found = chances(candidates, spread=0.0)
        times_s.append(time.thread_time() - began_s)
    context.took_ms = min(times_s) * 1000


@then(
    "it takes at most {most_ms:d} ms of processor time, and the probabilities differ from drawn"
    " ones by at most {error:g}"
)
def check_chances(context: Context, most_ms: int, error: float) -> None:
    assert context.took_ms <= most_ms, context.took_ms
    rng, draws = random.Random(1), 10_000
    # With hundreds of targets, a cost in the upper part of the jitter is the lowest in no draw.
    many = len(context.costs) > 100
    low = [cost for cost in context.costs if not many or cost < 100.0 + 0.3 * JITTER_MS]
    counts: Counter[float] = Counter()
    for _ in range(draws):
        _, lowest = min((cost + rng.random() * JITTER_MS, cost) for cost in low)
        counts[lowest] += 1
    for cost in set(context.costs):
        found = sum(
            each for each, own in zip(context.found, context.costs, strict=True) if own == cost
        )
        assert abs(found - counts[cost] / draws) <= error, (cost, found, counts[cost])
