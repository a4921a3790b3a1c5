"""Simulate plain services and streams of several software versions that misbehave at random."""

import asyncio
import itertools
import random
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field

from harness.framed_target import reset
from harness.listening_target import ListeningTarget
from harness.listening_target import target_registration
from soak.record import Arrival
from soak.record import Record
from soak.record import TargetLife

# A plain service, one whose targets answer at the time limit, and two that stream.
CALM = "calm"
EDGE = "edge"
STREAMS = "streams"
ENGINES = "engines"
EVENT_COUNT = 14
EVENT_S = 0.1
SLOTS = 64
# How often a running request looks whether its connection has ended.
WATCH_S = 0.01
# Around the limit that the request names.
JITTER_S = 0.004
LATE_S = 0.03
SILENCE_S = 1.0
GIVEN_UP_S = 30.0
NOT_RUN = "X-Not-Executed: 1\r\n"
# What a target does with a request, by weight.
MANNERS = {
    CALM: {
        "answer": 88,
        "reject": 3,
        "fail": 3,
        "broken": 2,
        "twice": 2,
        "garbage": 1,
        "head": 2,
        "silent": 1,
    },
    EDGE: {"answer": 20, "504": 45, "reset": 20, "late": 10, "reject": 3, "silent": 2},
    ENGINES: {"answer": 92, "broken": 8, "head": 2},
    STREAMS: {
        "answer": 80,
        "broken": 12,
        "reject": 2,
        "cut": 2,
        "head": 2,
        "pause": 3,
        "silent": 1,
    },
}


@dataclass(slots=True)
class Request:
    """Hold a request that a target has read."""

    path: str
    headers: dict[str, str]
    body: bytes


