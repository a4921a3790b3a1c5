"""Play streams that are moved as their callers leave or their time limits pass."""

import asyncio
import itertools
import os
import random
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from unittest.mock import patch

import h11

from harness.direct_entry import REQUEST_KINDS
from harness.direct_entry import DirectEntry
from harness.direct_entry import UnresponsiveEngines
from harness.direct_entry import engine_spec
from harness.direct_entry import model_spec
from harness.direct_entry import read_response
from harness.direct_entry import request_bytes
from harness.direct_target import PROOF
from harness.direct_target import read_request
from harness.share_leases import held_share
from harness.stalling_loop import StallingLoop
from harness.virtual_time import VirtualClock
from harness.virtual_time import run_in_virtual_time
from mimosaspur_coordination.fleetports import HeadHandler
from mimosaspur_coordination.fleetports import StoppedRun
from mimosaspur_coordination.fleetports import StopUnconfirmed
from mimosaspur_daemon.direct.evacuation import Evacuation
from mimosaspur_daemon.direct.requesthandler import RequestHandler
from mimosaspur_state.clock import BoottimeClock
from mimosaspur_state.eventlog import EventLog
from mimosaspur_state.fleet import EngineReport
from mimosaspur_state.fleet import TargetRecord

STREAM_COUNT = 8
EVENT_COUNT = 60
EVENT_S = 0.005
# When the first engine begins to leave, and how long it then has.
LEAVES_AT_S = 0.1
GONE_IN_MS = 3_000
# Callers' time limits, some of which pass while the streams are being moved.
LIMITS_MS = (110, 300)
LONG_LIMIT_MS = 4_000
LEAVING_SHARE = 0.25
# Delays before an engine stops a run, and before it says so.
MAX_STOP_S = 0.01
REFUSAL_SHARE = 0.2
LOST_SHARE = 0.1
SETTLE_S = 5.0
HEADERS = {"X-Model": "notes", "X-Token-Counts": "10,60"}


@dataclass(slots=True)
class MovedStream:
    """Record a caller's stream: whether it was to end, and did."""

    identity: str
    kind: str
    limit_ms: int
    leaves_at_s: float | None
    whole: bool = False
    status: int = 0


@dataclass(slots=True)
class PlayedMoves:
    """Record what became of the copies of one play, and what ended its evacuation."""

    streams: list[MovedStream] = field(default_factory=list)
    made: set[str] = field(default_factory=set)
    used: list[str] = field(default_factory=list)
    dropped: list[str] = field(default_factory=list)
    errors: list[str] = field(default_factory=list)
    # By request, when its runs at engines began and ended, on the event loop's clock.
    runs: dict[str, list[tuple[float, float]]] = field(default_factory=dict)

    def longest_overlap_s(self) -> float:
        """Return the longest time for which a request was at two engines."""
        return max(
            (
                earlier[1] - later[0]
                for runs in self.runs.values()
                for earlier, later in itertools.pairwise(sorted(runs))
            ),
            default=0.0,
        )

    def kept(self) -> set[str]:
        """Return the copies that were neither used nor dropped, and hold memory."""
        return self.made - set(self.used) - set(self.dropped)


class StreamEngine:
    """Stream events, and go on with runs that another engine has stopped."""

    def __init__(self, name: str, played: PlayedMoves, chooser: random.Random) -> None:
        self.name = name
        self.played = played
        self.random = chooser
        self.running: dict[str, asyncio.StreamWriter] = {}

    async def start(self) -> tuple[str, int]:
        """Listen."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()[:2]
        return host, port

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        codec = h11.Connection(h11.SERVER)
        try:
            while (request := await read_request(codec, reader)) is not None:
                fields = {name.decode(): value.decode() for name, value in request[0].headers}
                if not await self._answer(fields, writer, codec):
                    return
                codec.start_next_cycle()
        except (OSError, h11.ProtocolError):
            pass
        finally:
            writer.close()

    async def _answer(
        self, fields: dict[str, str], writer: asyncio.StreamWriter, codec: h11.Connection
    ) -> bool:
        """Answer a request; return whether the connection may be used again."""
        identity = fields["x-request-id"]
        headers = [(b"X-Request-Id", identity.encode()), PROOF]
        handle = fields.get("x-continued-from", "").rpartition("/")[2]
        if handle and (handle in self.played.dropped or self.random.random() < REFUSAL_SHARE):
            refusal = [*headers, (b"X-Not-Run", b"1"), (b"Content-Length", b"0")]
            writer.write(codec.send(h11.Response(status_code=503, headers=refusal)) or b"")
            writer.write(codec.send(h11.EndOfMessage()) or b"")
            return True
        if handle:
            self.played.used.append(handle)
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        try:
            return await self._stream(fields, headers, writer, codec)
        finally:
            self.played.runs.setdefault(identity, []).append((began_s, loop.time()))

    async def _stream(
        self,
        fields: dict[str, str],
        headers: list[tuple[bytes, bytes]],
        writer: asyncio.StreamWriter,
        codec: h11.Connection,
    ) -> bool:
        """Send events until the last one, or until the run is stopped or given up."""
        identity = fields["x-request-id"]
        self.running[identity] = writer
        writer.write(codec.send(h11.Response(status_code=200, headers=headers)) or b"")
        for number in range(int(fields.get("last-event-id", "0")) + 1, EVENT_COUNT + 1):
            await asyncio.sleep(EVENT_S)
            if writer.is_closing() or self.running.get(identity) is not writer:
                return False
            event = b"id: %d\ndata: event %d\n\n" % (number, number)
            writer.write(codec.send(h11.Data(data=event)) or b"")
        del self.running[identity]
        writer.write(codec.send(h11.EndOfMessage()) or b"")
        return True


class StoppingEngines(UnresponsiveEngines):
    """Stop runs and keep copies of them, with delays that a seed chooses."""

    def __init__(self, played: PlayedMoves, chooser: random.Random) -> None:
        self.played = played
        self.random = chooser
        self.engines: dict[str, StreamEngine] = {}

    def set_head_handler(self, handler: HeadHandler) -> None:
        """Ignore the handler, as calls have no heads here."""

    async def report(self, target: TargetRecord) -> EngineReport | None:
        """Return a report with the engine's remaining time."""
        return EngineReport({}, frozenset(), False, 0, 0, 1, 0, terminates_in_ms=GONE_IN_MS)

    async def stop_and_copy(
        self, source: TargetRecord, request: bytes, to: TargetRecord
    ) -> StoppedRun | None:
        """Stop a run if it is there; answer before or after its connection's end is seen."""
        await asyncio.sleep(self.random.uniform(0, MAX_STOP_S))
        if self.random.random() < LOST_SHARE:
            raise StopUnconfirmed("the call was lost")
        writer = self.engines[source.identity].running.pop(request.decode(), None)
        if writer is None:
            return None
        writer.transport.abort()
        await asyncio.sleep(self.random.uniform(0, MAX_STOP_S))
        answer = self.random.choice(("copied", "copied", "stays", "unanswered"))
        if answer == "unanswered":
            raise StopUnconfirmed("no answer")
        handle = f"h{len(self.played.made)}"
        self.played.made.add(handle)
        return StoppedRun(handle, copied=answer == "copied")

    async def drop_copy(self, source: TargetRecord, handle: str) -> None:
        """Free a copy."""
        self.played.dropped.append(handle)


