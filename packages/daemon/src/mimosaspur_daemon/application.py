"""Run a process's background tasks and shut them down on a signal."""

import contextlib
import queue
import signal
import threading
import time
from collections.abc import Callable

from mimosaspur_state.log import log

PART = "APP"
# Long enough to release a lease. A task blocked in a long poll is a daemon thread and ends with the
# process.
TASK_JOIN_TIMEOUT_S = 0.5
# Python runs signal handlers in the main thread only, and a signal delivered to another thread does
# not wake it, so the main thread polls.
SIGNAL_POLL_INTERVAL_S = 0.5

Task = Callable[[threading.Event], None]
Hook = Callable[[], None]


class Application:
    """Run background tasks until a stop signal, then call the stop hooks in reverse order."""

    def __init__(self) -> None:
        self.stop_event = threading.Event()
        # A signal handler may interrupt this thread while it holds an Event's lock, so Event.set
        # could deadlock; SimpleQueue.put is reentrant.
        self.stop_requests: queue.SimpleQueue[None] = queue.SimpleQueue()
        self.tasks: list[threading.Thread] = []
        self.stop_hooks: list[Hook] = []

    def spawn(self, name: str, task: Task) -> None:
        """Run a task in a thread; a task that raises stops the application."""
        thread = threading.Thread(target=self._run_task, args=(name, task), name=name, daemon=True)
        self.tasks.append(thread)
        thread.start()

    def on_stop(self, hook: Hook) -> None:
        """Register a hook to call on shutdown."""
        self.stop_hooks.append(hook)

    def handle_signals(self) -> None:
        """Shut down gracefully on SIGTERM and SIGINT."""
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda *_: self.stop_requests.put(None))

    def run(self) -> None:
        """Block until a stop is requested, then shut down."""
        self._wait_for_stop_request()
        log(PART, "Shutting down gracefully.")
        for hook in reversed(self.stop_hooks):
            hook()
        self.stop_event.set()
        deadline = time.monotonic() + TASK_JOIN_TIMEOUT_S
        for thread in self.tasks:
            thread.join(max(0, deadline - time.monotonic()))
        log(PART, "Stopped.")

    def _wait_for_stop_request(self) -> None:
        while True:
            with contextlib.suppress(queue.Empty):
                self.stop_requests.get(timeout=SIGNAL_POLL_INTERVAL_S)
                return

    def _run_task(self, name: str, task: Task) -> None:
        try:
            task(self.stop_event)
        except Exception as error:
            log(PART, "A task failed; shutting down.", task=name, error=repr(error))
            self.stop_requests.put(None)
            raise
