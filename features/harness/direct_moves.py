"""Simulate engines that stop runs and copy their memory to one another."""

import asyncio
import socket
from dataclasses import dataclass
from dataclasses import field

from harness.direct_entry import UnresponsiveEngines
from harness.direct_target import ScriptedTarget
from mimosaspur_coordination.fleetports import EngineSilent
from mimosaspur_coordination.fleetports import HeadHandler
from mimosaspur_coordination.fleetports import StoppedRun
from mimosaspur_coordination.fleetports import StopUnconfirmed
from mimosaspur_state.fleet import EngineReport
from mimosaspur_state.fleet import TargetRecord

HANDLE = "h1"
LATE_ANSWER_S = 0.3
REPORT_TIMEOUT_S = 0.5
UNACCEPTING_S = 1.6


@dataclass(slots=True)
class MovingEngines(UnresponsiveEngines):
    """Move runs off the first engine with a scripted answer, and track the memory copies."""

    first: ScriptedTarget
    second: ScriptedTarget
    answer: str
    gone_in_ms: int | None = None
    tasks: set[asyncio.Task[None]] = field(default_factory=set)
    # Until when it sends no reports, on the event loop's clock.
    silent_until_s: float = 0.0
    made: list[str] = field(default_factory=list)
    dropped: list[str] = field(default_factory=list)

    def set_head_handler(self, handler: HeadHandler) -> None:
        """Ignore the handler, as calls have no heads here."""

    async def report(self, target: TargetRecord) -> EngineReport | None:
        """Return a report with the engine's remaining time, unless it is silent."""
        if asyncio.get_running_loop().time() < self.silent_until_s:
            await asyncio.sleep(REPORT_TIMEOUT_S)
            raise EngineSilent
        return EngineReport({}, frozenset(), False, 0, 0, 1, 0, terminates_in_ms=self.gone_in_ms)

    async def stop_and_copy(
        self, source: TargetRecord, request: bytes, to: TargetRecord
    ) -> StoppedRun | None:
        """Stop the run if the scripted answer says so."""
        if self.answer.startswith("no such run"):
            return None
        if self.answer.startswith("nothing"):
            await asyncio.sleep(LATE_ANSWER_S)
            return None
        if "late" in self.answer:
            await asyncio.sleep(LATE_ANSWER_S)
        self.first.stop_streams()
        if "accepts" in self.answer:
            for target in (self.first, self.second):
                self._stop_accepting(target)
        if "unanswered" in self.answer:
            raise StopUnconfirmed("no answer")
        self.made.append(HANDLE)
        return StoppedRun(HANDLE, copied=self.answer != "the memory stays")

    async def drop_copy(self, source: TargetRecord, handle: str) -> None:
        """Free a copy."""
        self.dropped.append(handle)

    def _stop_accepting(self, target: ScriptedTarget) -> None:
        """Leave new connections to a target without an acknowledgement for a while."""
        assert target.server
        address = target.server.sockets[0].getsockname()[:2]
        target.server.close()
        listening = socket.create_server(address, backlog=0)
        listening.setblocking(False)
        waiting = socket.create_connection(address)

        async def accept_later() -> None:
            await asyncio.sleep(UNACCEPTING_S)
            waiting.close()
            target.server = await asyncio.start_server(target._serve, sock=listening)

        self.tasks.add(asyncio.get_running_loop().create_task(accept_later()))

    def unreleased_copies(self) -> int:
        """Return the number of copies that were neither used nor freed."""
        seen = [*self.first.seen, *self.second.seen]
        used = sum(each.ran and "x-continued-from" in each.headers for each in seen)
        return len(self.made) - len(self.dropped) - used
