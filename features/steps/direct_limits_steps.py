"""Steps for targets that name a request limit."""

import asyncio

from behave import given
from behave import then
from behave import when
from behave.runner import Context

from harness.direct_store import StoreStandIn
from harness.entry_processes import EntryProcesses
from harness.limit_site import LimitSite
from harness.loop import run

WINDOW_S = 4.0
# A limit is named by some targets only, in the order of their identities.
FLEETS = {
    "the only engine": (1, True),
    "three engines": (3, True),
    "three services": (3, False),
}


@given("{entries:d} entry processes that send to {fleet}")
def start_processes(context: Context, entries: int, fleet: str) -> None:
    targets, engines = FLEETS[fleet]
    context.site = LimitSite(
        EntryProcesses(context.processes, entries),
        store=StoreStandIn(),
        targets=targets,
        engines=engines,
    )
    context.add_cleanup(context.site.stop)
    run(context, context.site.start())


@when(
    "requests come {per_s:d} a second for {seconds:d} s, "
    "and after {delay:d} s {limited:d} of these targets name a limit of {limit} a second"
)
def send_requests(
    context: Context, per_s: int, seconds: int, delay: int, limited: int, limit: str
) -> None:
    site: LimitSite = context.site
    context.limit = float(limit)

    async def name_limits() -> None:
        await asyncio.sleep(delay)
        for target in site.targets[:limited]:
            target.limit = limit

    async def play() -> None:
        naming = asyncio.create_task(name_limits())
        await site.send_requests(per_s=per_s, seconds=seconds)
        await naming

    run(context, play())
    assert len(site.limited()) == limited


@then(
    "each of these got at most the limit and one request more in any {window:d} s, from {lag} s on"
)
def check_limit(context: Context, window: int, lag: str) -> None:
    allowed = context.limit * window + 1
    most = {}
    for target in context.site.limited():
        most[target.identity] = target.most_within(window, since_s=target.named_s + float(lag))
    print(f"MEASURED most in {window} s: {most}, allowed {allowed:g}")
    assert max(most.values()) <= allowed, f"most {most}, allowed {allowed:g}"


@then("each of these got at least {share} of its limit in the last {seconds:d} s")
def check_used(context: Context, share: str, seconds: int) -> None:
    site: LimitSite = context.site
    used = {}
    for target in site.limited():
        runs = target.runs_between(site.ended_s - seconds, site.ended_s)
        used[target.identity] = runs / (context.limit * seconds)
    print(f"MEASURED used share of the limit: {used}")
    assert min(used.values()) >= float(share), used


@then("each request was answered within {seconds} s")
def check_held(context: Context, seconds: str) -> None:
    answers = context.site.answers
    longest_s = max(answer.lasted_s for answer in answers)
    served = sum(answer.status == 200 and answer.whole for answer in answers)
    rejected = [answer for answer in answers if answer.status == 503]
    held_s = max((answer.lasted_s for answer in rejected), default=0.0)
    print(
        f"MEASURED {served} of {len(answers)} served, {len(rejected)} rejected after at most "
        f"{held_s:.2f} s, the longest answer took {longest_s:.2f} s"
    )
    assert longest_s <= float(seconds), longest_s
