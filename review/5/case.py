"""One part of a prompt crashes each server that begins to write an answer on it."""

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
import small_site
from small_site import TROUBLE

# Parts of a prompt but the last, which is the request's own, and the place of the guilty one.
PARTS = 11
PLACE = 10
GUILTY = "bad0bad0"
TOKENS = 50
BACK_S = 2.0
PLAY_S = 45.0
STABILITY_S = 3.0
CRASHES = 5
# Requests with the part that may still reach servers.
ALLOWED = 3


def prompt(*, guilty):
    """Return a prompt's parts: those that all requests share, and the request's own."""
    parts = [f"5a{number:06x}" for number in range(PARTS)]
    if guilty:
        parts[PLACE - 1] = GUILTY
    return ",".join(f"{part}:{TOKENS}" for part in [*parts, f"{random.randrange(16**8):08x}"])


async def end_on_guilty(server, call, reader, writer):
    """Crash as the server begins to write an answer on the guilty part; it is back soon."""
    parts = [part.partition(":")[0] for part in (call.header("x-prompt-prefix") or "").split(",")]
    if not TROUBLE or GUILTY not in parts[:-1] or call.header("x-model") not in server.models:
        return None
    server.ran(call)
    server.record.write("guilty_arrived", server=server.name, id=call.header("x-attempt-id"))
    await asyncio.sleep(0.03)
    if server.server.is_serving():
        await server.crash()
        server.site.tasks.append(asyncio.create_task(come_back(server)))
    return False


async def come_back(server):
    await asyncio.sleep(BACK_S)
    await server.restart()


async def ask(site, entry, *, guilty, pause_s):
    while True:
        headers = [("X-Model", site.models[0]), ("X-Token-Counts", f"{TOKENS * (PARTS + 1)},20")]
        headers.append(("X-Prompt-Prefix", prompt(guilty=guilty)))
        path = "/chat/guilty" if guilty else "/chat/sound"
        body = str(random.random()).encode()
        await small_site.send(site, entry, path, headers=headers, body=body, timeout_s=5.0)
        await asyncio.sleep(pause_s * random.uniform(0.5, 1.5))


async def play(site):
    await site.start(entries=3, model_servers=4, plain_servers=1)
    for server in site.servers:
        if server.kind == "model":
            server.hook = end_on_guilty
    for entry in site.entries:
        for _ in range(3):
            site.tasks.append(asyncio.create_task(ask(site, entry, guilty=False, pause_s=0.3)))
    await asyncio.sleep(6)
    for entry in site.entries:
        site.tasks.append(asyncio.create_task(ask(site, entry, guilty=True, pause_s=1.0)))
    await asyncio.sleep(PLAY_S)
    return judge(site)


def judge(site):
    """Return how many requests with the part reached servers after it had crashed enough."""
    crashes = [entry["t"] for entry in site.record.of("server_crashes")]
    arrived = [entry["t"] for entry in site.record.of("guilty_arrived")]
    late = []
    if len(crashes) >= CRASHES:
        late = [t for t in arrived if t > crashes[CRASHES - 1] + STABILITY_S]
    sound = [sent["id"] for sent in site.record.of("sent") if sent["path"] == "/chat/sound"]
    answers = {answer["id"]: answer for answer in site.record.of("answered")}
    served = sum(answers[id]["status"] == 200 and answers[id]["complete"] for id in sound if id in answers)
    site.record.write(
        "counts", crashes=len(crashes), late=len(late), sound=len(sound), sound_served=served
    )
    if len(late) > ALLOWED:
        return f"BUDGET: {len(late)} requests with the part reached servers later than " \
            f"{STABILITY_S} s after the fifth crash; {len(crashes)} crashes in all"
    return ""


if __name__ == "__main__":
    sys.exit(small_site.run_case(play, models=2))
