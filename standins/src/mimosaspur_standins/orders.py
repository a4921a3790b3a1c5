"""Hold the engine's orders and residents."""

from dataclasses import asdict
from dataclasses import dataclass
from dataclasses import field
from typing import Any

KINDS = ("load", "unload", "fence")
RESIDENT_KINDS = ("model", "adapter", "import")


class StaleFencingTokenError(Exception):
    """Refuse an order whose fencing token is older than the newest seen."""


@dataclass(slots=True)
class Order:
    """Hold an order and what became of it."""

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
        """Raise ValueError when the order makes no sense on so many accelerators."""
        if self.kind not in KINDS:
            raise ValueError(f"kind must be one of {KINDS}")
        if self.kind != "fence" and not self.id:
            raise ValueError("name the resident in id")
        if self.kind != "load":
            return
        if self.resident_kind not in RESIDENT_KINDS:
            raise ValueError(f"resident_kind must be one of {RESIDENT_KINDS}")
        if (self.resident_kind == "adapter") != (self.base is not None):
            raise ValueError("base is for adapters and only for them")
        if not self.accelerators or not set(self.accelerators) <= set(range(accelerators)):
            raise ValueError(f"accelerators must be among the {accelerators} of this engine")

    def finish(self, state: str, detail: str = "") -> None:
        """Note the outcome."""
        self.state = state
        self.detail = detail


@dataclass(slots=True)
class Resident:
    """Hold what is on the accelerators; `users` counts its loading and its work."""

    id: str
    base: str | None
    kind: str
    memory_mb: int
    accelerators: list[int]
    order_id: str
    state: str = "loading"
    users: int = 1

    def public_state(self) -> dict[str, Any]:
        """Give the published part."""
        return {key: value for key, value in asdict(self).items() if key != "users"}
