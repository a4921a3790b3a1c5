"""Run entries as processes of the platform's program, each on a loopback address of its own."""

import asyncio
import os
import signal
import sys
import tempfile
from collections.abc import Mapping
from pathlib import Path
from subprocess import Popen

from mimosaspur_load.processes import Processes
from mimosaspur_load.processes import Started

CALLERS_PORT = 8149
READY_PORT = 8141
PEER_PORT = 7380
METRICS_PORT = 9464
READY_TIMEOUT_S = 15.0
POLL_S = 0.05
PROGRAM = [sys.executable, "-m", "mimosaspur_platform"]


class EntryProcess:
    """Run one entry; its log is kept in a file."""

    def __init__(
        self,
        processes: Processes,
        folder: Path,
        number: int,
        store: tuple[str, int],
        fields: Mapping[str, str] | None = None,
    ) -> None:
        self.processes = processes
        self.name = f"entry-{number}"
        self.ip = loopback_address(number)
        self.settings = folder / f"{self.name}.conf"
        self.log = folder / f"{self.name}.log"
        text = _settings_text(self.name, self.ip, store, fields or {})
        self.settings.write_text(text, encoding="utf-8")
        self.started: Started | None = None

    @property
    def callers_address(self) -> tuple[str, int]:
        """Return the address for callers."""
        return self.ip, CALLERS_PORT

    @property
    def process(self) -> "Popen[bytes]":
        """Return the running process."""
        assert self.started
        return self.started.process

    def runs(self) -> bool:
        """Return whether the process hasn't ended."""
        return self.process.poll() is None

    def start(self) -> None:
        """Start the process."""
        environment = {"MIMOSASPUR_SETTINGS": str(self.settings)}
        # A pipe that nobody reads would fill up, so the log goes to a file.
        command = ["/bin/sh", "-c", f'exec "$@" >>{self.log}', "sh", *PROGRAM]
        self.started = self.processes.spawn(command, environment=environment)

    def kill(self) -> None:
        """Kill the process."""
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()

    def log_lines(self) -> list[str]:
        """Return the lines that it has logged."""
        return self.log.read_text(encoding="utf-8").splitlines() if self.log.exists() else []

    def coordinates(self) -> bool:
        """Return whether it has taken the lease and not given it up."""
        events = [line for line in self.log_lines() if '"event":"coordinat' in line]
        return bool(events) and '"event":"coordinating"' in events[-1]

    async def wait_until_ready(self) -> None:
        """Wait until it accepts callers; raise TimeoutError."""
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not await self._is_ready():
                await asyncio.sleep(POLL_S)

    async def _is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(self.ip, READY_PORT)
        except OSError:
            return False
        writer.write(b"GET /api/readiness HTTP/1.1\r\nHost: entry\r\n\r\n")
        line = await reader.readline()
        writer.close()
        return b" 200 " in line


class EntryProcesses:
    """Run the entries of a site; sites beside each other differ in their first number."""

    def __init__(
        self,
        processes: Processes,
        count: int,
        *,
        first: int = 0,
        fields: Mapping[str, str] | None = None,
    ) -> None:
        self.processes = processes
        # Settings that differ from the usual ones.
        self.fields = fields or {}
        self.count = count
        self.first = first
        self.folder = tempfile.TemporaryDirectory(prefix="entries-")
        self.entries: list[EntryProcess] = []

    async def start_before(self, address: tuple[str, int]) -> None:
        """Start all entries before a store that runs; wait until they are ready."""
        folder = Path(self.folder.name)
        self.entries = [
            EntryProcess(self.processes, folder, self.first + number, address, self.fields)
            for number in range(self.count)
        ]
        for entry in self.entries:
            entry.start()
        for entry in self.entries:
            await entry.wait_until_ready()
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not any(entry.coordinates() for entry in self.entries):
                await asyncio.sleep(POLL_S)

    def coordinator(self) -> EntryProcess:
        """Return the entry that coordinates."""
        return next(entry for entry in self.entries if entry.coordinates())

    async def restart(self, entry: EntryProcess) -> None:
        """Kill an entry and start it again."""
        entry.kill()
        entry.start()
        await entry.wait_until_ready()

    def stop(self) -> None:
        """Remove the entries' files; their processes end with the scenario."""
        self.folder.cleanup()


def loopback_address(number: int) -> str:
    """Return an address that no other scenario uses at the same time."""
    pid = os.getpid()
    return f"127.{100 + pid // 250 % 100}.{pid % 250}.{number + 1}"


def _settings_text(name: str, ip: str, store: tuple[str, int], others: Mapping[str, str]) -> str:
    fields = {
        "node_name": name,
        "ip": ip,
        "zone": "north",
        "listen.front": f"{ip}:{CALLERS_PORT}",
        "listen.ready": f"{ip}:{READY_PORT}",
        "internal_port_range": f"{PEER_PORT},{PEER_PORT + 15}",
        "platform.address": f"{store[0]}:{store[1]}",
        "bounds.lease_ms": "3000",
        "bounds.retry_budget_ratio": "0.2",
        "bounds.budget_window_s": "10",
        "bounds.budget_slack": "54",
        "heartbeat_ms": "1200",
    }
    return "".join(f"{key}={value}\n" for key, value in (fields | dict(others)).items())
