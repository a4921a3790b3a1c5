"""Hold what the system knows of targets that it reaches without a process beside them."""

from dataclasses import dataclass
from dataclasses import field
from enum import Enum


@dataclass(slots=True, frozen=True)
class TargetRecord:
    """Hold what a target last registered of itself; it may start again under the same identity."""

    identity: str
    service: str
    address: tuple[str, int]
    failure_domain: str
    leaving: bool = False
    slots: int = 0
    # Adapters by model; None when the target says nothing of models.
    residents: dict[str, frozenset[str]] | None = None
    sequence: int = 0
    # When it started, in Unix milliseconds; with the identity this names one lifetime.
    started_ms: int = 0


@dataclass(slots=True, frozen=True)
class EngineReport:
    """Hold an engine's own report, which lags behind the truth by some hundred ms."""

    residents: dict[str, frozenset[str]]
    pending_adapters: frozenset[tuple[str, str]]
    busy: bool
    # Orders accepted since the engine started.
    sequence: int
    waiting: int
    running: int
    kv_used: int
    # Copies of weights, those that were used longest ago first.
    in_memory: tuple[str, ...] = ()
    on_disk: tuple[str, ...] = ()
    # When the engine started, in Unix milliseconds, 0 if it doesn't tell.
    started_ms: int = 0
    # When it will be gone, whatever it runs; None if it isn't about to be taken away.
    terminates_in_ms: int | None = None


class OrderKind(Enum):
    """Say what an order asks of an engine."""

    LOAD = "load"
    UNLOAD = "unload"


@dataclass(slots=True, frozen=True)
class EngineOrder:
    """Ask an engine to load or unload a model, or one adapter of a model that it holds."""

    kind: OrderKind
    model: str
    adapter: str = ""
    # The engine obeys only if it has accepted this many orders.
    expected_sequence: int = 0
    holder: str = ""
    fencing_token: int = 0


class OrderOutcome(Enum):
    """Say what became of an order."""

    ACCEPTED = "accepted"
    ALREADY_SO = "already_so"
    # Another order is under way, or the sequence has moved on.
    CONFLICT = "conflict"
    REFUSED = "refused"
    # No answer: it may be carried out now, later or never.
    UNKNOWN = "unknown"


@dataclass(slots=True)
class OutstandingWork:
    """Count what runs or waits at a target."""

    requests: int = 0
    # Prompt tokens of requests whose first token is still to come, by their rank at the engine; a
    # model that is read faster counts less.
    prefill_tokens: dict[int, float] = field(default_factory=dict)
    # Prompt and output tokens of all of them.
    held_tokens: int = 0
    by_model: dict[str, int] = field(default_factory=dict)
