"""Simulate a target that falls silent as planned, and record its runs."""

import asyncio
import math
from dataclasses import dataclass
from dataclasses import field

import h11

from harness.direct_entry import DIALECT
from harness.direct_target import PROOF
from harness.direct_target import read_request
from harness.generated_plans import BEFORE_HEAD
from harness.generated_plans import EVENT_COUNT
from harness.generated_plans import Ending
from harness.generated_plans import RunPlan
from harness.generated_plans import TargetPlan
from harness.memory_network import MemoryLoop
from harness.memory_network import MemoryServer
from harness.memory_network import MemoryTransport

# A target that takes a request to be another one's.
MISDIRECTED_STATUS = 421
# After that, a crashed target's registration has lapsed.
REGISTRATION_S = 1.2


@dataclass(slots=True)
class Run:
    """Record a request at a target."""

    request: str
    target: "PlannedTarget"
    began_s: float
    transport: MemoryTransport
    # When whole events, or a whole answer, were sent.
    brought_s: list[float] = field(default_factory=list)
    # When the target ended it, with or without an answer.
    finished_s: float = math.inf
    # Whether the target didn't run it.
    refused: bool = False
    # Whether the target answered it to the end.
    answered: bool = False

    def ended_s(self) -> float:
        """Return when no target worked on it any more."""
        lost_s = self.transport.ended_s
        return min(self.finished_s, math.inf if lost_s is None else lost_s)

    def failed_s(self) -> float:
        """Return when the target ended the run with a failure, infinity if it didn't."""
        return math.inf if self.answered or self.refused else self.finished_s

    def crashed_s(self) -> float:
        """Return when the run ended with its target, infinity if it didn't."""
        crashed_s = self.target.crashed_s
        return crashed_s if self.began_s <= crashed_s <= self.ended_s() else math.inf

    def was_left(self) -> bool:
        """Return whether the entry closed the connection before the target had ended the run."""
        return self.ended_s() < min(self.finished_s, self.target.crashed_s)


class PlannedTarget:
    """Answer requests as planned."""

    def __init__(self, name: str, plan: TargetPlan, loop: MemoryLoop, *, framed: bool) -> None:
        self.name = name
        self.plan = plan
        self.framed = framed
        self.loop = loop
        self.runs: list[Run] = []
        self.transports: set[MemoryTransport] = set()
        self.tasks: set[asyncio.Task[None]] = set()
        self.silent_until_s = 0.0
        self.crashed_s = math.inf
        self.server: MemoryServer | None = None

    @property
    def is_dark(self) -> bool:
        """Return whether it is silent for ever."""
        return self.silent_until_s == math.inf

    async def start(self) -> tuple[str, int]:
        """Listen; return the address."""

        def protocol() -> asyncio.StreamReaderProtocol:
            reader = asyncio.StreamReader(loop=self.loop)
            return asyncio.StreamReaderProtocol(reader, self._on_connection, loop=self.loop)

        self.server = server = await self.loop.create_server(protocol)
        return server.sockets[0].getsockname()

    def crash(self, *, reset: bool) -> None:
        """End all connections, and refuse others."""
        if self.is_crashed():
            return
        self.crashed_s = self.loop.time()
        self.stop()
        for transport in list(self.transports):
            if reset:
                transport.abort()
            else:
                transport.close()

    def is_crashed(self) -> bool:
        """Return whether it has crashed."""
        return self.crashed_s < math.inf

    def stop(self) -> None:
        """Refuse connections and cancel all work."""
        if self.server:
            self.server.close()
        for task in self.tasks:
            task.cancel()

    def _on_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = self.loop.create_task(self._serve(reader, writer))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        transport = writer.transport
        assert isinstance(transport, MemoryTransport)
        self.transports.add(transport)
        codec = h11.Connection(h11.SERVER)
        try:
            while (received := await read_request(codec, reader)) is not None:
                head, _ = received
                fields = {name.decode(): value.decode() for name, value in head.headers}
                planned = self.plan.runs[len(self.runs) : len(self.runs) + 1]
                run = Run(fields["x-request-id"], self, self.loop.time(), transport)
                self.runs.append(run)
                answer = _Answer(self, run, planned[0] if planned else RunPlan(), codec, writer)
                await answer.play(fields)
                if codec.our_state is not h11.DONE:
                    break
                codec.start_next_cycle()
        except (OSError, h11.ProtocolError):
            pass
        finally:
            self.transports.discard(transport)
            writer.close()


