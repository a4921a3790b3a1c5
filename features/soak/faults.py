"""Inject the faults of a schedule from outside the entries; they overlap."""

import asyncio
import contextlib
import random
import sys
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Iterator
from typing import Any

from soak.processes import SoakEntry
from soak.record import CUT_OFF
from soak.schedule import Step
from soak.site import SoakSite
from soak.store import UNAVAILABLE_STATUS
from soak.targets import STREAMS
from soak.targets import SoakTarget

ROLL_GAP_S = 0.4
SLOW_S = 0.6
RESTORE_AGE_S = 2.0
RESTORE_DOWN_S = 0.3
BUSY_LOOP = "while True: pass"
BUSY_PROCESSES = 2
VERSIONS_OVERLAP_S = 3.0
TARGETS_OF_VERSION = 3
DRAINING_S = 2.5
LIMIT_PER_S = 5
RELEASES = 3
# Callers move their streams until so long after an entry is back in step.
MOVE_AFTER_S = 2.0
# Of the time that an entry is out of step, until the version joins.
JOINS_SHARE = 0.15
FREEZES_AT_MOST = 4
# An entry that is frozen in series runs for so long between.
RUNS_S = (0.02, 0.4)


async def play(site: SoakSite) -> None:
    """Play the schedule; return when its last fault is over."""
    began_s = site.now_s
    faults = []
    for step in site.schedule.steps:
        await asyncio.sleep(began_s + step.at_s - site.now_s)
        faults.append(asyncio.create_task(FAULTS[step.fault](site, step)))
    await asyncio.gather(*faults)


def _entry(site: SoakSite, step: Step) -> SoakEntry:
    return site.entries[int(step.pick * len(site.entries))]


