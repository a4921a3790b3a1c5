"""Steps for the age of the coordinator's news of the store."""

from unittest.mock import patch

from behave import then
from behave import when
from behave.runner import Context

from harness.direct_entry import entry_dependencies
from harness.direct_entry import null_log
from harness.direct_entry import settings_for
from harness.out_of_step_play import OutOfStepPlay
from harness.virtual_time import VirtualClock
from harness.virtual_time import VirtualTimeLoop
from mimosaspur_daemon.direct.entrystate import EntryState
from mimosaspur_daemon.direct.storechanges import CONFIGURATION
from mimosaspur_daemon.direct.storechanges import apply_store_changes
from mimosaspur_protocol.peermessages import StoreUpdate
from mimosaspur_state.clock import BoottimeClock


@when(
    "an entry reads an update {late_ms:d} ms after the report that it answers, of news of"
    " {age_ms:d} ms"
)
def read_update(context: Context, late_ms: int, age_ms: int) -> None:
    loop = VirtualTimeLoop()
    clock = VirtualClock(loop)
    ports = entry_dependencies("a", clock=clock, log=null_log("a"))
    with patch.object(BoottimeClock, "now_ms", lambda _: clock.now_ms()):
        state = EntryState(settings_for("a"), ports)
        state.report_times.on_sent(1)
        loop.selector.now_s += late_ms / 1000
        state.report_times.on_answered(1)
        apply_store_changes(state, StoreUpdate(age_ms, 1, True, [], []))
        context.counted_ms = state.freshness.confirmation_age_ms(CONFIGURATION)
    loop.close()


@then("the news counts as {counted_ms:d} ms old")
def check_age(context: Context, counted_ms: int) -> None:
    assert context.counted_ms == counted_ms, context.counted_ms


@when("{count:d} plays of entries that follow a coordinator are played without a disturbance")
def play_quietly(context: Context, count: int) -> None:
    context.plays = [OutOfStepPlay(seed, disturbed=False) for seed in range(count)]
    for each in context.plays:
        each.play()
        assert each.followed


@then("no follower takes the coordinator's news for too old")
def check_fresh(context: Context) -> None:
    reads = [each.followers_reads for each in context.plays]
    assert not any(reads), f"samples by play: {reads}"
