"""Steps for entries that share the limit on repeats."""

import asyncio

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from hypothesis import given as given_any
from hypothesis import settings
from hypothesis import strategies

from harness.direct_fleet import ManualClock
from harness.direct_site import Site
from harness.loop import run
from harness.share_simulation import Event
from harness.share_simulation import ShareSimulation
from mimosaspur_coordination.limits.sharelease import ShareLease
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


@given("an entry that was told of its part for {seconds:d} s")
def hold_share(context: Context, seconds: int) -> None:
    context.clock = ManualClock(1_000)
    context.lease = ShareLease(window_ms=WINDOW_MS, clock=context.clock)
    _renew(context, seconds * 1_000)


def _renew(context: Context, ms: int) -> None:
    for _ in range(0, ms, RENEW_INTERVAL_MS):
        context.lease.renew(SHARERS)
        context.clock.ms += RENEW_INTERVAL_MS
    context.lease.renew(SHARERS)


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
    context.lease.renew(SHARERS)


@when("a new coordinator tells of no part")
def renew_without_share(context: Context) -> None:
    context.lease.renew(0)


@then("its part of the constant is {part:g}")
def check_share(context: Context, part: float) -> None:
    assert context.lease.share() == part, context.lease.share()
