"""Send requests as the platform's callers do, and record every try."""

import asyncio
import itertools
import random
from dataclasses import dataclass
from dataclasses import field

from harness.entry_site import HOST
from soak.channel import Channel
from soak.channel import Ended
from soak.channel import connect
from soak.channel import read_answer
from soak.engines import MODELS
from soak.processes import SoakEntry
from soak.record import PROMISES
from soak.record import Attempt
from soak.record import Kind
from soak.record import Record
from soak.targets import CALM
from soak.targets import EDGE
from soak.targets import ENGINES
from soak.targets import EVENT_COUNT
from soak.targets import STREAMS

MAX_TRIES = 5
# Kind, service, attempts of the route and bounds of the time limit of a request, by weight.
# Streams of the route with one attempt have to be taken up by their callers.
REQUESTS = (
    (28, Kind.UNSAFE, EDGE, 3, 0.15, 0.25),
    (8, Kind.SAFE, EDGE, 3, 0.15, 0.4),
    (10, Kind.UNSAFE, CALM, 3, 0.5, 4.0),
    (10, Kind.SAFE, CALM, 3, 0.5, 4.0),
    (10, Kind.RESUMABLE, STREAMS, 3, 4.0, 8.0),
    (14, Kind.RESUMABLE, STREAMS, 1, 4.0, 8.0),
    (8, Kind.STREAM, STREAMS, 3, 4.0, 8.0),
    (8, Kind.RESUMABLE, ENGINES, 3, 4.0, 8.0),
)
ROUTES = tuple((kind, service, attempts) for _, kind, service, attempts, _, _ in REQUESTS)
# Beyond the limit; what comes later is not read.
PATIENCE_S = 1.0
# Without an event a caller leaves the stream.
GAP_S = 3.2
FIRST_WAIT_S = 0.02
LEAVES_SHARE = 0.02
IDLE_S = 0.25
NO_ENTRY_S = 0.1
PREFERRED_SHARE = 0.5
# How long a caller stays that moves.
MOVES_S = (0.3, 0.8)


def route_prefix(kind: Kind, service: str, max_attempts: int) -> str:
    """Return the path prefix of a route."""
    return f"/{kind.value}-{max_attempts}-{service}/"


@dataclass(slots=True)
class Request:
    """Hold one request over all tries of its caller."""

    name: str
    kind: Kind
    service: str
    max_attempts: int
    limit_s: float
    end_s: float
    tries: int = 0
    # The last event that came, and the try that brought the first.
    last_event: int = 0
    root: str = ""

    @property
    def path(self) -> str:
        """Return the path, which names route and service."""
        return f"{route_prefix(self.kind, self.service, self.max_attempts)}x"


Kept = tuple[SoakEntry, Channel]


