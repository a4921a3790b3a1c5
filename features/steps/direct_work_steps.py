"""Steps for the work that entries track at targets, and for latency predictions."""

import re
from typing import Any

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from hypothesis import example
from hypothesis import given as given_any
from hypothesis import settings
from hypothesis import strategies

from harness.direct_fleet import ManualClock
from harness.report_simulation import CoordinatorWithMembers
from harness.report_simulation import ReportSimulation
from mimosaspur_coordination.fleetview import FleetView
from mimosaspur_coordination.fleetview import Prompt
from mimosaspur_coordination.fleetview import TargetView
from mimosaspur_coordination.modelpace import SharedPaces
from mimosaspur_coordination.prefillspeed import INITIAL_BASE_MS as FIRST_TOKEN_MS
from mimosaspur_daemon.direct.fleetreport import total_work
from mimosaspur_daemon.direct.reportedwork import ReportedWork
from mimosaspur_protocol.peermessages import TargetWork
from mimosaspur_state.fleet import OutstandingWork
from mimosaspur_state.fleet import TargetRecord

TARGETS = ("x", "plain")
RANK = 3
ENTRIES = 3
EXAMPLES = 300
MEASURED_TOKENS = 2_000
LONG_TOKENS = 4_000


def _work(text: str) -> dict[str, TargetWork]:
    found = {}
    for target, requests, unread in re.findall(r"(\w+): (\d+)(?: with (\d+) unread)?", text):
        by_rank = {RANK: int(unread)} if unread and int(unread) else {}
        found[target] = TargetWork(target, int(requests), by_rank, 0, {})
    return found


@given("entry A has {first}, and entry B has {second}")
def set_work(context: Context, first: str, second: str) -> None:
    context.reports = [_work(first), _work(second)]


@given("reports of {first} and then {since} by entry A, and of {second} by entry B")
def set_work_since(context: Context, first: str, since: str, second: str) -> None:
    context.reports = [_work(first), _work(second)]
    context.since = _work(since)


@when("the coordinator tells entry A of the others' work")
@when("the coordinator tells entry A of the work that its first report counts in")
def send_totals(context: Context) -> None:
    reported = ReportedWork()
    number = reported.add_report(context.reports[0].values())
    if "since" in context:
        reported.add_report(context.since.values())
    reported.set_included(number)
    context.others_work = reported.apply_totals(total_work(context.reports, TARGETS).values())


def _without_empty_ranks(works: dict[str, OutstandingWork]) -> dict[str, TargetWork]:
    """Return other entries' work without the ranks at which nothing waits."""
    found = {}
    for target, work in works.items():
        unread = {rank: int(tokens) for rank, tokens in work.prefill_tokens.items() if tokens}
        found[target] = TargetWork(target, work.requests, unread, work.held_tokens, {})
    return found


@then("it hears of {told}")
def check_received_work(context: Context, told: str) -> None:
    assert _without_empty_ranks(context.others_work) == _work(told), context.others_work


@then("entry A takes the others' work for {others}")
def check_others(context: Context, others: str) -> None:
    found = {
        target: work
        for target, work in _without_empty_ranks(context.others_work).items()
        if target == "x"
    }
    assert found == _work(others), context.others_work


@then("any order of reports, sums and new coordinators leaves each entry with the others' reports")
def check_any_order(context: Context) -> None:
    actions = strategies.lists(
        strategies.one_of(
            strategies.tuples(
                strategies.just("report"),
                strategies.integers(0, ENTRIES - 1),
                strategies.dictionaries(
                    strategies.sampled_from(TARGETS), strategies.integers(1, 2)
                ),
            ),
            strategies.tuples(strategies.just("hear"), strategies.integers(0, ENTRIES - 1)),
            strategies.tuples(strategies.just("tell")),
            strategies.tuples(strategies.just("new coordinator")),
        ),
        max_size=40,
    )

    # The total stays the same while the work passes from one entry to another.
    taken_over = [
        ("report", 0, {"x": 1}),
        ("hear", 0),
        ("tell",),
        ("report", 0, {}),
        ("report", 1, {"x": 1}),
        ("hear", 0),
        ("hear", 1),
        ("tell",),
    ]

    @settings(max_examples=EXAMPLES, derandomize=True, database=None, deadline=None)
    @example(taken_over)
    @given_any(actions)
    def check(steps: list[tuple[Any, ...]]) -> None:
        play = ReportSimulation(ENTRIES, TARGETS)
        for name, *arguments in steps:
            play.step(name, *arguments)

    check()