class _Answer:
    def __init__(
        self,
        target: PlannedTarget,
        run: Run,
        plan: RunPlan,
        codec: h11.Connection,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.target = target
        self.run = run
        self.plan = plan
        self.codec = codec
        self.writer = writer

    async def play(self, fields: dict[str, str]) -> None:
        """Answer the request, unless the connection ends before that."""
        run, plan = self.run, self.plan
        run.refused = plan.ending in (Ending.REFUSES, Ending.MISDIRECTED)
        await self._pause(BEFORE_HEAD)
        if plan.ending is Ending.REFUSES:
            await self._send_whole(503, b"", (DIALECT.not_run, b"1"))
        elif plan.ending is Ending.MISDIRECTED:
            await self._send_whole(MISDIRECTED_STATUS, b"")
        elif plan.ending is Ending.FAILS:
            await self._send_whole(500, b"failed")
        elif await self._ends(BEFORE_HEAD):
            return
        elif "stream" in fields["x-kind"]:
            await self._stream(int(fields.get("last-event-id", "0")))
        else:
            await self._answer()

    async def _stream(self, last: int) -> None:
        await self._send(h11.Response(status_code=200, headers=[PROOF, self._id()]))
        for number in range(last + 1, EVENT_COUNT + 1):
            await asyncio.sleep(self.target.plan.event_ms / 1000)
            place = number - 1
            await self._pause(place, inside=False)
            if not self.plan.ends_inside and await self._ends(place):
                return
            event = event_of(self.run.request, number)
            if self._silence_s(place, inside=True) or self.plan.ends_inside:
                half = len(event) // 2
                await self._send(h11.Data(data=event[:half]))
                event = event[half:]
                await self._pause(place, inside=True)
                if await self._ends(place):
                    return
            if await self._send(h11.Data(data=event)):
                self.run.brought_s.append(self.target.loop.time())
        if await self._send(h11.EndOfMessage()):
            self._finish(answered=True)

    async def _answer(self) -> None:
        await asyncio.sleep(self.target.plan.event_ms / 1000)
        await self._pause(0, inside=False)
        body = answer_of(self.run.request)
        length = [(b"Content-Length", b"%d" % len(body))] if self.target.framed else []
        await self._send(h11.Response(status_code=200, headers=[PROOF, self._id(), *length]))
        if self._silence_s(0, inside=True) or self.plan.ends_at >= 0:
            await self._send(h11.Data(data=body[:4]))
            body = body[4:]
            await self._pause(0, inside=True)
            if await self._ends(0):
                return
        if await self._send(h11.Data(data=body)) and await self._send(h11.EndOfMessage()):
            self.run.brought_s.append(self.target.loop.time())
            self._finish(answered=True)

    async def _send_whole(self, status: int, body: bytes, *extra: tuple[bytes, bytes]) -> None:
        headers = [(b"Content-Length", b"%d" % len(body)), self._id(), *extra]
        await self._send(h11.Response(status_code=status, headers=headers))
        await self._send(h11.Data(data=body))
        if await self._send(h11.EndOfMessage()):
            self._finish()

    async def _ends(self, place: int) -> bool:
        """End the connection if that is planned for a place; return whether it was."""
        if self.plan.ending not in (Ending.CLOSES, Ending.RESETS) or self.plan.ends_at != place:
            return False
        await self._wait_out_silence()
        self._finish()
        if self.plan.ending is Ending.RESETS:
            self.writer.transport.abort()
        else:
            self.writer.close()
        return True

    async def _pause(self, place: int, *, inside: bool | None = None) -> None:
        await asyncio.sleep(self._silence_s(place, inside=inside))

    def _silence_s(self, place: int, *, inside: bool | None = None) -> float:
        silences = [
            each.ms
            for each in self.plan.silences
            if each.at == place and inside in (None, each.inside)
        ]
        return sum(silences) / 1000

    async def _send(self, event: h11.Event) -> bool:
        """Send a part of the answer once the target isn't silent; return whether it is sent."""
        await self._wait_out_silence()
        framed = self.target.framed or self.run.refused or self.plan.ending is Ending.FAILS
        data = self.codec.send(event) if framed else _unframed(event)
        if data:
            self.writer.write(data)
            await self.writer.drain()
        return not self.writer.transport.is_closing() and self.run.transport.ended_s is None

    async def _wait_out_silence(self) -> None:
        target = self.target
        while (left_s := target.silent_until_s - target.loop.time()) > 0:
            await asyncio.sleep(min(left_s, 60.0))

    def _finish(self, *, answered: bool = False) -> None:
        self.run.finished_s = self.target.loop.time()
        self.run.answered = answered
        if answered and not self.target.framed:
            self.writer.close()

    def _id(self) -> tuple[bytes, bytes]:
        return DIALECT.request_id, self.run.request.encode()


def _unframed(event: h11.Event) -> bytes:
    """Return a part of an answer that ends with its connection."""
    if isinstance(event, h11.Response):
        fields = [(b"Connection", b"close"), *event.headers.raw_items()]
        lines = b"".join(b"%s: %s\r\n" % each for each in fields)
        return b"HTTP/1.1 %d OK\r\n%s\r\n" % (event.status_code, lines)
    return bytes(event.data) if isinstance(event, h11.Data) else b""


def event_of(request: str, number: int) -> bytes:
    """Return an event of a request's stream."""
    return b"id: %d\ndata: event %d of %s\n\n" % (number, number, request.encode())


def answer_of(request: str) -> bytes:
    """Return the whole answer to a request."""
    return b"the whole answer to " + request.encode()
