"""Run several entries before engines that a certain request crashes, and call them."""

import asyncio
import itertools
import random
from collections.abc import Awaitable
from collections.abc import Callable

from harness.crashing_engine import CRASHING_BODY
from harness.crashing_engine import MODEL
from harness.crashing_engine import SERVICE
from harness.crashing_engine import CrashingFleet
from harness.direct_store import StoreStandIn
from harness.entry_processes import EntryProcesses
from harness.entry_site import HOST
from harness.entry_site import TIMEOUT_MS
from harness.entry_site import Answer
from harness.entry_site import EntrySite
from harness.local_entries import LocalEntries

# By then an entry has reported a crash, so that its end loses no evidence.
REPORT_S = 0.1
SOUND_INTERVAL_S = 0.05
CRASH_INTERVAL_S = 0.5


class CrashSite(EntrySite):
    """Run a store, engines and entries, with sound requests and a crashing one."""

    def __init__(
        self, entries: EntryProcesses | LocalEntries, *, store: StoreStandIn, engines: int
    ) -> None:
        super().__init__(entries, store=store)
        self.store.put("config", "main", configuration())
        self.fleet = CrashingFleet(self.store, engines)
        self.crashing: list[Answer] = []
        self.sound: list[Answer] = []

    async def start(self) -> None:
        """Start the store, the engines and the entries."""
        await self.fleet.start()
        await self.start_entries()

    def stop(self) -> None:
        """Stop the engines and remove the entries' files."""
        self.fleet.stop()
        self.entries.stop()

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
        self.crashing.append(await self.call(number, CRASHING_BODY, model=MODEL))

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
        self.sound.append(await self.call(number, body, model=MODEL))

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


async def flood(site: CrashSite, *, body: bytes, interval_s: float, crashes: int) -> list[Answer]:
    """Send one sound body often while engines crash, one after another."""
    answers: list[Answer] = []
    calls: set[asyncio.Task[None]] = set()

    async def call(number: int) -> None:
        answers.append(await site.call(number, body, model=MODEL))

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
