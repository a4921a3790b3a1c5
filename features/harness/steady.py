"""Repeat an act in a thread while something happens to a site."""

from collections.abc import Callable
from threading import Event
from threading import Thread

PAUSE_S = 0.01
END_S = 30.0


class Steady:
    """Repeat an act until stopped; stop raises what it raised."""

    def __init__(
        self, act: Callable[[], None], *, pause_s: float = PAUSE_S, end_s: float = END_S
    ) -> None:
        self.act = act
        self.pause_s = pause_s
        self.end_s = end_s
        self.error: Exception | None = None
        self.over = Event()
        self.thread = Thread(target=self._run, daemon=True)
        self.thread.start()

    def stop(self) -> None:
        """End after the act under way."""
        self.over.set()
        self.thread.join(self.end_s)
        assert not self.thread.is_alive(), "what is repeated does not end"
        if self.error:
            raise AssertionError(f"what is repeated broke off: {self.error!r}") from self.error

    def _run(self) -> None:
        try:
            while not self.over.wait(self.pause_s):
                self.act()
        except Exception as error:  # noqa: BLE001 - told by stop, not by a thread that nobody joins
            self.error = error
