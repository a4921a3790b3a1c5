"""Play one request in virtual time at an entry whose targets fall silent."""

import asyncio
from dataclasses import dataclass
from dataclasses import replace

from harness.direct_entry import DOMAIN
from harness.direct_entry import REQUEST_KINDS
from harness.direct_entry import DirectEntry
from harness.direct_entry import ReceivedResponse
from harness.direct_entry import configuration
from harness.direct_entry import engine_spec
from harness.direct_entry import model_spec
from harness.silent_target import MODEL
from harness.silent_target import SLOTS
from harness.silent_target import WHOLE_BODY
from harness.silent_target import Arrival
from harness.silent_target import SilentTarget
from harness.silent_target import all_events
from harness.virtual_time import VirtualClock
from harness.virtual_time import VirtualTimeLoop
from harness.virtual_time import run_in_virtual_time
from mimosaspur_platform.names import DIALECT
from mimosaspur_state.fleet import TargetRecord
from mimosaspur_state.routes import Route

# Data that was sent on a local connection is there within this time.
DATA_WAIT_S = 0.002
TIMEOUT_MS = 15_000
OBJECTIVE_MS = 800
GAP_OBJECTIVE_MS = 400
# Callers give up after a longer pause: 2 s, 4 objectives or 8 gap objectives, whichever is longest.
PATIENCE_S = 3.2
# More than an engine's work before the first event takes.
BUSY_S = 2.5
LATER_S = 0.5
LATER_INTERVAL_S = 0.05
SERVICE = "service"
MODEL_HEADERS = {"X-Model": MODEL, "X-Token-Counts": "100,50"}


@dataclass(slots=True, frozen=True)
class Silence:
    """Describe a silence of the target that runs a request first, and the targets beside it."""

    # Since the request came to the target.
    from_s: float
    # None for a target that never speaks again.
    for_s: float | None
    # What the other target does from then on.
    other: str
    # Requests that come once the silence has lasted for LATER_S.
    later: int = 0
    # Whether the target accepts no connections from then on.
    is_out_of_reach: bool = False
    # Whether the target is removed and ends instead of falling silent.
    ends: bool = False
    # When the other target has loaded the model, after that; None if it holds it.
    loads_after_s: float | None = None


class SilencePlay:
    """Run an entry before targets, the first of which to run the request falls silent."""

    def __init__(self, silence: Silence, *, kind: str, event_count: int, max_attempts: int) -> None:
        self.silence = silence
        self.route, *_ = REQUEST_KINDS[kind]
        self.is_stream = "stream" in self.route
        self.loop = VirtualTimeLoop(data_wait_s=DATA_WAIT_S)
        engine = engine_spec([model_spec(MODEL)]) if self.is_stream else None
        self.entry = DirectEntry(engine=engine, clock=VirtualClock(self.loop), dialect=DIALECT)
        held = configuration(engine)
        routes = tuple(slower(route, max_attempts) for route in held.routes)
        self.entry.state.configuration = replace(held, routes=routes)
        count = 1 if silence.other == "is not there" else 2
        self.targets = [
            SilentTarget(
                f"i-{number}",
                is_engine=self.is_stream,
                event_count=event_count,
                on_run=self._on_run,
            )
            for number in range(1, count + 1)
        ]
        self.expected = all_events(event_count) if self.is_stream else WHOLE_BODY
        self.silent: SilentTarget | None = None
        self.later: list[asyncio.Task[tuple[ReceivedResponse, float]]] = []

    def run(self) -> ReceivedResponse:
        """Send the request, and return what its caller got."""
        return run_in_virtual_time(self._run(), self.loop)

    def arrivals(self) -> list[Arrival]:
        """Return what reached the targets of the request."""
        return [arrival for target in self.targets for arrival in target.arrivals]

    def spent_retries(self) -> int:
        """Return how many retries were taken from the budget and not returned."""
        return len(self.entry.state.retry_window(SERVICE).repeats)

    async def _run(self) -> ReceivedResponse:
        records = []
        for target in self.targets:
            await target.start()
            record = record_of(target)
            if target is not self.targets[0] and self.silence.loads_after_s is not None:
                record = replace(record, residents={})
            records.append(record)
        self.entry.state.fleet.update(records, [])
        await self.entry.start()
        try:
            return await self._call("r-1")
        finally:
            await asyncio.gather(*self.later)
            # The handler ends after the last bytes of its answer were sent.
            await asyncio.sleep(0.5)
            self.entry.callers.stop_accepting()
            for target in self.targets:
                target.stop()

    async def _call(self, request: str) -> ReceivedResponse:
        headers = {"X-Attempt-Id": request} | (MODEL_HEADERS if self.is_stream else {})
        return await self.entry.call(self.route, headers=headers)

    async def _call_later(self, request: str, after_s: float) -> tuple[ReceivedResponse, float]:
        """Send a request after a time; return its answer, and the time to its first piece."""
        await asyncio.sleep(after_s)
        sent_s = self.loop.time()
        answer = await self._call(request)
        return answer, answer.pieces_s[0] - sent_s

    def _end(self, target: SilentTarget) -> None:
        state = self.entry.state
        state.on_targets_changed(state.fleet.update([], [target.identity]))
        target.stop()

    def _load(self, target: SilentTarget) -> None:
        """Tell the entry, as its coordinator does, that a target holds the model."""
        state = self.entry.state
        state.fleet.set_residents(target.identity, {MODEL: frozenset()}, frozenset())
        state.changes.notify()

    def _on_run(self, target: SilentTarget) -> None:
        """Begin the silence at the target that runs the request first."""
        if self.silent:
            return
        self.silent = target
        if self.silence.ends:
            self.loop.call_later(self.silence.from_s, self._end, target)
        else:
            self.loop.call_later(self.silence.from_s, target.fall_silent, self.silence.for_s)
        if self.silence.is_out_of_reach:
            assert target.server
            self.loop.call_later(self.silence.from_s, target.server.close)
        for number in range(self.silence.later):
            after_s = self.silence.from_s + LATER_S + number * LATER_INTERVAL_S
            self.later.append(self.loop.create_task(self._call_later(f"later-{number}", after_s)))
        for other in self.targets:
            if other is not target:
                self._prepare(other)

    def _prepare(self, other: SilentTarget) -> None:
        silence = self.silence
        if silence.loads_after_s is not None:
            self.loop.call_later(silence.from_s + silence.loads_after_s, self._load, other)
        match silence.other:
            case "is free":
                pass
            case "is busy":
                other.first_s = BUSY_S
            case "is silent as well":
                self.loop.call_later(silence.from_s, other.fall_silent, silence.for_s)
            case manner:
                other.manner = manner


def record_of(target: SilentTarget) -> TargetRecord:
    """Return a target's registration as an entry knows it."""
    residents = {MODEL: frozenset[str]()} if target.is_engine else None
    return TargetRecord(
        target.identity, SERVICE, target.address, DOMAIN, slots=SLOTS, residents=residents
    )


def slower(route: Route, max_attempts: int) -> Route:
    return replace(
        route,
        timeout_ms=TIMEOUT_MS,
        objective_ms=OBJECTIVE_MS,
        gap_objective_ms=GAP_OBJECTIVE_MS,
        max_attempts=max_attempts,
    )