@dataclass(slots=True)
class Callers:
    """Run callers until they are told to stop."""

    entries: list[SoakEntry]
    record: Record
    chance: random.Random
    stopping: bool = False
    # While it isn't 0, callers leave their streams and take them up elsewhere.
    moving: int = 0
    # Taken for half of the connections while it is ready.
    preferred: SoakEntry | None = None
    channels: list[Kept] = field(default_factory=list)
    numbers: "itertools.count[int]" = field(default_factory=lambda: itertools.count(1))

    async def run(self, count: int) -> None:
        """Run a number of callers."""
        await asyncio.gather(*(self._call() for _ in range(count)))

    def channels_to(self, entry: SoakEntry) -> list[Channel]:
        """Return the open connections to an entry."""
        return [channel for to, channel in self.channels if to is entry and not channel.end]

    async def _call(self) -> None:
        """Send requests one after another over a connection that is kept."""
        kept: Kept | None = None
        while not self.stopping:
            await asyncio.sleep(self.chance.expovariate(1 / IDLE_S))
            kept = await self._send(self._draw(), kept)

    async def _send(self, request: Request, kept: Kept | None) -> Kept | None:
        """Send one request until it is served or given up; return the connection to keep."""
        while True:
            if kept is None or kept[1].end:
                kept = await self._connect(request)
            if kept is None:
                return None
            attempt, reusable = await self._try(request, *kept)
            if reusable and not self._goes_on(request, attempt):
                return kept
            # Each further try uses a new connection, to another entry where there is one.
            kept[1].close()
            kept = None
            if not self._goes_on(request, attempt):
                return None
            await asyncio.sleep(_wait_s(request, attempt))

    def _draw(self) -> Request:
        weights = [each[0] for each in REQUESTS]
        _, kind, service, attempts, shortest, longest = self.chance.choices(REQUESTS, weights)[0]
        limit_s = self.chance.uniform(shortest, longest)
        end_s = asyncio.get_running_loop().time() + limit_s
        return Request(f"q{next(self.numbers)}", kind, service, attempts, limit_s, end_s)

    async def _connect(self, request: Request) -> Kept | None:
        """Return a new connection, None if no entry accepts one in the request's time."""
        loop = asyncio.get_running_loop()
        while loop.time() < request.end_s:
            in_rotation = [each for each in self.entries if each.in_rotation]
            entry = self.chance.choice(in_rotation or self.entries)
            if self.preferred in in_rotation and self.chance.random() < PREFERRED_SHARE:
                entry = self.preferred
            if channel := await connect(entry.callers_address):
                self.channels = [each for each in self.channels if not each[1].end]
                self.channels.append((entry, channel))
                return entry, channel
            await asyncio.sleep(NO_ENTRY_S)
        return None

    async def _try(
        self, request: Request, entry: SoakEntry, channel: Channel
    ) -> tuple[Attempt, bool]:
        loop = asyncio.get_running_loop()
        left_s = max(0.03, request.end_s - loop.time())
        request.tries += 1
        attempt = Attempt(
            f"{request.name}-{request.tries}", request.name, request.kind, entry.name,
            request.path, loop.time(), left_s,
        )  # fmt: skip
        attempt.max_attempts = request.max_attempts
        attempt.kept = channel.used
        attempt.stray = channel.buffer.decode("latin-1")
        attempt.last_event = request.last_event
        attempt.resumes = request.root if request.last_event else ""
        self.record.attempts.append(attempt)
        channel.write(_request_bytes(attempt))
        reusable = await self._read(channel, attempt)
        attempt.end_s = loop.time()
        if attempt.pieces:
            request.root = request.root or attempt.identity
            request.last_event = max(request.last_event, attempt.pieces[-1].number)
        return attempt, reusable and not channel.end

    async def _read(self, channel: Channel, attempt: Attempt) -> bool:
        leaves = attempt.kind.is_stream and self.chance.random() < LEAVES_SHARE
        patience_s = self.chance.uniform(0.0, 0.3) if leaves else attempt.limit_s + PATIENCE_S
        if self.moving and attempt.kind is Kind.RESUMABLE:
            attempt.moves = True
            patience_s = self.chance.uniform(*MOVES_S)
        try:
            async with asyncio.timeout(patience_s):
                return await read_answer(channel, attempt)
        except TimeoutError:
            attempt.gave_up = True
        except Ended:
            attempt.error = channel.end
        except (ValueError, IndexError, KeyError) as error:
            attempt.error = f"no HTTP: {error}"
        return False

    def _goes_on(self, request: Request, attempt: Attempt) -> bool:
        """Return whether the caller tries again."""
        now_s = asyncio.get_running_loop().time()
        if request.tries >= MAX_TRIES or now_s >= request.end_s:
            return False
        if attempt.gave_up and not attempt.moves:
            return False
        if attempt.succeeded and attempt.complete:
            return False
        if attempt.status in PROMISES:
            return True
        if attempt.status in (400, 401, 404, 413, 431):
            return False
        if request.last_event >= EVENT_COUNT:
            return False
        # A reset is no proof that the entry hasn't read the request.
        return request.kind.is_idempotent


def _request_bytes(attempt: Attempt) -> bytes:
    body = attempt.request.encode()
    headers = {
        "Host": HOST,
        "X-Attempt-Id": attempt.identity,
        "X-Deadline-Ms": f"{attempt.limit_s * 1000:.0f}",
        "Content-Length": str(len(body)),
    }
    if "-engines/" in attempt.path:
        # The same at each try.
        model = MODELS[int(attempt.request[1:]) % len(MODELS)]
        headers |= {"X-Model": model, "X-Token-Counts": "100,12"}
    if attempt.resumes:
        headers |= {"Last-Event-Id": str(attempt.last_event), "Resumes": attempt.resumes}
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    return f"POST {attempt.path} HTTP/1.1\r\n{lines}\r\n".encode() + body


def _wait_s(request: Request, attempt: Attempt) -> float:
    left_s = max(0.0, request.end_s - asyncio.get_running_loop().time())
    return min(left_s / 3, attempt.retry_after_s or FIRST_WAIT_S)
