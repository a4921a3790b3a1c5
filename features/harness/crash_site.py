"""Run several entries before engines that a certain request crashes, and call them."""

import asyncio
import itertools
import random
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass

from harness.crashing_engine import CRASHING_BODY
from harness.crashing_engine import MODEL
from harness.crashing_engine import SERVICE
from harness.crashing_engine import CrashingFleet
from harness.direct_entry import read_response
from harness.direct_store import StoreStandIn
from harness.entry_processes import EntryProcesses
from harness.local_entries import LocalEntries

HOST = "site.example"
TIMEOUT_MS = 4_000
# By then an entry has reported a crash, so that its end loses no evidence.
REPORT_S = 0.1
SOUND_INTERVAL_S = 0.05
SETTLE_S = 2.0
CRASH_INTERVAL_S = 0.5


@dataclass(slots=True, frozen=True)
class Answer:
    """Record a caller's answer."""

    sent_s: float
    lasted_s: float
    status: int
    whole: bool
    text: str


class CrashSite:
    """Run a store, engines and entries, with sound requests and a crashing one."""

    def __init__(
        self, entries: EntryProcesses | LocalEntries, *, store: StoreStandIn, engines: int
    ) -> None:
        self.store = store
        self.store.put("config", "main", configuration())
        self.fleet = CrashingFleet(self.store, engines)
        self.entries = entries
        self.numbers = itertools.count(1)
        self.crashing: list[Answer] = []
        self.sound: list[Answer] = []

    async def start(self) -> None:
        """Start the store, the engines and the entries."""
        address = await self.store.start()
        await self.fleet.start()
        await self.entries.start_before(address)
        # Let the entries' links to the coordinator settle.
        await asyncio.sleep(SETTLE_S)

    def stop(self) -> None:
        """Stop the engines and remove the entries' files."""
        self.fleet.stop()
        self.entries.stop()

    async def call(self, number: int, body: bytes, *, path: str = "/stream/x") -> Answer:
        """Send a request to an entry and return its answer."""
        loop = asyncio.get_running_loop()
        sent_s = loop.time()
        entry = self.entries.entries[number % self.entries.count]
        try:
            reader, writer = await asyncio.open_connection(*entry.callers_address)
        except OSError:
            return Answer(sent_s, 0.0, 0, False, "can't connect")
        writer.write(_request(f"r{next(self.numbers)}", path, body))
        response = await read_response(reader)
        writer.close()
        lasted_s = loop.time() - sent_s
        text = response.body.decode(errors="replace")
        return Answer(sent_s, lasted_s, response.status, response.whole, text)

    async def play(
        self,
        *,
        count: int,
        interval_s: float,
        choose_entry: Callable[[int], int],
        after_crash: Callable[[int], Awaitable[None]] | None = None,
    ) -> None:
        """Send the crashing request again and again while sound requests are served.

        `after_crash` is called with the number of each crash.
        """
        sound = asyncio.create_task(self._send_sound_requests())
        faults = asyncio.create_task(self._inject_faults(after_crash)) if after_crash else None
        calls = []
        for number in range(count):
            calls.append(asyncio.create_task(self._call_crashing(choose_entry(number))))
            await asyncio.sleep(interval_s)
        await asyncio.gather(*calls)
        sound.cancel()
        if faults:
            faults.cancel()

    def third_crash_s(self) -> float:
        """Return when the crashing request has crashed the third engine."""
        crashes = [each for each in self.fleet.crashes if CRASHING_BODY in each.bodies]
        assert len(crashes) >= 3, crashes
        return crashes[2].at_s

    async def _call_crashing(self, number: int) -> None:
        self.crashing.append(await self.call(number, CRASHING_BODY))

    async def _send_sound_requests(self) -> None:
        chooser = random.Random(1)
        calls: set[asyncio.Task[None]] = set()
        for number in itertools.count():
            body = b"sound %d" % number
            task = asyncio.create_task(self._call_sound(chooser.randrange(1_000), body))
            calls.add(task)
            task.add_done_callback(calls.discard)
            await asyncio.sleep(SOUND_INTERVAL_S)

    async def _call_sound(self, number: int, body: bytes) -> None:
        self.sound.append(await self.call(number, body))

    async def _inject_faults(self, after_crash: Callable[[int], Awaitable[None]]) -> None:
        seen = 0
        while True:
            if len(self.fleet.crashes) > seen:
                seen += 1
                await asyncio.sleep(REPORT_S)
                await after_crash(seen)
            await asyncio.sleep(0.01)


def configuration() -> dict[str, object]:
    """Return a configuration with a resumable stream and an idempotent route to engines."""
    routes = [
        {
            "name": name,
            "hostname": HOST,
            "path_prefix": f"/{name}/",
            "route_kind": kind,
            "timeout_ms": TIMEOUT_MS,
            "target_latency_ms": 800,
            "gap_aim_ms": 400,
            "resumable": kind == "streaming",
            "service": SERVICE,
            "max_attempts": 3,
        }
        for name, kind in (("stream", "streaming"), ("once", "unsafe"))
    ]
    model = {"name": MODEL, "weights_mb": 70_000, "load_s": 2.0}
    engine = {
        "slots": 8,
        "kv_cache_tokens": 100_000,
        "weights_mb": 220_000,
        "loads_per_s": 2,
        "models": [model],
    }
    services = [{"name": SERVICE, "connection_limit": 300, "engine": engine}]
    return {"version": 4, "routes": routes, "services": services}


def _request(identity: str, path: str, body: bytes) -> bytes:
    fields = {
        "Host": HOST,
        "X-Attempt-Id": identity,
        "X-Deadline-Ms": str(TIMEOUT_MS),
        "X-Model": MODEL,
        "X-Token-Counts": "100,12",
        "Content-Length": str(len(body)),
    }
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return f"POST {path} HTTP/1.1\r\n{lines}\r\n".encode() + body


async def flood(site: CrashSite, *, body: bytes, interval_s: float, crashes: int) -> list[Answer]:
    """Send one sound body often while engines crash, one after another."""
    answers: list[Answer] = []
    calls: set[asyncio.Task[None]] = set()

    async def call(number: int) -> None:
        answers.append(await site.call(number, body))

    async def crash_engines() -> None:
        for _ in range(crashes):
            await asyncio.sleep(CRASH_INTERVAL_S)
            site.fleet.engines[0].crash()

    crashing = asyncio.create_task(crash_engines())
    for number in itertools.count():
        if crashing.done():
            break
        task = asyncio.create_task(call(number))
        calls.add(task)
        task.add_done_callback(calls.discard)
        await asyncio.sleep(interval_s)
    await asyncio.gather(*calls)
    return answers
