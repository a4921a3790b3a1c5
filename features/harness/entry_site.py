"""Call entries that run before stand-ins."""

import asyncio
import itertools
from dataclasses import dataclass
from dataclasses import field

from harness.direct_entry import read_response
from harness.direct_store import StoreStandIn
from harness.entry_processes import EntryProcesses
from harness.local_entries import LocalEntries

HOST = "site.example"
TIMEOUT_MS = 4_000
SETTLE_S = 2.0


@dataclass(slots=True, frozen=True)
class Answer:
    """Record a caller's answer."""

    sent_s: float
    lasted_s: float
    status: int
    whole: bool
    text: str
    retry_after_s: float | None = None
    headers: dict[str, str] = field(default_factory=dict)
    longest_pause_s: float = 0.0


class EntrySite:
    """Run a store and entries, and call them."""

    def __init__(self, entries: EntryProcesses | LocalEntries, *, store: StoreStandIn) -> None:
        self.store = store
        self.entries = entries
        self.numbers = itertools.count(1)

    async def start_entries(self) -> None:
        """Start the store and the entries, and let their links to the coordinator settle."""
        address = await self.store.start()
        await self.entries.start_before(address)
        await asyncio.sleep(SETTLE_S)

    async def call(
        self,
        number: int,
        body: bytes,
        *,
        path: str = "/stream/x",
        model: str = "",
        version: str = "1.1",
        identity: str = "",
        headers: dict[str, str] | None = None,
    ) -> Answer:
        """Send a request to an entry and return its answer."""
        loop = asyncio.get_running_loop()
        sent_s = loop.time()
        entry = self.entries.entries[number % self.entries.count]
        try:
            reader, writer = await asyncio.open_connection(*entry.callers_address)
        except OSError:
            return Answer(sent_s, 0.0, 0, False, "can't connect")
        fields = {"X-Attempt-Id": identity or f"r{next(self.numbers)}"} | (headers or {})
        writer.write(_request(fields, path, body, model, version))
        response = await read_response(reader)
        writer.close()
        lasted_s = loop.time() - sent_s
        text = response.body.decode(errors="replace")
        retry_after = response.headers.get("retry-after")
        return Answer(
            sent_s,
            lasted_s,
            response.status,
            response.whole,
            text,
            float(retry_after) if retry_after else None,
            response.headers,
            response.longest_pause_s(),
        )


def _request(headers: dict[str, str], path: str, body: bytes, model: str, version: str) -> bytes:
    fields = {
        "Host": HOST,
        "X-Deadline-Ms": str(TIMEOUT_MS),
        "Content-Length": str(len(body)),
    } | headers
    if model:
        fields |= {"X-Model": model, "X-Token-Counts": "100,12"}
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return f"POST {path} HTTP/{version}\r\n{lines}\r\n".encode() + body
