"""Steps for the age of the coordinator's news of the store."""

import random
from unittest.mock import patch

from behave import then
from behave import when
from behave.runner import Context

from harness.direct_entry import entry_dependencies
from harness.direct_entry import null_log
from harness.direct_entry import settings_for
from harness.followed_list_play import Coordinator
from harness.followed_list_play import Entry
from harness.followed_list_play import RevisedStore
from harness.followed_list_play import apply_frame
from harness.out_of_step_play import OutOfStepPlay
from harness.virtual_time import VirtualClock
from harness.virtual_time import VirtualTimeLoop
from harness.virtual_time import run_in_virtual_time
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


@when("a coordinator sends its list as its machine runs again after {suspended_ms:d} ms in suspend")
def send_after_suspend(context: Context, suspended_ms: int) -> None:
    loop = VirtualTimeLoop()
    clock = VirtualClock(loop)
    suspended = [0]

    async def play() -> None:
        store = RevisedStore(random.Random(0))
        coordinator = Coordinator("one", store, clock)
        await coordinator.read(watched=False)
        suspended[0] = suspended_ms
        entry = Entry("entry", store, clock)
        entry.state.report_times.on_sent(1)
        frame = coordinator.next_frame()
        entry.state.report_times.on_answered(1)
        apply_frame(entry.state, frame)
        context.is_current = entry.state.stream_versions.history.is_current()

    with patch.object(BoottimeClock, "now_ms", lambda _: clock.now_ms() + suspended[0]):
        run_in_virtual_time(play(), loop)


@then("the entry's list is {state}")
def check_current(context: Context, state: str) -> None:
    assert context.is_current == (state == "current"), context.is_current
