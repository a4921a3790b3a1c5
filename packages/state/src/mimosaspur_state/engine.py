"""Define a model engine's reports and the orders that it accepts."""

from dataclasses import dataclass
from dataclasses import field
from enum import Enum


class ResidentKind(Enum):
    """Enumerate what can be resident; an import was loaded by another system."""

    MODEL = "model"
    ADAPTER = "adapter"
    IMPORT = "import"


class ResidentState(Enum):
    """Enumerate the states of a resident."""

    LOADING = "loading"
    READY = "ready"
    UNLOADING = "unloading"


class OrderOutcome(Enum):
    """Enumerate the outcomes of an order."""

    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"


class OrderKind(Enum):
    """Enumerate the orders; a fence only raises the engine's newest fencing token."""

    LOAD = "load"
    UNLOAD = "unload"
    FENCE = "fence"


@dataclass(slots=True, frozen=True)
class Resident:
    """Describe one reported resident; memory_mb is on each of its accelerators."""

    id: str
    base: str | None
    kind: ResidentKind
    memory_mb: int
    accelerators: tuple[int, ...]
    state: ResidentState
    order_id: str


@dataclass(slots=True, frozen=True)
class OrderState:
    """Describe the state of an order as the engine reports it."""

    order_id: str
    state: OrderOutcome
    detail: str = ""


@dataclass(slots=True, frozen=True)
class EngineState:
    """Hold an engine's complete report; engine_id changes at each start."""

    engine_id: str
    fencing: int
    capacity_mb: tuple[int, ...]
    residents: tuple[Resident, ...] = ()
    orders: tuple[OrderState, ...] = ()

    def resident(self, name: str) -> Resident | None:
        """Return the resident with this id, or None."""
        return next((item for item in self.residents if item.id == name), None)

    def models(self) -> list[Resident]:
        """Return the models in any state, excluding adapters and imports."""
        return [item for item in self.residents if item.kind is ResidentKind.MODEL]

    def layout(self) -> dict[str, tuple[int, ...]]:
        """Return the accelerators of each model."""
        return {item.id: item.accelerators for item in self.models()}

    def held_mb(self) -> dict[str, int]:
        """Return each model's memory per accelerator, including residents based on it."""
        held = {item.id: item.memory_mb for item in self.models()}
        for item in self.residents:
            if item.base in held:
                held[item.base] += item.memory_mb
        return held

    def order(self, order_id: str) -> OrderState | None:
        """Return the state of an order, or None if the engine does not report it."""
        return next((item for item in self.orders if item.order_id == order_id), None)

    def is_ready(self, name: str) -> bool:
        """Return whether a model or adapter is ready to serve requests."""
        found = self.resident(name)
        if found is None or found.kind is ResidentKind.IMPORT:
            return False
        return found.state is ResidentState.READY


@dataclass(slots=True, frozen=True)
class EngineLoad:
    """Hold the load that an engine reports, which may be stale."""

    active: int
    waiting: int
    slots: int
    tokens_per_second: float


@dataclass(slots=True, frozen=True)
class EngineOrder:
    """Describe an order to an engine, which executes an order_id at most once."""

    order_id: str
    fencing: int
    kind: OrderKind
    id: str = ""
    base: str | None = None
    resident_kind: ResidentKind = ResidentKind.MODEL
    memory_mb: int = 0
    accelerators: tuple[int, ...] = field(default=())


class EngineUnavailable(Exception):
    """Raised when the engine does not answer; an order may still take effect."""


class OrderFenced(Exception):
    """Raised when the engine has seen a newer fencing token, so that a successor owns it."""

    def __init__(self, newest: int) -> None:
        super().__init__(f"engine rejected the order: it has seen fencing token {newest}")
        self.newest_token = newest


class OrderRefused(Exception):
    """Raised when the engine rejects an order as malformed; it did not take effect."""
