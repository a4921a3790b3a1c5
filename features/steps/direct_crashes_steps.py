"""Steps for requests that crash the engines that run them."""

import asyncio
import signal
from collections import Counter
from collections.abc import Awaitable
from collections.abc import Callable

from behave import given
from behave import then
from behave import when
from behave.runner import Context

from harness.crash_site import CrashSite
from harness.crash_site import LongPromptWorkload
from harness.crash_site import PartWorkload
from harness.crash_site import PopularWorkload
from harness.crash_site import TwoBodiesWorkload
from harness.crash_site import flood
from harness.direct_store import StoreStandIn
from harness.entry_processes import EntryProcesses
from harness.local_entries import LocalEntries
from harness.loop import run

CUT_ENTRIES = (1, 2)
CUT_S = 2.0
UNAVAILABLE_STATUS = 503
EVENTS_BEFORE_CRASH = 2
# Longer than entries follow a silent coordinator, or it keeps a silent entry.
FREEZE_S = 2.0
# Numbers of the requests that come after a play.
FURTHER_REQUESTS = 1_000

AfterCrash = Callable[[int], Awaitable[None]]


@given("{entries:d} entry processes before {engines:d} engines that come back after a crash")
def start_processes(context: Context, entries: int, engines: int) -> None:
    store = StoreStandIn()
    entry_processes = EntryProcesses(context.processes, entries)
    _start_site(context, CrashSite(entry_processes, store=store, engines=engines))


@given("{entries:d} entry processes before {engines:d} engines that mark no end and crash")
def start_processes_unframed(context: Context, entries: int, engines: int) -> None:
    store = StoreStandIn()
    site = CrashSite(EntryProcesses(context.processes, entries), store=store, engines=engines)
    site.fleet.unframed = True
    site.fleet.events_before_crash = EVENTS_BEFORE_CRASH
    _start_site(context, site)


@given(
    "{entries:d} entry processes before {engines:d} engines that crash, or fail one request in"
    " {interval:d} with an error"
)
def start_failing_processes(context: Context, entries: int, engines: int, interval: int) -> None:
    store = StoreStandIn()
    site = CrashSite(EntryProcesses(context.processes, entries), store=store, engines=engines)
    site.fleet.error_interval = interval
    _start_site(context, site)


@given(
    "{entries:d} entries in this process before {engines:d} engines that come back after a crash"
)
def start_local_entries(context: Context, entries: int, engines: int) -> None:
    store = StoreStandIn()
    _start_site(context, CrashSite(LocalEntries(entries, store), store=store, engines=engines))


@given("an engine that crashed is back after {seconds:g} s")
def set_restart_delay(context: Context, seconds: float) -> None:
    context.crash_site.fleet.restart_delay_s = seconds


def _start_site(context: Context, site: CrashSite) -> None:
    context.healed_s = 0.0
    context.crash_site = site
    run(context, context.crash_site.start())
    context.add_cleanup(context.crash_site.stop)


@when("a request that crashes engines comes {count:d} times in {seconds:d} s, {where}")
def send_crashing(context: Context, count: int, seconds: int, where: str) -> None:
    site = context.crash_site
    where, _, fault = where.partition(", ")

    def choose_entry(number: int) -> int:
        return 0 if where == "always at one entry" else number

    work = site.play(
        count=count,
        interval_s=seconds / count,
        choose_entry=choose_entry,
        after_crash=_fault(context, fault) if fault else None,
    )
    run(context, work)


@when("two requests that crash engines come {count:d} times in {seconds:d} s, {where}")
def send_two_crashing(context: Context, count: int, seconds: int, where: str) -> None:
    context.crash_site.workload = TwoBodiesWorkload()
    send_crashing(context, count, seconds, where)


@when(
    "a request that crashes engines comes {count:d} times in {seconds:d} s beside a popular one,"
    " {where}"
)
def send_beside_popular(context: Context, count: int, seconds: int, where: str) -> None:
    context.crash_site.workload = PopularWorkload()
    send_crashing(context, count, seconds, where)