@dataclass(slots=True)
class SoakTarget(ListeningTarget):
    """Answer requests in the manners of its service, and record each."""

    identity: str
    service: str
    version: str
    record: Record
    chance: random.Random
    address: tuple[str, int] = ("127.0.0.1", 0)
    server: asyncio.Server | None = None
    writers: set[asyncio.StreamWriter] = field(default_factory=set)
    running: list[Arrival] = field(default_factory=list)
    numbers: "itertools.count[int]" = field(default_factory=itertools.count)
    leaving: bool = False
    limit: str = ""
    # What it asks for with each rejection while it rests.
    rest_s: float = 0.0
    # Answers nothing before then.
    silent_until_s: float = 0.0
    life: TargetLife | None = None

    def registration(self, state: str = "ready") -> dict[str, object]:
        """Return what it says of itself in the store."""
        base = target_registration(self.service, self.address, version=self.version, slots=SLOTS)
        return {**base, "state": state}

    def crash(self) -> None:
        """End as a crashed process does."""
        for arrival in self.running:
            arrival.broke = True
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            reset(writer)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                await self._answer(request, Peer(reader, writer))
                if writer.is_closing():
                    return
        except (OSError, asyncio.CancelledError):
            # The end of the soak cancels what runs; asyncio would print each.
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _answer(self, request: Request, peer: "Peer") -> None:
        now_s = asyncio.get_running_loop().time()
        if request.path == "/health":
            peer.send_whole(200, f"X-Instance-Id: {self.identity}\r\n", "")
            return
        arrival = self._arrival(request, now_s)
        self.record.arrivals.append(arrival)
        self.running.append(arrival)
        try:
            await self._handle(arrival, peer)
        finally:
            self.running.remove(arrival)
            arrival.ended_s = asyncio.get_running_loop().time()

    def _arrival(self, request: Request, now_s: float) -> Arrival:
        headers = request.headers
        limit = headers.get("x-deadline-ms")
        identity = headers.get("x-attempt-id", "")
        arrival = Arrival(
            identity, self.identity, self.service, self.version, request.body.decode(),
            request.path, now_s,
        )  # fmt: skip
        arrival.deadline_ms = float(limit) if limit else None
        arrival.last_event = int(headers.get("last-event-id", "0"))
        arrival.signature = f"{self.identity}.{next(self.numbers)}.{identity}"
        if not self.accepts(request):
            arrival.status = 421
        return arrival

    def accepts(self, request: Request) -> bool:
        """Return whether the request is meant for this target."""
        return request.headers.get("x-expected-instance") == self.identity

    async def _handle(self, arrival: Arrival, peer: "Peer") -> None:
        if arrival.status == 421:
            self._reject(arrival, peer, 421)
            return
        silent_s = self.silent_until_s - asyncio.get_running_loop().time()
        if silent_s > 0 and not await peer.stays(silent_s):
            return
        if self.rest_s:
            arrival.retry_after_s = self.rest_s
            self._reject(arrival, peer, 503, f"Retry-After: {self.rest_s:.2f}\r\n")
            return
        manners = MANNERS[self.service]
        manner = self.chance.choices(list(manners), list(manners.values()))[0]
        if manner == "reject":
            self._reject(arrival, peer, 503)
            return
        arrival.ran = True
        if self.service in (STREAMS, ENGINES):
            await self._stream(arrival, peer, manner)
        else:
            await _PLAIN[manner](self, arrival, peer)

    def _reject(self, arrival: Arrival, peer: "Peer", status: int, more: str = "") -> None:
        arrival.status = status
        headers = f"X-Attempt-Id: {arrival.identity}\r\n{NOT_RUN}{more}"
        peer.send_whole(status, headers + self._own_headers(), "no")

    def _own_headers(self) -> str:
        limit = f"Server-Limit: {self.limit}\r\n" if self.limit else ""
        return limit + ("Server-Leaving: 1\r\n" if self.leaving else "")

    def signed(self, arrival: Arrival) -> str:
        """Return the headers of an answer of a run."""
        proof = f"X-Response-Signature: {arrival.signature}\r\n"
        return f"X-Attempt-Id: {arrival.identity}\r\n{proof}{self._own_headers()}"

    def finish(self, arrival: Arrival, peer: "Peer", status: int) -> None:
        """Send the whole answer of a run."""
        arrival.status = status
        arrival.text = f"{arrival.signature} answers {status}"
        peer.send_whole(status, self.signed(arrival), arrival.text)

    async def cut_head(self, arrival: Arrival, peer: "Peer", head: str) -> None:
        """Send a part of a head, and end the connection in order or with a reset."""
        arrival.broke = True
        peer.write(head[: self.chance.randrange(len(head))].encode())
        await peer.stays(WATCH_S)
        if self.chance.random() < 0.5:
            peer.reset()
        else:
            peer.close()

    async def work(self, peer: "Peer") -> bool:
        """Work for a usual time; return whether the connection is still there."""
        return await peer.stays(self.chance.uniform(0.01, 0.08))

    async def work_to_limit(self, arrival: Arrival, peer: "Peer", more_s: float) -> bool:
        """Work until about the limit; return whether the connection is still there."""
        limit_s = (arrival.deadline_ms or 1000.0) / 1000
        jitter_s = self.chance.uniform(-JITTER_S, JITTER_S)
        left_s = arrival.at_s + limit_s + more_s + jitter_s - asyncio.get_running_loop().time()
        return await peer.stays(min(left_s, GIVEN_UP_S))

    async def _stream(self, arrival: Arrival, peer: "Peer", manner: str) -> None:
        arrival.status = 200
        chunked = self.chance.random() < 0.7
        first = arrival.last_event + 1
        ends = self.chance.randint(min(first, EVENT_COUNT), EVENT_COUNT)
        framing = "Transfer-Encoding: chunked\r\n" if chunked else "Connection: close\r\n"
        head = f"{self.signed(arrival)}Content-Type: text/event-stream\r\n{framing}"
        if manner == "silent" and not await peer.stays(SILENCE_S):
            return
        if manner == "head":
            await self.cut_head(arrival, peer, f"HTTP/1.1 200 OK\r\n{head}\r\n")
            return
        peer.write(f"HTTP/1.1 200 OK\r\n{head}\r\n".encode())
        for number in range(first, EVENT_COUNT + 1):
            if not await peer.stays(EVENT_S):
                return
            event = f"id: {number}\ndata: {arrival.signature}\n\n".encode()
            if number == ends and manner in ("broken", "cut"):
                arrival.broke = True
                if manner == "cut":
                    peer.write(_chunk(event[:7]) if chunked else event[:7])
                peer.reset()
                return
            if number == ends and manner == "pause" and not await peer.stays(SILENCE_S):
                return
            peer.write(_chunk(event) if chunked else event)
        peer.write(_chunk(b"") if chunked else b"")
        if not chunked:
            peer.close()


