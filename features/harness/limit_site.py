"""Run entries before targets that name a limit, and call them."""

import asyncio
import itertools

from harness.direct_store import StoreStandIn
from harness.entry_processes import EntryProcesses
from harness.entry_site import HOST
from harness.entry_site import TIMEOUT_MS
from harness.entry_site import Answer
from harness.entry_site import EntrySite
from harness.limited_target import MODEL
from harness.limited_target import SERVERS
from harness.limited_target import SERVICE
from harness.limited_target import LimitedTarget
from harness.limited_target import registration
from harness.local_entries import LocalEntries


class LimitSite(EntrySite):
    """Run a store, targets of one service and entries."""

    def __init__(
        self,
        entries: EntryProcesses | LocalEntries,
        *,
        store: StoreStandIn,
        targets: int,
        engines: bool,
    ) -> None:
        super().__init__(entries, store=store)
        self.store.put("config", "main", configuration(engines=engines))
        self.model = MODEL if engines else ""
        self.targets = [LimitedTarget(f"i-{number}", engines) for number in range(1, targets + 1)]
        # Answers, each with the number of the entry that gave it.
        self.answers: list[tuple[int, Answer]] = []
        self.began_s = 0.0
        self.ended_s = 0.0

    async def start(self) -> None:
        """Start the store, the targets and the entries."""
        for target in self.targets:
            await target.start()
            self.store.put(SERVERS, target.identity, registration(target))
        await self.start_entries()

    def stop(self) -> None:
        """Stop the targets and remove the entries' files."""
        for target in self.targets:
            target.stop()
        self.entries.stop()

    def limited(self) -> list[LimitedTarget]:
        """Return the targets that have named a limit."""
        return [target for target in self.targets if target.named_s is not None]

    async def send_requests(self, *, per_s: float, seconds: float) -> None:
        """Call the entries in turn at a steady rate, and wait for the answers."""
        calls = []
        loop = asyncio.get_running_loop()
        began_s = self.began_s = loop.time()
        for number in itertools.count():
            due_s = began_s + number / per_s
            if due_s >= began_s + seconds:
                break
            await asyncio.sleep(due_s - loop.time())
            calls.append(asyncio.create_task(self._call(number)))
        self.ended_s = loop.time()
        await asyncio.gather(*calls)

    async def _call(self, number: int) -> None:
        answer = await self.call(
            number, b"%d" % number, model=self.model, identity=request_name(number)
        )
        self.answers.append((number % self.entries.count, answer))


def request_name(number: int) -> str:
    """Return the name of a request, which tells its number."""
    return f"n{number}"


def request_number(name: str) -> int:
    """Return the number of a request."""
    return int(name.removeprefix("n"))


def configuration(*, engines: bool) -> dict[str, object]:
    """Return a configuration with a resumable stream."""
    route = {
        "name": "stream",
        "hostname": HOST,
        "path_prefix": "/stream/",
        "route_kind": "streaming",
        "timeout_ms": TIMEOUT_MS,
        "target_latency_ms": 800,
        "gap_aim_ms": 400,
        "resumable": True,
        "service": SERVICE,
        "max_attempts": 3,
    }
    service: dict[str, object] = {"name": SERVICE, "connection_limit": 300}
    if engines:
        service["engine"] = {
            "slots": 8,
            "kv_cache_tokens": 100_000,
            "weights_mb": 220_000,
            "loads_per_s": 2,
            "models": [{"name": MODEL, "weights_mb": 70_000, "load_s": 2.0}],
        }
    return {"version": 4, "routes": [route], "services": [service]}
