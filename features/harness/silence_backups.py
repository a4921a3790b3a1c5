"""Play targets whose sound runs may look silent, or whose ends prove nothing, in virtual time."""

import asyncio
from dataclasses import replace

import h11

from harness.direct_entry import DirectEntry
from harness.direct_entry import ReceivedResponse
from harness.direct_entry import engine_spec
from harness.direct_entry import model_spec
from harness.direct_entry import request_bytes
from harness.silence_play import MODEL_HEADERS
from harness.silence_play import Silence
from harness.silence_play import SilencePlay
from harness.silence_play import record_of
from harness.silent_target import MODEL
from harness.silent_target import SilentTarget
from harness.silent_target import _Response
from harness.silent_target import event
from mimosaspur_platform.names import DIALECT

EVENT_COUNT = 20
EVENT_S = 0.1
BREAKS_AFTER = 5
# Longer than the pause after which a stream that has begun gets a backup, by less than its prefill.
PAUSE_S = 2.3
PREFILL_S = 1.0
SLOW_HEAD_S = 0.5
STALLED = "stalled"
LARGE_EVENTS = 400
LARGE_BYTES = 100_000
# Until the buffers on the way to a caller that doesn't read are full.
FILL_S = 4.0
STREAM_INTERVAL_S = 0.37


class EndingTarget(SilentTarget):
    """Run a stream in turn: marked and broken off, unmarked to its end, whole."""

    __slots__ = ()
    runs = 0

    async def _run(self, response: _Response, path: bytes, headers: dict[str, str]) -> None:
        number = EndingTarget.runs
        EndingTarget.runs += 1
        own = [("X-Attempt-Id", headers["x-attempt-id"]), ("X-Response-Signature", self.identity)]
        first = int(headers.get("last-event-id", "0")) + 1
        await asyncio.sleep(EVENT_S)
        if number == 1:
            fields = "".join(f"{name}: {value}\r\n" for name, value in own)
            response.writer.write(f"HTTP/1.1 200 OK\r\nConnection: close\r\n{fields}\r\n".encode())
            for each in range(first, EVENT_COUNT + 1):
                response.writer.write(event(each))
                await asyncio.sleep(EVENT_S)
            await asyncio.sleep(PAUSE_S)
            response.writer.close()
            raise ConnectionResetError
        if number:
            await asyncio.sleep(PREFILL_S)
        await response.send(h11.Response(status_code=200, headers=own))
        for each in range(first, EVENT_COUNT + 1):
            if not number and each > BREAKS_AFTER:
                response.writer.transport.abort()
                raise ConnectionResetError
            await response.send(h11.Data(data=event(each)))
            await asyncio.sleep(EVENT_S)
        await response.send(h11.EndOfMessage())


class SlowTarget(SilentTarget):
    """Take a time for the head of each answer."""

    __slots__ = ()

    async def _run(self, response: _Response, path: bytes, headers: dict[str, str]) -> None:
        await asyncio.sleep(SLOW_HEAD_S)
        own = [("X-Attempt-Id", headers["x-attempt-id"]), ("X-Response-Signature", self.identity)]
        await response.send_whole(200, b"answer", own)


class LargeTarget(SilentTarget):
    """Send large events to one request."""

    __slots__ = ()

    async def _run(self, response: _Response, path: bytes, headers: dict[str, str]) -> None:
        if headers["x-attempt-id"] != STALLED:
            await SilentTarget._run(self, response, path, headers)
            return
        own = [("X-Attempt-Id", STALLED), ("X-Response-Signature", self.identity)]
        await response.send(h11.Response(status_code=200, headers=own))
        for number in range(1, LARGE_EVENTS):
            data = b"id: %d\ndata: %s\n\n" % (number, b"x" * LARGE_BYTES)
            await response.send(h11.Data(data=data))
            await response.writer.drain()
            await asyncio.sleep(EVENT_S / 5)


class BackupPlay(SilencePlay):
    """Send requests to targets none of which is told to fall silent."""

    def __init__(self, kind: str, targets: list[SilentTarget], *, count: int, gap_s: float) -> None:
        quiet = Silence(0.0, None, "is free")
        super().__init__(quiet, kind=kind, event_count=EVENT_COUNT, max_attempts=3)
        self.targets = targets
        self.count = count
        self.gap_s = gap_s
        self.stalls = False
        self.answers: list[ReceivedResponse] = []

    def _on_run(self, target: SilentTarget) -> None:
        """Let all targets go on."""

    async def _call(self, request: str) -> ReceivedResponse:
        if not self.stalls:
            return await self._call_all()
        _, writer = await self.entry.connect()
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        writer.write(request_bytes(self.route, MODEL_HEADERS | {"X-Attempt-Id": STALLED}))
        await asyncio.sleep(FILL_S)
        try:
            return await self._call_all()
        finally:
            writer.transport.abort()

    async def _call_all(self) -> ReceivedResponse:
        async def call(number: int) -> ReceivedResponse:
            await asyncio.sleep(number * self.gap_s)
            return await SilencePlay._call(self, f"r-{number}")

        self.answers = list(await asyncio.gather(*map(call, range(self.count))))
        return self.answers[0]


async def pool_after_restart() -> tuple[tuple[str, int], tuple[str, int]]:
    """Register a target again while it is probed; return its pool's address and its own."""
    entry = DirectEntry(engine=engine_spec([model_spec(MODEL)]), dialect=DIALECT)
    state = entry.state
    before, after = SilentTarget("i-1"), SilentTarget("i-1")
    try:
        await before.start()
        await after.start()
        old = replace(record_of(before), started_ms=1)
        new = replace(record_of(after), started_ms=2)
        state.on_targets_changed(state.fleet.update([old], []))
        state.reachability.is_out_of_reach(old)
        state.on_targets_changed(state.fleet.update([new], []))
        await asyncio.gather(*state.reachability.tasks)
        return state.pool(new).address, new.address
    finally:
        before.stop()
        after.stop()
