"""Read placement records and count replicas."""

from dataclasses import dataclass

from mimosaspur_coordination.regions import region_of
from mimosaspur_coordination.regions import statuses_by_region
from mimosaspur_coordination.rolls import read_bundle
from mimosaspur_coordination.rolls import read_head
from mimosaspur_state.objects import ObjectStore
from mimosaspur_state.placement import PlacementRecord
from mimosaspur_state.placement import ReplicaState
from mimosaspur_state.placement import placement_from_value

PLACEMENT_PREFIX = "placement/"


@dataclass(slots=True, frozen=True)
class Placement:
    """Represent one model's placement record in a region."""

    region: str
    record: PlacementRecord


@dataclass(slots=True, frozen=True)
class RegionCounts:
    """Count a region's replicas by state and list the bundle's models without a ready one."""

    region: str
    models: int
    load: int
    ready: int
    leaving: int
    without_ready: list[str]


@dataclass(slots=True, frozen=True)
class PlacementView:
    """Represent placements and their counts by region."""

    placements: list[Placement]
    counts: list[RegionCounts]


def read_placements(store: ObjectStore) -> list[Placement]:
    """Return every region's placement records, by key."""
    return [
        Placement(region_of(item.key), placement_from_value(item.value))
        for item in store.list(PLACEMENT_PREFIX).objects
    ]


def read_placement_view(store: ObjectStore, model: str) -> PlacementView:
    """Return the placements of one model, or of all if empty, with counts by region."""
    placements = read_placements(store)
    if model:
        placements = [item for item in placements if item.record.model == model]
    expected = _bundle_models(store, model)
    # Include regions with targets but without placements: they lack every model.
    regions = sorted({*statuses_by_region(store), *(item.region for item in placements)})
    return PlacementView(
        placements, [_count_replicas(region, placements, expected) for region in regions]
    )


def _bundle_models(store: ObjectStore, model: str) -> set[str]:
    head, _ = read_head(store)
    if head is None:
        return set()
    bundle = read_bundle(store, head.current.bundle).bundle
    return {entry.name for entry in bundle.models if model in ("", entry.name)}


def _count_replicas(region: str, placements: list[Placement], expected: set[str]) -> RegionCounts:
    records = [item.record for item in placements if item.region == region]
    states = [replica.state for record in records for replica in record.replicas]
    ready_models = {record.model for record in records if record.ready()}
    return RegionCounts(
        region=region,
        models=len(records),
        load=states.count(ReplicaState.LOAD),
        ready=states.count(ReplicaState.READY),
        leaving=states.count(ReplicaState.LEAVING),
        without_ready=sorted(expected - ready_models),
    )
