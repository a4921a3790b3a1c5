"""Play one seed and judge it."""

import asyncio
import contextlib
import shutil
import tempfile
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

from mimosaspur_load.processes import Processes
from soak.checks import judge
from soak.faults import play
from soak.record import Record
from soak.schedule import Schedule
from soak.site import SoakSite

PROCESSES_AT_MOST = 200
# How long answers and recoveries may take after the last request.
FINISH_S = 12.0
SHOWN = 20
TICK_S = 0.02


@dataclass(slots=True, frozen=True)
class Result:
    """Hold what one seed has shown."""

    schedule: Schedule
    cases: list[str]
    # Where the record and the logs of a failed seed are.
    folder: Path | None
    requests: int
    statuses: Counter[int]
    # Tries to take a stream up, and those that went on.
    resumed: int
    went_on: int
    orders: int
    latest_s: float


def run_seed(schedule: Schedule, *, keep: bool = False) -> Result:
    """Play a schedule with processes of its own; keep the logs if asked or a rule was broken."""
    folder = Path(tempfile.mkdtemp(prefix=f"soak-seed-{schedule.seed}-"))
    processes = Processes(at_most=PROCESSES_AT_MOST)
    try:
        record = asyncio.run(_soak(schedule, processes, folder))
    finally:
        processes.close()
    cases = judge(record)
    keep = keep or bool(cases)
    statuses = Counter(attempt.status for attempt in record.attempts)
    if keep:
        record.save(folder / "record.jsonl")
        (folder / "cases.txt").write_text("".join(f"{case}\n" for case in cases))
        (folder / "schedule.txt").write_text("".join(f"{step}\n" for step in schedule.steps))
    else:
        shutil.rmtree(folder)
    resumed = [attempt for attempt in record.attempts if attempt.last_event]
    return Result(
        schedule,
        cases,
        folder if keep else None,
        len(record.attempts),
        statuses,
        len(resumed),
        sum(bool(attempt.pieces) for attempt in resumed),
        len(record.orders),
        record.latest_s,
    )


def describe(result: Result) -> str:
    """Return the lines about a seed, one for each broken case."""
    schedule = result.schedule
    statuses = ", ".join(f"{status}: {count}" for status, count in sorted(result.statuses.items()))
    late_ms = round(result.latest_s * 1000)
    lines = [
        f"seed {schedule.seed}: {schedule.entries} entries, {len(schedule.steps)} faults, "
        f"{result.requests} requests ({statuses}), {result.went_on} of {result.resumed} streams "
        f"taken up, {result.orders} orders, {len(result.cases)} broken cases; the soak itself "
        f"was late by {late_ms} ms at most"
    ]
    rules = Counter(case.partition(":")[0] for case in result.cases)
    lines += [f"  {rule}: {count}" for rule, count in rules.items()]
    lines += [f"  {case}" for case in result.cases[:SHOWN]]
    if result.folder:
        lines.append(f"  record and logs: {result.folder}")
    return "\n".join(lines)


async def _soak(schedule: Schedule, processes: Processes, folder: Path) -> Record:
    site = SoakSite(schedule, processes, folder)
    try:
        await site.start()
        await _play(site)
    finally:
        site.stop()
    return site.record


async def _watch_lateness(site: SoakSite) -> None:
    while True:
        due_s = site.now_s + TICK_S
        await asyncio.sleep(TICK_S)
        site.record.note_lateness(due_s, site.now_s)


async def _play(site: SoakSite) -> None:
    watching = [
        asyncio.create_task(task)
        for entry in site.entries
        for task in (entry.supervise(), entry.ask())
    ]
    watching.append(asyncio.create_task(_watch_lateness(site)))
    began_s = site.now_s
    calling = asyncio.create_task(site.callers.run(site.schedule.callers))
    await play(site)
    await asyncio.sleep(max(0.0, began_s + site.schedule.seconds - site.now_s))
    site.callers.stopping = True
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(FINISH_S):
            await calling
    for task in watching:
        # An error in a watching task must fail the soak.
        if task.done():
            task.result()
        task.cancel()
