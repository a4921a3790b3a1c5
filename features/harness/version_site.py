"""Run entries before targets of several versions, and callers that take broken streams up."""

import asyncio
import itertools
from dataclasses import dataclass
from dataclasses import field

from harness.direct_store import StoreStandIn
from harness.entry_processes import EntryProcesses
from harness.entry_site import HOST
from harness.entry_site import TIMEOUT_MS
from harness.entry_site import Answer
from harness.entry_site import EntrySite
from harness.local_entries import LocalEntries
from harness.versioned_target import BREAKS
from harness.versioned_target import EVENT_COUNT
from harness.versioned_target import SERVERS
from harness.versioned_target import SERVICE
from harness.versioned_target import VersionedTarget
from harness.versioned_target import registration

# Path and the attempts of one request: with one the caller has to take a broken stream up.
ROUTES = {"entry": 3, "caller": 1}
MAX_TRIES = 4
MAX_RETRY_WAIT_S = 0.3
ENTRY_GONE_WAIT_S = 0.02


@dataclass(slots=True)
class Resumption:
    """Record one try of a caller to take a stream up."""

    answer: Answer
    # Whether a target of the stream's version was registered and up when it was sent.
    version_there: bool
    went_on: bool


@dataclass(slots=True)
class Stream:
    """Record what a caller got of one stream over all tries."""

    path: str
    entry: int
    began_s: float = 0.0
    # The version of each event, by its number.
    versions: dict[int, str] = field(default_factory=dict)
    resumptions: list[Resumption] = field(default_factory=list)

    @property
    def is_mixed(self) -> bool:
        """Return whether it holds events of two versions."""
        return len(set(self.versions.values())) > 1

    @property
    def is_complete(self) -> bool:
        """Return whether it holds all events."""
        return len(self.versions) == EVENT_COUNT


class VersionSite(EntrySite):
    """Run a store, targets of one service and entries."""

    def __init__(
        self,
        entries: EntryProcesses | LocalEntries,
        *,
        store: StoreStandIn,
        versions: list[str],
    ) -> None:
        super().__init__(entries, store=store)
        self.store.put("config", "main", _configuration())
        self.broken: set[bytes] = set()
        self.targets: list[VersionedTarget] = []
        # Targets that serve without a registration.
        self.leaving: list[VersionedTarget] = []
        self.first_versions = versions
        self.target_numbers = itertools.count(1)
        self.streams: list[Stream] = []
        # Entries that callers are not sent to.
        self.avoided: set[int] = set()
        # While cleared, callers don't take up the streams that broke.
        self.may_take_up = asyncio.Event()
        self.may_take_up.set()

    async def start(self) -> None:
        """Start the store, the targets and the entries."""
        for version in self.first_versions:
            await self.add_target(version)
        await self.start_entries()

    def stop(self) -> None:
        """Stop the targets and remove the entries' files."""
        for target in [*self.targets, *self.leaving]:
            target.stop()
        self.entries.stop()

    async def add_target(
        self, version: str, *, address: tuple[str, int] = ("127.0.0.1", 0)
    ) -> VersionedTarget:
        """Start and register a target."""
        identity = f"i-{next(self.target_numbers)}"
        target = VersionedTarget(identity, version, self.broken, address)
        await target.start()
        self.targets.append(target)
        self.store.put(SERVERS, identity, registration(target))
        return target

    def remove_target(self, target: VersionedTarget) -> None:
        """End a target and its registration."""
        self.targets.remove(target)
        target.stop()
        self.store.delete(SERVERS, target.identity)

    def deregister(self, target: VersionedTarget) -> None:
        """Remove a target's registration; the target serves on."""
        self.targets.remove(target)
        self.leaving.append(target)
        self.store.delete(SERVERS, target.identity)

    def versions(self) -> set[str]:
        """Return the versions that serve."""
        return {target.version for target in self.targets}

    async def send_streams(self, *, per_s: float, seconds: float) -> None:
        """Send streams that are broken off at a steady rate, and take them up."""
        calls = []
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        for number in itertools.count():
            due_s = began_s + number / per_s
            if due_s >= began_s + seconds:
                break
            await asyncio.sleep(due_s - loop.time())
            path = "entry" if number % 2 else "caller"
            calls.append(asyncio.create_task(self._stream(number, path)))
        await asyncio.gather(*calls)

    async def _stream(self, number: int, path: str) -> None:
        count = self.entries.count
        stream = Stream(path, number % count, asyncio.get_running_loop().time())
        self.streams.append(stream)
        body = BREAKS + b" %d" % number
        entry = self._next_entry(number)
        root = ""
        for attempt in range(MAX_TRIES):
            identity = f"s{number}-{attempt}"
            headers = {}
            if stream.versions:
                headers = {"Last-Event-Id": str(max(stream.versions)), "Resumes": root}
                await self.may_take_up.wait()
            there = set(stream.versions.values()) <= self.versions()
            got = len(stream.versions)
            answer = await self.call(
                entry, body, path=f"/{path}/x", identity=identity, headers=headers
            )
            _add_events(stream, answer)
            went_on = len(stream.versions) > got
            if headers and answer.status:
                stream.resumptions.append(Resumption(answer, there, went_on))
            if not root and stream.versions:
                root = identity
            if stream.is_complete:
                return
            entry = self._next_entry(entry + 1)
            await asyncio.sleep(_retry_wait_s(answer))

    def _next_entry(self, number: int) -> int:
        count = self.entries.count
        while number % count in self.avoided:
            number += 1
        return number % count


def _retry_wait_s(answer: Answer) -> float:
    if not answer.status:
        return ENTRY_GONE_WAIT_S
    return min(MAX_RETRY_WAIT_S, answer.retry_after_s or 0.0)


def _add_events(stream: Stream, answer: Answer) -> None:
    if answer.status != 200:
        return
    for block in answer.text.split("\n\n")[:-1]:
        fields = dict(line.split(": ", 1) for line in block.split("\n"))
        number = int(fields["id"])
        assert number not in stream.versions, (stream, answer)
        stream.versions[number] = fields["data"]


def _configuration() -> dict[str, object]:
    routes = [
        {
            "name": name,
            "hostname": HOST,
            "path_prefix": f"/{name}/",
            "route_kind": "streaming",
            "timeout_ms": TIMEOUT_MS,
            "target_latency_ms": 800,
            "gap_aim_ms": 400,
            "resumable": True,
            "service": SERVICE,
            "max_attempts": attempts,
        }
        for name, attempts in ROUTES.items()
    ]
    return {
        "version": 4,
        "routes": routes,
        "services": [{"name": SERVICE, "connection_limit": 900}],
    }
