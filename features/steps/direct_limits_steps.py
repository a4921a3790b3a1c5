"""Steps for targets that name a request limit."""

import asyncio
import signal
from collections.abc import Awaitable
from collections.abc import Callable

from behave import given
from behave import then
from behave import when
from behave.runner import Context

from harness.direct_store import StoreStandIn
from harness.entry_processes import EntryProcess
from harness.entry_processes import EntryProcesses
from harness.limit_site import LimitSite
from harness.loop import run

UNAVAILABLE_STATUS = 503

Action = Callable[[], Awaitable[None]]

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
    context.events = []
    context.load = (per_s, seconds)

    async def name_limits() -> None:
        for target in site.targets[:limited]:
            target.limit = limit

    context.events.append((float(delay), name_limits))


@when("at {at} s the targets name {later}")
def change_limit(context: Context, at: str, later: str) -> None:
    async def change() -> None:
        for target in context.site.limited():
            target.limit = None if later == "none" else later

    context.events.append((float(at), change))


@when("at {at} s {fault}")
def inject_fault(context: Context, at: str, fault: str) -> None:
    site: LimitSite = context.site
    entries = site.entries
    assert isinstance(entries, EntryProcesses)
    coordinates = fault.startswith("the coordinator")

    def affected() -> EntryProcess:
        return next(each for each in entries.entries if each.coordinates() == coordinates)

    async def inject() -> None:
        if fault == "the store is away":
            site.store.status = UNAVAILABLE_STATUS
            return
        entry = affected()
        context.affected = entries.entries.index(entry)
        if "frozen" in fault:
            entry.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(float(fault.split()[-2]))
            entry.process.send_signal(signal.SIGCONT)
        elif fault.endswith("is asked to stop"):
            entry.process.send_signal(signal.SIGTERM)
        else:
            entry.kill()
            if fault.endswith("starts again"):
                entry.start()

    context.events.append((float(at), inject))


def _play(context: Context) -> None:
    """Play the load and the events, unless that was done."""
    if context.load is None:
        return
    site: LimitSite = context.site
    per_s, seconds = context.load
    context.load = None

    async def act(at_s: float, action: Action) -> None:
        await asyncio.sleep(at_s)
        await action()

    async def play() -> None:
        events = [asyncio.create_task(act(*each)) for each in context.events]
        await site.send_requests(per_s=per_s, seconds=seconds)
        await asyncio.gather(*events)

    run(context, play())
    assert site.limited()


@then("from {since} s on each of these got at {bound} {count:d} requests")
def check_count(context: Context, since: str, bound: str, count: int) -> None:
    _play(context)
    site: LimitSite = context.site
    for target in site.limited():
        began_s = site.began_s + float(since)
        got = target.runs_between(began_s, site.ended_s)
        print(f"MEASURED {target.identity} got {got}")
        assert got >= count if bound == "least" else got <= count, got


@then(
    "each of these got at most the limit and one request more in any {window:d} s, from {lag} s on"
)
def check_limit(context: Context, window: int, lag: str) -> None:
    _play(context)
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
    answers = [answer for _, answer in context.site.answers]
    served = sum(answer.status == 200 and answer.whole for answer in answers)
    rejected_s = [answer.lasted_s for answer in answers if answer.status == 503]
    longest_s = max(answer.lasted_s for answer in answers)
    print(
        f"MEASURED {served} of {len(answers)} served, {len(rejected_s)} rejected after at most "
        f"{max(rejected_s, default=0.0):.2f} s, the longest answer took {longest_s:.2f} s"
    )
    assert longest_s <= float(seconds), longest_s


@then("each request to an entry that went on was answered within {seconds} s")
def check_held_elsewhere(context: Context, seconds: str) -> None:
    affected = getattr(context, "affected", None)
    answers = [answer for entry, answer in context.site.answers if entry != affected]
    longest_s = max(answer.lasted_s for answer in answers)
    print(f"MEASURED the longest answer took {longest_s:.2f} s")
    assert longest_s <= float(seconds), longest_s
