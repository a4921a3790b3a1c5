"""Work out from demand how many replicas a model should have."""

from collections import defaultdict
from collections.abc import Iterable

from mimosaspur_coordination.view import DemandSum
from mimosaspur_coordination.view import PlannerView
from mimosaspur_state.bundle import ModelEntry
from mimosaspur_state.placement import Replica
from mimosaspur_state.records import DemandReport

SCALE_DOWN_WINDOWS = 3
LOW_DEMAND_RATIO = 0.5


def sum_reports(reports: Iterable[DemandReport], window_ms: int) -> dict[str, DemandSum]:
    """Add up what entries report for each model, each scaled to one window."""
    requests: dict[str, float] = defaultdict(float)
    refused: dict[str, float] = defaultdict(float)
    for report in reports:
        scale = window_ms / max(1, report.window_ms)
        for name, demand in report.models.items():
            requests[name] += demand.requests * scale
            refused[name] += demand.refused * scale
    return {name: DemandSum(round(asked), round(refused[name])) for name, asked in requests.items()}


def window_capacity(view: PlannerView, replicas: Iterable[Replica]) -> float:
    """Return the requests that replicas carry in a window if they have their targets alone."""
    slots = sum(view.alive[item.target].slots for item in replicas if item.target in view.alive)
    return slots * view.window_ms / max(1, view.service_time_ms)


def unserved_requests(view: PlannerView, entry: ModelEntry, ready: list[Replica]) -> float:
    """Return the requests of a window that the ready replicas refuse or can't carry."""
    demand = view.demand.get(entry.name, DemandSum())
    return max(demand.refused, demand.requests - window_capacity(view, ready))


def is_demand_low(view: PlannerView, entry: ModelEntry, ready: list[Replica]) -> bool:
    """Tell whether demand is below half of what one fewer replica carries."""
    demand = view.demand.get(entry.name, DemandSum())
    if demand.refused or len(ready) <= entry.replicas:
        return False
    return demand.requests < LOW_DEMAND_RATIO * window_capacity(view, ready[:-1])


def is_stable(view: PlannerView, target: str) -> bool:
    """Tell whether a target has not changed for a window, so that demand shows the change."""
    changed_ms = view.changed_ms.get(target)
    return changed_ms is None or view.now_ms - changed_ms >= view.window_ms


class LowDemandCounter:
    """Count for each model the windows in a row in which its demand was low."""

    def __init__(self) -> None:
        self.counts: dict[str, int] = {}
        self.last_counted_ms: int | None = None

    def update(self, view: PlannerView) -> dict[str, int]:
        """Count the view's window if one has passed since the last; return the counts."""
        if self.last_counted_ms is not None and view.now_ms - self.last_counted_ms < view.window_ms:
            return self.counts
        self.last_counted_ms = view.now_ms
        for name, entry in view.index.models.items():
            placed = view.placed.get(name)
            ready = placed.record.ready() if placed else []
            low = is_demand_low(view, entry, ready)
            self.counts[name] = self.counts.get(name, 0) + 1 if low else 0
        return self.counts
