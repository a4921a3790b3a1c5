"""Run one entry process with low limits before targets, and crowds of callers that misbehave."""

import asyncio
import contextlib
import itertools
import socket
from collections.abc import Callable
from collections.abc import Coroutine
from dataclasses import dataclass

from harness.bulk_target import ANSWER_HEADER
from harness.bulk_target import BulkTarget
from harness.direct_entry import ReceivedResponse
from harness.direct_entry import read_response
from harness.direct_store import StoreStandIn
from harness.entry_processes import EntryProcess
from harness.entry_processes import EntryProcesses
from harness.entry_site import HOST
from harness.entry_site import TIMEOUT_MS
from harness.entry_site import EntrySite
from harness.framed_site import framed_configuration
from harness.framed_target import SERVERS
from harness.process_usage import ProcessUsage

BODY_BYTES = 1_048_576
OVER_BYTES = 8 * BODY_BYTES
ANNOUNCED_BYTES = 10**12
ANSWER_BYTES = 2 * BODY_BYTES
STREAM_BYTES = 4 * BODY_BYTES
PIECE_BYTES = 4_096
EXTENSION_BYTES = 8_000
SLOW_READ_BYTES = 512
SLOW_S = 0.25
SMALL_BUFFER_BYTES = 4_096
# How long a crowd stays once all of it has connected, and when an ordinary caller comes beside it.
STAYS_S = 3.0
BESIDE_S = 1.5
# A caller's tries, each on a new connection, and its longest pause between two.
TRIES = 6
MAX_PAUSE_S = 1.5
LIMITS = {
    "header_bytes": 16_384,
    "body_bytes": BODY_BYTES,
    "header_timeout_ms": 3_000,
    "idle_timeout_ms": 15_000,
}


@dataclass(slots=True)
class Member:
    """Hold one caller of a crowd."""

    connection: socket.socket
    number: int

    async def send(self, data: bytes) -> None:
        """Send bytes; raise OSError."""
        await asyncio.get_running_loop().sock_sendall(self.connection, data)

    async def receive(self, size: int = 65_536) -> bytes:
        """Read some bytes; raise OSError."""
        return await asyncio.get_running_loop().sock_recv(self.connection, size)

    async def send_head(self, **fields: object) -> None:
        """Send the head of a request for a whole answer."""
        await self.send(request_head(f"h{self.number}", "/safe/x", **fields))

    async def ask(self, path: str, answer_bytes: int) -> None:
        """Send a request without a body."""
        fields = {"content_length": 0, ANSWER_HEADER: answer_bytes}
        await self.send(request_head(f"h{self.number}", path, **fields))


class HostileSite(EntrySite):
    """Run an entry process with low limits."""

    def __init__(self, entries: EntryProcesses, *, store: StoreStandIn) -> None:
        super().__init__(entries, store=store)
        self.store.put("config", "main", framed_configuration() | {"limits": LIMITS})
        self.targets = [BulkTarget(f"i-{number}") for number in (1, 2)]
        self.members = itertools.count(1)
        self.usage = ProcessUsage(0, "")

    @property
    def entry(self) -> EntryProcess:
        """Return the entry."""
        return self.entries.entries[0]  # type: ignore[return-value]

    async def start(self) -> None:
        """Start the store, the targets and the entry."""
        for target in self.targets:
            await target.start()
            self.store.put(SERVERS, target.identity, target.registration())
        await self.start_entries()
        self.usage = ProcessUsage(self.entry.process.pid, self.entry.ip)

    def stop(self) -> None:
        """Stop the targets and remove the entry's files."""
        for target in self.targets:
            target.stop()
        self.entries.stop()

    async def play(self, count: int, behave: "Behaviour") -> int:
        """Let a crowd behave for a while; return the status that an ordinary caller got beside."""
        loop = asyncio.get_running_loop()
        sampling = loop.create_task(self.usage.sample())
        crowd = [loop.create_task(self._behave(behave)) for _ in range(count)]
        await asyncio.sleep(BESIDE_S)
        beside = (await self.ask()).status
        await asyncio.sleep(STAYS_S - BESIDE_S)
        for task in crowd:
            task.cancel()
        await asyncio.gather(*crowd, return_exceptions=True)
        sampling.cancel()
        self.usage.take()
        return beside

    async def ask(self, body: bytes = b"{}", *, answer_bytes: int = 2) -> ReceivedResponse:
        """Send an ordinary request, and again as the pages allow; return the last response."""
        response = ReceivedResponse(0, b"", False, {})
        for _ in range(TRIES):
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(TIMEOUT_MS / 1000):
                    response = await self._ask_once(body, answer_bytes)
            if response.status == 200 and response.whole:
                break
            pause_s = float(response.headers.get("retry-after", "0.2"))
            await asyncio.sleep(min(pause_s, MAX_PAUSE_S))
        return response

    async def send_over(self, size: int) -> bytes:
        """Send a body over the limit to its end, and return all that the entry answers."""
        member = await self._join()
        received = b""
        with member.connection:
            await member.send_head(content_length=size)
            sending = asyncio.create_task(member.send(b"x" * size))
            with contextlib.suppress(OSError):
                while data := await member.receive():
                    received += data
            sending.cancel()
            await asyncio.gather(sending, return_exceptions=True)
        return received

    async def _ask_once(self, body: bytes, answer_bytes: int) -> ReceivedResponse:
        reader, writer = await asyncio.open_connection(*self.entry.callers_address)
        identity = f"o{next(self.numbers)}"
        head = request_head(
            identity, "/safe/x", content_length=len(body), **{ANSWER_HEADER: answer_bytes}
        )
        writer.write(head + body)
        try:
            return await read_response(reader)
        finally:
            writer.close()

    async def _join(self, *, small: bool = False) -> Member:
        connection = socket.socket()
        connection.setblocking(False)
        if small:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        await asyncio.get_running_loop().sock_connect(connection, self.entry.callers_address)
        return Member(connection, next(self.members))

    async def _behave(self, behave: "Behaviour") -> None:
        """Be one of a crowd until its end, or until the entry closes the connection."""
        with contextlib.suppress(OSError):
            member = await self._join(small=behave in SMALL_READERS)
            with member.connection:
                await behave(member)
                await asyncio.Event().wait()


