"""Run several entries before engines that certain requests crash, and call them."""

import asyncio
import itertools
import random
from collections.abc import Awaitable
from collections.abc import Callable

from harness.crashing_engine import CRASHING_REQUEST
from harness.crashing_engine import MODEL
from harness.crashing_engine import SERVICE
from harness.crashing_engine import CrashingFleet
from harness.crashing_engine import EngineRequest
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
SECOND_CRASHING_REQUEST = EngineRequest(b"crashes the engine as well")
# Parts of prompts: all requests of a route hold the first one.
FIRST_PART = "0f1257"
CRASHING_PART = "0bad01"
SHARED_PART = "05ba2e"
SUBJECT_COUNT = 5
# For which sound requests come before those that crash engines.
WARM_UP_S = 1.0
# Fewer sound requests give no share.
MIN_SHARE_REQUESTS = 15
# The status of a request whose entry accepts no connection.
NOT_CONNECTED = 0


class Workload:
    """Make copies of one request that crashes engines, and sound requests without a prompt."""

    warm_up_s = 0.0

    def crashes(self, request: EngineRequest) -> bool:
        """Return whether a request crashes engines."""
        return request == CRASHING_REQUEST

    def crashing(self, number: int) -> EngineRequest:
        """Return a request that crashes engines."""
        return CRASHING_REQUEST

    def sound(self, number: int) -> EngineRequest:
        """Return a request that doesn't."""
        return EngineRequest(b"sound %d" % number)


class TwoBodiesWorkload(Workload):
    """Make copies of two requests that crash engines, in turn."""

    def crashes(self, request: EngineRequest) -> bool:
        """Return whether a request crashes engines."""
        return request in (CRASHING_REQUEST, SECOND_CRASHING_REQUEST)

    def crashing(self, number: int) -> EngineRequest:
        """Return a request that crashes engines."""
        return SECOND_CRASHING_REQUEST if number % 2 else CRASHING_REQUEST


class PopularWorkload(Workload):
    """Make copies of one request that crashes engines, and of one sound one."""

    def sound(self, number: int) -> EngineRequest:
        """Return a request that doesn't."""
        return EngineRequest(b"popular")


class PartWorkload(Workload):
    """Make requests, no two alike, of which those with one part in their prompts crash engines."""

    warm_up_s = WARM_UP_S

    def crashes(self, request: EngineRequest) -> bool:
        """Return whether a request crashes engines."""
        return CRASHING_PART in request.parts[:-1]

    def crashing(self, number: int) -> EngineRequest:
        """Return a request that crashes engines, and shares its other parts with sound ones."""
        parts = (FIRST_PART, SHARED_PART, CRASHING_PART, f"c{number}")
        return EngineRequest(b"crashing %d" % number, parts)

    def sound(self, number: int) -> EngineRequest:
        """Return a request that doesn't."""
        subject = f"{number % SUBJECT_COUNT}a"
        return EngineRequest(b"sound %d" % number, (FIRST_PART, SHARED_PART, subject, f"d{number}"))


class LongPromptWorkload(PartWorkload):
    """Make requests with long prompts that share all parts but the one that crashes engines."""

    def __init__(self, *, parts: int, place: int | None, shuffles: bool) -> None:
        self.shared = [f"5a{number:06x}" for number in range(parts - 2)]
        # The place of the part that crashes engines, from 1; None for any.
        self.place = place
        # Whether the order of the shared parts differs from one request to the next.
        self.shuffles = shuffles
        self.chooser = random.Random(1)

    def crashing(self, number: int) -> EngineRequest:
        """Return a request that crashes engines, and shares its other parts with sound ones."""
        parts = self._shared()
        place = self.place or self.chooser.randint(1, len(parts) + 1)
        parts.insert(place - 1, CRASHING_PART)
        return EngineRequest(b"crashing %d" % number, (*parts, f"c{number}"))

    def sound(self, number: int) -> EngineRequest:
        """Return a request that doesn't."""
        return EngineRequest(b"sound %d" % number, (*self._shared(), f"d{number}"))

    def _shared(self) -> list[str]:
        if self.shuffles:
            self.chooser.shuffle(self.shared)
        return self.shared.copy()


class CrashSite(EntrySite):
    """Run a store, engines and entries, with sound requests and some that crash engines."""

    def __init__(
        self, entries: EntryProcesses | LocalEntries, *, store: StoreStandIn, engines: int
    ) -> None:
        super().__init__(entries, store=store)
        self.store.put("config", "main", configuration())
        self.fleet = CrashingFleet(self.store, engines)
        self.workload = Workload()
        self.crashing: list[Answer] = []
        self.sound: list[Answer] = []
        # Whether the play has ended, so that no further fault is injected.
        self.ended = False

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
        """Send requests that crash engines while sound requests are served.

        `after_crash` is called with the number of each crash. One that is under way as the last
        request has its answer goes on to its end: an entry that starts accepts no connections yet.
        """
        self.fleet.crashes_on = self.workload.crashes
        sound = asyncio.create_task(self._send_sound_requests())
        await asyncio.sleep(self.workload.warm_up_s)
        faults = asyncio.create_task(self._inject_faults(after_crash)) if after_crash else None
        calls = []
        for number in range(count):
            calls.append(asyncio.create_task(self.call_crashing(choose_entry(number), number)))
            await asyncio.sleep(interval_s)
        await asyncio.gather(*calls)
        sound.cancel()
        self.ended = True
        if faults:
            await faults

    def third_crash_s(self) -> float:
        """Return when the third engine crashed under a request that crashes engines."""
        crashes = self.fleet.own_crashes()
        assert len(crashes) >= 3, crashes
        return crashes[2].at_s

    async def call_crashing(self, entry: int, number: int) -> Answer:
        """Send a request that crashes engines to an entry."""
        answer = await self._send(entry, self.workload.crashing(number))
        self.crashing.append(answer)
        return answer

    def served_share(self, *, since_s: float, until_s: float) -> float:
        """Return the share of the sound requests, sent in a time, that were begun at once.

        Those to an entry that doesn't run are left out.
        """
        sent = [each for each in self.sound if since_s <= each.sent_s < until_s]
        statuses = [each.status for each in sent if each.status != NOT_CONNECTED]
        assert len(statuses) >= MIN_SHARE_REQUESTS, statuses
        return statuses.count(200) / len(statuses)

    async def _send_sound_requests(self) -> None:
        chooser = random.Random(1)
        calls: set[asyncio.Task[None]] = set()
        for number in itertools.count():
            request = self.workload.sound(number)
            task = asyncio.create_task(self._call_sound(chooser.randrange(1_000), request))
            calls.add(task)
            task.add_done_callback(calls.discard)
            await asyncio.sleep(SOUND_INTERVAL_S)

    async def _call_sound(self, entry: int, request: EngineRequest) -> None:
        self.sound.append(await self._send(entry, request))

    async def _send(self, entry: int, request: EngineRequest) -> Answer:
        headers = {"X-Prompt-Prefix": request.prefix()} if request.parts else None
        return await self.call(entry, request.body, model=MODEL, headers=headers)

    async def _inject_faults(self, after_crash: Callable[[int], Awaitable[None]]) -> None:
        seen = 0
        while not self.ended:
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
