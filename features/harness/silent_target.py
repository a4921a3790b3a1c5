"""Simulate targets that fall silent for a time and go on where they were."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from typing import Any

import h11
import msgspec

from harness.direct_target import read_request
from harness.listening_target import ListeningTarget
from harness.listening_target import target_registration

MODEL = "notes"
SERVERS = "servers"
SLOTS = 16
REPORT_PATH = b"/api/report"
API_PREFIX = b"/api/"
# The beginning of the paths of requests that are answered at once.
QUICK_PREFIX = b"/quick/"
WHOLE_BODY = b"the first half, and the second half"
# Time from a request to the head of its response, and on to the first event or the first half.
HEAD_S = 0.1
FIRST_S = 0.1
# The time between the halves of a whole answer.
HALF_S = 0.2


@dataclass(slots=True)
class Arrival:
    """Record a caller's request that reached a target."""

    at_s: float
    target: str
    request: str
    # Whether the target began to run it.
    ran: bool = False


@dataclass(slots=True)
class SilentTarget(ListeningTarget):
    """Answer by events as an engine or in two halves as a plain service, except while silent."""

    identity: str
    is_engine: bool = True
    # "answers", "refuses it" as not run, "fails it with 500" or "fails it with 503".
    manner: str = "answers"
    event_count: int = 20
    event_s: float = 0.1
    # The time from the head to the first event, longer if its queue is full.
    first_s: float = FIRST_S
    holds_model: bool = True
    on_run: Callable[["SilentTarget"], None] = lambda target: None
    arrivals: list[Arrival] = field(default_factory=list)
    in_flight: int = 0
    address: tuple[str, int] = ("127.0.0.1", 0)
    server: asyncio.Server | None = None
    writers: set[asyncio.StreamWriter] = field(default_factory=set)
    speaks: asyncio.Event = field(default_factory=asyncio.Event)

    def __post_init__(self) -> None:
        self.speaks.set()

    def fall_silent(self, for_s: float | None) -> None:
        """Send and read nothing for a time, or for ever; connections stay open."""
        self.speaks.clear()
        if for_s is not None:
            asyncio.get_running_loop().call_later(for_s, self.speaks.set)

    def models(self) -> list[dict[str, Any]] | None:
        """Return the models that it holds, None if it is no engine."""
        if not self.is_engine:
            return None
        return [{"name": MODEL, "version": 1, "adapters": []}] if self.holds_model else []

    def _report(self) -> dict[str, Any]:
        counts = {"sequence": 0, "waiting": 0, "running": 0}
        return {"models": self.models() or [], "busy": False} | counts

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        codec = h11.Connection(h11.SERVER)
        self.writers.add(writer)
        try:
            while (request := await read_request(codec, reader)) is not None:
                await self._answer(_Response(codec, writer, self.speaks), request[0])
                if codec.our_state is not h11.DONE or writer.is_closing():
                    break
                codec.start_next_cycle()
        except (OSError, h11.ProtocolError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _answer(self, response: "_Response", head: h11.Request) -> None:
        headers = {name.decode(): value.decode() for name, value in head.headers}
        if head.target == REPORT_PATH:
            await response.send_whole(200, msgspec.json.encode(self._report()))
        elif head.target.startswith(API_PREFIX):
            await response.send_whole(400, b"")
        elif headers.get("x-expected-instance") != self.identity:
            await response.send_whole(421, b"")
        else:
            await self._handle(response, head.target, headers)

    async def _handle(self, response: "_Response", path: bytes, headers: dict[str, str]) -> None:
        request = headers.get("x-attempt-id", "")
        arrival = Arrival(asyncio.get_running_loop().time(), self.identity, request)
        self.arrivals.append(arrival)
        await self.speaks.wait()
        if self.manner == "refuses it":
            own = [("X-Attempt-Id", request), ("X-Not-Executed", "1")]
            await response.send_whole(503, b"", own)
            return
        arrival.ran = True
        self.on_run(self)
        self.in_flight += 1
        try:
            await self._run(response, path, headers)
        finally:
            self.in_flight -= 1

    async def _run(self, response: "_Response", path: bytes, headers: dict[str, str]) -> None:
        request = headers.get("x-attempt-id", "")
        own = [("X-Attempt-Id", request), ("X-Response-Signature", self.identity)]
        if not path.startswith(QUICK_PREFIX):
            await asyncio.sleep(HEAD_S)
        if self.manner.startswith("fails it"):
            await response.send_whole(int(self.manner.split()[-1]), b"failed", own)
        elif path.startswith(QUICK_PREFIX):
            await response.send_whole(200, WHOLE_BODY, own)
        elif self.is_engine:
            await self._stream(response, own, int(headers.get("last-event-id", "0")))
        else:
            await self._send_halves(response, own)

    async def _stream(
        self, response: "_Response", own: list[tuple[str, str]], last_event: int
    ) -> None:
        await response.send(h11.Response(status_code=200, headers=own))
        await asyncio.sleep(self.first_s)
        for number in range(last_event + 1, self.event_count + 1):
            await response.send(h11.Data(data=event(number)))
            await asyncio.sleep(self.event_s)
        await response.send(h11.EndOfMessage())

    async def _send_halves(self, response: "_Response", own: list[tuple[str, str]]) -> None:
        length = ("Content-Length", str(len(WHOLE_BODY)))
        await response.send(h11.Response(status_code=200, headers=[*own, length]))
        middle = len(WHOLE_BODY) // 2
        await asyncio.sleep(FIRST_S)
        await response.send(h11.Data(data=WHOLE_BODY[:middle]))
        await asyncio.sleep(HALF_S)
        await response.send(h11.Data(data=WHOLE_BODY[middle:]))
        await response.send(h11.EndOfMessage())


class _Response:
    """Send a response, except while the target is silent."""

    def __init__(
        self, codec: h11.Connection, writer: asyncio.StreamWriter, speaks: asyncio.Event
    ) -> None:
        self.codec = codec
        self.writer = writer
        self.speaks = speaks

    async def send(self, part: h11.Event) -> None:
        """Send a part once the target speaks; raise OSError if the connection has ended."""
        await self.speaks.wait()
        if self.writer.is_closing():
            raise ConnectionResetError
        self.writer.write(self.codec.send(part) or b"")

    async def send_whole(
        self, status: int, body: bytes, headers: list[tuple[str, str]] | None = None
    ) -> None:
        """Send a whole response."""
        fields = [*(headers or []), ("Content-Length", str(len(body)))]
        await self.send(h11.Response(status_code=status, headers=fields))
        await self.send(h11.Data(data=body))
        await self.send(h11.EndOfMessage())


def event(number: int) -> bytes:
    """Return an event of a stream."""
    return b"id: %d\ndata: event %d\n\n" % (number, number)


def all_events(count: int) -> bytes:
    """Return the events of a whole stream."""
    return b"".join(event(number) for number in range(1, count + 1))


def registration(target: SilentTarget, service: str) -> dict[str, Any]:
    """Return a target's registration."""
    return target_registration(service, target.address, slots=SLOTS, models=target.models())
