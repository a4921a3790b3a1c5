"""Run entries with callers in this process, so that their links can be cut."""

import asyncio

from harness.direct_site import Site
from harness.direct_site import SiteEntry
from harness.direct_store import StoreStandIn
from mimosaspur_daemon.direct.callers import CallerServer
from mimosaspur_platform.engines import PlatformEngines
from mimosaspur_platform.names import DIALECT
from mimosaspur_state.clock import SystemClock

SAMPLE_INTERVAL_S = 0.01


class LocalEntry(SiteEntry):
    """Run one entry that serves callers."""

    def __init__(self, name: str, address: tuple[str, int]) -> None:
        engines = PlatformEngines(clock=SystemClock())
        super().__init__(name, address, dialect=DIALECT, engines=engines)
        self.callers = CallerServer(self.state)
        self.callers_address = ("", 0)

    def runs(self) -> bool:
        """Return whether the entry accepts callers."""
        return self.callers.server is not None

    async def start(self) -> None:
        """Start the entry and accept callers."""
        await super().start()
        await self.callers.listen()
        assert self.callers.server
        self.callers_address = self.callers.server.sockets[0].getsockname()[:2]

    def kill(self) -> None:
        """End the entry without a step-down."""
        super().kill()
        self.callers.stop_accepting()
        for task in self.callers.tasks:
            task.cancel()


class LocalEntries(Site):
    """Run the entries of a site, and record when each learns of a quarantine."""

    entries: list[LocalEntry]  # type: ignore[assignment]

    def __init__(self, count: int, store: StoreStandIn) -> None:
        super().__init__(count)
        self.store = store
        # By entry, when it began to reject the crashing request.
        self.rejected_since_s: dict[str, float] = {}
        self.sampler: asyncio.Task[None] | None = None

    async def start_before(self, address: tuple[str, int]) -> None:
        """Start all entries before a store that runs."""
        self.address = address
        await self.start_entries()
        self.sampler = asyncio.create_task(self._sample())

    def stop(self) -> None:
        """End all entries."""
        if self.sampler:
            self.sampler.cancel()
        super().stop()

    def link_events(self) -> dict[str, dict[tuple[str, str], int]]:
        """Return how often each entry gained or lost its coordinator."""
        return {
            entry.state.settings.instance: {
                key: count
                for key, count in entry.state.log.counters.counts.items()
                if key[0].startswith(("coordinat", "sharers", "dependency"))
            }
            for entry in self.entries
        }

    def _entry(self, number: int) -> LocalEntry:
        return LocalEntry(f"entry-{number}", self.address)

    async def _sample(self) -> None:
        while True:
            digest = self._crashing_digest()
            now_s = asyncio.get_running_loop().time()
            for entry in self.entries:
                if digest and entry.state.quarantine.ledger.is_quarantined(digest):
                    self.rejected_since_s.setdefault(entry.state.settings.instance, now_s)
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def _crashing_digest(self) -> bytes | None:
        """Return the digest that any entry has quarantined."""
        for entry in self.entries:
            for digest in entry.state.quarantine.ledger.quarantined():
                return digest
        return None
