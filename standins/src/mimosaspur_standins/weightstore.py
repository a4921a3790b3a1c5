"""Stand in for the weight store."""

import threading

from .base import MS_PER_SECOND
from .base import StandIn
from .base import now_ms
from .counting import SecondWindow
from .messages import Reply
from .messages import Request

MB_PER_GB = 1024


class SharedPipe:
    """Let loads pass; more than `at_once` together share the speed of `at_once`."""

    def __init__(self, *, at_once: int) -> None:
        self.at_once = at_once
        self.changed = threading.Condition()
        self.running = 0
        self.peak = 0
        self.work_ms = 0.0  # the work each running load has done since the start
        self.counted_ms = now_ms()

    def speed(self) -> float:
        """Tell the part of full speed that each running load has."""
        return min(1.0, self.at_once / max(1, self.running))

    def step(self, change: int) -> None:
        """Bring the work up to now and change the number of loads; the caller holds the lock."""
        now = now_ms()
        self.work_ms += (now - self.counted_ms) * self.speed()
        self.counted_ms = now
        if change:
            self.running += change
            self.peak = max(self.peak, self.running)
            self.changed.notify_all()

    def load(self, duration_ms: float) -> None:
        """Wait for a load that takes `duration_ms` undisturbed."""
        with self.changed:
            self.step(1)
            end_ms = self.work_ms + duration_ms
            while self.work_ms < end_ms:
                left_ms = (end_ms - self.work_ms) / self.speed()
                self.changed.wait(left_ms / MS_PER_SECOND)
                self.step(0)
            self.step(-1)


class WeightStore(StandIn):
    """Serve weights at a limited speed."""

    def __init__(
        self, *, name: str, address: str, loads_per_second: int, at_once: int, ms_per_gb: float
    ) -> None:
        super().__init__(name=name, address=address)
        self.loads_per_second = loads_per_second
        self.ms_per_gb = ms_per_gb
        self.pipe = SharedPipe(at_once=at_once)
        self.lock = threading.Lock()
        self.window = SecondWindow()
        self.starts = 0
        self.refused = 0
        self.finished = 0
        self.route("GET", "/weights/*", self.load)
        self.route("GET", "/counts", self.report)
        self.route("POST", "/limits", self.set_limits)

    def set_limits(self, request: Request) -> Reply:
        """Change the rate for the harness; 0 is no limit."""
        with self.lock:
            self.loads_per_second = int(request.mapping()["loads_per_second"])
        return Reply()

    def load(self, request: Request) -> Reply:
        """Serve one load."""
        memory_mb = request.number("memory_mb")
        if not self.begin():
            return Reply(429, {"error": "over the rate, try again later"})
        self.pipe.load(memory_mb / MB_PER_GB * self.ms_per_gb)
        with self.lock:
            self.finished += 1
        return Reply(value={"id": request.name, "memory_mb": memory_mb})

    def begin(self) -> bool:
        """Count a load and tell whether the rate allows it."""
        with self.lock:
            allowed = self.window.allow(self.loads_per_second)
            self.starts += allowed
            self.refused += not allowed
            return allowed

    def report(self, request: Request) -> Reply:
        """Give the counts."""
        with self.lock:
            counts = {
                "starts": self.starts,
                "refused": self.refused,
                "finished": self.finished,
                "peak_at_once": self.pipe.peak,
                "peak_starts_per_second": self.window.peak,
            }
        return Reply(value=counts)
