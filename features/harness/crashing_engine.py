"""Simulate engines that crash under certain requests, and return under another identity."""

import asyncio
import itertools
from collections.abc import Callable
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from typing import Any

import h11
import msgspec

from harness.direct_store import StoreStandIn
from harness.direct_target import read_request
from harness.listening_target import ListeningTarget
from harness.listening_target import target_registration

MODEL = "notes"
SERVICE = "models"
SERVERS = "servers"
CRASHING_BODY = b"crashes the engine"
EVENT_COUNT = 6
EVENT_S = 0.05
# How long a crashing run lasts.
CRASH_DELAY_S = 0.06
RESTART_DELAY_S = 1.5
# A registration lapses after three heartbeats of 1.2 s.
REGISTRATION_LAPSE_S = 3.6
SLOTS = 8
REPORT_PATH = "/api/report"
PART_TOKENS = 20


@dataclass(slots=True, frozen=True)
class EngineRequest:
    """Hold what may crash an engine: a request's body and the parts of its prompt, in order."""

    body: bytes
    parts: tuple[str, ...] = ()

    def prefix(self) -> str:
        """Return the header that lists the parts."""
        return ",".join(f"{part}:{PART_TOKENS}" for part in self.parts)


CRASHING_REQUEST = EngineRequest(CRASHING_BODY)


@dataclass(slots=True, frozen=True)
class Arrival:
    """Record a request that reached an engine."""

    at_s: float
    engine: str
    identity: str
    request: EngineRequest


@dataclass(slots=True, frozen=True)
class Crash:
    """Record a crash and the requests that it ended, those that crash engines among them."""

    at_s: float
    engine: str
    requests: tuple[EngineRequest, ...]


