"""Decide an engine's next orders from the bundle, the placement and the engine's report."""

from collections.abc import Iterable
from dataclasses import dataclass

from mimosaspur_state.bundle import LOWEST_PRIORITY
from mimosaspur_state.bundle import BundleIndex
from mimosaspur_state.bundle import ModelEntry
from mimosaspur_state.engine import EngineState
from mimosaspur_state.engine import Resident
from mimosaspur_state.engine import ResidentKind
from mimosaspur_state.engine import ResidentState
from mimosaspur_state.ledger import MemoryLedger
from mimosaspur_state.objects import StoredObject
from mimosaspur_state.placement import PlacementRecord
from mimosaspur_state.placement import ReplicaState


@dataclass(slots=True, frozen=True)
class Assignment:
    """Pair a replica on this target with its record and, for the served version, its entry."""

    item: StoredObject
    record: PlacementRecord
    version: str
    state: ReplicaState
    entry: ModelEntry | None

    def base_id(self) -> str:
        """Return the engine's id of the base model."""
        return f"{self.record.model}@{self.version}"

    def adapter_ids(self) -> list[str]:
        """Return the engine's ids of the adapters that the entry names."""
        return [item.resident_id() for item in self.entry.adapters] if self.entry else []


@dataclass(slots=True, frozen=True)
class PlannedLoad:
    """Describe the next load of a replica; an adapter is loaded where its base is."""

    resident: str
    base: str | None
    memory_mb: int
    accelerators: int
    headroom_mb: int = 0

    def kind(self) -> ResidentKind:
        """Return the resident kind for the order."""
        return ResidentKind.ADAPTER if self.base else ResidentKind.MODEL


def assignments_on(
    records: Iterable[tuple[StoredObject, PlacementRecord]], target: str, index: BundleIndex
) -> list[Assignment]:
    """Return the replicas on a target, the most urgent priority first."""
    found = []
    for item, record in records:
        served = index.models.get(record.model)
        for replica in record.on_target(target):
            entry = served if served and served.version == replica.version else None
            found.append(Assignment(item, record, replica.version, replica.state, entry))
    return sorted(found, key=_priority_key)


def is_complete(assignment: Assignment, report: EngineState) -> bool:
    """Return whether a replica's base and all its adapters are ready."""
    if assignment.entry is None or not report.is_ready(assignment.base_id()):
        return False
    return all(
        _is_adapter_ready(report, name, assignment.base_id()) for name in assignment.adapter_ids()
    )


def next_load(assignment: Assignment, report: EngineState) -> PlannedLoad | None:
    """Return the next load of a replica that isn't LEAVING: its base, then each adapter."""
    entry = assignment.entry
    if entry is None or assignment.state is ReplicaState.LEAVING:
        return None
    if report.resident(assignment.base_id()) is None:
        headroom_mb = entry.total_mb() - entry.memory_mb
        return PlannedLoad(
            assignment.base_id(), None, entry.memory_mb, entry.accelerators, headroom_mb
        )
    if not report.is_ready(assignment.base_id()) or _is_adapter_loading(
        report, assignment.base_id()
    ):
        return None
    for adapter in entry.adapters:
        if report.resident(adapter.resident_id()) is None:
            return PlannedLoad(
                adapter.resident_id(), assignment.base_id(), adapter.memory_mb, entry.accelerators
            )
    return None


def reserved_mb(assignments: Iterable[Assignment], ledger: MemoryLedger) -> list[int]:
    """Return the memory on each accelerator that loaded bases still need for adapters."""
    reserved = [0] * len(ledger.capacity_mb())
    for assignment in assignments:
        if assignment.entry is None or assignment.state is ReplicaState.LEAVING:
            continue
        missing = [
            it for it in assignment.entry.adapters if not ledger.is_counted(it.resident_id())
        ]
        for index in ledger.accelerators_of(assignment.base_id()):
            reserved[index] += sum(adapter.memory_mb for adapter in missing)
    return reserved


def ready_models(records: Iterable[PlacementRecord], index: BundleIndex) -> set[str]:
    """Return the models that have a READY replica of the served version anywhere."""
    found = set()
    for record in records:
        entry = index.models.get(record.model)
        if entry and any(replica.version == entry.version for replica in record.ready()):
            found.add(record.model)
    return found


def unwanted_residents(
    assignments: list[Assignment], report: EngineState, index: BundleIndex, elsewhere: set[str]
) -> list[Resident]:
    """Return ready residents that no replica here needs, adapters before their bases."""
    adapters = []
    bases = []
    wanted_bases = {assignment.base_id() for assignment in assignments}
    for item in report.residents:
        if item.state is not ResidentState.READY:
            continue
        if item.kind is ResidentKind.MODEL and item.id not in wanted_bases:
            bases.append(item)
        if item.kind is not ResidentKind.ADAPTER:
            continue
        if not _is_adapter_needed(item, assignments, report, index, elsewhere):
            adapters.append(item)
    return adapters + bases


def residents_of(assignment: Assignment, report: EngineState) -> list[str]:
    """Return the resident ids that make up a replica: its base and the adapters on it."""
    on_it = [item.id for item in report.residents if item.base == assignment.base_id()]
    return [assignment.base_id(), *on_it]


def _priority_key(assignment: Assignment) -> tuple[int, str, str]:
    # A replica outside the bundle is never loaded, so its priority doesn't matter.
    priority = assignment.entry.priority if assignment.entry else LOWEST_PRIORITY
    return priority, assignment.record.model, assignment.version


def _is_adapter_needed(
    adapter: Resident,
    assignments: list[Assignment],
    report: EngineState,
    index: BundleIndex,
    elsewhere: set[str],
) -> bool:
    holder = next(
        (assignment for assignment in assignments if assignment.base_id() == adapter.base), None
    )
    if holder is None:
        return False
    # An older version keeps serving its adapters until it is unloaded.
    if holder.entry is None or adapter.id in holder.adapter_ids():
        return True
    name = adapter.id.rpartition("@")[0]
    served = index.served.get(name)
    if served is None:
        return False
    if served.model.name == holder.entry.name:
        return not report.is_ready(served.resident_id())
    if any(assignment.base_id() == served.model.resident_id() for assignment in assignments):
        # A replica that was READY before the bundle changed may still be loading its new adapters.
        return not report.is_ready(served.resident_id())
    return served.model.name not in elsewhere


def _is_adapter_ready(report: EngineState, name: str, base: str) -> bool:
    found = report.resident(name)
    return found is not None and found.base == base and report.is_ready(name)


def _is_adapter_loading(report: EngineState, base: str) -> bool:
    return any(
        item.base == base and item.state is ResidentState.LOADING for item in report.residents
    )
