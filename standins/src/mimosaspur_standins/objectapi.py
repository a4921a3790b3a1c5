"""Simulate the object API and the instance list."""

import threading
from collections import Counter
from collections import deque
from dataclasses import asdict
from typing import Any

from .base import StandIn
from .base import now_ms
from .counting import SlidingWindow
from .messages import Reply
from .messages import Request
from .objects import ObjectStore

MAX_VALUE_BYTES = 1_000_000
MAX_SNAPSHOTS = 1000
DEFAULT_PAGE_SIZE = 500
UNKNOWN_CALLER = "none"

Instance = dict[str, Any]


def call_kind(request: Request) -> str:
    """Return the kind of a call: read, write, watch or other (harness, instance list)."""
    if request.path == "/watch":
        return "watch"
    if not request.path.startswith("/objects"):
        return "other"
    return "read" if request.method == "GET" else "write"


class CallCounts:
    """Count calls by kind and caller, body bytes by caller, and the peak calls per second."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.by_kind: Counter[str] = Counter()
        self.by_caller: dict[str, Counter[str]] = {}
        self.bytes_by_caller: dict[str, Counter[str]] = {}
        self.refused = 0
        self.window = SlidingWindow()

    def add(self, kind: str, caller: str) -> None:
        """Count a call."""
        with self.lock:
            self.by_kind[kind] += 1
            self.by_caller.setdefault(caller, Counter())[kind] += 1
            if kind != "other":
                self.window.add()

    def add_bytes(self, caller: str, *, received: int, sent: int) -> None:
        """Count the bytes of a call's bodies."""
        with self.lock:
            counter = self.bytes_by_caller.setdefault(caller, Counter())
            counter["received"] += received
            counter["sent"] += sent

    def report(self) -> dict[str, Any]:
        """Return all counts."""
        with self.lock:
            return {
                "by_kind": dict(self.by_kind),
                "by_caller": {name: dict(kinds) for name, kinds in self.by_caller.items()},
                "bytes_by_caller": {
                    name: dict(sizes) for name, sizes in self.bytes_by_caller.items()
                },
                "peak_per_second": self.window.peak,
                "refused": self.refused,
            }


class InstanceList:
    """Store the instances and list them as they were `lag_ms` ago."""

    def __init__(self, *, lag_ms: float) -> None:
        self.lock = threading.Lock()
        self.lag_ms = lag_ms
        self.instances: dict[str, Instance] = {}
        self.snapshots: deque[tuple[float, list[Instance]]] = deque(maxlen=MAX_SNAPSHOTS)

    def put(self, name: str, instance: Instance | None) -> None:
        """Add or replace an instance; None removes it."""
        with self.lock:
            if instance is None:
                self.instances.pop(name, None)
            else:
                self.instances[name] = {**instance, "name": name}
            self.snapshots.append((now_ms(), list(self.instances.values())))

    def lagged_list(self) -> list[Instance]:
        """Return the list as it was `lag_ms` ago."""
        with self.lock:
            visible_until_ms = now_ms() - self.lag_ms
            for at_ms, snapshot in reversed(self.snapshots):
                if at_ms <= visible_until_ms:
                    return snapshot
        return []


