"""Simulate the weight store."""

import threading

from .base import MS_PER_SECOND
from .base import StandIn
from .base import now_ms
from .counting import SlidingWindow
from .messages import Reply
from .messages import Request

MB_PER_GB = 1024


class SharedBandwidth:
    """Share bandwidth between loads; up to `full_speed_loads` of them run at full speed."""

    def __init__(self, *, full_speed_loads: int) -> None:
        self.full_speed_loads = full_speed_loads
        self.changed = threading.Condition()
        self.running = 0
        self.peak = 0
        self.progress_ms = 0.0  # total progress per load since the start
        self.updated_ms = now_ms()

    def speed(self) -> float:
        """Return the fraction of full speed at which each load runs."""
        return min(1.0, self.full_speed_loads / max(1, self.running))

    def advance(self, change: int) -> None:
        """Update the progress and the number of loads; the caller must hold the lock."""
        now = now_ms()
        self.progress_ms += (now - self.updated_ms) * self.speed()
        self.updated_ms = now
        if change:
            self.running += change
            self.peak = max(self.peak, self.running)
            self.changed.notify_all()

    def load(self, duration_ms: float) -> None:
        """Wait for a load that takes `duration_ms` at full speed."""
        with self.changed:
            self.advance(1)
            end_ms = self.progress_ms + duration_ms
            while self.progress_ms < end_ms:
                left_ms = (end_ms - self.progress_ms) / self.speed()
                self.changed.wait(left_ms / MS_PER_SECOND)
                self.advance(0)
            self.advance(-1)


class WeightStore(StandIn):
    """Serve weights with limited rate and bandwidth."""

    def __init__(
        self, *, name: str, address: str, loads_per_second: int, at_once: int, ms_per_gb: float
    ) -> None:
        super().__init__(name=name, address=address)
        self.loads_per_second = loads_per_second
        self.ms_per_gb = ms_per_gb
        self.bandwidth = SharedBandwidth(full_speed_loads=at_once)
        self.lock = threading.Lock()
        self.window = SlidingWindow()
        self.starts = 0
        self.refused = 0
        self.finished = 0
        self.route("GET", "/weights/*", self.load)
        self.route("GET", "/counts", self.report)
        self.route("POST", "/limits", self.set_limits)

    def set_limits(self, request: Request) -> Reply:
        """Set the rate limit; 0 means no limit."""
        with self.lock:
            self.loads_per_second = int(request.json_object()["loads_per_second"])
        return Reply()

    def load(self, request: Request) -> Reply:
        """Serve one load."""
        memory_mb = request.query_int("memory_mb")
        if not self.admit():
            return Reply(429, {"error": "rate limit exceeded, retry later"})
        self.bandwidth.load(memory_mb / MB_PER_GB * self.ms_per_gb)
        with self.lock:
            self.finished += 1
        return Reply(value={"id": request.name, "memory_mb": memory_mb})

    def admit(self) -> bool:
        """Count a load and return whether the rate limit admits it."""
        with self.lock:
            allowed = self.window.allow(self.loads_per_second)
            self.starts += allowed
            self.refused += not allowed
            return allowed

    def report(self, request: Request) -> Reply:
        """Return the counts."""
        with self.lock:
            counts = {
                "starts": self.starts,
                "refused": self.refused,
                "finished": self.finished,
                "peak_at_once": self.bandwidth.peak,
                "peak_starts_per_second": self.window.peak,
            }
        return Reply(value=counts)
