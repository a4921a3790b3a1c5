"""All servers of a plain service crash at once while each runs the same sound request."""

import asyncio
import itertools
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
import small_site
from small_site import TROUBLE

DOWN_S = 4.0
# A request that began so shortly before is still being run.
BEGUN_S = 0.04
# After the servers are back, until requests are counted: more than stability_window_ms.
SETTLE_S = 6.0
COUNTED_S = 20.0
LATER_ROUTE = {
    "name": "news",
    "hostname": small_site.Site.host,
    "path_prefix": "/news/",
    "route_kind": "safe",
    "service": "desk",
    "timeout_ms": 4000,
    "target_latency_ms": 400,
    "max_attempts": 2,
    "priority": 1,
}


async def ask(site, entry, path, method, pause_s):
    """Ask again and again; a path with {} is another one each time."""
    for number in itertools.count():
        await small_site.send(
            site, entry, path.format(f"{entry.name}-{number}"), method=method, timeout_s=2.0
        )
        await asyncio.sleep(pause_s)


async def run_page(server, call, reader, writer):
    """Run a request as usual, and note when the last one for the page began."""
    if call.target == "/news/today":
        server.page_began_s = server.record.now_s()
    return None


async def all_run_page(site, desks):
    """Wait until each server has just begun to run a request for the page."""
    async with asyncio.timeout(20):
        while any(site.record.now_s() - each.page_began_s > BEGUN_S for each in desks):
            await asyncio.sleep(0.002)


async def play(site):
    await site.start(entries=3, model_servers=2, plain_servers=3)
    desks = [server for server in site.servers if server.kind == "plain"]
    for server in desks:
        server.work_s = 0.09
        server.page_began_s = 0.0
        server.hook = run_page
    await asyncio.sleep(2)
    site.later_routes.append(LATER_ROUTE)
    site.configure()
    await asyncio.sleep(3)
    for entry in site.entries:
        for _ in range(6):
            site.tasks.append(asyncio.create_task(ask(site, entry, "/news/today", "GET", 0.05)))
        site.tasks.append(asyncio.create_task(ask(site, entry, "/look/{}", "GET", 0.1)))
        site.tasks.append(asyncio.create_task(ask(site, entry, "/book/{}", "POST", 0.1)))
    await asyncio.sleep(5)
    if TROUBLE:
        await all_run_page(site, desks)
        for server in desks:
            await server.crash()
        await asyncio.sleep(DOWN_S)
        for server in desks:
            await server.restart()
    await asyncio.sleep(SETTLE_S)
    since_s = site.record.now_s()
    await asyncio.sleep(COUNTED_S)
    return judge(site, since_s)


def judge(site, since_s):
    """Compare the requests on the later route with those on the first ones, in steady state."""
    paths = {}
    for sent in site.record.of("sent"):
        if sent["t"] >= since_s:
            paths[sent["id"]] = sent["path"].startswith("/news/")
    counts = {True: [0, 0], False: [0, 0]}
    statuses = {}
    for answer in site.record.of("answered"):
        if answer["id"] in paths:
            later = paths[answer["id"]]
            counts[later][0] += 1
            counts[later][1] += answer["status"] == 200 and answer["complete"]
            if later:
                statuses[answer["status"]] = statuses.get(answer["status"], 0) + 1
    site.record.write("counts", later_route=counts[True], first_routes=counts[False])
    (later, later_served), (first, first_served) = counts[True], counts[False]
    if later >= 20 and later_served / later < first_served / max(1, first) / 4:
        return f"CONFIG: of {later} requests on the later route {later_served} were served, of " \
            f"{first} on the first ones {first_served}; statuses on the later route: {statuses}"
    return ""


if __name__ == "__main__":
    sys.exit(small_site.run_case(play))
