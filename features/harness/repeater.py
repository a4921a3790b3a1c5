"""Repeat an action in a background thread."""

from collections.abc import Callable
from threading import Event
from threading import Thread

INTERVAL_S = 0.01
STOP_TIMEOUT_S = 30.0


class Repeater:
    """Repeat an action until stopped; `stop` raises if the action failed."""

    def __init__(
        self,
        action: Callable[[], None],
        *,
        interval_s: float = INTERVAL_S,
        stop_timeout_s: float = STOP_TIMEOUT_S,
    ) -> None:
        self.action = action
        self.interval_s = interval_s
        self.stop_timeout_s = stop_timeout_s
        self.error: Exception | None = None
        self.stop_requested = Event()
        self.thread = Thread(target=self._run, daemon=True)
        self.thread.start()

    def stop(self) -> None:
        """Stop after the current call; raise AssertionError if an action failed."""
        self.stop_requested.set()
        self.thread.join(self.stop_timeout_s)
        assert not self.thread.is_alive(), "the repeated action did not end in time"
        if self.error:
            raise AssertionError(f"the repeated action failed: {self.error!r}") from self.error

    def _run(self) -> None:
        try:
            while not self.stop_requested.wait(self.interval_s):
                self.action()
        except Exception as error:  # noqa: BLE001 - reported by stop
            self.error = error