@given("a coordinator that {count:d} entries follow, and one that has just come")
def set_members(context: Context, count: int) -> None:
    context.followed = CoordinatorWithMembers(count)


@when("the work at {count:d} targets changes")
def change_work(context: Context, count: int) -> None:
    context.followed.send_updates(work_at=0)
    context.followed.add_entry()
    context.followed.send_updates(work_at=count)


@then("{count:d} fleet reports are encoded, and each entry gets one")
def check_encoded(context: Context, count: int) -> None:
    assert context.followed.encoded == count, context.followed.encoded
    assert set(context.followed.frame_counts().values()) == {1}, context.followed.frame_counts()


@given("engines that read slow at {slow:d} tokens a ms and fast at {fast:d} tokens a ms")
def set_engines(context: Context, slow: int, fast: int) -> None:
    context.speeds = {"slow": slow, "fast": fast}
    context.fleet = FleetView(clock=ManualClock(0))
    records = [TargetRecord(name, "models", ("127.0.0.1", 1), "here") for name in "xyz"]
    context.fleet.update(records, ())


def _measure(context: Context, view: TargetView, model: str, *, slower: float = 1.0) -> None:
    prompt = Prompt(model, prompt_tokens=MEASURED_TOKENS)
    predicted_ms = view.first_token_ms(prompt, rank=RANK)
    unread = view.on_sent(prompt, rank=RANK)
    took_ms = FIRST_TOKEN_MS + MEASURED_TOKENS / context.speeds[model] * slower
    view.on_prefill_end(unread=unread, rank=RANK)
    view.on_first_token(prompt, unread=unread, predicted_ms=predicted_ms, took_ms=took_ms)
    view.on_end(prompt)


@when("{count:d} requests for each model have been measured, one at a time")
def measure(context: Context, count: int) -> None:
    views = list(context.fleet.targets.values())
    for number in range(count):
        for model in context.speeds:
            _measure(context, views[number % len(views)], model)


@when("a request for fast takes {times:d} times as long as it should")
def measure_wrong(context: Context, times: int) -> None:
    _measure(context, context.fleet.targets["x"], "fast", slower=times)


@then("prompts of {tokens:d} tokens are predicted within {percent:d} of 100 of what they take")
def check_predicted(context: Context, tokens: int, percent: int) -> None:
    for model, speed in context.speeds.items():
        takes_ms = FIRST_TOKEN_MS + tokens / speed
        for view in context.fleet.targets.values():
            prompt = Prompt(model, prompt_tokens=tokens)
            predicted_ms = view.first_token_ms(prompt, rank=RANK)
            assert abs(predicted_ms - takes_ms) <= takes_ms * percent / 100, (
                model,
                predicted_ms,
                takes_ms,
            )


@then(
    "behind three prompts for fast a request for slow is expected sooner than behind three for slow"
)
def check_queues(context: Context) -> None:
    asked = Prompt("slow", prompt_tokens=LONG_TOKENS)
    expected = {}
    for identity, model in (("x", "fast"), ("y", "slow")):
        view = context.fleet.targets[identity]
        for _ in range(3):
            view.on_sent(Prompt(model, prompt_tokens=LONG_TOKENS), rank=RANK)
        expected[model] = view.first_token_ms(asked, rank=RANK)
    assert expected["fast"] * 2 < expected["slow"], expected


