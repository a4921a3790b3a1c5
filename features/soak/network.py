"""Run the relays between entries in a process of their own, which isn't late when callers are."""

import asyncio
import os
import sys
from asyncio.subprocess import PIPE
from asyncio.subprocess import Process

import msgspec

from soak.links import Address
from soak.links import Network

PROGRAM = [sys.executable, "-m", "soak.network"]


class RelayProcess:
    """Control the relays of a soak's entries."""

    def __init__(self) -> None:
        self.process: Process | None = None

    async def start(self, store: Address) -> None:
        """Start the process."""
        environment = {**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)}
        self.process = await asyncio.create_subprocess_exec(
            *PROGRAM, *map(str, store), stdin=PIPE, stdout=PIPE, env=environment
        )

    def stop(self) -> None:
        """End the process."""
        if self.process and self.process.returncode is None:
            self.process.kill()

    async def add(self, name: str, ip: str) -> Address:
        """Relay for an entry; return the address at which it finds the store."""
        self._send("add", name, ip)
        assert self.process and self.process.stdout
        host, port = msgspec.json.decode(await self.process.stdout.readline(), type=Address)
        return host, port

    def cut(self, ip: str, *, store: bool, entries: bool) -> None:
        """Cut an entry off from the store, from other entries, or both."""
        self._send("cut", ip, store, entries)

    def heal(self, ip: str, *, lost: bool) -> None:
        """Connect an entry again; what was held back is lost, or delivered late."""
        self._send("heal", ip, lost)

    def _send(self, *command: object) -> None:
        assert self.process and self.process.stdin
        self.process.stdin.write(msgspec.json.encode(command) + b"\n")


async def _run(store: Address) -> None:
    """Relay, and follow the commands until their end."""
    network = Network(store)
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        match msgspec.json.decode(line):
            case ["add", name, ip]:
                print(msgspec.json.encode(await network.add(name, ip)).decode(), flush=True)
            case ["cut", ip, store_too, entries]:
                network.cut(ip, store=store_too, entries=entries)
            case ["heal", ip, lost]:
                network.heal(ip, lost=lost)


if __name__ == "__main__":
    asyncio.run(_run((sys.argv[1], int(sys.argv[2]))))
