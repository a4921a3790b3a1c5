"""Steps for streams while targets of several software versions serve."""

import asyncio
import random
import signal
from collections.abc import Callable
from collections.abc import Coroutine
from functools import partial
from typing import Any

from behave import given
from behave import then
from behave import when
from behave.runner import Context

from harness.direct_store import StoreStandIn
from harness.entry_processes import EntryProcess
from harness.entry_processes import EntryProcesses
from harness.local_entries import LocalEntries
from harness.loop import run
from harness.version_site import Stream
from harness.version_site import VersionSite

SHOWN = 5
UNAVAILABLE_STATUS = 503
# When an event begins, after the streams.
EVENT_AT_S = 2.0
FROZEN_S = 2.0
NEXT_EVENT_S = 4.0
SERVED_S = 3.0
CUT_ENTRIES = (1,)
CUT_S = 5.0
BECOMES_KNOWN_S = 0.5
# How long entries stand still by turns, and for which share of that time each of them does.
STALLS_MS = (20, 50, 100, 400)
STALLS_S = 6.0
STALLED_SHARE = 0.2
# How long streams that broke are held before all entries are killed, and these are down.
HELD_S = 1.5
DOWN_S = 1.1
# When an entry learns of a change in the store.
LEARNT_S = 0.1


@given("{entries:d} entry processes before targets of versions {versions}")
def start_processes(context: Context, entries: int, versions: str) -> None:
    context.site = VersionSite(
        EntryProcesses(context.processes, entries),
        store=StoreStandIn(),
        versions=versions.split(),
    )
    context.add_cleanup(context.site.stop)
    run(context, context.site.start())


@given("{entries:d} entries in this process before targets of versions {versions}")
def start_local_entries(context: Context, entries: int, versions: str) -> None:
    store = StoreStandIn()
    local = LocalEntries(entries, store)
    context.site = VersionSite(local, store=store, versions=versions.split())
    context.add_cleanup(context.site.stop)
    run(context, context.site.start())


@given("these have served for {seconds:d} s")
def serve(context: Context, seconds: int) -> None:
    run(context, asyncio.sleep(seconds))


@when("{per_s:d} streams a second are broken off for {seconds:d} s, and {what}")
def send_streams(context: Context, per_s: int, seconds: int, what: str) -> None:
    site: VersionSite = context.site

    async def play() -> None:
        event = asyncio.create_task(EVENTS[what](site))
        await site.send_streams(per_s=per_s, seconds=seconds)
        await event

    run(context, play())


def _processes(site: VersionSite) -> EntryProcesses:
    assert isinstance(site.entries, EntryProcesses)
    return site.entries


async def _nothing(site: VersionSite) -> None:
    pass


async def _kill_two(site: VersionSite) -> None:
    await asyncio.sleep(EVENT_AT_S)
    await _processes(site).restart(_processes(site).entries[0])
    await asyncio.sleep(NEXT_EVENT_S)
    await _processes(site).restart(_processes(site).entries[1])


async def _kill_coordinator(site: VersionSite) -> None:
    await asyncio.sleep(EVENT_AT_S)
    _processes(site).coordinator().kill()


async def _stop_coordinator(site: VersionSite) -> None:
    await asyncio.sleep(EVENT_AT_S)
    entry = _processes(site).coordinator()
    entry.process.send_signal(signal.SIGTERM)
    await asyncio.to_thread(entry.process.wait)
    entry.start()
    await entry.wait_until_ready()


async def _freeze(site: VersionSite) -> None:
    await asyncio.sleep(EVENT_AT_S)
    number = next(n for n, each in enumerate(_processes(site).entries) if not each.coordinates())
    process = _processes(site).entries[number].process
    site.avoided.add(number)
    process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(FROZEN_S)
    process.send_signal(signal.SIGCONT)
    site.avoided.discard(number)


async def _stop_store(site: VersionSite) -> None:
    await asyncio.sleep(EVENT_AT_S)
    site.store.status = UNAVAILABLE_STATUS