@given("{count:d} entries and engines that read fast at {fast:d} tokens a ms")
def set_entries(context: Context, count: int, fast: int) -> None:
    context.speeds = {"fast": fast}
    context.shared = SharedPaces()
    context.entries = []
    for _ in range(count):
        fleet = FleetView(clock=ManualClock(0))
        fleet.update([TargetRecord("x", "models", ("127.0.0.1", 1), "here")], ())
        context.entries.append(fleet)


def _learn_together(context: Context, learners: list[FleetView], rounds: int) -> None:
    for _ in range(rounds):
        for fleet in learners:
            _measure(context, fleet.targets["x"], "fast")
            for model, pace in fleet.paces.take_changes().items():
                context.shared.add_report(model, pace)
        for model, pace in context.shared.take_changes().items():
            for fleet in context.entries:
                fleet.paces.apply_shared(model, pace)


@when("each entry measures {each:d} requests for fast, telling the others in turns")
def measure_together(context: Context, each: int) -> None:
    _learn_together(context, context.entries, each)


@when("all entries but the last measure {each:d} requests for fast, telling the others in turns")
def measure_but_one(context: Context, each: int) -> None:
    _learn_together(context, context.entries[:-1], each)


@then("every entry predicts a prompt for fast within {percent:d} of 100 of what it takes")
def check_entries(context: Context, percent: int) -> None:
    prompt = Prompt("fast", prompt_tokens=LONG_TOKENS)
    takes_ms = FIRST_TOKEN_MS + LONG_TOKENS / context.speeds["fast"]
    for fleet in context.entries:
        predicted_ms = fleet.targets["x"].first_token_ms(prompt, rank=RANK)
        assert abs(predicted_ms - takes_ms) <= takes_ms * percent / 100, (predicted_ms, takes_ms)


def _queue_tokens(context: Context, queued: int, percent: int) -> tuple[TargetView, Prompt, float]:
    """Queue tokens at a target; return it, a prompt and the time that the prompt takes there."""
    view = context.fleet.targets["x"]
    view.others_work.prefill_tokens[RANK] = float(queued)
    tokens = MEASURED_TOKENS / context.speeds["fast"]
    per_token_ms = 1 / context.speeds["slow"]
    waits_ms = queued * percent / 100 * per_token_ms
    return view, Prompt("fast", prompt_tokens=MEASURED_TOKENS), FIRST_TOKEN_MS + waits_ms + tokens


@when(
    "{count:d} requests for fast come behind {queued:d} counted tokens, of which {percent:d} "
    "in 100 are left"
)
def measure_behind(context: Context, count: int, queued: int, percent: int) -> None:
    view, prompt, takes_ms = _queue_tokens(context, queued, percent)
    for _ in range(count):
        predicted_ms = view.first_token_ms(prompt, rank=RANK)
        unread = view.prefill_tokens(prompt)
        view.on_first_token(prompt, unread=unread, predicted_ms=predicted_ms, took_ms=takes_ms)
    context.percent = percent


@then(
    "behind {queued:d} counted tokens one for fast is predicted within {within:d} of 100 "
    "of what it takes"
)
def check_behind(context: Context, queued: int, within: int) -> None:
    view, prompt, takes_ms = _queue_tokens(context, queued, context.percent)
    predicted_ms = view.first_token_ms(prompt, rank=RANK)
    assert abs(predicted_ms - takes_ms) <= takes_ms * within / 100, (predicted_ms, takes_ms)


@then(
    "a prompt of {tokens:d} tokens for a model that nobody measured is predicted "
    "within {within:d} of 100"
)
def check_unmeasured(context: Context, tokens: int, within: int) -> None:
    takes_ms = FIRST_TOKEN_MS + tokens / context.speeds["slow"]
    for view in context.fleet.targets.values():
        predicted_ms = view.first_token_ms(Prompt("new", prompt_tokens=tokens), rank=RANK)
        assert abs(predicted_ms - takes_ms) <= takes_ms * within / 100, (predicted_ms, takes_ms)
