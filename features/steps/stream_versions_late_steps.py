"""Steps for entries that get the store's answers late."""

from behave import then
from behave import when
from behave.runner import Context

from harness.held_answers_play import HeldAnswersPlay

ROLES = {"coordinates": True, "reads for itself": False}


@when(
    "{count:d} plays of a version that joins are played, as an entry that {role} gets answers late"
)
def play_late_answers(context: Context, count: int, role: str) -> None:
    coordinating = ROLES[role]
    context.plays = [HeldAnswersPlay(seed, coordinating=coordinating) for seed in range(count)]
    for each in context.plays:
        each.play()


@then("none takes the old version for the only one once a stream has begun at the new one")
def check_never_wrong(context: Context) -> None:
    assert all(each.begun for each in context.plays), "a play began no stream"
    wrong_s = {seed: round(each.wrong_s, 2) for seed, each in enumerate(context.plays)}
    wrong = {seed: seconds for seed, seconds in wrong_s.items() if seconds}
    assert not wrong, f"{len(wrong)} of {len(context.plays)} plays, for s: {wrong}"
