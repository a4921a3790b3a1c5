"""Run an entry's tasks from start to graceful shutdown."""

import asyncio
import os
import signal
from collections.abc import Callable
from collections.abc import Coroutine

from mimosaspur_coordination.backoff import Backoff
from mimosaspur_daemon.direct.callers import CallerServer
from mimosaspur_daemon.direct.election import CoordinatorElection
from mimosaspur_daemon.direct.entrystate import EntryDependencies
from mimosaspur_daemon.direct.entrystate import EntryState
from mimosaspur_daemon.direct.evacuation import Evacuation
from mimosaspur_daemon.direct.refusal import internal_failure
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
# Interval between the checks whether the final responses are written. Connections stay open for so
# many of them, and there are at least so many, whatever the time: a process that stood still hasn't
# looked at what arrived meanwhile.
FINAL_POLL_INTERVAL_S = 0.02
OPEN_CHECKS = 10
MIN_FINAL_CHECKS = 15
# Reserved for the process to exit on a slow machine.
EXIT_RESERVE_S = 0.3
# Settings may change without a signal.
SETTINGS_POLL_INTERVAL_S = 2.0
PRUNE_INTERVAL_S = 1.0
# Shortest pause before a task that has failed is started again.
TASK_RESTART_MS = 100
# The event loop is checked this often, and is late when it runs a timer this long after its time.
LATENESS_INTERVAL_S = 0.1
MIN_LATENESS_S = 0.03
# A signal is handled within this time after the process runs again, beside what has waited too.
SIGNAL_WAIT_S = 1.0


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
        # On the event loop's clock: when the process was last known to run, and the beginning and
        # the end of its last time of standing still.
        self.ran_s = float("inf")
        self.stood_still_s = (float("-inf"), float("-inf"))

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
        self._spawn(self.store_watch.follow_configuration)
        self._spawn(self.store_watch.follow_targets)
        self._spawn(self.coordination.run)
        self._spawn(self.version_record.run)
        if self.state.uses(Mechanism.EVACUATION):
            self._spawn(self.evacuation.run)
        self._spawn(self._prune_pools)
        self._spawn(self._poll_settings)
        self._spawn(self._watch_lateness)
        await self.stop_requested.wait()
        await self._stop()
        peer_server.close()
        self.state.stream_versions.close()
        log.always(
            "stop",
            unanswered=self.callers.in_flight(),
            open=len(self.callers.tasks),
        )
        return ExitCode.OK

    async def _stop(self) -> None:
        loop = asyncio.get_running_loop()
        start_s = self._first_possible_signal_s()
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
        await self._write_final_responses(end_s + SHUTDOWN_RESERVE_S - EXIT_RESERVE_S)
        for task in self.tasks:
            task.cancel()

    def _first_possible_signal_s(self) -> float:
        """Return when the signal to stop can have come: the process may have stood still since."""
        began_s, ended_s = self.stood_still_s
        now_s = asyncio.get_running_loop().time()
        return began_s if now_s - ended_s < SIGNAL_WAIT_S else min(now_s, self.ran_s)

    async def _write_final_responses(self, end_s: float) -> None:
        """Answer what was read, and what arrives on open connections, and close these.

        A leaving entry closes each connection after its next response, so this ends. What isn't
        read at all is reset by the kernel, and its caller may send it again.
        """
        loop = asyncio.get_running_loop()
        checks = 0
        while self.callers.tasks and (checks < MIN_FINAL_CHECKS or loop.time() < end_s):
            await asyncio.sleep(FINAL_POLL_INTERVAL_S)
            checks += 1
            if checks >= OPEN_CHECKS:
                self.callers.close_idle(min_idle_s=0.0)
                self.callers.reset_partial()
        # Connections that have just been closed.
        await asyncio.sleep(FINAL_POLL_INTERVAL_S)

    def _may_stop(self) -> bool:
        """Return whether the entry is idle and another one can take its callers.

        The balancer keeps sending callers here while it knows of no other entry.
        """
        if asyncio.get_running_loop().time() < self.state.balancer_noticed_s:
            return False
        self.callers.close_idle()
        return not self.callers.in_flight() and not self.state.is_last_entry()

    def _spawn(self, work: Callable[[], Coroutine[None, None, None]]) -> None:
        self.tasks.append(asyncio.create_task(self._keep_running(work)))

    async def _keep_running(self, work: Callable[[], Coroutine[None, None, None]]) -> None:
        """Run a task for the life of the process, again after a pause if it fails.

        What fails here may come from the store, or from another entry, to all entries at once. So
        the process doesn't end: it serves its callers with what it knows, as while it is cut off.
        """
        backoff = Backoff(initial_delay_ms=TASK_RESTART_MS, undelayed_failures=0)
        while True:
            try:
                await work()
            except (Exception, asyncio.CancelledError) as error:
                current = asyncio.current_task()
                if current and current.cancelling():
                    raise
                failure = internal_failure(error)
                name = getattr(work, "__qualname__", repr(work))
                self.state.log.always("task_failed", task=name, error=failure.detail)
                self.state.log.counters.count("task_failed", name)
            backoff.record_failure()
            await asyncio.sleep(backoff.delay_s())

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
            self.ran_s = loop.time()
            due_s = self.ran_s + LATENESS_INTERVAL_S
            await asyncio.sleep(LATENESS_INTERVAL_S)
            late_ms = round((loop.time() - due_s) * 1000)
            if late_ms >= MIN_LATENESS_S * 1000:
                self.stood_still_s = (self.ran_s, loop.time())
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
