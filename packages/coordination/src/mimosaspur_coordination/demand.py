"""Estimate from reported demand whether a model needs more or fewer replicas."""

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
    """Sum the entries' reports by model, each scaled to one window."""
    requests: dict[str, float] = defaultdict(float)
    refused: dict[str, float] = defaultdict(float)
    for report in reports:
        scale = window_ms / max(1, report.window_ms)
        for name, demand in report.models.items():
            requests[name] += demand.requests * scale
            refused[name] += demand.refused * scale
    return {name: DemandSum(round(count), round(refused[name])) for name, count in requests.items()}


def window_capacity(view: PlannerView, replicas: Iterable[Replica]) -> float:
    """Return the requests per window that replicas can serve if nothing shares their targets."""
    slots = sum(view.alive[item.target].slots for item in replicas if item.target in view.alive)
    return slots * view.window_ms / max(1, view.service_time_ms)


def unserved_requests(view: PlannerView, entry: ModelEntry, ready: list[Replica]) -> float:
    """Return the requests per window that ready replicas refuse or have no capacity for."""
    demand = view.demand.get(entry.name, DemandSum())
    return max(demand.refused, demand.requests - window_capacity(view, ready))


def is_demand_low(view: PlannerView, entry: ModelEntry, ready: list[Replica]) -> bool:
    """Return whether demand is far below the capacity with one replica fewer."""
    demand = view.demand.get(entry.name, DemandSum())
    if demand.refused or len(ready) <= entry.replicas:
        return False
    return demand.requests < LOW_DEMAND_RATIO * window_capacity(view, ready[:-1])


def is_stable(view: PlannerView, target: str) -> bool:
    """Return whether a target is unchanged for a window, so that demand reflects the change."""
    changed_ms = view.changed_ms.get(target)
    return changed_ms is None or view.now_ms - changed_ms >= view.window_ms


class LowDemandCounter:
    """Count each model's consecutive windows of low demand."""

    def __init__(self) -> None:
        self.counts: dict[str, int] = {}
        self.last_counted_ms: int | None = None

    def update(self, view: PlannerView) -> dict[str, int]:
        """Count the current window once it has passed; return the counts by model."""
        if self.last_counted_ms is not None and view.now_ms - self.last_counted_ms < view.window_ms:
            return self.counts
        self.last_counted_ms = view.now_ms
        for name, entry in view.index.models.items():
            placed = view.placed.get(name)
            ready = placed.record.ready() if placed else []
            low = is_demand_low(view, entry, ready)
            self.counts[name] = self.counts.get(name, 0) + 1 if low else 0
        return self.counts
