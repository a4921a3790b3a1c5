"""Steps that check what becomes of streams that are moved on an event loop that stalls."""

from behave import then
from behave import when
from behave.runner import Context

from harness.move_play import LONG_LIMIT_MS
from harness.move_play import MovePlay
from mimosaspur_daemon.direct.refusal import NOT_RUN_STATUSES

# For so long the server before may still work on a request that goes on elsewhere.
MAX_OVERLAP_S = 0.4


@when(
    "{count:d} plays of streams that are moved as callers leave and time limits pass are played "
    "from seed {seed:d} on"
)
def play_moves(context: Context, count: int, seed: int) -> None:
    context.moves = {number: MovePlay(number).play() for number in range(seed, seed + count)}


@then("no copy of memory is left at an engine, and none is used twice")
def check_copies(context: Context) -> None:
    kept = {seed: moves.kept() for seed, moves in context.moves.items() if moves.kept()}
    made = sum(len(moves.made) for moves in context.moves.values())
    assert not kept, f"{sum(map(len, kept.values()))} of {made} kept: {kept}"
    used = [handle for moves in context.moves.values() for handle in set(moves.used)]
    assert len(used) == sum(len(moves.used) for moves in context.moves.values())
    assert len(used) > made / 2, f"{len(used)} of {made} used"


@then("no evacuation has failed")
def check_evacuations(context: Context) -> None:
    failed = {seed: moves.errors for seed, moves in context.moves.items() if moves.errors}
    assert not failed, f"{len(failed)} of {len(context.moves)}: {failed}"


@then("no stream that was answered as not run has run, and none is at two engines for long")
def check_runs(context: Context) -> None:
    broken = [
        (seed, stream)
        for seed, moves in context.moves.items()
        for stream in moves.streams
        if stream.status in NOT_RUN_STATUSES and stream.identity in moves.runs
    ]
    assert not broken, broken[:8]
    overlaps_s = {seed: moves.longest_overlap_s() for seed, moves in context.moves.items()}
    longest = max(overlaps_s, key=overlaps_s.__getitem__)
    assert overlaps_s[longest] <= MAX_OVERLAP_S, (longest, overlaps_s[longest])


@then("each resumable stream with time for it ends whole")
def check_streams(context: Context) -> None:
    staying = [
        (seed, stream)
        for seed, moves in context.moves.items()
        for stream in moves.streams
        if stream.limit_ms == LONG_LIMIT_MS
        and stream.leaves_at_s is None
        and stream.kind == "a resumable stream"
    ]
    broken = [each for each in staying if not each[1].whole]
    assert staying
    assert not broken, f"{len(broken)} of {len(staying)}: {broken[:8]}"
