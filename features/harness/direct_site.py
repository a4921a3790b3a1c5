"""Run the entries of a site in this process: they watch one store, and one of them coordinates."""

import asyncio
import contextlib
from collections.abc import Iterable
from dataclasses import replace
from typing import Any

from harness.direct_entry import entry_dependencies
from harness.direct_entry import null_log
from harness.direct_entry import settings_for
from harness.direct_registrations import store_with_servers
from harness.direct_store import StoreStandIn
from mimosaspur_daemon.direct.election import CoordinatorElection
from mimosaspur_daemon.direct.entrystate import EntryState
from mimosaspur_daemon.direct.storewatch import StoreWatch
from mimosaspur_daemon.direct.versionrecord import VersionRecordKeeper
from mimosaspur_platform.store import PlatformStore
from mimosaspur_state.clock import SystemClock
from mimosaspur_state.directsettings import RetryBounds
from mimosaspur_state.errors import StoreUnavailable

SETTLE_TIMEOUT_S = 8.0
CALL_TIMEOUT_S = 2.5


class CutStore:
    """Forward calls to a store; while this entry is cut from it, let them time out."""

    def __init__(self, store: PlatformStore) -> None:
        self.store = store
        self.cut = False

    def __getattr__(self, name: str) -> Any:
        call = getattr(self.store, name)

        async def maybe(*arguments: Any, **options: Any) -> Any:
            if not self.cut:
                with contextlib.suppress(_CutError):
                    return await self._until_cut(call(*arguments, **options))
            await asyncio.sleep(CALL_TIMEOUT_S)
            raise StoreUnavailable("cut")

        return maybe

    async def _until_cut(self, call: Any) -> Any:
        answer = await call
        if self.cut:
            raise _CutError
        return answer


class _CutError(Exception):
    pass


class CutElection(CoordinatorElection):
    """Follow and accept other entries, unless this one is cut from them."""

    cut = False

    async def _follow(self, address: tuple[str, int]) -> bool:
        return False if self.cut else await super()._follow(address)

    async def _serve_link(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.cut:
            writer.transport.abort()
        else:
            await super()._serve_link(reader, writer)


class SiteEntry:
    """Run one entry's watches and its part in the election."""

    def __init__(
        self,
        name: str,
        address: tuple[str, int],
        retries: RetryBounds | None = None,
        **ports: object,
    ) -> None:
        clock = SystemClock()
        log = null_log(name)
        self.store = CutStore(PlatformStore(address, clock=clock, log=log))
        dependencies = entry_dependencies(name, store=self.store, log=log, **ports)
        settings = settings_for(name)
        if retries:
            settings = replace(settings, retries=retries)
        self.state = EntryState(settings, dependencies)
        self.election = CutElection(self.state)
        self.tasks: list[asyncio.Task[None]] = []
        self.server: asyncio.Server | None = None
        self.loop: asyncio.AbstractEventLoop | None = None
        self.on_datagram = self.state.stream_versions.endpoint.on_datagram

    async def start(self) -> None:
        """Start to watch the store and to take part in the election."""
        self.loop = asyncio.get_running_loop()
        self.server = await self.election.listen()
        self.election.address = ("127.0.0.1", self.server.sockets[0].getsockname()[1])
        await self.state.stream_versions.listen(("127.0.0.1", 0))
        watch = StoreWatch(self.state)
        work = [watch.follow_targets(), watch.follow_configuration(), self.election.run()]
        work.append(VersionRecordKeeper(self.state).run())
        self.tasks = [asyncio.create_task(each) for each in work]

    def kill(self) -> None:
        """End the entry without a step-down."""
        for task in self.tasks:
            task.cancel()
        if self.loop and not self.loop.is_closed():
            self.state.stream_versions.close()
        if self.server:
            self.server.close()

    def cut_datagrams(self) -> None:
        """Lose all datagrams from and to other entries."""
        endpoint = self.state.stream_versions.endpoint
        self.on_datagram, endpoint.on_datagram = endpoint.on_datagram, lambda *_: None
        endpoint.send = lambda *_: None  # type: ignore[method-assign]

    def heal_datagrams(self) -> None:
        """Undo cut_datagrams."""
        endpoint = self.state.stream_versions.endpoint
        endpoint.on_datagram = self.on_datagram
        del endpoint.send

    def has_applied(self, *, leaving: str = "", version: int = 0) -> bool:
        """Return whether it has a target as leaving, and at least a configuration version."""
        view = self.state.fleet.targets.get(leaving)
        current = self.state.configuration.version if self.state.configuration else 0
        return (not leaving or bool(view and view.record.leaving)) and current >= version


class Site:
    """Run a store and the entries that watch it."""

    def __init__(self, count: int, retries: RetryBounds | None = None) -> None:
        self.store: StoreStandIn = store_with_servers()
        self.count = count
        self.retries = retries
        self.address = ("", 0)
        self.entries: list[SiteEntry] = []

    async def start(self) -> None:
        """Start the store and all entries."""
        self.address = await self.store.start()
        await self.start_entries()

    async def start_entries(self) -> None:
        """Start all entries, the first as coordinator, and wait until the others rely on it."""
        for number in range(self.count):
            entry = self._entry(number)
            self.entries.append(entry)
            await entry.start()
            if not number:
                await self.until(lambda: self.entries[0].state.coordinating)
        followers = self.entries[1:]
        await self.until(
            lambda: all(each.state.freshness.coordinator_is_fresh() for each in followers)
        )

    async def until(self, condition: Any, within_s: float = SETTLE_TIMEOUT_S) -> None:
        """Wait for a condition; raise TimeoutError if it takes too long."""
        async with asyncio.timeout(within_s):
            while not condition():
                await asyncio.sleep(0.02)

    def inject_fault(self, fault: str) -> None:
        """Make the coordinator fail."""
        first = self.entries[0]
        if fault.endswith("gets no answers from the store"):
            first.store.cut = True
        elif fault.endswith("falls silent"):
            coordinator = first.election.coordinator
            assert coordinator
            coordinator.updates.send_updates = lambda *_: None  # type: ignore[method-assign]
        else:
            first.kill()

    async def restart(self, number: int) -> None:
        """Kill an entry and start it again under its name."""
        self.entries[number].kill()
        self.entries[number] = self._entry(number)
        await self.entries[number].start()

    def cut_off(self, numbers: Iterable[int]) -> None:
        """Cut entries off from the store and from all other entries."""
        for number in numbers:
            entry = self.entries[number]
            entry.store.cut = entry.election.cut = True
            entry.cut_datagrams()
            for coordinator in (each.election.coordinator for each in self.entries):
                if coordinator is None:
                    continue
                for name, member in coordinator.members.members.items():
                    names = (name, coordinator.state.settings.instance)
                    if member.link and entry.state.settings.instance in names:
                        member.link.close()

    def heal(self, numbers: Iterable[int]) -> None:
        """Connect entries again that were cut off."""
        for number in numbers:
            self.entries[number].store.cut = self.entries[number].election.cut = False
            self.entries[number].heal_datagrams()

    def _entry(self, number: int) -> SiteEntry:
        return SiteEntry(f"entry-{number}", self.address, self.retries)

    def stop(self) -> None:
        """End all entries."""
        for entry in self.entries:
            entry.kill()
