"""Steps for what a backup must not cost."""

from behave import given
from behave import then
from behave import when
from behave.runner import Context

from harness.loop import run
from harness.silence_backups import EVENT_COUNT
from harness.silence_backups import STALLED
from harness.silence_backups import STREAM_INTERVAL_S
from harness.silence_backups import BackupPlay
from harness.silence_backups import EndingTarget
from harness.silence_backups import LargeTarget
from harness.silence_backups import SlowTarget
from harness.silence_backups import pool_after_restart
from harness.silent_target import all_events


@given("a stream whose first target marks its framing and breaks off, and 3 runs at most")
def set_ending(context: Context) -> None:
    EndingTarget.runs = 0
    targets = [EndingTarget(f"i-{number}") for number in range(3)]
    context.play = BackupPlay("a resumable stream", list(targets), count=1, gap_s=0.0)


@when("the second target sends the rest without a mark, is silent, and closes beside a backup")
def play_ending(context: Context) -> None:
    context.play.run()


@then("the caller of the stream gets all of it, and its end")
def check_ending(context: Context) -> None:
    (answer,) = context.play.answers
    assert len(context.play.arrivals()) == 3, context.play.arrivals()
    assert (answer.status, answer.body) == (200, all_events(EVENT_COUNT)), answer
    assert answer.whole, "all events, but the caller's connection was cut"


@when("{count:d} idempotent requests come {gap:g} s apart to {n:d} targets that take 0.5 s")
def play_slow(context: Context, count: int, gap: float, n: int) -> None:
    targets = [SlowTarget(f"i-{number}", is_engine=False) for number in range(n)]
    context.play = BackupPlay("an idempotent request", list(targets), count=count, gap_s=gap)
    context.play.run()


@then("each is answered, and ran once")
def check_once(context: Context) -> None:
    play = context.play
    assert {answer.status for answer in play.answers} == {200}
    ran = sum(each.ran for each in play.arrivals())
    assert ran == play.count, f"{play.count} requests ran {ran} times"


@when("a caller doesn't read its stream, and {count:d} other streams come to {n:d} engines")
def play_stalled(context: Context, count: int, n: int) -> None:
    targets = [LargeTarget(f"i-{number}", event_count=EVENT_COUNT) for number in range(n)]
    play = BackupPlay("a resumable stream", list(targets), count=count, gap_s=STREAM_INTERVAL_S)
    play.stalls = True
    context.play = play
    play.run()


@then("both engines run some of the others")
def check_spread(context: Context) -> None:
    arrivals = context.play.arrivals()
    used = {each.target for each in arrivals if each.request != STALLED}
    assert len(used) == len(context.play.targets), f"only {used} of {arrivals}"


@when("a target is registered again at another address while a probe connects to it")
def play_restart(context: Context) -> None:
    context.addresses = run(context, pool_after_restart())


@then("its connections are opened to its new address")
def check_address(context: Context) -> None:
    used, registered = context.addresses
    assert used == registered, f"{used} is used, {registered} is registered"
