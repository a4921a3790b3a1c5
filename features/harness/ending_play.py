"""End an entry's process beside callers that use their connections until it is gone."""

import asyncio
import contextlib
import itertools
import random
import signal
import socket
from dataclasses import dataclass
from enum import Enum

import h11
import msgspec

from harness.entry_processes import EntryProcess
from harness.entry_site import HOST
from harness.entry_site import TIMEOUT_MS
from harness.framed_site import FramedSite
from harness.framed_target import Play

READ_BYTES = 65_536
NOT_RUN_STATUSES = (408, 421, 429, 503)
# Longest pause of a caller between two requests, and longest part of a run, of four.
THINK_S = 1.2
PART_S = 0.03
# A caller that finds nobody listening tries again after this long.
RECONNECT_S = 0.02
# Time within which a reset follows an ordinary end of a connection with unread input.
RESET_S = 0.1
STALLS_S = (0.02, 0.5)
# How far a request is sent from the end of an idle timeout.
IDLE_SPREAD_S = 0.002
RUN_BEFORE_S = 0.4
GONE_S = 15.0


class Outcome(Enum):
    """List what a caller sees of a request."""

    ANSWERED = "answered"
    # Without a byte of an answer, by a reset or as its bytes came after the end: not read.
    UNREAD = "unread"
    # By an ordinary end, without an answer.
    CLOSED = "closed"
    # With a part of an answer.
    PARTIAL = "partial"


@dataclass(slots=True)
class Sent:
    """Record one request and what its caller saw."""

    identity: str
    outcome: Outcome | None = None
    status: int = 0
    # Whether its connection had carried a request before.
    kept: bool = False
    # Since the process was asked to stop, when it was sent and ended.
    sent_s: float = 0.0
    ended_s: float = 0.0


