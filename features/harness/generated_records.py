"""Record what came of a play of silences."""

from dataclasses import dataclass
from dataclasses import field

from harness.generated_plans import Plan
from harness.generated_plans import RequestPlan
from harness.planned_target import PlannedTarget
from harness.planned_target import Run


@dataclass(slots=True)
class Call:
    """Record a caller's request and what the caller received."""

    plan: RequestPlan
    identity: str
    # When it was sent, and until when it has to end.
    sent_s: float
    limit_s: float
    ended_s: float = 0.0
    # Whether the connection was accepted, so that the request was read.
    read: bool = False
    status: int = 0
    body: bytes = b""
    whole: bool = False
    # Whether the answer's framing marks its end.
    marked: bool = False
    # Whether the caller left before the end.
    left: bool = False
    hangs: bool = False


@dataclass(slots=True, frozen=True)
class Sent:
    """Record a request that the entry wrote to a target."""

    at_s: float
    request: str
    target: PlannedTarget


@dataclass(slots=True)
class Played:
    """Hold the records of a play."""

    plan: Plan
    calls: list[Call] = field(default_factory=list)
    targets: list[PlannedTarget] = field(default_factory=list)
    sent: list[Sent] = field(default_factory=list)
    # When an entry that stops ends its requests.
    stopped_s: float = float("inf")
    # Repeats that the budgets have spent in the end.
    spent: int = 0
    # What the entry still holds in the end.
    leftovers: list[str] = field(default_factory=list)
    log: list[tuple[float, str, dict[str, object]]] = field(default_factory=list)

    def runs(self, call: Call) -> list[Run]:
        """Return a request's runs, the earliest first."""
        found = [
            run for target in self.targets for run in target.runs if run.request == call.identity
        ]
        return sorted(found, key=lambda run: run.began_s)

    def sent_for(self, call: Call) -> list[Sent]:
        """Return what the entry sent to targets for a request."""
        return [each for each in self.sent if each.request == call.identity]