async def _come_and_go(site: VersionSite) -> None:
    await asyncio.sleep(EVENT_AT_S)
    old = list(site.targets)
    await site.add_target("v1.1")
    await site.add_target("v1.1")
    await asyncio.sleep(SERVED_S)
    for target in old:
        site.remove_target(target)
    await asyncio.sleep(SERVED_S)
    await site.add_target("v1")


async def _take_over_address(site: VersionSite) -> None:
    await asyncio.sleep(EVENT_AT_S)
    target = next(each for each in site.targets if each.version == "v1.1")
    site.remove_target(target)
    await site.add_target("v1.2", address=target.address)


async def _kill_six(site: VersionSite) -> None:
    await asyncio.sleep(EVENT_AT_S)
    for entry in _processes(site).entries[3:9]:
        entry.kill()


async def _cut_off(site: VersionSite) -> None:
    assert isinstance(site.entries, LocalEntries)
    await asyncio.sleep(EVENT_AT_S)
    site.entries.cut_off(CUT_ENTRIES)
    await asyncio.sleep(CUT_S)
    site.entries.heal(CUT_ENTRIES)


async def _cut_off_while_version_comes(site: VersionSite) -> None:
    cutting = asyncio.create_task(_cut_off(site))
    await asyncio.sleep(EVENT_AT_S + BECOMES_KNOWN_S)
    for _ in range(2):
        await site.add_target("v1.1")
    await cutting


async def _kill_all(site: VersionSite) -> None:
    await asyncio.sleep(EVENT_AT_S)
    await _restart(_processes(site).entries)


async def _restart(entries: list[EntryProcess], *, down_s: float = 0.0) -> None:
    for entry in entries:
        entry.kill()
    await asyncio.sleep(down_s)
    for entry in entries:
        entry.start()
    for entry in entries:
        await entry.wait_until_ready()


async def _stall(site: VersionSite, *, stall_s: float) -> None:
    """Let each entry stand still for a share of the time, by a seed."""
    await asyncio.gather(
        *(_stall_entry(entry, stall_s) for entry in _processes(site).entries),
    )


async def _stall_entry(entry: EntryProcess, stall_s: float) -> None:
    chooser = random.Random(entry.name)
    loop = asyncio.get_running_loop()
    end_s = loop.time() + STALLS_S
    while loop.time() < end_s:
        running_s = stall_s * (1 - STALLED_SHARE) / STALLED_SHARE
        await asyncio.sleep(chooser.expovariate(1 / running_s))
        entry.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(stall_s)
        entry.process.send_signal(signal.SIGCONT)


async def _kill_all_while_version_leaves(
    site: VersionSite, *, gone_s: float = 0.0, halves: int = 1, store_away_s: float = 0.0
) -> None:
    """Kill all entries some time after the only target of the last version has left."""
    await asyncio.sleep(EVENT_AT_S)
    site.may_take_up.clear()
    await asyncio.sleep(HELD_S)
    entries = _processes(site).entries
    site.deregister(site.targets[-1])
    await asyncio.sleep(gone_s)
    if store_away_s:
        site.store.status = UNAVAILABLE_STATUS
        asyncio.get_running_loop().call_later(store_away_s, setattr, site.store, "status", 0)
    for half in range(halves):
        await _restart(entries[half::halves], down_s=DOWN_S)
    site.may_take_up.set()


async def _kill_all_at_one_version(site: VersionSite) -> None:
    await asyncio.sleep(EVENT_AT_S)
    site.may_take_up.clear()
    await asyncio.sleep(HELD_S)
    await _restart(_processes(site).entries, down_s=DOWN_S)
    site.may_take_up.set()


async def _lose_coordinator_before_write(site: VersionSite) -> None:
    """Kill the coordinator as it learns of a version, and all entries as that version leaves."""
    await asyncio.sleep(EVENT_AT_S)
    coordinator = _processes(site).coordinator()
    await site.add_target("v1.1")
    await asyncio.sleep(LEARNT_S)
    await _restart([coordinator])
    await asyncio.sleep(SERVED_S)
    await _kill_all_while_version_leaves(site, gone_s=1.0)


