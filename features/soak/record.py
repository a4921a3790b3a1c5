"""Record what callers, targets and the store saw of a soak, all on one clock in seconds."""

from collections import defaultdict
from collections.abc import Container
from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from pathlib import Path

import msgspec

# The platform's bounds of all entries.
STABILITY_S = 3.0
DRAIN_S = 2.0
GRACE_S = 8.0
LOSS_SLACK_S = 0.2
CONFIGURATION_S = 2.0
LEASE_S = 3.0
THAW_S = 0.3
BUDGET_WINDOW_S = 10.0
BUDGET_RATIO = 0.2
BUDGET_SLACK = 54
# Statuses that promise that a request has not run and never will.
PROMISES = (408, 421, 429, 503)
STORE = "store"
# A store whose process stands still for so long is slow.
STORE_LATE_S = 0.5
# Kinds of disturbances.
STOP = "term"
RELOAD = "hup"
KILL = "kill"
STALL = "stall"
CUT_OFF = "cut off"
LATE = "late"
OWN_END = "end"
SAVED = ("disturbances", "targets", "attempts", "arrivals", "orders", "readiness", "ended")
PLANNED = (STOP, RELOAD)


class Kind(Enum):
    """Define the kinds of requests."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"
    RESUMABLE = "resumable"

    @property
    def is_idempotent(self) -> bool:
        """Return whether such a request may run more than once."""
        return self in (Kind.SAFE, Kind.RESUMABLE)

    @property
    def is_stream(self) -> bool:
        """Return whether the answer is a stream of events."""
        return self in (Kind.STREAM, Kind.RESUMABLE)


@dataclass(slots=True)
class Piece:
    """Record one event of a stream, and the run that made it."""

    at_s: float
    number: int
    run: str


@dataclass(slots=True)
class Attempt:
    """Record one try of a caller, which has an id of its own."""

    identity: str
    # Shared by all tries of one request.
    request: str
    kind: Kind
    entry: str
    path: str
    sent_s: float
    limit_s: float
    # Of its route.
    max_attempts: int = 3
    # Whether the connection had carried a request before.
    kept: bool = False
    last_event: int = 0
    resumes: str = ""
    status: int = 0
    signature: str = ""
    answers: str = ""
    retry_after_s: float | None = None
    leaving: bool = False
    head_s: float | None = None
    end_s: float | None = None
    complete: bool = False
    # Why the connection ended without a complete answer.
    error: str = ""
    # Whether the caller closed the connection.
    gave_up: bool = False
    # Whether it closes the connection to take its stream up elsewhere.
    moves: bool = False
    # Bytes that lay on the connection before the request was sent.
    stray: str = ""
    text: str = ""
    pieces: list[Piece] = field(default_factory=list)

    @property
    def succeeded(self) -> bool:
        """Return whether the status is a success."""
        return 200 <= self.status < 300


@dataclass(slots=True)
class Arrival:
    """Record one request that reached a target, and its run."""

    identity: str
    target: str
    service: str
    version: str
    request: str
    path: str
    at_s: float
    # Milliseconds named in the request.
    deadline_ms: float | None = None
    last_event: int = 0
    # Of its answer, and unique to the run.
    signature: str = ""
    ran: bool = False
    ended_s: float | None = None
    status: int = 0
    text: str = ""
    # Whether the target broke the answer off, or ended.
    broke: bool = False
    retry_after_s: float | None = None


@dataclass(slots=True)
class Order:
    """Record an order that reached an engine."""

    at_s: float
    target: str
    holder: str
    token: int
    status: int


@dataclass(slots=True)
class Disturbance:
    """Record a fault or planned work at one entry or the store; open while it lasts."""

    kind: str
    where: str
    start_s: float
    end_s: float = float("inf")

    @property
    def is_planned(self) -> bool:
        """Return whether it is a signal that the platform sends in planned work."""
        return self.kind in PLANNED


@dataclass(slots=True)
class TargetLife:
    """Record one lifetime of a target."""

    name: str
    service: str
    version: str
    start_s: float
    # When the store accepted that it drains or is gone.
    draining_s: float | None = None
    end_s: float | None = None


@dataclass(slots=True)
class Readiness:
    """Record an answer of an entry to the platform's question whether it is ready."""

    at_s: float
    entry: str
    ready: bool


@dataclass(slots=True)
class Ending:
    """Record that an entry ended without a signal, or didn't end when it was told to."""

    at_s: float
    entry: str
    words: str
    overdue: bool = False


@dataclass(slots=True)
class Record:
    """Hold all that was seen in one soak."""

    attempts: list[Attempt] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    orders: list[Order] = field(default_factory=list)
    disturbances: list[Disturbance] = field(default_factory=list)
    targets: list[TargetLife] = field(default_factory=list)
    readiness: list[Readiness] = field(default_factory=list)
    # When a configuration was written.
    configured_s: list[float] = field(default_factory=list)
    # The longest time by which the soak's own event loop was late; times of arrival may be too.
    latest_s: float = 0.0
    ended: list[Ending] = field(default_factory=list)

    def note_lateness(self, due_s: float, now_s: float) -> None:
        """Record that the soak's own event loop, which runs the store, was late."""
        self.latest_s = max(self.latest_s, now_s - due_s)
        if now_s - due_s >= STORE_LATE_S:
            self.disturbances.append(Disturbance(LATE, STORE, due_s, now_s))

    def arrivals_by_identity(self) -> dict[str, list[Arrival]]:
        """Return the arrivals of each try."""
        found: dict[str, list[Arrival]] = defaultdict(list)
        for arrival in self.arrivals:
            found[arrival.identity].append(arrival)
        return found

    def runs_by_signature(self) -> dict[str, Arrival]:
        """Return the runs by the signature of their answers."""
        return {each.signature: each for each in self.arrivals if each.ran}

    def is_disturbed(
        self, where: str, since_s: float, until_s: float, *, but: Container[str] = (RELOAD,)
    ) -> bool:
        """Return whether something of another kind happened at an entry or the store."""
        return any(
            each.where == where
            and each.start_s <= until_s
            and each.end_s >= since_s
            and each.kind not in but
            for each in self.disturbances
        )

    def is_in_touch(self, entry: str, since_s: float, until_s: float) -> bool:
        """Return whether an entry was in touch for a whole span."""
        since_s -= STABILITY_S
        places = (entry, STORE)
        return not any(self.is_disturbed(each, since_s, until_s) for each in places)

    def save(self, path: Path) -> None:
        """Write one line of JSON for each part."""
        encode = msgspec.json.encode
        with path.open("wb") as file:
            for name in (
                "disturbances",
                "targets",
                "attempts",
                "arrivals",
                "orders",
                "readiness",
                "ended",
            ):
                for part in getattr(self, name):
                    file.write(encode({"what": name, "seen": part}) + b"\n")
