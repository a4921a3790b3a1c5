"""Steps for streams that are taken up at entries that stand still, in virtual time."""

from behave import then
from behave import when
from behave.runner import Context

from harness.resumption_play import ResumptionPlay
from harness.resumption_play import Try

SHOWN = 5


@when(
    "streams at {versions} are begun and taken up in {plays:d} plays, "
    "with stalls of {ms:d} ms and {lost:g} of the datagrams lost"
)
def play_resumptions(context: Context, versions: str, plays: int, ms: int, lost: float) -> None:
    context.tries = [
        each
        for seed in range(1, plays + 1)
        for each in ResumptionPlay(
            seed, versions=tuple(versions.split()), stall_ms=ms, lost_share=lost
        ).play()
    ]


@then("at least {share:g} of the streams that were taken up were found in time")
def check_found(context: Context, share: float) -> None:
    tries: list[Try] = context.tries
    gone_on = sum(each.went_on() for each in tries)
    print(f"MEASURED {gone_on} of {len(tries)} found")
    lost = [each for each in tries if not each.went_on()]
    assert tries and gone_on >= share * len(tries), (gone_on, len(tries), lost[:SHOWN])


@then("each was found at the version that began it")
def check_versions(context: Context) -> None:
    wrong = [each for each in context.tries if each.found not in (None, each.began_at)]
    assert not wrong, wrong[:SHOWN]
