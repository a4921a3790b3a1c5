"""Run entry processes as the platform does: ask whether they are ready, and start them again."""

import asyncio
import random
import signal
from pathlib import Path

from harness.entry_processes import POLL_S
from harness.entry_processes import EntryProcess
from mimosaspur_load.processes import Processes
from soak.record import CONFIGURATION_S
from soak.record import DRAIN_S
from soak.record import GRACE_S
from soak.record import KILL
from soak.record import LOSS_SLACK_S
from soak.record import OWN_END
from soak.record import RELOAD
from soak.record import STABILITY_S
from soak.record import STALL
from soak.record import STOP
from soak.record import THAW_S
from soak.record import Disturbance
from soak.record import Ending
from soak.record import Readiness
from soak.record import Record

QUESTION_S = 1.0
MISSES = 2
RESTART_S = (0.1, 1.5)
# By then a process that was stopped runs again.
RESUME_S = 0.3
# Ended by the platform, once its grace was over.
OVERDUE = "overdue"
BOUNDS = {
    "bounds.grace_s": f"{GRACE_S:g}",
    "bounds.drain_ms": f"{DRAIN_S * 1000:g}",
    "bounds.config_apply_ms": f"{CONFIGURATION_S * 1000:g}",
    "bounds.stability_window_ms": f"{STABILITY_S * 1000:g}",
    "bounds.loss_slack_ms": f"{LOSS_SLACK_S * 1000:g}",
    "bounds.thaw_ms": f"{THAW_S * 1000:g}",
}


class SoakEntry(EntryProcess):
    """Run one entry that is started again whenever it ends."""

    def __init__(
        self,
        processes: Processes,
        folder: Path,
        number: int,
        store: tuple[str, int],
        record: Record,
        chance: random.Random,
    ) -> None:
        super().__init__(processes, folder, number, store, BOUNDS)
        self.record = record
        self.chance = chance
        self.misses = 0
        self.ready = False
        self.stopping = False
        # When the process goes on that was stopped last: it can't end meanwhile.
        self.stopped_until_s = 0.0
        self.starting = False
        # Signals to this lifetime that end it.
        self.ended_by = ""
        self.disturbances: list[Disturbance] = []
        self.original_settings = self.settings.read_text(encoding="utf-8")

    @property
    def in_rotation(self) -> bool:
        """Return whether the platform sends new connections to it."""
        return self.ready

    def disturb(self, kind: str, *, seconds: float | None = 0.0) -> Disturbance:
        """Record a disturbance; without seconds it lasts until the entry is ready again."""
        now_s = asyncio.get_running_loop().time()
        disturbance = Disturbance(kind, self.name, now_s)
        if seconds is None:
            self.disturbances.append(disturbance)
        else:
            disturbance.end_s = now_s + seconds
        self.record.disturbances.append(disturbance)
        return disturbance

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self.runs():
            self.process.send_signal(number)

    def kill_now(self) -> None:
        """Kill the process, if it runs, without waiting for its end."""
        if not self.runs():
            return
        self.ended_by = KILL
        self.disturb(KILL, seconds=None)
        self.send(signal.SIGKILL)

    def terminate(self) -> None:
        """Ask the process to stop, as in a roll."""
        if self.ended_by or not self.runs():
            return
        self.ended_by = STOP
        self.disturb(STOP, seconds=None)
        self.send(signal.SIGTERM)

    async def stall(self, seconds: float) -> None:
        """Stop the process for a time."""
        self.disturb(STALL, seconds=seconds)
        self.stopped_until_s = asyncio.get_running_loop().time() + seconds
        process = self.process
        self.send(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        if process.poll() is None:
            process.send_signal(signal.SIGCONT)

    def reload(self, more: str) -> None:
        """Write other settings and tell the process of them, unless it is starting or stopping."""
        if self.ended_by or self.starting or not self.runs():
            return
        self.settings.write_text(self.original_settings + more, encoding="utf-8")
        self.disturb(RELOAD)
        self.send(signal.SIGHUP)

    async def supervise(self) -> None:
        """Start the process again whenever it ends; kill it when its grace is over."""
        grace_end_s = float("inf")
        loop = asyncio.get_running_loop()
        while not self.stopping:
            await asyncio.sleep(POLL_S)
            if self.ended_by == STOP and grace_end_s == float("inf"):
                grace_end_s = loop.time() + GRACE_S
            if self.runs() and loop.time() >= grace_end_s:
                if loop.time() > self.stopped_until_s + RESUME_S:
                    self._record_end("was still there after its grace", overdue=True)
                # No fault, but what the platform does in a roll.
                self.send(signal.SIGKILL)
                grace_end_s = float("inf")
                self.ended_by = OVERDUE
            if not self.runs():
                await self._start_again()
                grace_end_s = float("inf")

    async def _start_again(self) -> None:
        if not self.ended_by:
            assert self.started
            words = self.started.error_text()[-400:]
            self._record_end(f"ended with {self.process.poll()}: {words}")
            self.disturb(OWN_END, seconds=None)
        ending = self.disturbances
        self.disturbances = []
        await asyncio.sleep(self.chance.uniform(*RESTART_S))
        if self.stopping:
            return
        self.ended_by = ""
        self.starting = True
        self.start()
        await self._until_ready()
        self.starting = False
        for each in ending:
            each.end_s = asyncio.get_running_loop().time()

    def _record_end(self, words: str, *, overdue: bool = False) -> None:
        now_s = asyncio.get_running_loop().time()
        self.record.ended.append(Ending(now_s, self.name, words, overdue))

    async def _until_ready(self) -> None:
        while not self.stopping and self.runs() and not await self._answers_ready():
            await asyncio.sleep(POLL_S)

    async def ask(self) -> None:
        """Ask each second whether the entry is ready."""
        while not self.stopping:
            ready = await self._answers_ready()
            self.misses = 0 if ready else self.misses + 1
            self.ready = ready or (self.ready and self.misses < MISSES)
            now_s = asyncio.get_running_loop().time()
            self.record.readiness.append(Readiness(now_s, self.name, self.ready))
            await asyncio.sleep(QUESTION_S)

    async def _answers_ready(self) -> bool:
        try:
            async with asyncio.timeout(QUESTION_S):
                return await self._is_ready()
        except (OSError, TimeoutError):
            return False
