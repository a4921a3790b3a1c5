"""Define the state of targets that entries connect to directly."""

from dataclasses import dataclass
from dataclasses import field
from enum import Enum


@dataclass(slots=True, frozen=True)
class TargetRecord:
    """Hold a target's last registration; a restarted target may reuse its identity."""

    identity: str
    service: str
    address: tuple[str, int]
    failure_domain: str
    leaving: bool = False
    slots: int = 0
    # Adapters by model; None if the target does not report models.
    residents: dict[str, frozenset[str]] | None = None
    sequence: int = 0
    # Start time in Unix milliseconds; with the identity this identifies one incarnation.
    started_ms: int = 0
    # Version of the target's software; streams of two versions can't be joined.
    version: str = ""

    def can_be_named(self) -> bool:
        """Return whether the identity can be sent in a header, as each request names it."""
        name = self.identity
        return bool(name) and name.isascii() and name.isprintable() and " " not in name

    def is_same_lifetime(self, other: "TargetRecord") -> bool:
        """Return whether another registration under this identity is of the same lifetime."""
        return (
            self.started_ms == other.started_ms
            and self.service == other.service
            and self.address == other.address
            and self.version == other.version
        )

    @property
    def incarnation(self) -> str:
        """Return a name of this lifetime of the target, the same at all entries."""
        return f"{self.identity}@{self.started_ms}" if self.started_ms else self.identity


@dataclass(slots=True, frozen=True)
class EngineReport:
    """Hold an engine's report, which may be some hundred milliseconds old."""

    residents: dict[str, frozenset[str]]
    pending_adapters: frozenset[tuple[str, str]]
    busy: bool
    # Number of orders accepted since the engine started.
    sequence: int
    waiting: int
    running: int
    kv_used: int
    # Models with a copy of their weights, least recently used first.
    in_memory: tuple[str, ...] = ()
    on_disk: tuple[str, ...] = ()
    # Start time in Unix milliseconds; 0 if not reported.
    started_ms: int = 0
    # Time until the engine is terminated, even with requests running; None if not scheduled.
    terminates_in_ms: int | None = None


class OrderKind(Enum):
    """Enumerate the orders to an engine."""

    LOAD = "load"
    UNLOAD = "unload"


@dataclass(slots=True, frozen=True)
class EngineOrder:
    """Describe an order to load or unload a model, or an adapter of a loaded model."""

    kind: OrderKind
    model: str
    adapter: str = ""
    # The engine executes the order only if it has accepted this many orders before.
    expected_sequence: int = 0
    holder: str = ""
    fencing_token: int = 0


class OrderOutcome(Enum):
    """Enumerate the outcomes of an order."""

    ACCEPTED = "accepted"
    ALREADY_SO = "already_so"
    # Another order is in progress, or the sequence has advanced.
    CONFLICT = "conflict"
    REFUSED = "refused"
    # No answer: the order may be executed now, later or never.
    UNKNOWN = "unknown"


@dataclass(slots=True)
class OutstandingWork:
    """Count the requests and tokens that run or wait at a target."""

    requests: int = 0
    # Prompt tokens of requests before their first token, by their rank at the engine, weighted by
    # the model's cost per token.
    prefill_tokens: dict[int, float] = field(default_factory=dict)
    # Prompt and output tokens of all these requests.
    held_tokens: int = 0
    by_model: dict[str, int] = field(default_factory=dict)
