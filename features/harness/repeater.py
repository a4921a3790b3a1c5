"""Repeat an act in a thread while something happens to a site."""

from collections.abc import Callable
from threading import Event
from threading import Thread

INTERVAL_S = 0.01
STOP_TIMEOUT_S = 30.0


class Repeater:
    """Repeat an act until stopped; stop raises what it raised."""

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
        """End after the act under way."""
        self.stop_requested.set()
        self.thread.join(self.stop_timeout_s)
        assert not self.thread.is_alive(), "what is repeated does not end"
        if self.error:
            raise AssertionError(f"what is repeated broke off: {self.error!r}") from self.error

    def _run(self) -> None:
        try:
            while not self.stop_requested.wait(self.interval_s):
                self.action()
        except Exception as error:  # noqa: BLE001 - told by stop, not by a thread that nobody joins
            self.error = error
