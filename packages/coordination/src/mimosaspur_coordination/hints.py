"""Cache the last known state of each target at an entry; any of it may be stale."""

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field

from mimosaspur_state.load import Load

UNREACHABLE_COOLDOWN_MS = 1000


@dataclass(slots=True)
class TargetHint:
    """Hold the last known state of one target; in_flight counts this entry's attempts there."""

    name: str
    address: str
    failure_domain: str
    in_flight: int = 0
    in_flight_at_report: int = 0
    load: Load | None = None
    load_at_ms: int = 0
    draining: bool = False
    leaving: bool = False
    # Sort position among the hints; kept when the target's address changes.
    order: int = 0
    # While connected, the target's own state takes precedence over the placement records.
    is_connected: bool = False
    disconnected_at_ms: int | None = None
    on_residents_changed: "Callable[[TargetHint], None] | None" = field(
        default=None, repr=False, compare=False
    )
    _residents: frozenset[str] = field(default_factory=frozenset, init=False)

    @property
    def residents(self) -> frozenset[str]:
        """Return the residents that the target last reported."""
        return self._residents

    @residents.setter
    def residents(self, residents: frozenset[str]) -> None:
        self._residents = residents
        if self.on_residents_changed:
            self.on_residents_changed(self)

    def on_connect(self, draining: bool, residents: tuple[str, ...]) -> None:
        """Apply the state that a target sends when a connection opens."""
        self.draining = draining
        self.residents = frozenset(residents)
        self.is_connected = True
        self.disconnected_at_ms = None

    def on_idle_close(self) -> None:
        """Record that an idle connection was closed."""
        self.is_connected = False

    def on_load_report(self, load: Load, draining: bool, now_ms: int) -> None:
        """Apply a load report."""
        self.load = load
        self.load_at_ms = now_ms
        self.draining = draining
        self.in_flight_at_report = self.in_flight

    def on_disconnect(self, now_ms: int) -> None:
        """Record that the connection broke or could not be opened."""
        self.is_connected = False
        self.disconnected_at_ms = now_ms
        self.draining = False

    def is_reachable(self, now_ms: int) -> bool:
        """Return whether the target is connected or its cooldown has passed."""
        return (
            self.disconnected_at_ms is None
            or now_ms - self.disconnected_at_ms > UNREACHABLE_COOLDOWN_MS
        )

    def estimated_load(self) -> float:
        """Estimate requests per slot, including those sent since the last load report."""
        if self.load is None:
            return float(self.in_flight)
        others = self.load.active + self.load.queued - self.in_flight_at_report
        return (max(0, others) + self.in_flight) / max(1, self.load.slots)