@when(
    "requests that share a part that crashes engines come {count:d} times in {seconds:d} s, {where}"
)
def send_crashing_part(context: Context, count: int, seconds: int, where: str) -> None:
    context.crash_site.workload = PartWorkload()
    send_crashing(context, count, seconds, where)


@when(
    "requests that share a part at place {place} of {parts:d} come {count:d} times in"
    " {seconds:d} s, {where}"
)
def send_long_prompts(
    context: Context, place: str, parts: int, count: int, seconds: int, where: str
) -> None:
    where, shuffles, _ = where.partition(", and sound requests hold the others in another order")
    context.crash_site.workload = LongPromptWorkload(
        parts=parts, place=None if place == "any" else int(place), shuffles=bool(shuffles)
    )
    send_crashing(context, count, seconds, where)


def _fault(context: Context, fault: str) -> AfterCrash:
    """Return what happens after the crash of a number."""
    site: CrashSite = context.crash_site
    entries = site.entries

    async def restart_last(number: int) -> None:
        assert isinstance(entries, EntryProcesses)
        await entries.restart(entries.entries[(number - 1) % entries.count])

    async def restart_coordinator(number: int) -> None:
        assert isinstance(entries, EntryProcesses)
        if number == 2:
            await entries.restart(entries.coordinator())

    async def kill_coordinator(number: int) -> None:
        assert isinstance(entries, EntryProcesses)
        if number == 2:
            entries.coordinator().kill()

    async def cut_two(number: int) -> None:
        assert isinstance(entries, LocalEntries)
        if number == 1:
            entries.cut_off(CUT_ENTRIES)
            await asyncio.sleep(CUT_S)
            entries.heal(CUT_ENTRIES)
            context.healed_s = asyncio.get_running_loop().time()

    async def freeze_next(number: int) -> None:
        assert isinstance(entries, EntryProcesses)
        process = entries.entries[number % entries.count].process
        process.send_signal(signal.SIGSTOP)
        try:
            await asyncio.sleep(FREEZE_S)
        finally:
            process.send_signal(signal.SIGCONT)

    async def stop_store(number: int) -> None:
        site.store.status = UNAVAILABLE_STATUS

    faults = {
        "the one that had it starts again after each crash": restart_last,
        "the coordinator starts again after the second crash": restart_coordinator,
        "the coordinator is gone after the second crash": kill_coordinator,
        "an entry is frozen after each crash": freeze_next,
        "two entries are cut off from the first crash for 2 s": cut_two,
        "the store is away from the first crash on": stop_store,
    }
    return faults[fault]


@then("it crashed at least {least:d} engines")
def check_crashes(context: Context, least: int) -> None:
    crashes = context.crash_site.fleet.crashes
    print(f"MEASURED {len(crashes)} engines crashed")
    assert len(crashes) >= least, crashes


@then("it crashed at most {most:d} engines")
def check_most_crashes(context: Context, most: int) -> None:
    crashes = context.crash_site.fleet.own_crashes()
    ends = [(round(each.at_s - crashes[0].at_s, 2), len(each.requests)) for each in crashes]
    print(f"MEASURED {len(crashes)} engines crashed: s after the first, requests there: {ends}")
    assert len(crashes) <= most, ends


@then("it reached engines at most {most:d} times later than {ms:d} ms after its first crash")
def check_arrivals_after_first(context: Context, most: int, ms: int) -> None:
    fleet = context.crash_site.fleet
    late = fleet.crashing_arrivals(after_s=fleet.own_crashes()[0].at_s + ms / 1000)
    print(f"MEASURED {len(late)} arrivals later than {ms} ms after the first crash")
    assert len(late) <= most, late


@then("it reached engines at most {most:d} times later than {ms:d} ms after its third crash")
def check_late_arrivals(context: Context, most: int, ms: int) -> None:
    site = context.crash_site
    late = site.fleet.crashing_arrivals(after_s=site.third_crash_s() + ms / 1000)
    print(f"MEASURED {len(late)} arrivals later than {ms} ms after the third crash")
    assert len(late) <= most, late


