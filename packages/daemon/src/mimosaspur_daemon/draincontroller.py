"""Drain a target without cutting a request or making a model unreachable."""

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
    """Carry out an operator's drain order and a graceful shutdown.

    On a drain order the planner moves the models away first; each is refused here once its
    replacement is ready. All new work is refused when no model is left, or on SIGTERM.
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
        # The time in which an entry detects a silent connection and resumes over a new one.
        self.linger_ms = settings.peers.silent_ms + settings.peers.connect_ms
        self.wake = threading.Event()
        self.on_change: list[Callable[[], None]] = []
        self.drain_ordered = False
        self.shutting_down = False

    def is_drain_ordered(self) -> bool:
        """Return whether an operator has ordered this target to drain.

        A shutdown does not count: the process usually restarts within the planner's grace
        period, in which moving its models would cost more than waiting.
        """
        return self.drain_ordered

    def run(self, stop: threading.Event) -> None:
        """Follow the drain order in the store until `stop` is set."""
        while not stop.is_set():
            self.wake.wait(POLL_INTERVAL_S)
            self.wake.clear()
            self._check_drain_order()

    def shut_down(self) -> None:
        """Refuse new work and wait up to the grace period for running requests."""
        self.shutting_down = True
        self._drain()
        clock = self.serving.clock
        end_ms = clock.now_ms() + self.grace_ms
        pause = threading.Event()
        while not self._all_delivered() and clock.now_ms() < end_ms:
            pause.wait(DELIVERY_POLL_INTERVAL_S)
        if not self._all_delivered():
            log(PART, "Shutting down with unfinished requests: target.stop_grace_ms is over.")

    def _all_delivered(self) -> bool:
        """Return whether all answers ended long enough ago to be fetched over a new connection."""
        # The registry, unlike the queue, includes attempts adopted from a predecessor.
        with self.registry.lock:
            ended_ms = [attempt.ended_at_ms for attempt in self.registry.attempts.values()]
        latest_end_ms = self.serving.clock.now_ms() - self.linger_ms
        answered = all(at_ms is not None and at_ms <= latest_end_ms for at_ms in ended_ms)
        return answered and self.serving.queue.idle()

    def _check_drain_order(self) -> None:
        ordered = self.mirror.get(keys.drain(self.name)) is not None
        if ordered != self.drain_ordered:
            self.drain_ordered = ordered
            log(PART, "A drain was ordered." if ordered else "The drain order was withdrawn.")
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
        log(PART, "Draining; new requests are refused.")
        self._notify_listeners()

    def _notify_listeners(self) -> None:
        for listener in self.on_change:
            listener()
