"""Inject the faults of a schedule from outside the entries; they overlap."""

import asyncio
import sys
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any

from soak.processes import SoakEntry
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


async def _version_change(site: SoakSite, step: Step) -> None:
    """Let targets of the next version come, and those before leave one after another."""
    old = [each for each in site.targets if each.service == STREAMS]
    site.software += 1
    software = site.software
    for _ in range(TARGETS_OF_VERSION):
        await site.add_target(STREAMS, software)
    await asyncio.sleep(step.pick * VERSIONS_OVERLAP_S)
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
    "busy": _busy,
}
