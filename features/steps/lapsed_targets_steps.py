"""Steps for registrations that lapsed while the store was away."""

import random
from unittest.mock import patch

from behave import given
from behave import then
from behave import when
from behave.runner import Context

from harness.followed_list_play import Coordinator
from harness.followed_list_play import Entry
from harness.followed_list_play import RevisedStore
from harness.followed_list_play import apply_frame
from harness.virtual_time import VirtualClock
from harness.virtual_time import VirtualTimeLoop
from harness.virtual_time import run_in_virtual_time
from mimosaspur_daemon.direct.storechanges import TARGETS
from mimosaspur_state.clock import BoottimeClock
from mimosaspur_state.errors import StoreUnavailable
from mimosaspur_state.fleet import TargetRecord


@given("an entry that keeps a target whose registration lapsed while the store was away")
def keep_lapsed(context: Context) -> None:
    context.store_then = [{"i-0": TargetRecord("i-0", "s", ("127.0.0.1", 9), "north")}, {}]


@when("its coordinator, started again while the store was away, sends its list")
def send_list(context: Context) -> None:
    loop = VirtualTimeLoop()
    clock = VirtualClock(loop)

    async def play() -> None:
        store = RevisedStore(random.Random(0))
        before, after = context.store_then
        store.write(before, 2, clock.now_ms())
        entry = Entry("entry", store, clock)
        await entry.read(watched=False)
        store.write(after, 3, clock.now_ms())
        coordinator = Coordinator("one", store, clock)
        for each in (entry, coordinator):
            each.watch.may_have_been_away = each.watch.target_status.failed(
                StoreUnavailable("away"), watched=False
            )
            await each.read(watched=False)
        context.kept = set(entry.state.fleet.targets)
        apply_frame(entry.state, coordinator.next_frame())
        context.known = set(entry.state.fleet.targets)
        context.is_shared = TARGETS in coordinator.state.freshness.confirmed_ms

    with patch.object(BoottimeClock, "now_ms", lambda _: clock.now_ms()):
        run_in_virtual_time(play(), loop)


@then("the entry still knows the target, which may register again")
def check_kept(context: Context) -> None:
    assert context.kept == {"i-0"}, context.kept
    assert context.known == {"i-0"}, f"{context.known}, shared: {context.is_shared}"
