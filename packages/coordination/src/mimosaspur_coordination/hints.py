"""Remember what an entry was last told of each target; all of it may be stale."""

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field

from mimosaspur_state.load import Load

UNREACHABLE_COOLDOWN_MS = 1000


@dataclass(slots=True)
class TargetHint:
    """Hold what is known of one target; `own` counts this entry's attempts there."""

    name: str
    address: str
    failure_domain: str
    in_flight: int = 0
    in_flight_at_report: int = 0
    load: Load | None = None
    load_at_ms: int = 0
    draining: bool = False
    leaving: bool = False
    # The hints' order, kept when one is replaced.
    order: int = 0
    # An open connection goes before the records; what one told that is closed may be older.
    is_connected: bool = False
    disconnected_at_ms: int | None = None
    on_residents_changed: "Callable[[TargetHint], None] | None" = field(
        default=None, repr=False, compare=False
    )
    _residents: frozenset[str] = field(default_factory=frozenset, init=False)

    @property
    def residents(self) -> frozenset[str]:
        """Return what the target last said to hold."""
        return self._residents

    @residents.setter
    def residents(self, residents: frozenset[str]) -> None:
        self._residents = residents
        if self.on_residents_changed:
            self.on_residents_changed(self)

    def on_connect(self, draining: bool, residents: tuple[str, ...]) -> None:
        """Take in what a target says when a connection opens."""
        self.draining = draining
        self.residents = frozenset(residents)
        self.is_connected = True
        self.disconnected_at_ms = None

    def on_idle_close(self) -> None:
        """Note that the connection was closed for want of work."""
        self.is_connected = False

    def on_load_report(self, load: Load, draining: bool, now_ms: int) -> None:
        """Take in a load report."""
        self.load = load
        self.load_at_ms = now_ms
        self.draining = draining
        self.in_flight_at_report = self.in_flight

    def on_disconnect(self, now_ms: int) -> None:
        """Note that the connection broke or could not be made."""
        self.is_connected = False
        self.disconnected_at_ms = now_ms
        self.draining = False

    def is_reachable(self, now_ms: int) -> bool:
        """Tell whether it is worth trying now."""
        return (
            self.disconnected_at_ms is None
            or now_ms - self.disconnected_at_ms > UNREACHABLE_COOLDOWN_MS
        )

    def estimated_load(self) -> float:
        """Estimate its load for comparison; requests for each slot, own ones since counted in."""
        if self.load is None:
            return float(self.in_flight)
        others = self.load.active + self.load.queued - self.in_flight_at_report
        return (max(0, others) + self.in_flight) / max(1, self.load.slots)
