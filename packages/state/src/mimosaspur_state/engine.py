"""Describe a model engine's own reports and the orders it takes."""

from dataclasses import dataclass
from dataclasses import field
from enum import Enum


class ResidentKind(Enum):
    """Name what can be resident on accelerators; an import was brought by someone else."""

    MODEL = "model"
    ADAPTER = "adapter"
    IMPORT = "import"


class ResidentState(Enum):
    """Name the states of a resident."""

    LOADING = "loading"
    READY = "ready"
    UNLOADING = "unloading"


class OrderOutcome(Enum):
    """Name what became of an order."""

    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"


class OrderKind(Enum):
    """Name the orders; a fence only raises the engine's newest fencing token."""

    LOAD = "load"
    UNLOAD = "unload"
    FENCE = "fence"


@dataclass(slots=True, frozen=True)
class Resident:
    """Hold one resident as reported; memory_mb is on each of its accelerators."""

    id: str
    base: str | None
    kind: ResidentKind
    memory_mb: int
    accelerators: tuple[int, ...]
    state: ResidentState
    order_id: str


@dataclass(slots=True, frozen=True)
class OrderState:
    """Hold what an engine tells of an order."""

    order_id: str
    state: OrderOutcome
    detail: str = ""


@dataclass(slots=True, frozen=True)
class EngineState:
    """Hold an engine's whole report; engine_id is new at each start."""

    engine_id: str
    fencing: int
    capacity_mb: tuple[int, ...]
    residents: tuple[Resident, ...] = ()
    orders: tuple[OrderState, ...] = ()

    def resident(self, name: str) -> Resident | None:
        """Return a resident by id, or None."""
        return next((item for item in self.residents if item.id == name), None)

    def models(self) -> list[Resident]:
        """Return the models, of any state, without adapters and imports."""
        return [item for item in self.residents if item.kind is ResidentKind.MODEL]

    def layout(self) -> dict[str, tuple[int, ...]]:
        """Return the accelerators of each model."""
        return {item.id: item.accelerators for item in self.models()}

    def held_mb(self) -> dict[str, int]:
        """Return the memory of each model with what sits on it, on each of its accelerators."""
        held = {item.id: item.memory_mb for item in self.models()}
        for item in self.residents:
            if item.base in held:
                held[item.base] += item.memory_mb
        return held

    def order(self, order_id: str) -> OrderState | None:
        """Return what became of an order, or None if the engine doesn't show it."""
        return next((item for item in self.orders if item.order_id == order_id), None)

    def is_ready(self, name: str) -> bool:
        """Tell whether a model or adapter is ready to work."""
        found = self.resident(name)
        if found is None or found.kind is ResidentKind.IMPORT:
            return False
        return found.state is ResidentState.READY


@dataclass(slots=True, frozen=True)
class EngineLoad:
    """Hold an engine's own view of its load, which lags."""

    active: int
    waiting: int
    slots: int
    tokens_per_second: float


@dataclass(slots=True, frozen=True)
class EngineOrder:
    """Hold an order as it is sent; the same order_id is never done twice by one engine."""

    order_id: str
    fencing: int
    kind: OrderKind
    id: str = ""
    base: str | None = None
    resident_kind: ResidentKind = ResidentKind.MODEL
    memory_mb: int = 0
    accelerators: tuple[int, ...] = field(default=())


class EngineUnavailable(Exception):
    """Say that the engine gave no answer; an order may still take effect."""


class OrderFenced(Exception):
    """Say that the engine has seen a newer fencing token; a successor gives the orders."""

    def __init__(self, newest: int) -> None:
        super().__init__(f"the engine has seen fencing token {newest}")
        self.newest_token = newest


class OrderRefused(Exception):
    """Say that the engine refused an order as malformed; it did not take effect."""
