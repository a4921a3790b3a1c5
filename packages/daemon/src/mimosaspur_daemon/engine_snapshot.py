"""Gather what one round of the engine keeper decides by."""

from collections.abc import Callable
from dataclasses import dataclass

from mimosaspur_coordination import orders
from mimosaspur_coordination.mirror import Mirror
from mimosaspur_coordination.orders import Assignment
from mimosaspur_coordination.recordcache import RecordCache
from mimosaspur_state import keys
from mimosaspur_state.bundle import BundleIndex
from mimosaspur_state.engine import EngineState
from mimosaspur_state.engine import Resident
from mimosaspur_state.errors import StoreUnavailable
from mimosaspur_state.objects import ObjectStore
from mimosaspur_state.objects import StoredObject
from mimosaspur_state.placement import PlacementRecord
from mimosaspur_state.records import TargetStatus

StoredRecords = tuple[tuple[StoredObject, PlacementRecord], ...]


@dataclass(slots=True, frozen=True)
class ServingHooks:
    """Tell the requests on a resident, refuse new ones for it, and allow them again."""

    in_use: Callable[[str], int]
    close: Callable[[str], None]
    reopen: Callable[[str], None]


@dataclass(slots=True, frozen=True)
class EngineSnapshot:
    """Hold what one round decides by."""

    report: EngineState
    index: BundleIndex
    records: list[PlacementRecord]
    assignments: list[Assignment]
    unwanted: list[Resident]


class SnapshotBuilder:
    """Make a round's situation; what did not change since the last round is not worked out anew.

    A round comes several times a second, and a region's records are many and change seldom.
    """

    __slots__ = (
        "stored_records",
        "cache",
        "index",
        "records",
        "last_snapshot",
        "ready_models",
        "region",
        "target",
    )

    def __init__(self, mirror: Mirror, *, region: str, target: str) -> None:
        self.cache = RecordCache(mirror)
        self.region = region
        self.target = target
        self.index: BundleIndex | None = None
        self.stored_records: StoredRecords = ()
        self.records: list[PlacementRecord] = []
        self.ready_models: set[str] = set()
        self.last_snapshot: EngineSnapshot | None = None

    def build(self, report: EngineState, index: BundleIndex) -> EngineSnapshot:
        """Compare an engine's report with what the records ask of its target."""
        asked = self.cache.readable(keys.placements(self.region))
        if index is not self.index or asked is not self.stored_records:
            self.index = index
            self.stored_records = asked
            self.records = [record for _, record in asked]
            self.ready_models = orders.ready_models(self.records, index)
            self.last_snapshot = None
        if self.last_snapshot is None or self.last_snapshot.report != report:
            assignments = orders.assignments_on(asked, self.target, index)
            unwanted = orders.unwanted_residents(assignments, report, index, self.ready_models)
            self.last_snapshot = EngineSnapshot(report, index, self.records, assignments, unwanted)
        return self.last_snapshot


def is_replacement_pending(
    adapter: Resident, situation: EngineSnapshot, store: ObjectStore, region: str
) -> bool:
    """Tell whether a model that takes an adapter over is not known to have it ready yet."""
    served = situation.index.served.get(adapter.id.rpartition("@")[0])
    if served is None or (adapter.base or "").startswith(f"{served.model.name}@"):
        return False
    if any(held.base_id() == served.model.resident_id() for held in situation.assignments):
        # Decided by our engine's own report already.
        return False
    found = [record for record in situation.records if record.model == served.model.name]
    # A replica stays READY while it loads what a new bundle adds, so its target must say it.
    targets = {replica.target for record in found for replica in record.ready()}
    try:
        statuses = [store.get(keys.status(region, target)) for target in sorted(targets)]
    except StoreUnavailable:
        return True
    told = [TargetStatus.from_value(item.value).residents for item in statuses if item]
    return not any(served.resident_id() in residents for residents in told)
