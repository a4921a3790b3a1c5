"""Combine an engine's report with the records of its target for one reconcile round."""

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
    """Count the requests on a resident, refuse new ones for it, and accept them again."""

    in_use: Callable[[str], int]
    close: Callable[[str], None]
    reopen: Callable[[str], None]


@dataclass(slots=True, frozen=True)
class EngineSnapshot:
    """Hold the input of one reconcile round."""

    report: EngineState
    index: BundleIndex
    records: list[PlacementRecord]
    assignments: list[Assignment]
    unwanted: list[Resident]


class SnapshotBuilder:
    """Build a round's snapshot, reusing the parts whose input has not changed.

    Rounds run several times a second, while a region's many records change rarely.
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
        """Compare an engine's report with the assignments in the records."""
        stored_records = self.cache.readable(keys.placements(self.region))
        if index is not self.index or stored_records is not self.stored_records:
            self.index = index
            self.stored_records = stored_records
            self.records = [record for _, record in stored_records]
            self.ready_models = orders.ready_models(self.records, index)
            self.last_snapshot = None
        if self.last_snapshot is None or self.last_snapshot.report != report:
            assignments = orders.assignments_on(stored_records, self.target, index)
            unwanted = orders.unwanted_residents(assignments, report, index, self.ready_models)
            self.last_snapshot = EngineSnapshot(report, index, self.records, assignments, unwanted)
        return self.last_snapshot


def is_replacement_pending(
    adapter: Resident, snapshot: EngineSnapshot, store: ObjectStore, region: str
) -> bool:
    """Return whether another model takes over an adapter but is not yet known to serve it."""
    served = snapshot.index.served.get(adapter.id.rpartition("@")[0])
    if served is None or (adapter.base or "").startswith(f"{served.model.name}@"):
        return False
    if any(
        assignment.base_id() == served.model.resident_id() for assignment in snapshot.assignments
    ):
        # The report of this engine already covers that model.
        return False
    records = [record for record in snapshot.records if record.model == served.model.name]
    # A replica stays READY while it loads new adapters, so check its target's status.
    targets = {replica.target for record in records for replica in record.ready()}
    try:
        statuses = [store.get(keys.status(region, target)) for target in sorted(targets)]
    except StoreUnavailable:
        return True
    reported = [TargetStatus.from_value(item.value).residents for item in statuses if item]
    return not any(served.resident_id() in residents for residents in reported)
