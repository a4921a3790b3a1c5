"""Select the models that the planner has to examine; all others match the bundle."""

from mimosaspur_coordination.adaptermemory import lacks_adapter_memory
from mimosaspur_coordination.demand import SCALE_DOWN_WINDOWS
from mimosaspur_coordination.demand import window_capacity
from mimosaspur_coordination.view import PlannerView
from mimosaspur_state.bundle import ModelEntry
from mimosaspur_state.placement import PlacementRecord
from mimosaspur_state.placement import ReplicaState


def entries_to_place(view: PlannerView) -> list[ModelEntry]:
    """Return the entries whose placement doesn't match the bundle."""
    staying = view.alive.keys() - view.draining
    return [entry for entry in view.index.models.values() if not _is_placed(view, entry, staying)]


def entries_to_scale(view: PlannerView) -> list[ModelEntry]:
    """Return the entries whose demand may need one replica more or fewer."""
    return [entry for entry in view.index.models.values() if _may_scale(view, entry)]


def _is_placed(view: PlannerView, entry: ModelEntry, staying: set[str]) -> bool:
    placed = view.placed.get(entry.name)
    if placed is None or len(placed.record.replicas) < entry.replicas:
        return False
    for replica in placed.record.replicas:
        if replica.state is not ReplicaState.READY or replica.version != entry.version:
            return False
        if replica.target not in staying:
            return False
    return not entry.adapters or not _any_lacks_adapter_room(view, entry, placed.record)


def _any_lacks_adapter_room(view: PlannerView, entry: ModelEntry, record: PlacementRecord) -> bool:
    statuses = [view.alive[replica.target] for replica in record.replicas]
    return any(lacks_adapter_memory(view.index, entry, status) for status in statuses)


def _may_scale(view: PlannerView, entry: ModelEntry) -> bool:
    if view.low_windows.get(entry.name, 0) >= SCALE_DOWN_WINDOWS:
        return True
    demand = view.demand.get(entry.name)
    if demand is None or max(demand.refused, demand.requests) <= view.move_cost:
        return False
    placed = view.placed.get(entry.name)
    if demand.refused > view.move_cost or placed is None:
        return True
    # A cheap filter; the planner itself leaves out replicas that don't count.
    up_to_date = [item for item in placed.record.ready() if item.version == entry.version]
    return demand.requests - window_capacity(view, up_to_date) > view.move_cost
