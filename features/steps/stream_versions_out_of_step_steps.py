"""Steps for entries that are out of step while versions change."""

from behave import then
from behave import when
from behave.runner import Context

from harness.out_of_step_play import NEW
from harness.out_of_step_play import OutOfStepPlay


@when("{count:d} plays of entries that are out of step as versions change are played")
def play_out_of_step(context: Context, count: int) -> None:
    context.plays = [OutOfStepPlay(seed, disturbed=True) for seed in range(count)]
    for each in context.plays:
        each.play()
    assert all(each.followed for each in context.plays)
    began = sum(NEW in each.begun_s for each in context.plays)
    assert began > count / 2, f"streams began at the new version in {began} plays"


@then("none takes a version for the only one while streams of another one may be resumed")
def check_sole_version(context: Context) -> None:
    wrong_s = {seed: round(each.wrong_s, 2) for seed, each in enumerate(context.plays)}
    wrong = {seed: seconds for seed, seconds in wrong_s.items() if seconds}
    assert not wrong, f"{len(wrong)} of {len(context.plays)} plays, for s: {wrong}"
