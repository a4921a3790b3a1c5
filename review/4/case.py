"""All entries are killed at once while the last server of a software version leaves."""

import asyncio
import random
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
import small_site
from small_site import TROUBLE

ENTRIES = 4
# Consumers, each with one stream after another.
CONSUMERS = 60
EVENTS = 86
EVENT_S = 0.07
TIME_LIMIT_S = 15.0
# After a server's registration is removed it serves for drain_ms and a little longer.
SERVES_ON_S = 4.0
KILLED_AFTER_S = 1.0
DOWN_S = 1.1
# How often the platform asks whether an entry is ready.
READINESS_S = 1.0
# The only server of version v1.1.
LEAVING = "i-model3"
# Streams that may hold events of two versions.
ALLOWED = 2


class VersionedServer(small_site.ModelServer):
    """Stand in for a model server of some software version."""

    def __init__(self, site, name, *arguments):
        super().__init__(site, name, *arguments)
        self.version = "v1.1" if name == LEAVING else "v1"

    def registration(self):
        return {**super().registration(), "version": self.version}

    async def answer_stream(self, call, writer, events, first=1, chunked=True):
        headers = [
            ("Content-Type", "text/event-stream"),
            ("X-Weight-Versions", "1"),
            ("Transfer-Encoding", "chunked"),
        ]
        writer.write(small_site.head_bytes(200, self.signed(call, headers)))
        for number in range(first, events + 1):
            await asyncio.sleep(self.event_s)
            if writer.is_closing():
                return
            event = f"id: {number}\ndata: {self.version} {self.name}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()


class Stream:
    """Hold what a consumer got of one stream over its tries."""

    def __init__(self, root):
        self.root = root
        # The ids of events, and the versions of the servers that wrote them.
        self.ids = []
        self.versions = []

    def add(self, body):
        for event in body.decode().split("\n\n")[:-1]:
            number, data = event.split("\n")
            self.ids.append(int(number.removeprefix("id: ")))
            self.versions.append(data.removeprefix("data: ").split(" ")[0])


async def watch_readiness(site):
    """Ask each entry once a second; the consumers go to those that are in."""
    while True:
        states = await asyncio.gather(*(entry.is_ready() for entry in site.entries))
        site.ready = [entry for entry, ready in zip(site.entries, states, strict=True) if ready]
        await asyncio.sleep(READINESS_S)


async def consume(site):
    """Begin streams; take each one up once at another channel if its channel breaks."""
    while True:
        await stream_once(site)
        await asyncio.sleep(random.uniform(0.05, 0.3))


async def stream_once(site):
    begun_s = time.monotonic()
    if not site.ready:
        await asyncio.sleep(0.1)
        return
    headers = [("X-Model", site.models[0]), ("X-Token-Counts", f"100,{EVENTS}")]
    headers.append(("X-Prompt-Prefix", f"{random.randrange(16**8):08x}:100"))
    root, answer = await small_site.send(
        site, random.choice(site.ready), "/chat/1", headers=headers, timeout_s=TIME_LIMIT_S
    )
    stream = Stream(root)
    stream.add(answer.body)
    if answer.complete or not stream.ids:
        return
    site.broken.append(stream)
    broken_s = time.monotonic()
    while site.entries_down or not site.ready:
        await asyncio.sleep(0.02)
    left_s = TIME_LIMIT_S - (time.monotonic() - begun_s)
    if left_s < 0.5:
        return
    headers += [("Last-Event-Id", stream.ids[-1]), ("Resumes", root)]
    after_s = time.monotonic() - broken_s
    identity, answer = await small_site.send(
        site, random.choice(site.ready), "/chat/1", headers=headers, timeout_s=left_s
    )
    begun_at = stream.versions[0]
    stream.add(answer.body)
    site.record.write(
        "taken_up",
        root=root,
        id=identity,
        status=answer.status,
        began_at=begun_at,
        versions=sorted(set(stream.versions)),
        events=[stream.ids[0], headers[-2][1], stream.ids[-1]],
        whole=stream.ids == list(range(1, EVENTS + 1)),
        after_s=round(after_s, 2),
    )


async def leave(site, server):
    """Leave as planned without a word of draining: the registration goes, the server serves on."""
    site.store.delete("servers", server.name)
    site.record.write("registration_removed", server=server.name)
    await asyncio.sleep(SERVES_ON_S)
    server.server.close()
    site.record.write("server_left", server=server.name, running=sum(server.runs.values()))


async def kill_all(site):
    site.entries_down = True
    for entry in site.entries:
        entry.signal(signal.SIGKILL)
    site.ready = []
    await asyncio.gather(*(entry.process.wait() for entry in site.entries))
    await asyncio.sleep(DOWN_S)
    for entry in site.entries:
        await entry.start()
    site.entries_down = False


async def play(site):
    site.stream_route = {"resumable": True, "timeout_ms": 15_000, "target_latency_ms": 600}
    site.ready, site.broken, site.entries_down = [], [], False
    small_site.ModelServer = VersionedServer
    await site.start(entries=ENTRIES, model_servers=4, plain_servers=1)
    servers = [server for server in site.servers if server.kind == "model"]
    for server in servers:
        server.events, server.event_s = EVENTS, EVENT_S
    leaving = next(server for server in servers if server.name == LEAVING)
    site.tasks.append(asyncio.create_task(watch_readiness(site)))
    for _ in range(CONSUMERS):
        site.tasks.append(asyncio.create_task(consume(site)))
    await asyncio.sleep(10)
    site.tasks.append(asyncio.create_task(leave(site, leaving)))
    await asyncio.sleep(KILLED_AFTER_S)
    if TROUBLE:
        await kill_all(site)
    await asyncio.sleep(20)
    return judge(site)


def judge(site):
    """Return how many streams hold events of two versions."""
    taken_up = site.record.of("taken_up")
    mixed = [each for each in taken_up if len(each["versions"]) > 1]
    site.record.write(
        "counts",
        broken=len(site.broken),
        taken_up=len(taken_up),
        began_at_leaving=sum(each["began_at"] == "v1.1" for each in taken_up),
        rejected=sum(each["status"] != 200 for each in taken_up),
        mixed=len(mixed),
    )
    if len(mixed) > ALLOWED:
        return f"ORDER: {len(mixed)} streams hold events of servers of two versions"
    return ""


if __name__ == "__main__":
    sys.exit(small_site.run_case(play, models=2))
