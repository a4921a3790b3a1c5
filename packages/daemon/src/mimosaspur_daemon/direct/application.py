"""Own an entry's tasks from start to a graceful end."""

import asyncio
import os
import signal
from collections.abc import Coroutine

from mimosaspur_daemon.direct.callers import CallerServer
from mimosaspur_daemon.direct.election import CoordinatorElection
from mimosaspur_daemon.direct.entrystate import EntryState
from mimosaspur_daemon.direct.entrystate import Outside
from mimosaspur_daemon.direct.evacuation import Evacuation
from mimosaspur_daemon.direct.statusserver import StatusServer
from mimosaspur_daemon.direct.storewatch import StoreWatch
from mimosaspur_daemon.direct.taskstacks import task_stacks
from mimosaspur_daemon.exitcodes import ExitCode
from mimosaspur_state.directsettings import DirectSettings
from mimosaspur_state.errors import MimosaspurError
from mimosaspur_state.policy import Mechanism

# The balancer asks each second and stops sending callers after two misses.
UNNOTICED_S = 3.0
# What is left of the shutdown time when unfinished requests are ended.
LAST_S = 0.6
# What those last answers take to be written, and how often it is looked whether they are.
LAST_ANSWERS_S = 0.1
LAST_LOOK_S = 0.02
# What a process takes to end after that, on a slow machine.
EXIT_S = 0.3
# Settings may change without a signal.
SETTINGS_EVERY_S = 2.0
PRUNE_EVERY_S = 1.0


class EntryApplication:
    """Start the parts of an entry, and stop them in order."""

    def __init__(self, settings: DirectSettings, outside: Outside) -> None:
        self.state = EntryState(settings, outside)
        self.callers = CallerServer(self.state)
        self.status = StatusServer(self.state)
        self.duty = CoordinatorElection(self.state)
        self.watch = StoreWatch(self.state)
        self.evacuation = Evacuation(self.state, self.callers.journeys)
        self.tasks: list[asyncio.Task[None]] = []
        self.asked_to_stop = asyncio.Event()
        self.failure: BaseException | None = None

    async def run(self) -> int:
        """Serve until asked to stop; return the exit code."""
        log = self.state.log
        log.always("start", pid=os.getpid(), domain=self.state.settings.failure_domain)
        self._handle_signals()
        try:
            await self.callers.listen()
            await self.status.listen()
            peers = await self.duty.listen()
        except OSError as error:
            log.always("address_taken", error=str(error))
            return ExitCode.ADDRESS_TAKEN
        self._spawn(self.watch.follow_configuration())
        self._spawn(self.watch.follow_targets())
        self._spawn(self.duty.run())
        if self.state.uses(Mechanism.EVACUATION):
            self._spawn(self.evacuation.run())
        self._spawn(self._prune())
        self._spawn(self._watch_settings())
        await self.asked_to_stop.wait()
        await self._stop()
        peers.close()
        log.always("stop", failure=repr(self.failure) if self.failure else "")
        return ExitCode.INTERNAL if self.failure else ExitCode.OK

    async def _stop(self) -> None:
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        end_s = began_s + self.state.settings.shutdown_ms / 1000 - LAST_S
        self.state.leaving = True
        self.state.log.always("leaving", in_flight=self.callers.in_flight())
        self.state.noticed_s = began_s + UNNOTICED_S
        self.state.end_s = end_s
        while loop.time() < end_s and not self._needless():
            await asyncio.sleep(0.05)
        # A request may still come on an open connection: it must not run and then be cut.
        self.state.ending = True
        self.callers.stop_accepting()
        self.callers.end_all()
        self.duty.step_down()
        await self._last_answers()
        for task in self.tasks:
            task.cancel()

    async def _last_answers(self) -> None:
        """Wait until the last answers, those to late requests among them, are written."""
        loop = asyncio.get_running_loop()
        await asyncio.sleep(LAST_ANSWERS_S)
        end_s = loop.time() + LAST_S - LAST_ANSWERS_S - EXIT_S
        while loop.time() < end_s and self.callers.in_flight():
            await asyncio.sleep(LAST_LOOK_S)

    def _needless(self) -> bool:
        """Tell whether nobody needs this entry any more.

        The balancer goes on to send callers here while it knows of nobody else.
        """
        if asyncio.get_running_loop().time() < self.state.noticed_s:
            return False
        self.callers.close_idle()
        return not self.callers.in_flight() and not self.state.needed()

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(work)
        self.tasks.append(task)
        task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task[None]) -> None:
        if task.cancelled() or self.state.leaving:
            return
        # These run for as long as the process: an end is a fault of ours.
        self.failure = task.exception()
        self.state.log.always("task_failed", error=repr(self.failure))
        self.asked_to_stop.set()

    def _handle_signals(self) -> None:
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.asked_to_stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        loop.add_signal_handler(signal.SIGUSR1, self._tell_stacks)

    def _tell_stacks(self) -> None:
        self.state.log.always("stacks", **task_stacks())

    def _reload(self) -> None:
        try:
            settings = self.state.outside.reload()
        except MimosaspurError as error:
            # The process goes on with what it has.
            self.state.log.always("reload_failed", code=error.code.value, error=str(error))
            return
        self.state.settings = settings
        self.state.log.always("reload")

    async def _watch_settings(self) -> None:
        while True:
            await asyncio.sleep(SETTINGS_EVERY_S)
            if self.state.outside.changed():
                self._reload()

    async def _prune(self) -> None:
        while True:
            await asyncio.sleep(PRUNE_EVERY_S)
            for pool in self.state.pools.values():
                pool.prune()


def run_entry(settings: DirectSettings, outside: Outside) -> int:
    """Run an entry until it is asked to stop; return its exit code."""

    async def run() -> int:
        return await EntryApplication(settings, outside).run()

    return asyncio.run(run())