Behaviour = Callable[[Member], Coroutine[None, None, None]]


async def send_whole(member: Member) -> None:
    """Send a whole body of the largest legal size."""
    await member.send_head(content_length=BODY_BYTES)
    await member.send(b"x" * BODY_BYTES)


async def stop_short(member: Member) -> None:
    """Send a body of the largest legal size but its last byte."""
    await member.send_head(content_length=BODY_BYTES)
    await member.send(b"x" * (BODY_BYTES - 1))


async def drip_chunks(member: Member) -> None:
    """Send a body of nearly the legal size in chunks, and go on byte by byte."""
    await member.send_head(transfer_encoding="chunked")
    for _ in range(BODY_BYTES // PIECE_BYTES - 1):
        await member.send(chunk(b"x" * PIECE_BYTES))
    while True:
        await member.send(chunk(b"x"))
        await asyncio.sleep(SLOW_S)


async def send_tiny_chunks(member: Member) -> None:
    """Send a body in chunks of a byte."""
    await member.send_head(transfer_encoding="chunked")
    while True:
        await member.send(chunk(b"x") * PIECE_BYTES)


async def send_unannounced(member: Member) -> None:
    """Send a body far over the limit in chunks, whatever the entry answers."""
    await member.send_head(transfer_encoding="chunked")
    for _ in range(OVER_BYTES // PIECE_BYTES):
        await member.send(chunk(b"x" * PIECE_BYTES))


async def announce_much(member: Member) -> None:
    """Announce a body of a terabyte, and send it."""
    await member.send_head(content_length=ANNOUNCED_BYTES)
    while True:
        await member.send(b"x" * 65_536)


async def extend_chunks(member: Member) -> None:
    """Send a body of little but chunk extensions."""
    await member.send_head(transfer_encoding="chunked")
    while True:
        await member.send(b"1;" + b"e" * EXTENSION_BYTES + b"\r\nx\r\n")


async def read_nothing(member: Member) -> None:
    """Ask for a long answer, and read none of it."""
    await member.ask("/safe/x", ANSWER_BYTES)


async def read_slowly(member: Member) -> None:
    """Ask for a long answer, and read it slowly."""
    await read_nothing(member)
    while await member.receive(SLOW_READ_BYTES):
        await asyncio.sleep(SLOW_S)


async def read_stream_slowly(member: Member) -> None:
    """Ask for a long stream, and read it slowly."""
    await member.ask("/stream/x", STREAM_BYTES)
    while await member.receive(SLOW_READ_BYTES):
        await asyncio.sleep(SLOW_S)


async def ask_without_end(member: Member) -> None:
    """Send one request after the other, and read no answer."""
    while True:
        await member.ask("/safe/x", PIECE_BYTES)


async def stay_idle(member: Member) -> None:
    """Send nothing."""


SMALL_READERS: tuple[Behaviour, ...] = (read_slowly, read_stream_slowly)
BEHAVIOURS: dict[str, Behaviour] = {
    "send a whole body of 1 MB": send_whole,
    "send a body of 1 MB but its last byte": stop_short,
    "send a body of 1 MB in chunks, the end byte by byte": drip_chunks,
    "send a body in chunks of a byte": send_tiny_chunks,
    "send a body of 8 MB in chunks, unannounced": send_unannounced,
    "announce a body of 1 TB and send it": announce_much,
    "send 8000 bytes of chunk extension for each byte": extend_chunks,
    "ask for 2 MB and read nothing": read_nothing,
    "ask for 2 MB and read it slowly": read_slowly,
    "ask for a stream of 4 MB and read it slowly": read_stream_slowly,
    "send requests without an end and read no answer": ask_without_end,
    "connect and send nothing": stay_idle,
}


def chunk(data: bytes) -> bytes:
    """Return data as one chunk."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def request_head(identity: str, path: str, **fields: object) -> bytes:
    """Return the head of a request; underscores in names stand for hyphens."""
    headers = {"Host": HOST, "X-Attempt-Id": identity, "X-Deadline-Ms": TIMEOUT_MS} | fields
    lines = "".join(f"{name.replace('_', '-')}: {value}\r\n" for name, value in headers.items())
    return f"POST {path} HTTP/1.1\r\n{lines}\r\n".encode()
