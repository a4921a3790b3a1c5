"""Steps of entries that share the bound on repeats."""

import asyncio

from behave import given
from behave import then
from behave import when
from behave.runner import Context

from harness.direct_site import Site
from harness.loop import run
from mimosaspur_state.directsettings import RetryBounds

SERVICE = "service"
SPENT_WITHIN_S = 20.0
TROUBLE_S = 4.0
LOOK_S = 0.02


class _Spenders:
    """Spend all that each entry may, and remember when."""

    def __init__(self, site: Site) -> None:
        self.site = site
        self.spent: dict[str, list[float]] = {}

    async def run(self) -> None:
        while True:
            now_s = asyncio.get_running_loop().time()
            for entry in self.site.entries:
                window = entry.state.retry_window(SERVICE)
                while window.spend():
                    name = entry.state.settings.instance
                    self.spent.setdefault(name, []).append(now_s)
            await asyncio.sleep(LOOK_S)

    def fullest(self, window_s: float) -> int:
        """Return the most repeats that any window has."""
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
def repeat(context: Context, trouble: str) -> None:
    async def play() -> None:
        site = context.site
        spenders = context.spenders = _Spenders(site)
        spending = asyncio.create_task(spenders.run())
        await site.until(lambda: len(spenders.spent) == site.count, SPENT_WITHIN_S)
        troubling = asyncio.create_task(_trouble(site, trouble))
        await asyncio.sleep(TROUBLE_S)
        troubling.cancel()
        spending.cancel()

    run(context, play())


async def _trouble(site: Site, trouble: str) -> None:
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
    fullest = context.spenders.fullest(window_ms / 1000)
    assert fullest <= most, fullest