def _half(site: SoakSite, step: Step) -> list[SoakEntry]:
    count = len(site.entries)
    first = int(step.pick * count)
    return [site.entries[(first + number) % count] for number in range((count + 1) // 2)]


def _target(site: SoakSite, step: Step, service: str = "") -> SoakTarget:
    targets = [each for each in site.targets if service in ("", each.service)]
    return targets[int(step.pick * len(targets))]


async def _term_one(site: SoakSite, step: Step) -> None:
    _entry(site, step).terminate()


async def _term_half(site: SoakSite, step: Step) -> None:
    for entry in _half(site, step):
        entry.terminate()


async def _roll(site: SoakSite, step: Step) -> None:
    for entry in site.entries:
        entry.terminate()
        await asyncio.sleep(ROLL_GAP_S)


async def _hup(site: SoakSite, step: Step) -> None:
    _entry(site, step).reload(f"limits.memory_mb={260 + round(step.pick * 80)}\n")


async def _configure(site: SoakSite, step: Step) -> None:
    site.configure()


async def _kill_one(site: SoakSite, step: Step) -> None:
    _entry(site, step).kill_now()


async def _kill_half(site: SoakSite, step: Step) -> None:
    for entry in _half(site, step):
        entry.kill_now()


async def _kill_all(site: SoakSite, step: Step) -> None:
    for entry in site.entries:
        entry.kill_now()


async def _stall_one(site: SoakSite, step: Step) -> None:
    await _entry(site, step).stall(step.length_s)


async def _stall_all(site: SoakSite, step: Step) -> None:
    await asyncio.gather(*(entry.stall(step.length_s) for entry in site.entries))


async def _links_reset(site: SoakSite, step: Step) -> None:
    entry = _entry(site, step)
    entry.disturb("links reset")
    for channel in site.callers.channels_to(entry):
        channel.reset()


async def _requests_cut_off(site: SoakSite, step: Step) -> None:
    await _cut_off(site, step, requests=True)


async def _answers_cut_off(site: SoakSite, step: Step) -> None:
    await _cut_off(site, step, requests=False)


async def _cut_off(site: SoakSite, step: Step, *, requests: bool) -> None:
    """Hold back one way what callers' connections to an entry carry, for a time."""
    entry = _entry(site, step)
    entry.disturb("links cut", seconds=step.length_s)
    channels = site.callers.channels_to(entry)
    for channel in channels:
        channel.cut(requests=requests)
    await asyncio.sleep(step.length_s)
    for channel in channels:
        channel.heal()


async def _store_down(site: SoakSite, step: Step) -> None:
    disturbance = site.disturb_store("down")
    site.store.status, site.store.accepts = UNAVAILABLE_STATUS, False
    await asyncio.sleep(step.length_s)
    site.store.status, site.store.accepts = 0, True
    disturbance.end_s = site.now_s


async def _store_slow(site: SoakSite, step: Step) -> None:
    disturbance = site.disturb_store("slow")
    site.store.delay_s = SLOW_S
    await asyncio.sleep(step.length_s)
    site.store.delay_s = 0.0
    disturbance.end_s = site.now_s


async def _store_silent(site: SoakSite, step: Step) -> None:
    disturbance = site.disturb_store("silent")
    site.store.silent = True
    await asyncio.sleep(step.length_s)
    site.store.silent = False
    disturbance.end_s = site.now_s


async def _store_restored(site: SoakSite, step: Step) -> None:
    copy = site.store.copy()
    await asyncio.sleep(RESTORE_AGE_S)
    disturbance = site.disturb_store("restored")
    site.store.status = UNAVAILABLE_STATUS
    await asyncio.sleep(RESTORE_DOWN_S)
    site.store.restore(copy, era=str(int(site.store.era or "1") + 1))
    site.write_again()
    site.store.status = 0
    disturbance.end_s = site.now_s


async def _target_crash(site: SoakSite, step: Step) -> None:
    target = _target(site, step)
    site.targets.remove(target)
    site.end_target(target)
    await asyncio.sleep(step.length_s)
    site.unregister(target)
    await site.add_target(target.service, int(target.version[1:]))


async def _target_leaves(site: SoakSite, step: Step) -> None:
    target = _target(site, step)
    target.leaving = True
    await site.add_target(target.service, int(target.version[1:]))
    await asyncio.sleep(step.length_s)
    await site.drain_target(target, DRAINING_S)


async def _target_drains(site: SoakSite, step: Step) -> None:
    target = _target(site, step)
    await site.add_target(target.service, int(target.version[1:]))
    await site.drain_target(target, step.length_s)


async def _target_silent(site: SoakSite, step: Step) -> None:
    _target(site, step).silent_until_s = site.now_s + step.length_s


async def _target_limited(site: SoakSite, step: Step) -> None:
    target = _target(site, step)
    target.limit = f"{LIMIT_PER_S * (0.5 + step.pick):.1f}"
    await asyncio.sleep(step.length_s)
    target.limit = ""


async def _target_rests(site: SoakSite, step: Step) -> None:
    target = _target(site, step)
    target.rest_s = step.length_s / 2
    await asyncio.sleep(step.length_s)
    target.rest_s = 0.0


async def _version_change(site: SoakSite, step: Step, *, more_s: float = 0.0) -> None:
    """Let targets of the next version come, and all those before leave."""
    old = [each for each in site.targets if each.service == STREAMS]
    site.software += 1
    software = site.software
    for _ in range(TARGETS_OF_VERSION):
        await site.add_target(STREAMS, software)
    await asyncio.sleep(step.pick * VERSIONS_OVERLAP_S + more_s)
    for target in old:
        target.leaving = True
    # Half of the changes, by the second digit of the number.
    reports = step.pick * 10 % 1 < 0.5
    await asyncio.gather(*(site.drain_target(each, DRAINING_S, reports=reports) for each in old))


async def _version_change_and_kill(site: SoakSite, step: Step) -> None:
    """Kill all entries while targets of two versions serve, or the old ones have just left."""
    changing = asyncio.create_task(_version_change(site, step))
    await asyncio.sleep(step.pick * VERSIONS_OVERLAP_S + step.length_s)
    await _kill_all(site, step)
    await changing


async def _releases_and_kills(site: SoakSite, step: Step) -> None:
    """Release one version after another, with a kill of all entries after each."""
    changing = []
    with _streams_move(site):
        for _ in range(RELEASES):
            changing.append(asyncio.create_task(_version_change(site, step)))
            await asyncio.sleep(step.pick * VERSIONS_OVERLAP_S + step.length_s)
            await _kill_all(site, step)
            await asyncio.sleep(step.length_s)
        await asyncio.gather(*changing)


async def _cut_off_and_version_change(site: SoakSite, step: Step) -> None:
    """Cut an entry off from the store, the others or both while a version joins.

    What was held back is lost or delivered late.
    """
    entry = _entry(site, step)
    await _change_version_beside(site, step, entry, _cut_entry_off(site, step, entry))


async def _cut_entry_off(site: SoakSite, step: Step, entry: SoakEntry) -> None:
    # From further digits of the number: half of the entries are cut off from both.
    which = int(step.pick * 100 % 1 * 4)
    entry.disturb(CUT_OFF, seconds=step.length_s)
    site.network.cut(entry.ip, store=which != 0, entries=which != 1)
    await asyncio.sleep(step.length_s)
    site.network.heal(entry.ip, lost=step.pick * 1_000 % 1 < 0.5)


async def _frozen_and_version_change(site: SoakSite, step: Step) -> None:
    """Freeze an entry in series while a version joins."""
    entry = _entry(site, step)
    await _change_version_beside(site, step, entry, _freeze_in_series(site, step, entry))


async def _freeze_in_series(site: SoakSite, step: Step, entry: SoakEntry) -> None:
    chance = random.Random(step.pick)
    count = chance.randint(1, FREEZES_AT_MOST)
    for _ in range(count):
        await entry.stall(step.length_s / count)
        await asyncio.sleep(chance.uniform(*RUNS_S))


async def _change_version_beside(
    site: SoakSite, step: Step, entry: SoakEntry, fault: Coroutine[Any, Any, None]
) -> None:
    """Let a version join while an entry is out of step, to which callers take streams."""
    site.callers.preferred = entry
    with _streams_move(site):
        out_of_step = asyncio.create_task(fault)
        # Streams have to begin at the new version while the entry is out of step.
        await asyncio.sleep(step.pick * 10 % 1 * JOINS_SHARE * step.length_s)
        changing = asyncio.create_task(_version_change(site, step, more_s=step.length_s))
        await out_of_step
        await asyncio.sleep(MOVE_AFTER_S)
    site.callers.preferred = None
    await changing


@contextlib.contextmanager
def _streams_move(site: SoakSite) -> Iterator[None]:
    """Let callers leave their streams and take them up elsewhere."""
    site.callers.moving += 1
    try:
        yield
    finally:
        site.callers.moving -= 1


async def _odd_registration(site: SoakSite, step: Step) -> None:
    """Let an unusable entry stand among the registrations while targets come and leave."""
    standing = asyncio.create_task(site.put_odd(step.pick, step.length_s))
    await _target_drains(site, step)
    await standing


async def _busy(site: SoakSite, step: Step) -> None:
    command = [sys.executable, "-c", BUSY_LOOP]
    busy = [site.processes.spawn(command) for _ in range(BUSY_PROCESSES)]
    await asyncio.sleep(step.length_s)
    for each in busy:
        each.process.kill()


FAULTS: dict[str, Callable[[SoakSite, Step], Coroutine[Any, Any, None]]] = {
    "term one": _term_one,
    "term half": _term_half,
    "roll": _roll,
    "hup": _hup,
    "configure": _configure,
    "kill one": _kill_one,
    "kill half": _kill_half,
    "kill all": _kill_all,
    "stall one": _stall_one,
    "stall all": _stall_all,
    "links reset": _links_reset,
    "requests cut off": _requests_cut_off,
    "answers cut off": _answers_cut_off,
    "store down": _store_down,
    "store slow": _store_slow,
    "store silent": _store_silent,
    "store restored": _store_restored,
    "target crash": _target_crash,
    "target leaves": _target_leaves,
    "target drains": _target_drains,
    "target silent": _target_silent,
    "target limited": _target_limited,
    "target rests": _target_rests,
    "version change": _version_change,
    "version change, kill all": _version_change_and_kill,
    "releases, kill all": _releases_and_kills,
    "cut off, version change": _cut_off_and_version_change,
    "cut off long, version change": _cut_off_and_version_change,
    "frozen, version change": _frozen_and_version_change,
    "odd registration": _odd_registration,
    "busy": _busy,
}