class EndingPlay:
    """Play ends of one entry's process, by a seed."""

    def __init__(self, site: FramedSite, seed: int) -> None:
        self.site = site
        self.random = random.Random(seed)
        self.numbers = itertools.count(1)
        self.sent: list[Sent] = []
        self.asked_s = 0.0

    @property
    def entry(self) -> EntryProcess:
        """Return the entry that ends."""
        return self.site.entries.entries[0]  # type: ignore[return-value]

    async def play(self, *, callers: int, stalls: int, grace_s: float) -> None:
        """Stop the process beside callers, stall it at random until it is gone, and restart it."""
        loop = asyncio.get_running_loop()
        self.asked_s = loop.time() + RUN_BEFORE_S
        tasks = [
            loop.create_task(self._caller(random.Random(self.random.random())))
            for _ in range(callers)
        ]
        await asyncio.sleep(RUN_BEFORE_S)
        process = self.entry.process
        process.send_signal(signal.SIGTERM)
        self.asked_s = loop.time()
        # Most of them about the end, which comes a little before the grace time is over.
        moments = sorted(grace_s - abs(self.random.gauss(0, 0.4)) for _ in range(stalls))
        for moment_s in moments:
            await asyncio.sleep(self.asked_s + moment_s - loop.time())
            await self._stall(self.random.uniform(*STALLS_S))
        async with asyncio.timeout(GONE_S):
            while self.entry.runs():
                await asyncio.sleep(0.01)
        await asyncio.gather(*tasks)
        self.entry.start()
        await self.entry.wait_until_ready()

    async def play_idle(self, *, callers: int, stalls: int, idle_s: float, lasts_s: float) -> None:
        """Send requests just as the entry closes their connections, and stall it at times."""
        loop = asyncio.get_running_loop()
        self.asked_s = loop.time()
        until_s = loop.time() + lasts_s
        tasks = [
            loop.create_task(
                self._idle_caller(random.Random(self.random.random()), idle_s, until_s)
            )
            for _ in range(callers)
        ]
        moments = sorted(self.random.uniform(0, lasts_s) for _ in range(stalls))
        for moment_s in moments:
            await asyncio.sleep(self.asked_s + moment_s - loop.time())
            await self._stall(self.random.uniform(*STALLS_S))
        await asyncio.gather(*tasks)

    async def _idle_caller(self, chooser: random.Random, idle_s: float, until_s: float) -> None:
        loop = asyncio.get_running_loop()
        while loop.time() < until_s:
            connection = await self._connect()
            if connection is None:
                continue
            with connection:
                kept = False
                while loop.time() < until_s:
                    await asyncio.sleep(chooser.gauss(idle_s, IDLE_SPREAD_S))
                    if not await self._send(connection, chooser, kept=kept):
                        break
                    kept = True

    async def _stall(self, stall_s: float) -> None:
        process = self.entry.process
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(stall_s)
        process.send_signal(signal.SIGCONT)

    async def _caller(self, chooser: random.Random) -> None:
        """Send requests on connections that are kept until the process is gone."""
        is_busy = chooser.random() < 0.5
        while self.entry.runs():
            connection = await self._connect()
            if connection is None:
                continue
            with connection:
                kept = False
                while self.entry.runs():
                    await asyncio.sleep(chooser.uniform(0, 0.02 if is_busy else THINK_S))
                    if not await self._send(connection, chooser, kept=kept):
                        break
                    kept = True

    async def _connect(self) -> socket.socket | None:
        connection = socket.socket()
        connection.setblocking(False)
        try:
            await asyncio.get_running_loop().sock_connect(connection, self.entry.callers_address)
        except OSError:
            connection.close()
            await asyncio.sleep(RECONNECT_S)
            return None
        return connection

    async def _send(self, connection: socket.socket, chooser: random.Random, *, kept: bool) -> bool:
        """Send a request; return whether the connection may carry another one."""
        loop = asyncio.get_running_loop()
        if _has_ended(connection):
            return False
        sent = Sent(f"e{next(self.numbers)}", kept=kept, sent_s=loop.time() - self.asked_s)
        play = Play(stream=False, framing="length", part_s=chooser.uniform(0, PART_S))
        self.sent.append(sent)
        received = b""
        codec = h11.Connection(h11.CLIENT)
        codec.send(h11.Request(method="POST", target="/", headers=[("Host", HOST)]))
        codec.send(h11.EndOfMessage())
        keeps = False
        try:
            data = _request(sent.identity, msgspec.json.encode(play))
            # At times in two parts, so that the process ends with a request half read.
            if chooser.random() < 0.2:
                await loop.sock_sendall(connection, data[:-9])
                await asyncio.sleep(chooser.uniform(0, 0.03))
                data = data[-9:]
            await loop.sock_sendall(connection, data)
            while True:
                event = codec.next_event()
                if isinstance(event, h11.Response):
                    sent.status = event.status_code
                    keeps = (b"connection", b"close") not in event.headers
                elif isinstance(event, h11.EndOfMessage):
                    sent.outcome = Outcome.ANSWERED
                    return keeps
                elif event is h11.NEED_DATA:
                    data = await loop.sock_recv(connection, READ_BYTES)
                    received += data
                    codec.receive_data(data)
        except OSError:
            sent.outcome = Outcome.PARTIAL if received else Outcome.UNREAD
        except h11.RemoteProtocolError:
            if received:
                sent.outcome = Outcome.PARTIAL
            else:
                sent.outcome = await self._outcome_of_end(connection)
        finally:
            sent.ended_s = loop.time() - self.asked_s
        return False

    async def _outcome_of_end(self, connection: socket.socket) -> Outcome:
        """Return whether a reset follows an ordinary end, as unread input gives one."""
        for _ in range(10):
            if connection.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                return Outcome.UNREAD
            await asyncio.sleep(RESET_S / 10)
        return Outcome.CLOSED


def _has_ended(connection: socket.socket) -> bool:
    with contextlib.suppress(BlockingIOError):
        try:
            return not connection.recv(1, socket.MSG_PEEK)
        except ConnectionError:
            return True
    return False


def _request(identity: str, body: bytes) -> bytes:
    fields = {
        "Host": HOST,
        "X-Attempt-Id": identity,
        "X-Deadline-Ms": str(TIMEOUT_MS),
        "Content-Length": str(len(body)),
    }
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return f"POST /once/x HTTP/1.1\r\n{lines}\r\n".encode() + body
