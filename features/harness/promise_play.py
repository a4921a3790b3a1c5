"""Play requests whose runs end as their time limit passes, on an event loop that stalls."""

import asyncio
import os
import random
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from types import MappingProxyType
from unittest.mock import patch

import h11

from harness.direct_entry import REQUEST_KINDS
from harness.direct_entry import DirectEntry
from harness.direct_entry import read_response
from harness.direct_entry import request_bytes
from harness.direct_entry import settings_for
from harness.direct_target import PROOF
from harness.direct_target import read_request
from harness.share_leases import held_share
from harness.stalling_loop import StallingLoop
from harness.virtual_time import VirtualClock
from harness.virtual_time import run_in_virtual_time
from mimosaspur_state.clock import BoottimeClock
from mimosaspur_state.eventlog import EventLog

# Statuses that say that a request hasn't run.
NOT_RUN_STATUSES = (408, 421, 429, 503)
REQUEST_COUNT = 12
LIMITS_MS = (40, 200)
# How far a run's end lies from its time limit.
AROUND_LIMIT_S = 0.004
PROOF_LINE = (PROOF, (b"Content-Length", b"2"))
ENDS = ("504", "500", "200", "reset", "closed", "refused", "event", "event and reset", "silent")
# Shares of the callers that leave about at their time limit, and of the plays in which the entry
# ends all requests about then.
LEAVING_SHARE = 0.2
STOP_SHARE = 0.3
WINDOW_MS = 600_000
SETTLE_S = 1.0


@dataclass(slots=True)
class Call:
    """Record a request: its answer's status, 0 for none, and the targets that ran it."""

    kind: str
    limit_ms: int
    leaves: bool
    status: int = 0
    ran_at: list[str] = field(default_factory=list)


class TimedTarget:
    """Run each request until about its time limit, and end it in a way that a seed chooses."""

    def __init__(self, name: str, calls: dict[str, Call], chooser: random.Random) -> None:
        self.name = name
        self.calls = calls
        self.random = chooser

    async def start(self) -> tuple[str, int]:
        """Listen."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()[:2]
        return host, port

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        codec = h11.Connection(h11.SERVER)
        try:
            while (request := await read_request(codec, reader)) is not None:
                await self._run(request[0], writer, codec)
                if writer.is_closing() or codec.our_state is not h11.DONE:
                    return
                codec.start_next_cycle()
        except (OSError, h11.ProtocolError):
            pass
        finally:
            writer.close()

    async def _run(
        self, head: h11.Request, writer: asyncio.StreamWriter, codec: h11.Connection
    ) -> None:
        fields = {name.decode(): value.decode() for name, value in head.headers}
        identity = fields["x-request-id"]
        end = self.random.choice(ENDS)
        if end != "refused":
            self.calls[identity].ran_at.append(self.name)
        limit_s = int(fields["x-deadline-ms"]) / 1000
        # The answer takes a millisecond, and the entry some passes of its loop.
        shift_s = self.random.uniform(-3 * AROUND_LIMIT_S, AROUND_LIMIT_S)
        await asyncio.sleep(max(0.0, limit_s + shift_s))
        name = (b"X-Request-Id", identity.encode())
        if end.isdigit():
            self._respond(writer, codec, int(end), name)
        elif end == "refused":
            self._respond(writer, codec, 503, name, (b"X-Not-Run", b"1"))
        elif end == "reset":
            writer.transport.abort()
        elif end == "closed":
            writer.close()
        elif end == "silent":
            await asyncio.sleep(WINDOW_MS)
        else:
            writer.write(codec.send(h11.Response(status_code=200, headers=[name, PROOF])) or b"")
            writer.write(codec.send(h11.Data(data=b"id: 1\ndata: x\n\n")) or b"")
            if end == "event":
                writer.write(codec.send(h11.EndOfMessage()) or b"")
            else:
                await asyncio.sleep(self.random.uniform(0, AROUND_LIMIT_S))
                writer.transport.abort()

    def _respond(
        self,
        writer: asyncio.StreamWriter,
        codec: h11.Connection,
        status: int,
        *headers: tuple[bytes, bytes],
    ) -> None:
        lines = [*PROOF_LINE, *headers]
        writer.write(codec.send(h11.Response(status_code=status, headers=lines)) or b"")
        writer.write(codec.send(h11.Data(data=b"ok")) or b"")
        writer.write(codec.send(h11.EndOfMessage()) or b"")


class PromisePlay:
    """Run an entry before two targets, by a seed."""

    target_class = TimedTarget
    # Of each request.
    headers: Mapping[str, str] = MappingProxyType({})

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.loop = StallingLoop(seed)
        clock = VirtualClock(self.loop)
        self.log = EventLog("entry-0", fd=os.open(os.devnull, os.O_WRONLY), clock=clock)
        self.entry = DirectEntry(clock=clock, log=self.log)
        self.entry.state.retry_share = held_share(
            settings_for("entry-0").retries.window_ms, sharers=1, clock=clock
        )
        self.calls: dict[str, Call] = {}

    def play(self) -> list[Call]:
        """Send the requests; return what became of them."""
        clock = VirtualClock(self.loop)
        random.seed(self.random.random())
        try:
            with patch.object(BoottimeClock, "now_ms", lambda _: clock.now_ms()):
                run_in_virtual_time(self._play(), self.loop)
        finally:
            os.close(self.log.fd)
        return list(self.calls.values())

    async def _play(self) -> None:
        for name in ("t-0", "t-1"):
            target = self.target_class(name, self.calls, self.random)
            self.entry.add(name, await target.start())
        await self.entry.callers.listen()
        assert self.entry.callers.server
        self.entry.port = self.entry.callers.server.sockets[0].getsockname()[1]
        held = self.entry.state.configuration
        assert held
        attempts = self.random.choice((1, 2, 3))
        routes = tuple(replace(route, max_attempts=attempts) for route in held.routes)
        self.entry.state.configuration = replace(held, routes=routes)
        await asyncio.gather(*(self._call(number) for number in range(REQUEST_COUNT)))
        await asyncio.sleep(SETTLE_S)

    async def _call(self, number: int) -> None:
        kind = self.random.choice(list(REQUEST_KINDS))
        limit_ms = self.random.randint(*LIMITS_MS)
        call = Call(kind, limit_ms, leaves=self.random.random() < LEAVING_SHARE)
        identity = f"r-{number}"
        self.calls[identity] = call
        await asyncio.sleep(self.random.uniform(0, 0.2))
        reader, writer = await self.entry.connect()
        headers = {**self.headers, "X-Request-Id": identity, "X-Deadline-Ms": str(limit_ms)}
        writer.write(request_bytes(REQUEST_KINDS[kind][0], headers))
        answer = asyncio.create_task(read_response(reader))
        shift_s = self.random.uniform(-AROUND_LIMIT_S, AROUND_LIMIT_S)
        if call.leaves:
            await asyncio.sleep(limit_ms / 1000 + shift_s)
            writer.close()
        elif number == 0 and self.random.random() < STOP_SHARE:
            await asyncio.sleep(limit_ms / 1000 + shift_s)
            self.entry.callers.end_requests()
        call.status = (await answer).status
        writer.close()
