"""Leave without cutting a request or making a model unreachable."""

import threading
from collections.abc import Callable

from mimosaspur_coordination.mirror import Mirror
from mimosaspur_daemon.attempts import AttemptRegistry
from mimosaspur_daemon.serving import Serving
from mimosaspur_daemon.targetserver import TargetServer
from mimosaspur_daemon.upstream import Upstream
from mimosaspur_state import keys
from mimosaspur_state.log import log
from mimosaspur_state.settings import Settings

PART = "DRAIN"
POLL_INTERVAL_S = 0.5
DELIVERY_POLL_INTERVAL_S = 0.05


class DrainController:
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
        upstream: Upstream,
        registry: AttemptRegistry,
    ) -> None:
        self.name = settings.instance.name
        assert settings.target is not None
        self.grace_ms = settings.target.stop_grace_ms
        self.mirror = mirror
        self.serving = serving
        self.server = server
        self.upstream = upstream
        self.registry = registry
        # What it takes an entry to find its connection silent and to ask over a new one.
        self.linger_ms = settings.peers.silent_ms + settings.peers.connect_ms
        self.wake = threading.Event()
        self.on_change: list[Callable[[], None]] = []
        self.drain_ordered = False
        self.shutting_down = False

    def is_drain_ordered(self) -> bool:
        """Tell whether an operator has ordered this target to leave.

        A shutdown alone does not count: the process mostly comes back within the planner's
        grace, and moving its models meanwhile would cost more than it earns.
        """
        return self.drain_ordered

    def run(self, stop: threading.Event) -> None:
        """Watch for the order until told to stop."""
        while not stop.is_set():
            self.wake.wait(POLL_INTERVAL_S)
            self.wake.clear()
            self._check_drain_order()

    def shut_down(self) -> None:
        """Refuse new work at once and wait for what runs, for the grace at the longest."""
        self.shutting_down = True
        self._drain()
        clock = self.serving.clock
        end_ms = clock.now_ms() + self.grace_ms
        pause = threading.Event()
        while not self._all_delivered() and clock.now_ms() < end_ms:
            pause.wait(DELIVERY_POLL_INTERVAL_S)
        if not self._all_delivered():
            log(PART, "Stopped before all requests had ended; the grace is over.")

    def _all_delivered(self) -> bool:
        """Tell whether all answers have ended and could be fetched even after a silence."""
        # The queue doesn't count what was taken over from a predecessor; the registry does.
        with self.registry.lock:
            ended_ms = [attempt.ended_at_ms for attempt in self.registry.attempts.values()]
        oldest_ms = self.serving.clock.now_ms() - self.linger_ms
        answered = all(at_ms is not None and at_ms <= oldest_ms for at_ms in ended_ms)
        return answered and self.serving.queue.idle()

    def _check_drain_order(self) -> None:
        ordered = self.mirror.get(keys.drain(self.name)) is not None
        if ordered != self.drain_ordered:
            self.drain_ordered = ordered
            log(PART, "Ordered to leave." if ordered else "Ordered to stay.")
            if not ordered:
                self._undrain()
            self._notify_listeners()
        if ordered and not self.serving.draining and self.upstream.withdraw():
            self._drain()

    def _undrain(self) -> None:
        self.upstream.cancel_withdrawal()
        if not self.shutting_down:
            self.serving.undrain()

    def _drain(self) -> None:
        if self.serving.draining:
            return
        self.serving.drain()
        self.server.announce_draining()
        log(PART, "Takes no new work.")
        self._notify_listeners()

    def _notify_listeners(self) -> None:
        for listener in self.on_change:
            listener()
