"""Steps for releases that follow one another while all entries are killed."""

from behave import then
from behave import when
from behave.runner import Context

from harness.release_play import ReleasePlay

SHOWN = 3


@when("{count:d} plays of three releases are played, half of them with faults of the writes")
def play_releases(context: Context, count: int) -> None:
    context.plays = [ReleasePlay(seed) for seed in range(count)]
    for each in context.plays:
        each.play()


@then("no entry takes a version for the only one while callers may take up streams of another")
def check_soles(context: Context) -> None:
    assert sum(each.sole_count for each in context.plays), "no version was known as the only one"
    wrong = {each.seed: each.wrong_soles[:SHOWN] for each in context.plays if each.wrong_soles}
    assert not wrong, wrong


@then("no stream goes on at another version, of at least {count:d} that are taken up in each play")
def check_streams(context: Context, count: int) -> None:
    wrong = {each.seed: each.wrong()[:SHOWN] for each in context.plays if each.wrong()}
    assert not wrong, wrong
    tries = [len(each.outcomes) for each in context.plays]
    gone_on = [sum(each.found is not None for each in play.outcomes) for play in context.plays]
    print(f"MEASURED {sum(tries)} tries, {sum(gone_on)} found a version")
    assert min(tries) >= count, tries
