"""Steps for targets that say in their answers that they leave, or ask for rest."""

import asyncio
import signal
from collections.abc import Sequence

from behave import then
from behave import when
from behave.runner import Context

from harness.entry_processes import EntryProcesses
from harness.limit_site import LimitSite
from harness.limit_site import request_number
from harness.limited_target import SERVERS
from harness.limited_target import Arrival
from harness.limited_target import LimitedTarget
from harness.limited_target import registration
from harness.loop import run

SERVED_STATUS = 200
UNAVAILABLE_STATUS = 503
# From what a target says to the fault.
FAULT_DELAY_S = 1.0
LAPSE_S = 0.5


async def _play(
    context: Context,
    *,
    per_s: int,
    seconds: int,
    targets: Sequence[LimitedTarget],
    fault: str = "",
    **changes: object,
) -> None:
    """Send requests, and change what targets say after some time."""
    context.told = targets
    context.restarted = None
    until_s = changes.pop("until_s", None)

    async def change() -> None:
        await asyncio.sleep(2.0)
        for target in targets:
            for name, value in changes.items():
                setattr(target, name, value)
        if fault:
            await asyncio.sleep(FAULT_DELAY_S)
            await _inject(context, fault, targets[0])
        if until_s:
            await asyncio.sleep(float(str(until_s)) - 2.0)
            for target in targets:
                target.retry_after = None

    changing = asyncio.create_task(change())
    await context.site.send_requests(per_s=per_s, seconds=seconds)
    await changing


@when(
    "requests come {per_s:d} a second for {seconds:d} s, and after 2 s one target says in its"
    " answers that it leaves"
)
def leave_one(context: Context, per_s: int, seconds: int) -> None:
    targets = context.site.targets[:1]
    run(context, _play(context, per_s=per_s, seconds=seconds, targets=targets, leaving=True))


async def _inject(context: Context, fault: str, target: LimitedTarget) -> None:
    site: LimitSite = context.site
    entries = site.entries
    assert isinstance(entries, EntryProcesses)
    coordinator = entries.coordinator()
    follower = next(entry for entry in entries.entries if entry is not coordinator)
    if fault == "the store is away":
        site.store.status = UNAVAILABLE_STATUS
    elif fault == "the store says again that it is ready":
        site.store.put(SERVERS, target.identity, registration(target))
    elif fault == "its registration lapses and comes back":
        site.store.delete(SERVERS, target.identity)
        await asyncio.sleep(LAPSE_S)
        site.store.put(SERVERS, target.identity, registration(target))
    elif fault == "an entry is frozen for 1 s":
        follower.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(1.0)
        follower.process.send_signal(signal.SIGCONT)
    else:
        entry = coordinator if "coordinator" in fault else follower
        context.restarted = entries.entries.index(entry)
        entry.kill()
        if fault.endswith("starts again"):
            entry.start()


@when(
    "requests come {per_s:d} a second for {seconds:d} s, after 2 s one target says in its answers"
    " that it leaves, and 1 s later {fault}"
)
def leave_one_with_fault(context: Context, per_s: int, seconds: int, fault: str) -> None:
    targets = context.site.targets[:1]
    work = _play(context, per_s=per_s, seconds=seconds, targets=targets, fault=fault, leaving=True)
    run(context, work)


@when(
    "requests come {per_s:d} a second for {seconds:d} s, and after 2 s all targets say in their"
    " answers that they leave"
)
def leave_all(context: Context, per_s: int, seconds: int) -> None:
    targets = context.site.targets
    run(context, _play(context, per_s=per_s, seconds=seconds, targets=targets, leaving=True))


@when(
    "requests come {per_s:d} a second for {seconds:d} s, and after 2 s one target turns requests"
    " away and asks for {rest} s of rest"
)
def rest_one(context: Context, per_s: int, seconds: int, rest: str) -> None:
    targets = context.site.targets[:1]
    run(context, _play(context, per_s=per_s, seconds=seconds, targets=targets, retry_after=rest))


@when(
    "requests come {per_s:d} a second for {seconds:d} s, and after 2 s all targets turn requests"
    " away and ask for {rest} s of rest"
)
def rest_all(context: Context, per_s: int, seconds: int, rest: str) -> None:
    targets = context.site.targets
    run(context, _play(context, per_s=per_s, seconds=seconds, targets=targets, retry_after=rest))


@when(
    "requests come {per_s:d} a second for {seconds:d} s, and from 2 s to {until_s:d} s all targets"
    " turn requests away and ask for {rest} s of rest"
)
def rest_for_a_while(context: Context, per_s: int, seconds: int, until_s: int, rest: str) -> None:
    work = _play(
        context,
        per_s=per_s,
        seconds=seconds,
        targets=context.site.targets,
        retry_after=rest,
        until_s=until_s,
    )
    run(context, work)