@dataclass(slots=True)
class CrashingEngine(ListeningTarget):
    """Run requests that stream events; one that crashes it ends all of its connections."""

    identity: str
    address: tuple[str, int]
    on_arrival: Callable[[Arrival], None]
    on_crash: Callable[["CrashingEngine", tuple[EngineRequest, ...]], None]
    crashes_on: Callable[[EngineRequest], bool] = CRASHING_REQUEST.__eq__
    server: asyncio.Server | None = None
    writers: set[asyncio.StreamWriter] = field(default_factory=set)
    in_flight: list[EngineRequest] = field(default_factory=list)
    free_slots: asyncio.Semaphore = field(default_factory=lambda: asyncio.Semaphore(SLOTS))
    crashed: bool = False
    # Whether responses are sent without a length or chunks.
    unframed: bool = False
    # Events of a crashing run before it crashes.
    events_before_crash: int = 0
    # Whether it fails a request that would crash it with an error.
    fails: Callable[[], bool] = lambda: False

    def crash(self) -> None:
        """End all connections and stop listening."""
        if self.crashed:
            return
        self.crashed = True
        requests = tuple(self.in_flight)
        self.stop()
        self.on_crash(self, requests)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        codec = h11.Connection(h11.SERVER)
        self.writers.add(writer)
        try:
            while (request := await read_request(codec, reader)) is not None:
                await self._answer(codec, writer, *request)
                if self.crashed or codec.our_state is not h11.DONE:
                    break
                codec.start_next_cycle()
        except (OSError, h11.ProtocolError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _answer(
        self, codec: h11.Connection, writer: asyncio.StreamWriter, head: h11.Request, body: bytes
    ) -> None:
        headers = {name.decode(): value.decode() for name, value in head.headers}
        if head.target.decode() == REPORT_PATH:
            _send_whole(codec, writer, 200, msgspec.json.encode(_report()))
            return
        identity = headers.get("x-attempt-id", "")
        prefix = headers.get("x-prompt-prefix", "")
        parts = tuple(each.partition(":")[0] for each in prefix.split(",") if each)
        request = EngineRequest(body, parts)
        if head.target.startswith(b"/api/"):
            _send_whole(codec, writer, 400, b"")
            return
        if headers.get("x-expected-instance") != self.identity:
            _send_whole(codec, writer, 421, b"")
            return
        now_s = asyncio.get_running_loop().time()
        self.on_arrival(Arrival(now_s, self.identity, identity, request))
        self.in_flight.append(request)
        try:
            async with self.free_slots:
                await self._run(codec, writer, identity, request)
        finally:
            self.in_flight.remove(request)

    async def _run(
        self,
        codec: h11.Connection,
        writer: asyncio.StreamWriter,
        identity: str,
        request: EngineRequest,
    ) -> None:
        headers = [("X-Attempt-Id", identity), ("X-Response-Signature", self.identity)]
        crashes = self.crashes_on(request)
        if crashes and self.fails():
            _send_whole(codec, writer, 500, b"", headers)
            return
        if self.unframed:
            # For an HTTP/1.0 peer the codec sends the body without chunks and closes.
            codec.their_http_version = b"1.0"
        writer.write(codec.send(h11.Response(status_code=200, headers=headers)) or b"")
        for number in range(1, (self.events_before_crash if crashes else EVENT_COUNT) + 1):
            await asyncio.sleep(EVENT_S)
            if writer.is_closing():
                return
            event = b"id: %d\ndata: event %d\n\n" % (number, number)
            writer.write(codec.send(h11.Data(data=event)) or b"")
        if crashes:
            await asyncio.sleep(CRASH_DELAY_S)
            if not writer.is_closing():
                self.crash()
            return
        writer.write(codec.send(h11.EndOfMessage()) or b"")


class CrashingFleet:
    """Run engines that come back some time after a crash, and record what reached them."""

    def __init__(self, store: StoreStandIn, count: int) -> None:
        self.store = store
        self.numbers = itertools.count(1)
        self.count = count
        self.engines: list[CrashingEngine] = []
        self.arrivals: list[Arrival] = []
        self.crashes: list[Crash] = []
        self.crashes_on: Callable[[EngineRequest], bool] = CRASHING_REQUEST.__eq__
        # Of the engines that start from now on.
        self.unframed = False
        self.events_before_crash = 0
        # One in so many crashing requests fails with an error instead; 0 for none.
        self.error_interval = 0
        self.crashing_runs = itertools.count(1)
        # How long an engine takes to come back.
        self.restart_delay_s = RESTART_DELAY_S
        # Called after each crash.
        self.on_crash: Callable[[], None] = lambda: None
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Start and register all engines."""
        for _ in range(self.count):
            await self._start_engine(("127.0.0.1", 0))

    def stop(self) -> None:
        """Stop all engines."""
        for task in self.tasks:
            task.cancel()
        for engine in self.engines:
            engine.stop()

    def crashing_arrivals(self, *, after_s: float = 0.0) -> list[Arrival]:
        """Return the requests that crash engines and reached one, from a time on."""
        arrivals = (each for each in self.arrivals if each.at_s > after_s)
        return [each for each in arrivals if self.crashes_on(each.request)]

    def own_crashes(self) -> list[Crash]:
        """Return the crashes at which a request was that crashes engines."""
        return [each for each in self.crashes if any(map(self.crashes_on, each.requests))]

    async def _start_engine(self, address: tuple[str, int]) -> None:
        identity = f"i-{next(self.numbers)}"
        engine = CrashingEngine(
            identity,
            address,
            self.arrivals.append,
            self._record_crash,
            lambda request: self.crashes_on(request),
            unframed=self.unframed,
            events_before_crash=self.events_before_crash,
            fails=self._fails_next,
        )
        await engine.start()
        self.engines.append(engine)
        self.store.put(SERVERS, identity, registration(engine))

    def _fails_next(self) -> bool:
        return self.error_interval > 0 and next(self.crashing_runs) % self.error_interval == 0

    def _record_crash(self, engine: CrashingEngine, requests: tuple[EngineRequest, ...]) -> None:
        now_s = asyncio.get_running_loop().time()
        self.crashes.append(Crash(now_s, engine.identity, requests))
        self.engines.remove(engine)
        for work in (self._return(engine), self._lapse(engine)):
            task = asyncio.get_running_loop().create_task(work)
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        self.on_crash()

    async def _return(self, engine: CrashingEngine) -> None:
        await asyncio.sleep(self.restart_delay_s)
        await self._start_engine(engine.address)

    async def _lapse(self, engine: CrashingEngine) -> None:
        await asyncio.sleep(REGISTRATION_LAPSE_S)
        self.store.delete(SERVERS, engine.identity)


def registration(engine: CrashingEngine) -> dict[str, Any]:
    """Return an engine's registration."""
    models = [{"name": MODEL, "version": 1, "adapters": []}]
    return target_registration(SERVICE, engine.address, slots=SLOTS, models=models)


def _report() -> dict[str, Any]:
    models = [{"name": MODEL, "version": 1, "adapters": []}]
    return {"models": models, "busy": False, "sequence": 0, "waiting": 0, "running": 0}


def _send_whole(
    codec: h11.Connection,
    writer: asyncio.StreamWriter,
    status: int,
    body: bytes,
    headers: Sequence[tuple[str, str]] = (),
) -> None:
    headers = [*headers, ("Content-Length", str(len(body)))]
    writer.write(codec.send(h11.Response(status_code=status, headers=headers)) or b"")
    writer.write(codec.send(h11.Data(data=body)) or b"")
    writer.write(codec.send(h11.EndOfMessage()) or b"")
