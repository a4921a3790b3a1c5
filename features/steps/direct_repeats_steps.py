"""Steps for entries that share the limit on repeats."""

import asyncio
from unittest.mock import patch

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from hypothesis import given as given_any
from hypothesis import settings
from hypothesis import strategies

from harness.direct_entry import entry_dependencies
from harness.direct_entry import null_log
from harness.direct_entry import settings_for
from harness.direct_fleet import ManualClock
from harness.direct_site import Site
from harness.loop import run
from harness.share_leases import settle_lease
from harness.share_simulation import Event
from harness.share_simulation import ShareSimulation
from mimosaspur_coordination.limits.sharelease import ShareLease
from mimosaspur_daemon.direct.entrystate import EntryState
from mimosaspur_daemon.direct.fleetreport import apply_report
from mimosaspur_protocol.peermessages import FleetReport
from mimosaspur_state.clock import BoottimeClock
from mimosaspur_state.directsettings import RetryBounds

SERVICE = "service"
SPEND_TIMEOUT_S = 20.0
FAULT_DURATION_S = 4.0
SPEND_INTERVAL_S = 0.02
MAX_EXAMPLES = 150
MAX_STEPS = 160
WINDOW_MS = 10_000
RENEW_INTERVAL_MS = 100
SHARERS = 4
# Each event with the idle steps after it: the freeze ends just before the lease does.
WAITING_MESSAGES = (
    (Event.NOTHING, 60),
    (Event.FREEZE, 9),
    (Event.CUT, 0),
    (Event.THAW, 40),
)


class _RetrySpender:
    """Spend all repeats that each entry allows, and record the times."""

    def __init__(self, site: Site) -> None:
        self.site = site
        self.spent: dict[str, list[float]] = {}

    async def run(self) -> None:
        while True:
            now_s = asyncio.get_running_loop().time()
            for entry in self.site.entries:
                window = entry.state.retry_window(SERVICE)
                while window.try_spend():
                    name = entry.state.settings.instance
                    self.spent.setdefault(name, []).append(now_s)
            await asyncio.sleep(SPEND_INTERVAL_S)

    def max_in_window(self, window_s: float) -> int:
        """Return the highest number of repeats in any window."""
        times = sorted(each for spent in self.spent.values() for each in spent)
        return max(
            sum(start <= each <= start + window_s for each in times[number:])
            for number, start in enumerate(times)
        )


@given("{count:d} entries that share {slack:d} repeats in any {window_ms:d} ms")
def start_site(context: Context, count: int, slack: int, window_ms: int) -> None:
    bounds = RetryBounds(ratio=0.2, window_ms=window_ms, slack=slack)
    context.site = Site(count, retries=bounds)
    run(context, context.site.start())
    context.add_cleanup(context.site.stop)


@when("all of them repeat as often as they may, and {trouble}")
def spend_repeats(context: Context, trouble: str) -> None:
    async def simulation() -> None:
        site = context.site
        spenders = context.spenders = _RetrySpender(site)
        spend_task = asyncio.create_task(spenders.run())
        await site.until(lambda: len(spenders.spent) == site.count, SPEND_TIMEOUT_S)
        fault_task = asyncio.create_task(_inject_fault(site, trouble))
        await asyncio.sleep(FAULT_DURATION_S)
        fault_task.cancel()
        spend_task.cancel()

    run(context, simulation())


async def _inject_fault(site: Site, trouble: str) -> None:
    if trouble.endswith("are cut off"):
        site.cut_off(range(1, 3) if trouble.startswith("two followers") else range(3))
    if not trouble.endswith(" ms"):
        return
    pause_s = int(trouble.split()[-2]) / 1000
    numbers = range(site.count) if trouble.startswith("each") else [0]
    while True:
        for number in numbers:
            await site.restart(number)
        await asyncio.sleep(pause_s)


@then("no {window_ms:d} ms have more than {most:d} repeats")
def check_repeats(context: Context, window_ms: int, most: int) -> None:
    fullest = context.spenders.max_in_window(window_ms / 1000)
    assert fullest <= most, fullest


@then("{window_ms:d} ms have at least {least:d} repeats")
def check_min_repeats(context: Context, window_ms: int, least: int) -> None:
    assert context.spenders.max_in_window(window_ms / 1000) >= least


