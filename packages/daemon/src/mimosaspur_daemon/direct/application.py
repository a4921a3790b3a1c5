"""Run an entry's tasks from start to graceful shutdown."""

import asyncio
import os
import signal
from collections.abc import Coroutine

from mimosaspur_daemon.direct.callers import CallerServer
from mimosaspur_daemon.direct.election import CoordinatorElection
from mimosaspur_daemon.direct.entrystate import EntryDependencies
from mimosaspur_daemon.direct.entrystate import EntryState
from mimosaspur_daemon.direct.evacuation import Evacuation
from mimosaspur_daemon.direct.statusserver import StatusServer
from mimosaspur_daemon.direct.storewatch import StoreWatch
from mimosaspur_daemon.direct.taskstacks import task_stacks
from mimosaspur_daemon.direct.versionrecord import VersionRecordKeeper
from mimosaspur_daemon.exitcodes import ExitCode
from mimosaspur_state.directsettings import DirectSettings
from mimosaspur_state.errors import MimosaspurError
from mimosaspur_state.policy import Mechanism

# The balancer probes readiness every second and removes an entry after two failures.
BALANCER_NOTICE_S = 3.0
# Time left before the shutdown deadline when unfinished requests are ended.
SHUTDOWN_RESERVE_S = 0.6
# Minimum wait for the final responses to be written, then the interval between checks.
FINAL_RESPONSE_DELAY_S = 0.1
FINAL_POLL_INTERVAL_S = 0.02
# Reserved for the process to exit on a slow machine.
EXIT_RESERVE_S = 0.3
# Settings may change without a signal.
SETTINGS_POLL_INTERVAL_S = 2.0
PRUNE_INTERVAL_S = 1.0
# The event loop is checked this often, and is late when it runs a timer this long after its time.
LATENESS_INTERVAL_S = 0.1
MIN_LATENESS_S = 0.03


class EntryApplication:
    """Start the components of an entry and stop them in order."""

    def __init__(self, settings: DirectSettings, dependencies: EntryDependencies) -> None:
        self.state = EntryState(settings, dependencies)
        self.callers = CallerServer(self.state)
        self.status = StatusServer(self.state)
        self.coordination = CoordinatorElection(self.state)
        self.store_watch = StoreWatch(self.state)
        self.version_record = VersionRecordKeeper(self.state)
        self.evacuation = Evacuation(self.state, self.callers.handlers)
        self.tasks: list[asyncio.Task[None]] = []
        self.stop_requested = asyncio.Event()
        self.failure: BaseException | None = None

    async def run(self) -> int:
        """Serve until asked to stop; return the exit code."""
        log = self.state.log
        log.always("start", pid=os.getpid(), domain=self.state.settings.failure_domain)
        self._handle_signals()
        self.state.quarantine.on_started()
        try:
            await self.callers.listen()
            await self.status.listen()
            peer_server = await self.coordination.listen()
            settings = self.state.settings
            await self.state.stream_versions.listen((settings.ip, settings.peer_port))
        except OSError as error:
            log.always("address_taken", error=str(error))
            return ExitCode.ADDRESS_TAKEN
        self._spawn(self.store_watch.follow_configuration())
        self._spawn(self.store_watch.follow_targets())
        self._spawn(self.coordination.run())
        self._spawn(self.state.stream_versions.run())
        self._spawn(self.version_record.run())
        if self.state.uses(Mechanism.EVACUATION):
            self._spawn(self.evacuation.run())
        self._spawn(self._prune_pools())
        self._spawn(self._poll_settings())
        self._spawn(self._watch_lateness())
        await self.stop_requested.wait()
        await self._stop()
        peer_server.close()
        self.state.stream_versions.close()
        log.always("stop", failure=repr(self.failure) if self.failure else "")
        return ExitCode.INTERNAL if self.failure else ExitCode.OK

    async def _stop(self) -> None:
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        end_s = start_s + self.state.settings.shutdown_ms / 1000 - SHUTDOWN_RESERVE_S
        self.state.leaving = True
        self.state.log.always("leaving", in_flight=self.callers.in_flight())
        self.state.balancer_noticed_s = start_s + BALANCER_NOTICE_S
        self.state.shutdown_deadline_s = end_s
        while loop.time() < end_s and not self._may_stop():
            await asyncio.sleep(0.05)
        # Requests may still arrive on open connections: refuse them rather than cut them off.
        self.state.shutting_down = True
        self.callers.stop_accepting()
        self.callers.end_requests()
        self.coordination.step_down()
        await self._wait_for_final_responses()
        for task in self.tasks:
            task.cancel()

    async def _wait_for_final_responses(self) -> None:
        """Wait until the final responses are written, including those to late requests."""
        loop = asyncio.get_running_loop()
        await asyncio.sleep(FINAL_RESPONSE_DELAY_S)
        end_s = loop.time() + SHUTDOWN_RESERVE_S - FINAL_RESPONSE_DELAY_S - EXIT_RESERVE_S
        while loop.time() < end_s and self.callers.in_flight():
            await asyncio.sleep(FINAL_POLL_INTERVAL_S)

    def _may_stop(self) -> bool:
        """Return whether the entry is idle and another one can take its callers.

        The balancer keeps sending callers here while it knows of no other entry.
        """
        if asyncio.get_running_loop().time() < self.state.balancer_noticed_s:
            return False
        self.callers.close_idle()
        return not self.callers.in_flight() and not self.state.is_last_entry()

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(work)
        self.tasks.append(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        if task.cancelled() or self.state.leaving:
            return
        # These tasks run for the life of the process, so an end is an internal error.
        self.failure = task.exception()
        self.state.log.always("task_failed", error=repr(self.failure))
        self.stop_requested.set()

    def _handle_signals(self) -> None:
        loop = asyncio.get_running_loop()
        for signum in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signum, self.stop_requested.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        loop.add_signal_handler(signal.SIGUSR1, self._log_task_stacks)

    def _log_task_stacks(self) -> None:
        self.state.log.always("stacks", **task_stacks())

    def _reload(self) -> None:
        try:
            settings = self.state.dependencies.reload()
        except MimosaspurError as error:
            # Keep the current settings.
            self.state.log.always("reload_failed", code=error.code.value, error=str(error))
            return
        self.state.settings = settings
        self.state.log.always("reload")

    async def _poll_settings(self) -> None:
        while True:
            await asyncio.sleep(SETTINGS_POLL_INTERVAL_S)
            if self.state.dependencies.changed():
                self._reload()

    async def _watch_lateness(self) -> None:
        """Log when this process did not run in time, as timers and data then come due together."""
        loop = asyncio.get_running_loop()
        while True:
            due_s = loop.time() + LATENESS_INTERVAL_S
            await asyncio.sleep(LATENESS_INTERVAL_S)
            late_ms = round((loop.time() - due_s) * 1000)
            if late_ms >= MIN_LATENESS_S * 1000:
                self.state.log.write("late", late_ms=late_ms)
                self.state.log.counters.observe("loop_late_ms", late_ms)

    async def _prune_pools(self) -> None:
        while True:
            await asyncio.sleep(PRUNE_INTERVAL_S)
            for pool in self.state.pools.values():
                pool.prune()


def run_entry(settings: DirectSettings, dependencies: EntryDependencies) -> int:
    """Run an entry until it is asked to stop; return its exit code."""

    async def run() -> int:
        return await EntryApplication(settings, dependencies).run()

    return asyncio.run(run())
