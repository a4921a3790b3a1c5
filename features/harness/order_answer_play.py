"""Play orders whose answers come as their time passes, or as the coordinator's task is ended."""

import asyncio
import contextlib
import os
import random
from dataclasses import dataclass

import h11
import msgspec

from harness.direct_target import read_request
from harness.stalling_loop import StallingLoop
from harness.virtual_time import VirtualClock
from harness.virtual_time import run_in_virtual_time
from mimosaspur_coordination.fleetports import LeaseRecord
from mimosaspur_coordination.orderlease import OrderLease
from mimosaspur_coordination.outstandingloads import OutstandingLoads
from mimosaspur_daemon.direct.enginecontroller import EngineController
from mimosaspur_daemon.direct.trackedengine import OrdersSuspended
from mimosaspur_platform.engines import ORDER_TIMEOUT_MS
from mimosaspur_platform.engines import PlatformEngines
from mimosaspur_platform.names import ORDER_PATH
from mimosaspur_state.eventlog import EventLog
from mimosaspur_state.fleet import OrderKind
from mimosaspur_state.fleet import OrderOutcome
from mimosaspur_state.fleet import TargetRecord

HOLDER = "entry-0"
# How far an answer, or the end of the task, lies from the end of the order's time; an answer is
# some ms on its way.
AROUND_TIMEOUT_S = (-0.008, 0.002)
CANCELLED_SHARE = 0.5
ENDS = ("202", "202", "500", "reset", "409")
SETTLE_S = 20.0


@dataclass(slots=True)
class PlayedOrder:
    """Record whether an engine accepted a load, and what its coordinator knows of that."""

    accepted: bool = False
    # None if its task was ended, or the lease with it.
    outcome: OrderOutcome | None = None
    # Whether the load was kept as one that may still be carried out.
    kept: bool = False

    def is_lost(self) -> bool:
        """Return whether the engine accepted a load that its coordinator doesn't know of."""
        return self.accepted and self.outcome is not OrderOutcome.ACCEPTED and not self.kept


class AnsweringEngine:
    """Decide an order at once, and answer it about as its time passes; send no reports."""

    def __init__(self, played: PlayedOrder, chooser: random.Random) -> None:
        self.played = played
        self.random = chooser
        self.sequence = 0

    async def start(self) -> tuple[str, int]:
        """Listen."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()[:2]
        return host, port

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        codec = h11.Connection(h11.SERVER)
        with contextlib.suppress(OSError, h11.ProtocolError):
            while (request := await read_request(codec, reader)) is not None:
                is_order = request[0].target.decode() == ORDER_PATH
                end = self.random.choice(ENDS) if is_order else "500"
                if is_order:
                    expected = msgspec.json.decode(request[1])["expected"]
                    if end != "409" and expected == self.sequence:
                        self.sequence += 1
                        self.played.accepted = True
                    elif expected != self.sequence:
                        end = "409"
                    shift_s = self.random.uniform(*AROUND_TIMEOUT_S)
                    await asyncio.sleep(ORDER_TIMEOUT_MS / 1000 + shift_s)
                if end == "reset":
                    break
                head = h11.Response(status_code=int(end), headers=[(b"Content-Length", b"0")])
                writer.write(codec.send(head) or b"")
                writer.write(codec.send(h11.EndOfMessage()) or b"")
                codec.start_next_cycle()
        writer.transport.abort()


class OrderAnswerPlay:
    """Order one engine to load a model, by a seed."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.loop = StallingLoop(seed)
        self.clock = VirtualClock(self.loop)
        self.played = PlayedOrder()

    def play(self) -> PlayedOrder:
        """Send the order, perhaps end its task, and return what is known of it."""
        log = EventLog(HOLDER, fd=os.open(os.devnull, os.O_WRONLY), clock=self.clock)
        try:
            run_in_virtual_time(self._play(log), self.loop)
        finally:
            os.close(log.fd)
        return self.played

    async def _play(self, log: EventLog) -> None:
        address = await AnsweringEngine(self.played, self.random).start()
        lease = OrderLease(HOLDER, handover_ms=0, clock=self.clock)
        now_ms = self.clock.now_ms()
        lease.acquire(LeaseRecord(HOLDER, address, 1, 1), asked_ms=now_ms, predecessor="")
        outstanding = OutstandingLoads(clock=self.clock)
        controller = EngineController(
            TargetRecord("engine-0", "service", address, "here"),
            port=PlatformEngines(clock=self.clock),
            lease=lease,
            outstanding=outstanding,
            clock=self.clock,
            log=log,
            on_change=lambda: None,
        )
        controller.sequence = 0
        ordering = asyncio.create_task(controller.order(OrderKind.LOAD, "notes"))
        if self.random.random() < CANCELLED_SHARE:
            shift_s = self.random.uniform(*AROUND_TIMEOUT_S)
            await asyncio.sleep(ORDER_TIMEOUT_MS / 1000 + shift_s)
            ordering.cancel()
        await asyncio.wait({ordering}, timeout=SETTLE_S)
        if ordering.done() and not ordering.cancelled():
            # The lease isn't confirmed in the play.
            with contextlib.suppress(OrdersSuspended):
                self.played.outcome = ordering.result()
        self.played.kept = any(each.model == "notes" for each in outstanding.loads)