@then(
    "in any play of {count:d} entries at most {most:d} of {slack:d} repeats are spent in any window"
)
def check_any_simulation(context: Context, count: int, most: int, slack: int) -> None:
    step = strategies.tuples(
        strategies.integers(0, count - 1),
        # Mostly idle steps, so that shares become active and are used.
        strategies.sampled_from([*Event, *[Event.NOTHING] * 12]),
    )
    spent = []

    @settings(max_examples=MAX_EXAMPLES, derandomize=True, database=None, deadline=None)
    @given_any(strategies.lists(step, min_size=MAX_STEPS // 2, max_size=MAX_STEPS))
    def check(events: list[tuple[int, Event]]) -> None:
        simulation = ShareSimulation(count, slack)
        simulation.step(0, Event.TAKE_LEASE)
        for who, event in events:
            simulation.step(who, event)
        spent.append(len(simulation.spent))
        assert simulation.max_in_window() <= most, simulation.max_in_window()

    check()
    assert max(spent) > most, "no play spent anything"


@then(
    "at most {most:d} of {slack:d} repeats are spent in any window as one of {count:d} entries"
    " reads messages that waited"
)
def check_waiting_messages(context: Context, most: int, slack: int, count: int) -> None:
    simulation = ShareSimulation(count, slack)
    simulation.step(0, Event.TAKE_LEASE)
    for event, steps in WAITING_MESSAGES:
        simulation.step(1, event)
        for _ in range(steps):
            simulation.step(1, Event.NOTHING)
    assert len(simulation.spent) > most, "the play spent nothing"
    assert simulation.max_in_window() <= most, simulation.max_in_window()


@given("an entry that was told of its part for {seconds:d} s")
def hold_share(context: Context, seconds: int) -> None:
    context.clock = ManualClock(1_000)
    context.lease = ShareLease(window_ms=WINDOW_MS, clock=context.clock)
    _renew(context, seconds * 1_000)


def _renew(context: Context, ms: int) -> None:
    for _ in range(0, ms, RENEW_INTERVAL_MS):
        context.lease.renew(SHARERS, age_ms=0)
        context.clock.ms += RENEW_INTERVAL_MS
    context.lease.renew(SHARERS, age_ms=0)


@when("its process starts again and is told for {ms:d} ms")
def restart_process(context: Context, ms: int) -> None:
    context.lease = ShareLease(window_ms=WINDOW_MS, clock=context.clock)
    _renew(context, ms)


@when("it is told nothing for {ms:d} ms")
@when("the machine is suspended for {ms:d} ms")
def skip_renewals(context: Context, ms: int) -> None:
    context.clock.ms += ms


@when("it is told nothing for {ms:d} ms, and then again")
def renew_after_pause(context: Context, ms: int) -> None:
    context.clock.ms += ms
    context.lease.renew(SHARERS, age_ms=0)


@when("it reads a message {late_ms:d} ms late, and is told nothing for {ms:d} ms")
def renew_late(context: Context, late_ms: int, ms: int) -> None:
    context.clock.ms += late_ms
    context.lease.renew(SHARERS, age_ms=late_ms)
    context.clock.ms += ms


@when("it reads a message of unknown age after {ms:d} ms")
def renew_by_unknown(context: Context, ms: int) -> None:
    context.clock.ms += ms
    context.lease.renew(SHARERS, age_ms=None)


@when(
    "the machine is suspended for {suspended_ms:d} ms before the entry reads its part, and runs for"
    " {later_ms:d} ms"
)
def read_part_after_suspend(context: Context, suspended_ms: int, later_ms: int) -> None:
    clock = ManualClock(1_000)
    # Only this one counts time in suspend.
    boot_clock = ManualClock(1_000)
    report = FleetReport(1, True, SHARERS, [], [], {}, sharer_count=SHARERS)

    async def play() -> None:
        ports = entry_dependencies("a", clock=clock, log=null_log("a"))
        state = EntryState(settings_for("a"), ports)
        settle_lease(state.retry_share, sharers=SHARERS)
        state.report_times.on_sent(1)
        boot_clock.ms += suspended_ms
        state.report_times.on_answered(1)
        apply_report(state, report)
        boot_clock.ms += later_ms
        clock.ms += later_ms
        context.part = state.retry_share.share()

    with patch.object(BoottimeClock, "now_ms", lambda _: boot_clock.ms):
        run(context, play())


@when(
    "an entry counts {count:d} requests, and its machine is suspended for {windows:g} of a window"
)
def count_before_suspend(context: Context, count: int, windows: float) -> None:
    boot_clock = ManualClock(1_000)

    async def play() -> None:
        ports = entry_dependencies("a", clock=ManualClock(1_000), log=null_log("a"))
        state = EntryState(settings_for("a"), ports)
        window = state.retry_window(SERVICE)
        for _ in range(count):
            window.count_request()
        boot_clock.ms += round(windows * window.bounds.window_ms)
        context.may_repeat = window.allows()

    with patch.object(BoottimeClock, "now_ms", lambda _: boot_clock.ms):
        run(context, play())


@then("it {may} repeat a request")
def check_may_repeat(context: Context, may: str) -> None:
    assert context.may_repeat == (may == "may"), context.may_repeat


@when("a new coordinator tells of no part")
def renew_without_share(context: Context) -> None:
    context.lease.renew(0, age_ms=0)


@then("its part of the constant is {part:g}")
def check_share(context: Context, part: float) -> None:
    assert context.lease.share() == part, context.lease.share()


@then("the entry's part of the constant is {part:g}")
def check_part(context: Context, part: float) -> None:
    assert context.part == part, context.part