class ObjectApi(StandIn):
    """Serve objects, watches and the instance list, with rate limits."""

    def __init__(
        self,
        *,
        name: str,
        address: str,
        writes_per_second: int = 0,
        reads_per_second: int = 0,
        lag_ms: float = 0,
    ) -> None:
        super().__init__(name=name, address=address)
        self.store = ObjectStore()
        self.counts = CallCounts()
        self.instance_list = InstanceList(lag_ms=lag_ms)
        self.limits = {"write": writes_per_second, "read": reads_per_second}
        self.windows = {"write": SlidingWindow(), "read": SlidingWindow()}
        self.route("GET", "/objects/*", self.get)
        self.route("PUT", "/objects/*", self.put)
        self.route("DELETE", "/objects/*", self.delete)
        self.route("GET", "/objects", self.list_page)
        self.route("GET", "/watch", self.watch)
        self.route("GET", "/instances", self.instances)
        self.route("PUT", "/instances/*", self.put_instance)
        self.route("DELETE", "/instances/*", self.delete_instance)
        self.route("POST", "/lag", self.set_lag)
        self.route("GET", "/counts", lambda request: Reply(value=self.counts.report()))
        self.route("DELETE", "/counts", self.reset_counts)

    def on_request(self, request: Request) -> None:
        """Count each call."""
        self.counts.add(call_kind(request), request.headers.get("X-Caller", UNKNOWN_CALLER))

    def on_reply_sent(self, request: Request, sent_bytes: int) -> None:
        """Count the bytes of each call's bodies, without headers."""
        caller = request.headers.get("X-Caller", UNKNOWN_CALLER)
        self.counts.add_bytes(caller, received=len(request.body), sent=sent_bytes)

    def answer(self, request: Request) -> Reply:
        """Handle a request, or refuse it when over the rate limit."""
        kind = call_kind(request)
        # Each watch call counts against the read rate.
        limited = "read" if kind == "watch" else kind
        if limited in self.limits and not self.allow_call(limited):
            return Reply(429, {"error": "rate limit exceeded, retry later"})
        return super().answer(request)

    def allow_call(self, kind: str) -> bool:
        """Record a call if it is within the rate limit and return whether it is."""
        with self.counts.lock:
            allowed = self.windows[kind].allow(self.limits[kind])
            self.counts.refused += not allowed
            return allowed

    def get(self, request: Request) -> Reply:
        """Return an object."""
        found = self.store.get(request.path_suffix)
        return Reply(value=asdict(found)) if found else Reply(404, {"error": "no such object"})

    def put(self, request: Request) -> Reply:
        """Create or update an object."""
        if len(request.body) > MAX_VALUE_BYTES:
            return Reply(413, {"error": f"value exceeds {MAX_VALUE_BYTES} bytes"})
        expected = expected_version(request)
        if expected is None:
            return Reply(428, {"error": "missing header If-Match or If-None-Match: *"})
        done, version = self.store.put(request.path_suffix, request.json_body(), expected)
        return Reply(200 if done else 412, {"version": version})

    def delete(self, request: Request) -> Reply:
        """Delete an object."""
        expected = expected_version(request)
        if not expected:
            return Reply(428, {"error": "missing header If-Match"})
        done, version = self.store.delete(request.path_suffix, expected)
        if not done and version == 0:
            return Reply(404, {"error": "no such object"})
        return Reply(200 if done else 412, {"version": version})

    def list_page(self, request: Request) -> Reply:
        """Return one page of objects."""
        limit = request.query_int("limit", DEFAULT_PAGE_SIZE)
        revision, page, more = self.store.list_page(
            request.query_value("prefix"), request.query_value("after"), limit
        )
        objects = [asdict(change) for change in page]
        return Reply(value={"revision": revision, "objects": objects, "more": more})

    def watch(self, request: Request) -> Reply:
        """Return changes since a revision, waiting up to `wait_ms`."""
        prefixes = tuple(request.query.get("prefix", [""]))
        found = self.store.watch(prefixes, request.query_int("since"), request.query_int("wait_ms"))
        if found is None:
            return Reply(410, {"error": "revision too old, list again"})
        events = [asdict(change) for change in found[1]]
        return Reply(value={"revision": found[0], "events": events})

    def instances(self, request: Request) -> Reply:
        """Return the instance list."""
        return Reply(value={"instances": self.instance_list.lagged_list()})

    def put_instance(self, request: Request) -> Reply:
        """Add or replace an instance."""
        self.instance_list.put(request.name, request.json_object())
        return Reply()

    def delete_instance(self, request: Request) -> Reply:
        """Remove an instance."""
        self.instance_list.put(request.name, None)
        return Reply()

    def set_lag(self, request: Request) -> Reply:
        """Set how far the instance list lags."""
        self.instance_list.lag_ms = float(request.json_object()["lag_ms"])
        return Reply()

    def reset_counts(self, request: Request) -> Reply:
        """Reset all counts."""
        self.counts = CallCounts()
        return Reply()


def expected_version(request: Request) -> int | None:
    """Return the version that a write expects: 0 to create, None without a condition."""
    match = request.headers.get("If-Match")
    if match is not None:
        version = int(match.strip().strip('"'))
        if version <= 0:
            raise ValueError("If-Match must be a version above 0")
        return version
    return 0 if request.headers.get("If-None-Match", "").strip() == "*" else None