EVENTS: dict[str, Callable[[VersionSite], Coroutine[Any, Any, None]]] = {
    "nothing else happens": _nothing,
    "an entry is killed, and another 4 s later": _kill_two,
    "the coordinator is killed": _kill_coordinator,
    "the coordinator is stopped, and starts again": _stop_coordinator,
    "an entry is frozen for 2 s": _freeze,
    "the store is away": _stop_store,
    "v1.1 comes, v1 goes and comes back": _come_and_go,
    "v1.1 is gone, and v1.2 takes over its address": _take_over_address,
    "six entries are killed at once": _kill_six,
    "an entry is cut off for 5 s": _cut_off,
    "an entry is cut off while v1.1 comes": _cut_off_while_version_comes,
    "all entries are killed at once": _kill_all,
    "all are killed as v1.1 leaves": _kill_all_while_version_leaves,
    "all are killed 1 s after v1.1 left": partial(_kill_all_while_version_leaves, gone_s=1.0),
    "all are killed in two halves": partial(_kill_all_while_version_leaves, gone_s=1.0, halves=2),
    "all are killed, and the store is away for 3 s": partial(
        _kill_all_while_version_leaves, gone_s=1.0, store_away_s=3.0
    ),
    "the coordinator dies as v1.1 comes, all as it leaves": _lose_coordinator_before_write,
    "all are killed at their only version": _kill_all_at_one_version,
}
for _ms in STALLS_MS:
    EVENTS[f"entries stand still for {_ms} ms by turns"] = partial(_stall, stall_s=_ms / 1000)


@then("no stream holds events of two versions")
def check_versions(context: Context) -> None:
    streams: list[Stream] = context.site.streams
    resumed = [each for each in streams if each.resumptions]
    complete = sum(each.is_complete for each in streams)
    print(f"MEASURED {len(streams)} streams, {len(resumed)} taken up, {complete} complete")
    mixed = [each for each in streams if each.is_mixed]
    shown = [f"{each.path} at {each.entry}: {each.versions}" for each in mixed[:SHOWN]]
    assert not mixed, "\n".join([f"{len(mixed)} of {len(streams)} streams:", *shown])


@then("at least {share:g} of the streams that were taken up went on while their version was there")
def check_share(context: Context, share: float) -> None:
    tries = [each for stream in context.site.streams for each in stream.resumptions]
    tries = [each for each in tries if each.version_there]
    gone_on = sum(each.went_on for each in tries)
    print(f"MEASURED {gone_on} of {len(tries)} tries went on")
    assert tries, "nothing was taken up"
    refused = [each.answer for each in tries if not each.went_on]
    assert gone_on >= share * len(tries), (gone_on, len(tries), refused[:SHOWN])


@then("at least {share:g} of the streams that began at the others and were taken up were completed")
def check_completed(context: Context, share: float) -> None:
    streams = [each for each in context.site.streams if each.resumptions]
    of_cut = [each for each in streams if each.entry in CUT_ENTRIES]
    done = sum(each.is_complete for each in of_cut)
    print(f"MEASURED {done} of {len(of_cut)} streams of the entry that was cut were completed")
    streams = [each for each in streams if each.entry not in CUT_ENTRIES]
    complete = sum(each.is_complete for each in streams)
    print(f"MEASURED {complete} of {len(streams)} streams were completed in the end")
    lost = [each for each in streams if not each.is_complete]
    assert streams and complete >= share * len(streams), lost[:SHOWN]


@then("what could not go on was rejected within {ms:d} ms")
def check_rejections(context: Context, ms: int) -> None:
    tries = [each for stream in context.site.streams for each in stream.resumptions]
    late = [
        each.answer
        for each in tries
        if each.answer.status == UNAVAILABLE_STATUS and each.answer.lasted_s * 1000 > ms
    ]
    assert not late, late[:SHOWN]
