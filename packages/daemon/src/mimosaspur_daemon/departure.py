"""Leave without cutting a request or making a model unreachable."""

import threading
from collections.abc import Callable

from mimosaspur_coordination.mirror import Mirror
from mimosaspur_daemon.behind import Behind
from mimosaspur_daemon.serving import Serving
from mimosaspur_daemon.targetserver import TargetServer
from mimosaspur_state import keys
from mimosaspur_state.log import log
from mimosaspur_state.settings import Settings

PART = "DRAIN"
POLL_S = 0.5
IDLE_POLL_S = 0.05


class Departure:
    """Carry out an operator's order to leave, and a graceful shutdown.

    On the order the planner moves the models away first; each is refused here from the moment
    its replacement is ready. When nothing is left, or on SIGTERM, all new work is refused.
    """

    def __init__(
        self,
        settings: Settings,
        mirror: Mirror,
        serving: Serving,
        server: TargetServer,
        behind: Behind,
    ) -> None:
        self.name = settings.instance.name
        assert settings.target is not None
        self.grace_ms = settings.target.stop_grace_ms
        self.mirror = mirror
        self.serving = serving
        self.server = server
        self.behind = behind
        self.wake = threading.Event()
        self.on_change: list[Callable[[], None]] = []
        self.ordered = False

    def leaving(self) -> bool:
        """Tell whether this target has been ordered to leave or is shutting down."""
        return self.ordered or self.serving.draining

    def run(self, stop: threading.Event) -> None:
        """Watch for the order until told to stop."""
        while not stop.is_set():
            self.wake.wait(POLL_S)
            self.wake.clear()
            self._look()

    def shut_down(self) -> None:
        """Refuse new work at once and wait for what runs, for the grace at the longest."""
        self._drain()
        clock = self.serving.clock
        end_ms = clock.now_ms() + self.grace_ms
        pause = threading.Event()
        while not self.serving.queue.idle() and clock.now_ms() < end_ms:
            pause.wait(IDLE_POLL_S)
        if not self.serving.queue.idle():
            log(PART, "Stopped before all requests had ended; the grace is over.")

    def _look(self) -> None:
        ordered = self.mirror.get(keys.drain(self.name)) is not None
        if ordered != self.ordered:
            self.ordered = ordered
            log(PART, "Ordered to leave." if ordered else "Ordered to stay.")
            if not ordered:
                self.behind.stay()
            self._tell()
        if ordered and not self.serving.draining and self.behind.leave():
            self._drain()

    def _drain(self) -> None:
        if self.serving.draining:
            return
        self.serving.drain()
        self.server.announce_draining()
        log(PART, "Takes no new work.")
        self._tell()

    def _tell(self) -> None:
        for listener in self.on_change:
            listener()
