"""Run an entry that watches the simulated platform store."""

import asyncio
import contextlib
from typing import Any

from harness.direct_entry import entry_dependencies
from harness.direct_entry import null_log
from harness.direct_entry import settings_for
from harness.direct_store import StoreStandIn
from mimosaspur_daemon.direct.entrystate import EntryState
from mimosaspur_daemon.direct.storewatch import StoreWatch
from mimosaspur_platform.store import PlatformStore
from mimosaspur_state.clock import SystemClock

SERVERS = "servers"
STARTED_MS = 1_000
READY_TIMEOUT_S = 2.0


def server_entry(state: str = "ready") -> dict[str, Any]:
    """Return a server's registration."""
    models = [{"name": "notes", "version": 1, "adapters": ["a1"]}]
    return {
        "service": "models",
        "address": "127.0.0.1:9",
        "zone": "north",
        "version": "v1",
        "slots": 4,
        "state": state,
        "cold_remaining_ms": 0,
        "sequence": 1,
        "born": STARTED_MS,
        "models": models,
    }


def configuration_entry(version: int) -> dict[str, Any]:
    """Return a configuration with one route."""
    route = {
        "name": "r",
        "hostname": "site.example",
        "path_prefix": "/p/",
        "route_kind": "safe",
        "timeout_ms": 4000,
        "service": "models",
        "max_attempts": 2,
    }
    return {"version": version, "routes": [route], "services": [{"name": "models"}]}


def store_with_servers() -> StoreStandIn:
    """Return a store that holds three servers and version 4 of a configuration."""
    store = StoreStandIn()
    for number in range(3):
        store.put(SERVERS, f"i-{number}", server_entry())
    store.put("config", "main", configuration_entry(4))
    return store


class FollowingEntry:
    """Run an entry's watches of the store."""

    def __init__(self, store: StoreStandIn) -> None:
        self.store = store
        self.log = null_log("entry-0")
        self.tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start the watches and wait until the entry is ready."""
        if self.store.server is None:
            self.address = await self.store.start()
        clock = SystemClock()
        store = PlatformStore(self.address, clock=clock, log=self.log)
        self.state = EntryState(settings_for("entry-0"), entry_dependencies("entry-0", store=store))
        watch = StoreWatch(self.state)
        self.tasks = [
            asyncio.create_task(watch.follow_targets()),
            asyncio.create_task(watch.follow_configuration()),
        ]
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not self.state.ready():
                await asyncio.sleep(0.01)

    async def stop(self) -> None:
        """Stop the watches."""
        for task in self.tasks:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task
