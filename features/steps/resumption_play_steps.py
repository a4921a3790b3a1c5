"""Steps for streams that are taken up at entries that stand still, in virtual time."""

from behave import then
from behave import when
from behave.runner import Context

from harness.resumption_play import PATIENCE_S
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


@when(
    "streams begin at one of {count:d} entries in {plays:d} plays, cut off from the others while "
    "a version joins, and it {then} after that"
)
def play_cut(context: Context, count: int, plays: int, then: str) -> None:
    context.plays = [
        ResumptionPlay(seed, versions=("v1",), stall_ms=0, count=count)
        for seed in range(1, plays + 1)
    ]
    stops = {"stays": False, "stops": True}[then]
    context.tries = [each for play in context.plays for each in play.play_cut(stops=stops)]


@then("no entry sends over {limit:d} bytes again in a second, and none has any left at the end")
def check_sent(context: Context, limit: int) -> None:
    most = max(max(play.late_bytes.values()) for play in context.plays)
    print(f"MEASURED {most} bytes in a second")
    assert 0 < most <= limit, most
    left = [
        (entry.instance, entry.unnoted.entries)
        for play in context.plays
        for entry in play.entries
        if entry.unnoted.entries
    ]
    assert not left, left[:SHOWN]


@when("streams that no entry knows are taken up, and {gone:d} of the entries have gone")
def play_unknown(context: Context, gone: int) -> None:
    context.tries = ResumptionPlay(1, versions=("v1", "v2"), stall_ms=0).play_unknown(gone=gone)


@then("each was rejected within {ms:d} ms")
def check_rejected(context: Context, ms: int) -> None:
    tries: list[Try] = context.tries
    assert tries and not any(each.found for each in tries), tries[:SHOWN]
    longest_s = max(PATIENCE_S if each.took_s is None else each.took_s for each in tries)
    print(f"MEASURED {longest_s * 1000:.0f} ms")
    assert longest_s * 1000 <= ms, longest_s


@when(
    "entries stand still for {ms:d} ms by turns in {plays:d} plays, "
    "and read the list of targets every 0.4 s"
)
def play_lists(context: Context, ms: int, plays: int) -> None:
    context.seen = [
        each
        for seed in range(1, plays + 1)
        for each in ResumptionPlay(seed, versions=("v1",), stall_ms=ms).play_lists()
    ]


@then("they take it for current at {share:g} of the moments at which they run")
def check_lists(context: Context, share: float) -> None:
    seen: list[bool] = context.seen
    print(f"MEASURED {sum(seen)} of {len(seen)}")
    assert seen and sum(seen) >= share * len(seen), (sum(seen), len(seen))