class Peer:
    """Write to one connection and watch whether it ends."""

    __slots__ = ("reader", "writer")

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer

    async def stays(self, seconds: float) -> bool:
        """Wait; return whether the connection is still there."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + seconds
        while (left_s := end_s - loop.time()) > 0:
            await asyncio.sleep(min(left_s, WATCH_S))
            if self.reader.at_eof() or self.writer.is_closing():
                return False
        return True

    def write(self, data: bytes) -> None:
        """Send bytes."""
        self.writer.write(data)

    def send_whole(self, status: int, headers: str, body: str) -> None:
        """Send a whole answer."""
        head = f"HTTP/1.1 {status} X\r\n{headers}Content-Length: {len(body)}\r\n\r\n"
        self.write((head + body).encode())

    def reset(self) -> None:
        """End the connection with a reset."""
        reset(self.writer)

    def close(self) -> None:
        """End the connection in order."""
        self.writer.close()


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Return the next request, None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in filter(None, lines):
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, OSError):
        return None
    return Request(first.split(" ")[1], headers, body)


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


async def _plain_answer(target: SoakTarget, arrival: Arrival, peer: Peer) -> None:
    if await target.work(peer):
        target.finish(arrival, peer, 200)


async def _plain_fail(target: SoakTarget, arrival: Arrival, peer: Peer) -> None:
    if await target.work(peer):
        target.finish(arrival, peer, 500)


async def _answer_504_at_limit(target: SoakTarget, arrival: Arrival, peer: Peer) -> None:
    if await target.work_to_limit(arrival, peer, 0.0):
        target.finish(arrival, peer, 504)


async def _answer_late(target: SoakTarget, arrival: Arrival, peer: Peer) -> None:
    if await target.work_to_limit(arrival, peer, target.chance.uniform(-LATE_S, LATE_S)):
        target.finish(arrival, peer, 200)


async def _reset_at_limit(target: SoakTarget, arrival: Arrival, peer: Peer) -> None:
    await target.work_to_limit(arrival, peer, 0.001)
    arrival.broke = True
    peer.reset()


async def _break_off(target: SoakTarget, arrival: Arrival, peer: Peer) -> None:
    await target.work(peer)
    arrival.broke = True
    arrival.status = 200
    head = f"HTTP/1.1 200 X\r\n{target.signed(arrival)}Content-Length: 500\r\n\r\nfirst part"
    peer.write(head.encode())
    await peer.stays(WATCH_S)
    peer.reset()


async def _cut_head(target: SoakTarget, arrival: Arrival, peer: Peer) -> None:
    await target.work(peer)
    arrival.status = 200
    head = f"HTTP/1.1 200 X\r\n{target.signed(arrival)}Content-Length: 500\r\n\r\n"
    await target.cut_head(arrival, peer, head)


async def _answer_twice(target: SoakTarget, arrival: Arrival, peer: Peer) -> None:
    if await target.work(peer):
        target.finish(arrival, peer, 200)
        await peer.stays(target.chance.uniform(0.0, 0.05))
        target.finish(arrival, peer, 200)


async def _write_garbage(target: SoakTarget, arrival: Arrival, peer: Peer) -> None:
    await target.work(peer)
    arrival.broke = True
    peer.write(b"\x00\xff no answer at all \r\n\r\n")
    peer.close()


async def _fall_silent(target: SoakTarget, arrival: Arrival, peer: Peer) -> None:
    if await peer.stays(SILENCE_S):
        target.finish(arrival, peer, 200)


_PLAIN: dict[str, Callable[[SoakTarget, Arrival, Peer], Awaitable[None]]] = {
    "answer": _plain_answer,
    "fail": _plain_fail,
    "504": _answer_504_at_limit,
    "late": _answer_late,
    "reset": _reset_at_limit,
    "broken": _break_off,
    "head": _cut_head,
    "twice": _answer_twice,
    "garbage": _write_garbage,
    "silent": _fall_silent,
}