class OrderedHandlers(dict[RequestHandler, None]):
    """Hold handlers in the order of their requests, so that a seed gives the same play again."""

    def add(self, handler: RequestHandler) -> None:
        """Add a handler."""
        self[handler] = None

    def discard(self, handler: RequestHandler) -> None:
        """Remove a handler."""
        self.pop(handler, None)


class MovePlay:
    """Run an entry before engines one of which leaves, by a seed."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.loop = StallingLoop(seed)
        clock = VirtualClock(self.loop)
        self.played = PlayedMoves()
        self.engines = StoppingEngines(self.played, self.random)
        self.log = EventLog("entry-0", fd=os.open(os.devnull, os.O_WRONLY), clock=clock)
        spec = engine_spec([model_spec("notes")])
        self.entry = DirectEntry(engine=spec, clock=clock, log=self.log, engines=self.engines)
        window_ms = self.entry.state.settings.retries.window_ms
        self.entry.state.retry_share = held_share(window_ms, sharers=1, clock=clock)

    def play(self) -> PlayedMoves:
        """Send the streams and move them; return what became of them."""
        clock = VirtualClock(self.loop)
        random.seed(self.random.random())
        try:
            with patch.object(BoottimeClock, "now_ms", lambda _: clock.now_ms()):
                run_in_virtual_time(self._play(), self.loop)
        finally:
            os.close(self.log.fd)
        return self.played

    async def _play(self) -> None:
        state = self.entry.state
        for name in ("first", "second", "third"):
            engine = self.engines.engines[name] = StreamEngine(name, self.played, self.random)
            self.entry.add(name, await engine.start())
        await self.entry.callers.listen()
        assert self.entry.callers.server
        self.entry.port = self.entry.callers.server.sockets[0].getsockname()[1]
        state.fleet.targets["first"].residents = {"notes": frozenset()}
        self.entry.callers.handlers = OrderedHandlers()  # type: ignore[assignment]
        evacuation = Evacuation(state, self.entry.callers.handlers)
        watching = asyncio.create_task(evacuation.run())
        calls = [asyncio.create_task(self._call(number)) for number in range(STREAM_COUNT)]
        await asyncio.sleep(LEAVES_AT_S)
        for name in ("second", "third"):
            state.fleet.targets[name].residents = {"notes": frozenset()}
        record = replace(state.fleet.targets["first"].record, leaving=True)
        state.on_targets_changed(state.fleet.update([record], []))
        while not evacuation.tasks:
            await asyncio.sleep(0)
        ended = await asyncio.gather(*evacuation.tasks, return_exceptions=True)
        self.played.errors += [repr(each) for each in ended if each is not None]
        await asyncio.gather(*calls)
        await asyncio.sleep(SETTLE_S)
        watching.cancel()

    async def _call(self, number: int) -> None:
        kind = self.random.choice(("a stream", "a resumable stream"))
        limit_ms = self.random.choice((self.random.randint(*LIMITS_MS), LONG_LIMIT_MS))
        leaves = self.random.random() < LEAVING_SHARE
        leaves_at_s = self.random.uniform(*LIMITS_MS) / 1000 if leaves else None
        stream = MovedStream(f"r-{number}", kind, limit_ms, leaves_at_s)
        self.played.streams.append(stream)
        reader, writer = await self.entry.connect()
        headers = HEADERS | {"X-Request-Id": stream.identity, "X-Deadline-Ms": str(limit_ms)}
        writer.write(request_bytes(REQUEST_KINDS[kind][0], headers))
        answer = asyncio.create_task(read_response(reader))
        if leaves_at_s is not None:
            await asyncio.sleep(leaves_at_s)
            writer.transport.abort()
        response = await answer
        stream.status, stream.whole = response.status, response.whole
        writer.close()
