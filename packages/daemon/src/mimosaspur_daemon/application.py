"""Own a process's tasks and clean up after them."""

import contextlib
import queue
import signal
import threading
import time
from collections.abc import Callable

from mimosaspur_state.log import log

PART = "APP"
# Long enough to give a lease back; a task in a long watch ends with the process.
TASK_JOIN_TIMEOUT_S = 0.5
# The kernel may hand a signal to any thread. Its handler runs in this one, which only a signal of
# its own wakes: it looks again so often.
SIGNAL_POLL_INTERVAL_S = 0.5

Task = Callable[[threading.Event], None]
Hook = Callable[[], None]


class Application:
    """Start tasks, wait for a signal, then call the stop hooks, the newest first."""

    def __init__(self) -> None:
        self.stop_event = threading.Event()
        # A signal handler may run while this thread holds an event's lock; a put can't block.
        self.stop_requests: queue.SimpleQueue[None] = queue.SimpleQueue()
        self.tasks: list[threading.Thread] = []
        self.stop_hooks: list[Hook] = []

    def spawn(self, name: str, task: Task) -> None:
        """Run a task until the application stops; a task that fails stops the application."""
        thread = threading.Thread(target=self._run_task, args=(name, task), name=name, daemon=True)
        self.tasks.append(thread)
        thread.start()

    def on_stop(self, hook: Hook) -> None:
        """Call a hook when the application is asked to stop."""
        self.stop_hooks.append(hook)

    def handle_signals(self) -> None:
        """Take SIGTERM and SIGINT as the order for a graceful shutdown."""
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda *_: self.stop_requests.put(None))

    def run(self) -> None:
        """Wait for the order to stop and carry it out."""
        self._wait_for_stop_request()
        log(PART, "Stops gracefully.")
        for hook in reversed(self.stop_hooks):
            hook()
        self.stop_event.set()
        end = time.monotonic() + TASK_JOIN_TIMEOUT_S
        for thread in self.tasks:
            thread.join(max(0, end - time.monotonic()))
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
            log(PART, "A task failed.", task=name, error=repr(error))
            self.stop_requests.put(None)
            raise