@then("they crashed at least {least:d} engines")
def check_part_crashes(context: Context, least: int) -> None:
    check_crashes(context, least)


@then("they reached engines at most {most:d} times later than {ms:d} ms after their third crash")
def check_late_part_arrivals(context: Context, most: int, ms: int) -> None:
    check_late_arrivals(context, most, ms)


@then("every entry that runs then rejects one more of them within {ms:d} ms")
def check_rejected_by_all(context: Context, ms: int) -> None:
    site = context.crash_site
    running = [number for number, entry in enumerate(site.entries.entries) if entry.runs()]
    assert len(running) >= site.entries.count - 1, running
    for number in running:
        answer = run(context, site.call_crashing(number, FURTHER_REQUESTS + number))
        assert "3007" in answer.text, (number, answer)
        assert answer.lasted_s <= ms / 1000, (number, answer)


@then(
    "of the sound requests at least {share:g} times as many as before were begun at their first"
    " attempt, from {ms:d} ms after the third crash"
)
def check_sound_share(context: Context, share: float, ms: int) -> None:
    site = context.crash_site
    first_s = site.fleet.crashes[0].at_s
    before = site.served_share(since_s=0.0, until_s=first_s)
    since_s = site.third_crash_s() + ms / 1000
    during = site.served_share(since_s=since_s, until_s=site.crashing[-1].sent_s)
    print(f"MEASURED {before:.2f} begun before, {during:.2f} during")
    assert during >= share * before, (before, during)


@then("no sound request was rejected for the crashes")
def check_sound(context: Context) -> None:
    site = context.crash_site
    statuses = [answer.status for answer in site.sound]
    lost = [answer for answer in site.sound if answer.status != 200 or not answer.whole]
    print(f"MEASURED {len(lost)} of {len(statuses)} sound requests lost")
    rejected = [answer for answer in site.sound if "3007" in answer.text]
    assert len(statuses) > 50, statuses
    assert not rejected, rejected


@then("all entries reject it within {ms:d} ms after its third crash, or after the cut has healed")
def check_rejected_in_time(context: Context, ms: int) -> None:
    site = context.crash_site
    due_s = max(site.third_crash_s(), context.healed_s) + ms / 1000
    since_s = site.entries.rejected_since_s
    crashes = [(round(each.at_s, 2), len(each.requests)) for each in site.fleet.crashes]
    events = site.entries.link_events()
    assert len(since_s) == site.entries.count, (since_s, crashes, events)
    known_s = max(since_s.values()) - site.third_crash_s()
    print(f"MEASURED all entries rejected it {known_s:.2f} s after the third crash")
    assert max(since_s.values()) <= due_s, (
        f"third crash {site.third_crash_s():.2f}, healed {context.healed_s:.2f}, due {due_s:.2f}, "
        f"known {since_s}, crashes {crashes}, events {events}"
    )


@when(
    "the engines crash one after another {crashes:d} times, while one body is sent every {ms:d} ms"
)
def send_sound_body(context: Context, crashes: int, ms: int) -> None:
    work = flood(context.crash_site, body=b"sound", interval_s=ms / 1000, crashes=crashes)
    context.answers = run(context, work)


@then("the body was never rejected for the crashes")
def check_never_rejected(context: Context) -> None:
    answers = context.answers
    served = [answer for answer in answers if answer.status == 200 and answer.whole]
    lasted_s = sorted(answer.lasted_s for answer in served)
    late_s = lasted_s[int(0.95 * len(lasted_s))]
    rejected = Counter(answer.text[:4] for answer in answers if answer.status != 200)
    print(f"MEASURED {len(served)} of {len(answers)} served, 95 of 100 in {late_s:.2f} s")
    print(f"MEASURED not served, by code: {dict(rejected)}")
    assert not [answer for answer in answers if "3007" in answer.text]
    assert len(served) > len(answers) / 2, answers
