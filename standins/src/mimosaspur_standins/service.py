"""Simulate a plain service."""

import threading
from collections import Counter

from .base import StandIn
from .base import sleep_ms
from .messages import ANY
from .messages import Reply
from .messages import Request


class Service(StandIn):
    """Echo any request and count its runs."""

    def __init__(self, *, name: str, address: str, work_ms: float = 0) -> None:
        super().__init__(name=name, address=address)
        self.work_ms = work_ms
        self.lock = threading.Lock()
        self.runs: Counter[str] = Counter()
        self.by_body: Counter[str] = Counter()
        self.active = 0
        self.peak = 0
        self.route("GET", "/log", self.report_log)
        self.route("GET", "/counts", self.report_counts)
        self.route(ANY, "/*", self.echo)

    def echo(self, request: Request) -> Reply:
        """Echo a request after `work_ms`."""
        request_id = request.headers.get("X-Request-Id", "")
        body = request.body.decode(errors="replace")
        run = self.record_run(request_id, body)
        sleep_ms(self.work_ms)
        with self.lock:
            self.active -= 1
        answer = {"service": self.name, "path": request.path, "request_id": request_id}
        return Reply(value={**answer, "echo": body, "run": run})

    def record_run(self, request_id: str, body: str) -> int:
        """Count a run and return its number."""
        with self.lock:
            self.runs[request_id] += 1
            self.by_body[body] += 1
            self.active += 1
            self.peak = max(self.peak, self.active)
            return self.runs[request_id]

    def report_log(self, request: Request) -> Reply:
        """Return the runs by request id and by body."""
        with self.lock:
            return Reply(value={"runs": dict(self.runs), "by_body": dict(self.by_body)})

    def report_counts(self, request: Request) -> Reply:
        """Return the number of runs and the peak concurrency."""
        with self.lock:
            return Reply(value={"runs": self.runs.total(), "peak_at_once": self.peak})
