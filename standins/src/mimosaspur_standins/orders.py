"""Define the engine's orders and residents."""

from dataclasses import asdict
from dataclasses import dataclass
from dataclasses import field
from typing import Any

KINDS = ("load", "unload", "fence")
RESIDENT_KINDS = ("model", "adapter", "import")


class StaleFencingTokenError(Exception):
    """Raised for an order whose fencing token is older than the newest seen."""


@dataclass(slots=True)
class Order:
    """Describe an order and its outcome."""

    order_id: str
    fencing: int
    kind: str
    id: str = ""
    base: str | None = None
    resident_kind: str = "model"
    memory_mb: int = 0
    accelerators: list[int] = field(default_factory=list)
    state: str = "running"
    detail: str = ""
    at_ms: int = 0

    def validate(self, accelerators: int) -> None:
        """Raise ValueError if the order is invalid for an engine with this many accelerators."""
        if self.kind not in KINDS:
            raise ValueError(f"kind must be one of {KINDS}")
        if self.kind != "fence" and not self.id:
            raise ValueError("id of the resident is missing")
        if self.kind != "load":
            return
        if self.resident_kind not in RESIDENT_KINDS:
            raise ValueError(f"resident_kind must be one of {RESIDENT_KINDS}")
        if (self.resident_kind == "adapter") != (self.base is not None):
            raise ValueError("base must be set for adapters and only for them")
        if not self.accelerators or not set(self.accelerators) <= set(range(accelerators)):
            raise ValueError(f"accelerators must be among the {accelerators} of this engine")

    def finish(self, state: str, detail: str = "") -> None:
        """Record the outcome."""
        self.state = state
        self.detail = detail


@dataclass(slots=True)
class Resident:
    """Describe loaded weights; `users` counts the load in progress and the running jobs."""

    id: str
    base: str | None
    kind: str
    memory_mb: int
    accelerators: list[int]
    order_id: str
    state: str = "loading"
    users: int = 1

    def public_state(self) -> dict[str, Any]:
        """Return the fields that the engine publishes."""
        return {key: value for key, value in asdict(self).items() if key != "users"}
