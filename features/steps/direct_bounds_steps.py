"""Steps for the limits on repeats, avoided targets, relayed events and the event log."""

import json
import os
import time

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from hypothesis import given as given_any
from hypothesis import settings
from hypothesis import strategies

from harness.direct_fleet import ManualClock
from harness.share_leases import held_share
from mimosaspur_coordination.fleetview import TargetView
from mimosaspur_coordination.limits.retrywindow import RetryWindow
from mimosaspur_coordination.targetchoice import preferred_targets
from mimosaspur_coordination.targethealth import TargetHealth
from mimosaspur_daemon.direct.requestretries import RequestRetries
from mimosaspur_protocol.eventbuffer import EventBuffer
from mimosaspur_protocol.eventbuffer import EventMissing
from mimosaspur_state.directsettings import RetryBounds
from mimosaspur_state.eventlog import EventLog
from mimosaspur_state.fleet import TargetRecord

WINDOW_MS = 10_000
SPEND_ATTEMPTS = 1_000
EXAMPLES = 200
FLOOD_EVENTS = 100_000


class TickingClock(ManualClock):
    """A clock that goes on by a millisecond with each reading."""

    def now_ms(self) -> int:
        """Return the time."""
        self.ms += 1
        return super().now_ms()


@given(
    "a retry bound of {ratio:g} of the requests and {slack:d} more, shared by {entries:d} entries"
)
def make_window(context: Context, ratio: float, slack: int, entries: int) -> None:
    context.clock = ManualClock(0)
    bounds = RetryBounds(ratio=ratio, window_ms=WINDOW_MS, slack=slack)
    lease = held_share(WINDOW_MS, sharers=entries, clock=context.clock)
    context.window = RetryWindow(bounds, lease=lease, clock=context.clock)


@when("{requests:d} requests come and all want to be sent again")
def spend(context: Context, requests: int) -> None:
    for _ in range(requests):
        context.window.count_request()
    context.spent = sum(context.window.try_spend() for _ in range(SPEND_ATTEMPTS))


@then("at most {most:d} and at least {least:d} of them may be")
def check_spent(context: Context, most: int, least: int) -> None:
    assert least <= context.spent <= most, context.spent


@when("all repeats are spent and the window has passed")
def spend_and_wait(context: Context) -> None:
    while context.window.try_spend():
        pass
    context.clock.ms += WINDOW_MS + 1


@given("a clock that goes on with each reading")
def set_ticking_clock(context: Context) -> None:
    context.window.clock = TickingClock(0)


@when("a request takes {taken:d} repeats and sends {sent:d}")
def take_and_send(context: Context, taken: int, sent: int) -> None:
    log = EventLog("entry-0", fd=os.open(os.devnull, os.O_WRONLY))
    retries = RequestRetries(context.window, log, service="service", request="r-1")
    for _ in range(taken):
        assert retries.spend(1, what="offer")
    retries.attempts = 1 + sent
    retries.refund_unused()


@then("{count:d} repeat counts")
def check_count(context: Context, count: int) -> None:
    assert context.window.state().repeats == count, context.window.state()


@then("another one may be sent")
def check_another(context: Context) -> None:
    assert context.window.try_spend()


@given("{count:d} targets of which {failing:d} fail all requests")
def make_targets(context: Context, count: int, failing: int) -> None:
    context.clock = ManualClock(1_000)
    context.views = []
    for number in range(count):
        health = TargetHealth(clock=context.clock)
        for _ in range(10):
            if number < failing:
                health.record_failure()
            else:
                health.record_success()
        record = TargetRecord(f"t-{number}", "service", ("127.0.0.1", 1), "here")
        context.views.append(TargetView(record, health))


@when("{ms:d} ms have passed without a request")
def pass_time(context: Context, ms: int) -> None:
    context.clock.ms += ms


@then("{kept:d} targets are left to choose from")
def check_kept(context: Context, kept: int) -> None:
    assert len(preferred_targets(context.views)) == kept


@then("any pieces of any stream give its whole events once and in order")
def check_cutter(context: Context) -> None:
    @settings(max_examples=EXAMPLES, derandomize=True, database=None, deadline=None)
    @given_any(
        strategies.integers(1, 12),
        strategies.integers(0, 12),
        strategies.lists(strategies.integers(1, 30)),
    )
    def check(count: int, broken_after: int, cuts: list[int]) -> None:
        events = [b"id: %d\ndata: e%d\n\n" % (n, n) for n in range(1, count + 1)]
        cutter = EventBuffer(None)
        # The first stream breaks inside an event; the next one resumes after the last whole event.
        first = b"".join(events)[: broken_after * 9]
        relayed = b"".join(cutter.feed(piece) for piece in _pieces(first, cuts))
        cutter.discard_incomplete()
        rest = b"".join(events[(cutter.last_id or 0) :])
        relayed += b"".join(cutter.feed(piece) for piece in _pieces(rest, cuts))
        assert relayed == b"".join(events)
        assert cutter.incomplete == b""

    check()


def _pieces(data: bytes, cuts: list[int]) -> list[bytes]:
    pieces = []
    for cut in cuts:
        pieces.append(data[:cut])
        data = data[cut:]
    return [*pieces, data]


@given("an event log that nobody reads")
def make_log(context: Context) -> None:
    read_end, write_end = os.pipe()
    context.add_cleanup(os.close, read_end)
    context.add_cleanup(os.close, write_end)
    context.log = EventLog("entry-0", clock=ManualClock(500), fd=write_end)


@when("{count:d} events are written within a second")
def write_events(context: Context, count: int) -> None:
    began = time.monotonic()
    for number in range(count):
        context.log.write("attempt", request=str(number), result="failed")
    context.took_s = time.monotonic() - began


@then("writing took under {seconds:d} s, all are counted and memory holds under 1 MB")
def check_log(context: Context, seconds: int) -> None:
    assert context.took_s < seconds, context.took_s
    assert context.log.counters.counts["attempt", "failed"] == FLOOD_EVENTS
    assert sum(map(len, context.log.pending)) < 1_000_000
    assert f'result="failed"}} {FLOOD_EVENTS}' in context.log.counters.render()
    assert json.loads(json.dumps(context.log.suppressed)) == {"attempt": FLOOD_EVENTS - 40}


def _events(first: int, last: int) -> bytes:
    return b"".join(b"id: %d\ndata: x\n\n" % number for number in range(first, last + 1))


@given("the events 1 to {last:d} of a stream were relayed")
def relay_first(context: Context, last: int) -> None:
    context.cutter = EventBuffer(None)
    context.relayed = context.cutter.feed(_events(1, last))


@when("the next target sends the events {first:d} to 9")
def relay_next(context: Context, first: int) -> None:
    context.cutter.discard_incomplete()
    context.gap = False
    try:
        context.relayed += context.cutter.feed(_events(first, 9))
    except EventMissing:
        context.gap = True


@then("the caller has each event once")
def check_once(context: Context) -> None:
    assert not context.gap
    assert context.relayed == _events(1, 9), context.relayed


@then("the caller is not given what follows a gap")
def check_gap(context: Context) -> None:
    assert context.gap
    assert context.relayed == _events(1, 4), context.relayed