def _by_entry(site: LimitSite, arrivals: Sequence[Arrival]) -> dict[int, list[float]]:
    """Return the times of requests, by the entry that was asked for them."""
    times: dict[int, list[float]] = {}
    for each in arrivals:
        if each.request:
            entry = request_number(each.request) % site.entries.count
            times.setdefault(entry, []).append(each.at_s)
    return times


@then("it gets nothing from an entry later than {ms:d} ms after it has told that entry")
@then("each gets nothing from an entry later than {ms:d} ms after it has told that entry")
def check_told_entries(context: Context, ms: int) -> None:
    for target in context.told:
        told = _by_entry(context.site, target.said_leaving)
        assert target.said_leaving, "no entry was told"
        arrivals = _by_entry(context.site, [each for each in target.arrivals if each.to_run])
        late = {
            entry: sum(at_s > min(times) + ms / 1000 for at_s in arrivals[entry])
            for entry, times in told.items()
            if entry != context.restarted
        }
        print(f"MEASURED {target.identity}: {sum(late.values())} later, {len(told)} entries told")
        assert not any(late.values()), late


@then(
    "it gets nothing from an entry later than {ms:d} ms after it has told that entry, restarts"
    " apart"
)
def check_told_but_restarted(context: Context, ms: int) -> None:
    check_told_entries(context, ms)


@then(
    "it gets at most {most:d} requests from all entries later than {ms:d} ms after it has told the"
    " first one"
)
def check_few_late(context: Context, most: int, ms: int) -> None:
    for target in context.told:
        first_s = min(each.at_s for each in target.said_leaving)
        late = [each for each in target.arrivals if each.to_run and each.at_s > first_s + ms / 1000]
        print(f"MEASURED {target.identity}: {len(late)} of all entries later than {ms} ms")
        assert len(late) <= most, len(late)


@then("it gets nothing from any entry later than {ms:d} ms after it has told the first one")
def check_all_entries(context: Context, ms: int) -> None:
    for target in context.told:
        first_s = min(each.at_s for each in target.said_leaving)
        late = [each for each in target.arrivals if each.to_run and each.at_s > first_s + ms / 1000]
        print(f"MEASURED {target.identity}: {len(late)} of all entries later than {ms} ms")
        assert not late, len(late)


@then(
    "it gets at most {most:d} request from an entry between {ms:d} ms after a refusal and the end"
    " of its rest"
)
@then(
    "each gets at most {most:d} request from an entry between {ms:d} ms after a refusal and the end"
    " of its rest"
)
def check_rests(context: Context, most: int, ms: int) -> None:
    for target in context.told:
        refused = _by_entry(context.site, target.refused)
        assert refused, "nothing was refused"
        arrivals = _by_entry(context.site, [each for each in target.arrivals if each.to_run])
        rest_s = float(target.retry_after or 1.0)
        worst = max(
            sum(refused_s + ms / 1000 < at_s < refused_s + rest_s for at_s in arrivals[entry])
            for entry, times in refused.items()
            for refused_s in times
        )
        print(f"MEASURED {target.identity}: {worst} in a rest, {len(target.refused)} refused")
        assert worst <= most, worst


@then("all requests are served")
def check_served(context: Context) -> None:
    lost = [answer for _, answer in context.site.answers if answer.status != SERVED_STATUS]
    assert not lost, (len(lost), lost[:3])


@then("all requests of the last {seconds:d} s are served")
def check_served_last(context: Context, seconds: int) -> None:
    site = context.site
    since_s = site.ended_s - seconds
    answers = [answer for _, answer in site.answers if answer.sent_s >= since_s]
    lost = [answer for answer in answers if answer.status != SERVED_STATUS]
    assert answers
    assert not lost, (len(lost), lost[:3])


@then("at most {most:d} request of each entry is rejected")
def check_few_rejected(context: Context, most: int) -> None:
    rejected: dict[int, int] = {}
    for entry, answer in context.site.answers:
        if answer.status != SERVED_STATUS:
            rejected[entry] = rejected.get(entry, 0) + 1
    assert max(rejected.values(), default=0) <= most, rejected


@then("what isn't served is rejected within {seconds:g} s, with Retry-After")
def check_rejected(context: Context, seconds: float) -> None:
    rejected = [answer for _, answer in context.site.answers if answer.status != SERVED_STATUS]
    assert rejected, "all was served"
    for answer in rejected:
        assert answer.status == UNAVAILABLE_STATUS, answer
        assert answer.retry_after_s is not None, answer
    slowest_s = max(answer.lasted_s for answer in rejected)
    print(f"MEASURED {len(rejected)} rejected, the slowest after {slowest_s:.2f} s")
    assert slowest_s <= seconds, slowest_s
