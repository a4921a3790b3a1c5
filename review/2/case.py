"""Another writer's entry in the list of servers changes its service, and is removed."""

import asyncio
import collections
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
import small_site
from small_site import TROUBLE

ROUNDS = 4
# Time between two changes of the entry, so that they are not read together.
STEP_S = 2.5
# An entry that has failed drains for up to bounds.grace_s before its process ends.
END_S = 10.0
# Ends of processes by themselves that the rule allows on a machine, and on how many machines more
# are allowed.
ALLOWED_ENDS = 2
ALLOWED_MACHINES = 1


def foreign_entry(service):
    """Return a well-formed entry of a service that the configuration doesn't name."""
    return {
        "service": service,
        "address": "127.0.0.1:9",
        "zone": "zone-1",
        "version": "v1",
        "state": "ready",
        "slots": 4,
        "cold_remaining_ms": 0,
        "sequence": 1,
    }


async def restart(site, entry):
    """Start an entry again whenever it has ended, as the platform does; this script ends none."""
    while True:
        code = await entry.process.wait()
        site.record.write("ended_by_itself", entry=entry.name, code=code)
        await asyncio.sleep(0.5)
        await entry.start()


async def play(site):
    await site.start(entries=3, model_servers=2, plain_servers=3)
    for entry in site.entries:
        site.tasks.append(asyncio.create_task(restart(site, entry)))
        channel = small_site.KeptChannel(site, entry)
        site.tasks.append(asyncio.create_task(channel.run("/book/1", pause_s=0.2)))
    await asyncio.sleep(4)
    for _ in range(ROUNDS):
        for service in ("reports", "reports-2", None):
            if TROUBLE and service:
                site.store.put("servers", "other-writer", foreign_entry(service))
                site.record.write("foreign_entry", service=service)
            elif TROUBLE:
                site.store.delete("servers", "other-writer")
                site.record.write("foreign_entry_removed")
            await asyncio.sleep(STEP_S)
        await asyncio.sleep(END_S)
    return judge(site)


def judge(site):
    """Return the machines on which processes ended by themselves more often than allowed."""
    ends = collections.Counter(entry["entry"] for entry in site.record.of("ended_by_itself"))
    site.record.write("counts", ended_by_themselves=ends)
    over = {entry: count for entry, count in ends.items() if count > ALLOWED_ENDS}
    if len(over) > ALLOWED_MACHINES:
        return f"Fault: processes ended by themselves: {over}"
    return ""


if __name__ == "__main__":
    sys.exit(small_site.run_case(play))
