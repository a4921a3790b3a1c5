"""Simulate a model engine."""

import uuid
from dataclasses import asdict

from .base import StandIn
from .messages import Reply
from .messages import Request
from .orders import Order
from .orders import StaleFencingTokenError
from .prefixes import PrefixCache
from .residents import Residents
from .streams import Scheduler


class Engine(StandIn):
    """Serve chat completions from the residents that orders have loaded."""

    def __init__(
        self,
        *,
        name: str,
        address: str,
        capacity_mb: list[int],
        slots: int,
        prefill_ms: float,
        token_ms: float,
        weights: str | None = None,
        load_ms: float = 0,
        unload_ms: float = 0,
        ignore_fencing: bool = False,
        load_lag_ms: float = 0,
        cache_lag_ms: float = 0,
        cache_gap_every: int = 0,
    ) -> None:
        super().__init__(name=name, address=address)
        self.cache = PrefixCache(lag_ms=cache_lag_ms, gap_every=cache_gap_every)
        self.residents = Residents(
            capacity_mb=capacity_mb,
            weights=weights,
            load_ms=load_ms,
            unload_ms=unload_ms,
            ignore_fencing=ignore_fencing,
            on_unload=self.cache.evict_resident,
        )
        self.scheduler = Scheduler(
            residents=self.residents,
            cache=self.cache,
            slots=slots,
            prefill_ms=prefill_ms,
            token_ms=token_ms,
            load_lag_ms=load_lag_ms,
        )
        self.route("POST", "/v1/chat/completions", self.complete)
        self.route("GET", "/v1/streams/*", self.resume)
        self.route("DELETE", "/v1/streams/*", self.cancel)
        self.route("GET", "/admin/state", lambda request: Reply(value=self.residents.state()))
        self.route("POST", "/admin/orders", self.order)
        self.route("GET", "/admin/load", lambda request: Reply(value=self.scheduler.load()))
        self.route("GET", "/admin/cache-events", self.cache_events)
        self.route("GET", "/log", self.report_log)

    def complete(self, request: Request) -> Reply:
        """Answer a chat completion, at once or as a stream."""
        body = request.json_object()
        resident = self.residents.acquire(str(body["model"]))
        if resident is None:
            return Reply(404, {"error": f"{body['model']} is not ready on this engine"})
        request_id = request.headers.get("X-Request-Id") or uuid.uuid4().hex
        try:
            job = self.scheduler.submit(request_id, resident, body)
        except (ValueError, KeyError, TypeError, IndexError) as error:
            self.residents.release(resident)
            return Reply(400, {"error": f"bad messages or max_tokens: {error!r}"})
        if body.get("stream"):
            return Reply(stream=self.scheduler.stream(job, 0))
        if self.scheduler.wait(job):
            return Reply(value=job.full_response())
        return Reply(409, {"error": "cancelled"})

    def resume(self, request: Request) -> Reply:
        """Resume a stream after the event named by Last-Event-ID."""
        job = self.scheduler.find(request.name)
        if job is None or job.state == "cancelled":
            return Reply(404, {"error": "no such stream"})
        after = int(request.headers.get("Last-Event-ID") or 0)
        return Reply(stream=self.scheduler.stream(job, after))

    def cancel(self, request: Request) -> Reply:
        """Cancel the job of a request."""
        known = self.scheduler.cancel(request.name)
        return Reply() if known else Reply(404, {"error": "no such stream"})

    def order(self, request: Request) -> Reply:
        """Accept an order."""
        try:
            order = self.residents.submit(Order(**request.json_object()))
        except StaleFencingTokenError:
            return Reply(409, {"fencing": self.residents.fencing})
        return Reply(202, {"order_id": order.order_id, "state": order.state})

    def cache_events(self, request: Request) -> Reply:
        """Return published events of the prefix cache."""
        following, events = self.cache.events_since(request.query_int("since"))
        return Reply(value={"next": following, "events": [asdict(event) for event in events]})

    def report_log(self, request: Request) -> Reply:
        """Return the counts and logs that the harness checks."""
        scheduler = self.scheduler
        with scheduler.lock:
            job_log = {
                "runs": dict(scheduler.runs),
                "cancelled": list(scheduler.cancelled),
                "finished": list(scheduler.finished),
            }
        return Reply(value={**self.residents.log(), **job_log})
