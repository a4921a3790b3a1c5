"""Steps for sound targets that fall silent and go on."""

from behave import given
from behave import then
from behave import when
from behave.runner import Context

from harness.silence_play import OBJECTIVE_MS
from harness.silence_play import PATIENCE_S
from harness.silence_play import Silence
from harness.silence_play import SilencePlay
from harness.silent_target import HEAD_S

EVENT_COUNT = 60
# Since the request came to its target: before the head, and before the first event.
STAGES = {"the head": HEAD_S / 2, "the first event": HEAD_S * 3 / 2, "the second half": 0.3}


@given("a route that allows {runs:d} runs, and another target that {other}")
def set_other(context: Context, runs: int, other: str) -> None:
    context.max_attempts = runs
    context.other = other


@when("a resumable stream has been written for {written} s, and its engine is silent {duration}")
def play_stream(context: Context, written: str, duration: str) -> None:
    silence = Silence(HEAD_S + float(written), _seconds(duration), context.other)
    _play(context, silence, "a resumable stream")


@when("the target of {kind} has been silent for 0.5 s after {stage}, and {count:d} others come")
def play_others(context: Context, kind: str, stage: str, count: int) -> None:
    from_s = {"its first second": HEAD_S + 1, "it began to run": HEAD_S / 2}[stage]
    _play(context, Silence(from_s, 3.0, context.other, later=count), kind)


@when("a stream written for {written} s is at an engine that goes out of reach")
def play_out_of_reach(context: Context, written: str) -> None:
    silence = Silence(HEAD_S + float(written), None, context.other, is_out_of_reach=True)
    _play(context, silence, "a resumable stream")


@when("a stream written for {written} s loses its engine, and its model is loaded after {later} s")
def play_loss(context: Context, written: str, later: str) -> None:
    from_s = HEAD_S + float(written)
    silence = Silence(from_s, None, context.other, ends=True, loads_after_s=float(later))
    _play(context, silence, "a resumable stream")


@when("the target of {kind} is silent {duration} before {stage}")
def play_stage(context: Context, kind: str, duration: str, stage: str) -> None:
    _play(context, Silence(STAGES[stage], _seconds(duration), context.other), kind)


@when("the target of {kind} is silent until {late} s after the objective")
def play_late(context: Context, kind: str, late: str) -> None:
    from_s = STAGES["the head"]
    for_s = OBJECTIVE_MS / 1000 - from_s + float(late)
    _play(context, Silence(from_s, for_s, context.other), kind)


def _seconds(duration: str) -> float | None:
    return None if duration == "for ever" else float(duration.split()[1])


def _play(context: Context, silence: Silence, kind: str) -> None:
    context.play = SilencePlay(
        silence, kind=kind, event_count=EVENT_COUNT, max_attempts=context.max_attempts
    )
    context.answer = context.play.run()


@then("its caller gets the whole answer, each part once")
def check_whole(context: Context) -> None:
    answer = context.answer
    got = (answer.status, answer.body, answer.whole)
    assert got == (200, context.play.expected, True), (
        f"status {answer.status}, {len(answer.body)} of {len(context.play.expected)} bytes, "
        f"whole: {answer.whole}, {context.play.arrivals()}"
    )


@then("no pause of the answer lasts longer than its caller waits")
def check_pauses(context: Context) -> None:
    pause_s = context.answer.longest_pause_s()
    assert pause_s <= PATIENCE_S, pause_s


@then("no pause of the answer lasts longer than {pause:g} s")
def check_longest_pause(context: Context, pause: float) -> None:
    assert context.answer.longest_pause_s() <= pause, context.answer.longest_pause_s()


@then("it runs at most as often as its route allows, and each retry that was spent was sent")
def check_runs(context: Context) -> None:
    arrivals = context.play.arrivals()
    assert sum(each.ran for each in arrivals) <= context.max_attempts, arrivals
    assert context.play.spent_retries() == len(arrivals) - 1, arrivals


@then("it ran once")
def check_ran_once(context: Context) -> None:
    assert len(context.play.arrivals()) == 1, context.play.arrivals()


@then("the others are answered whole, and begin within their objective")
def check_others(context: Context) -> None:
    answers = [task.result() for task in context.play.later]
    assert answers
    for answer, began_s in answers:
        assert (answer.status, answer.body) == (200, context.play.expected), answer
        assert began_s <= OBJECTIVE_MS / 1000, began_s
