"""Simulate targets that tell of themselves in their answers: a limit, that they leave or rest."""

import asyncio
from collections.abc import Iterable
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from typing import Any

import h11
import msgspec

from harness.direct_target import read_request
from harness.listening_target import ListeningTarget
from harness.listening_target import target_registration

SERVICE = "models"
MODEL = "notes"
SERVERS = "servers"
LIMIT_HEADER = "Server-Limit"
LEAVING_HEADER = "Server-Leaving"
REPORT_PATH = b"/api/report"
API_PREFIX = b"/api/"
EVENT_COUNT = 4
EVENT_S = 0.03
SLOTS = 16


@dataclass(slots=True, frozen=True)
class Arrival:
    """Record whatever reached a target: a request to run, a report or an order."""

    at_s: float
    path: str
    # The caller's name of the request.
    request: str = ""

    @property
    def to_run(self) -> bool:
        """Return whether it was a caller's request."""
        return not self.path.startswith(API_PREFIX.decode())


@dataclass(slots=True)
class LimitedTarget(ListeningTarget):
    """Answer requests by a stream of events, and name a limit in each answer while there is one."""

    identity: str
    is_engine: bool
    limit: str | None = None
    # When it first named the limit in an answer to a request.
    named_s: float | None = None
    # Whether each answer says that it leaves.
    leaving: bool = False
    # What it asks for with each refusal while it turns requests away, None while it doesn't.
    retry_after: str | None = None
    # Answers that said that it leaves, those to reports too, and those that refused a request.
    said_leaving: list[Arrival] = field(default_factory=list)
    refused: list[Arrival] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    address: tuple[str, int] = ("127.0.0.1", 0)
    server: asyncio.Server | None = None
    writers: set[asyncio.StreamWriter] = field(default_factory=set)

    def most_within(self, window_s: float, *, since_s: float) -> int:
        """Return the most arrivals in any span of a length that begins at a time or later."""
        times = [each.at_s for each in self.arrivals if each.at_s >= since_s]
        return most_within(times, window_s)

    def runs_between(self, since_s: float, until_s: float) -> int:
        """Return the number of callers' requests that arrived in a span."""
        return sum(each.to_run and since_s <= each.at_s < until_s for each in self.arrivals)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        codec = h11.Connection(h11.SERVER)
        self.writers.add(writer)
        try:
            while (request := await read_request(codec, reader)) is not None:
                now_s = asyncio.get_running_loop().time()
                self.arrivals.append(
                    Arrival(now_s, request[0].target.decode(), _request_name(request[0]))
                )
                await self._answer(codec, writer, request[0])
                if codec.our_state is not h11.DONE:
                    break
                codec.start_next_cycle()
        except (OSError, h11.ProtocolError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _answer(
        self, codec: h11.Connection, writer: asyncio.StreamWriter, head: h11.Request
    ) -> None:
        headers = {name.decode(): value.decode() for name, value in head.headers}
        if head.target == REPORT_PATH:
            self._send_whole(codec, writer, 200, msgspec.json.encode(_report()))
        elif head.target.startswith(API_PREFIX):
            self._send_whole(codec, writer, 400, b"")
        elif headers.get("x-expected-instance") != self.identity:
            self._send_whole(codec, writer, 421, b"")
        else:
            await self._run(codec, writer, headers.get("x-attempt-id", ""))

    async def _run(self, codec: h11.Connection, writer: asyncio.StreamWriter, request: str) -> None:
        if self.retry_after is not None:
            self.refused.append(Arrival(asyncio.get_running_loop().time(), "", request))
            headers = [
                ("X-Attempt-Id", request),
                ("X-Not-Executed", "1"),
                ("Retry-After", self.retry_after),
            ]
            self._send_whole(codec, writer, 503, b"", headers)
            return
        own = [("X-Attempt-Id", request), ("X-Response-Signature", self.identity)]
        if self.limit is not None and self.named_s is None:
            self.named_s = asyncio.get_running_loop().time()
        response = h11.Response(status_code=200, headers=[*own, *self._own_headers(request)])
        writer.write(codec.send(response) or b"")
        for number in range(1, EVENT_COUNT + 1):
            await asyncio.sleep(EVENT_S)
            if writer.is_closing():
                return
            event = b"id: %d\ndata: event %d\n\n" % (number, number)
            writer.write(codec.send(h11.Data(data=event)) or b"")
        writer.write(codec.send(h11.EndOfMessage()) or b"")

    def _send_whole(
        self,
        codec: h11.Connection,
        writer: asyncio.StreamWriter,
        status: int,
        body: bytes,
        headers: Sequence[tuple[str, str]] = (),
    ) -> None:
        headers = [*headers, *self._own_headers(), ("Content-Length", str(len(body)))]
        writer.write(codec.send(h11.Response(status_code=status, headers=headers)) or b"")
        writer.write(codec.send(h11.Data(data=body)) or b"")
        writer.write(codec.send(h11.EndOfMessage()) or b"")

    def _own_headers(self, request: str = "") -> list[tuple[str, str]]:
        limit = [] if self.limit is None else [(LIMIT_HEADER, self.limit)]
        if not self.leaving:
            return limit
        self.said_leaving.append(Arrival(asyncio.get_running_loop().time(), "", request))
        return [*limit, (LEAVING_HEADER, "1")]


def _request_name(head: h11.Request) -> str:
    names = [value.decode() for name, value in head.headers if name == b"x-attempt-id"]
    return names[0] if names else ""


def most_within(times: Iterable[float], window_s: float) -> int:
    """Return the most times in any span of a length."""
    ordered = sorted(times)
    most = first = 0
    for last, at_s in enumerate(ordered):
        while at_s - ordered[first] >= window_s:
            first += 1
        most = max(most, last - first + 1)
    return most


def registration(target: LimitedTarget) -> dict[str, Any]:
    """Return a target's registration."""
    models = [{"name": MODEL, "version": 1, "adapters": []}] if target.is_engine else None
    return target_registration(SERVICE, target.address, slots=SLOTS, models=models)


def _report() -> dict[str, Any]:
    models = [{"name": MODEL, "version": 1, "adapters": []}]
    return {"models": models, "busy": False, "sequence": 0, "waiting": 0, "running": 0}
