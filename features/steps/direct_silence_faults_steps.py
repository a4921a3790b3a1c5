"""Steps for entry processes whose targets fall silent beside changes and signals."""

import asyncio

from behave import given
from behave import then
from behave import when
from behave.model import Row
from behave.runner import Context

from harness.entry_processes import EntryProcesses
from harness.loop import run
from harness.silence_site import SilenceSite
from harness.silence_site import SitePlan

SAMPLE_S = 0.05


@given("sites at once")
def start_sites(context: Context) -> None:
    _start(context, accepts=True)


@given("sites at once whose silent targets accept no connections")
def start_still_sites(context: Context) -> None:
    _start(context, accepts=False)


def _start(context: Context, *, accepts: bool) -> None:
    assert context.table
    plans = [_plan(row, accepts=accepts) for row in context.table]
    context.sites = []

    async def start() -> None:
        first = 0
        for plan in plans:
            entries = EntryProcesses(context.processes, plan.entries, first=first)
            first += plan.entries
            context.sites.append(SilenceSite(plan, entries))
            # Added while the event loop runs, so that the sites are stopped before it is closed.
            context.add_cleanup(context.sites[-1].stop)
        await asyncio.gather(*(site.start() for site in context.sites))

    run(context, start())


@when("requests come and targets fall silent at each site")
def play(context: Context) -> None:
    async def play_all() -> float:
        lags_s: list[float] = []
        sampling = asyncio.create_task(_sample_lag(lags_s))
        await asyncio.gather(*(site.play() for site in context.sites))
        sampling.cancel()
        return max(lags_s)

    # Tells what failed on a starved machine from what did not.
    print(f"MEASURED the scenario's own loop was late by {run(context, play_all()):.2f} s at most")


async def _sample_lag(lags_s: list[float]) -> None:
    loop = asyncio.get_running_loop()
    while True:
        due_s = loop.time() + SAMPLE_S
        await asyncio.sleep(SAMPLE_S)
        lags_s.append(loop.time() - due_s)


@then("each request of a site has its whole answer, within its runs and retries")
def check(context: Context) -> None:
    failed = []
    for site in context.sites:
        failures = site.failures()
        longest_s = max(answer.lasted_s for _, _, answer in site.answers)
        print(
            f"MEASURED {len(failures)} of {len(site.answers)} wrong, "
            f"the longest answer took {longest_s:.2f} s, {site.plan}"
        )
        failed += [f"{'/'.join(site.plan.changes)}: {failure}" for failure in failures]
    assert not failed, f"{len(failed)} wrong:\n" + "\n".join(failed)


def _plan(row: Row, *, accepts: bool) -> SitePlan:
    silences = tuple(
        None if each == "ever" else float(each) for each in row["silent for"].split(", ")
    )
    silent, targets = (int(each) for each in row["silent"].split(" of "))
    return SitePlan(
        entries=int(row["entries"]),
        targets=targets,
        holders=int(row["holders"]),
        silent=silent,
        silences=silences,
        times=int(row["times"]),
        changes=tuple(row["beside"].split(", ")),
        accepts=accepts,
    )
