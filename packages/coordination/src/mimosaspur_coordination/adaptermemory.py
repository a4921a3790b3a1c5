"""Check whether a replica has memory for its new adapters on its current target."""

from mimosaspur_coordination.layout import accelerators_of
from mimosaspur_state.bundle import AdapterEntry
from mimosaspur_state.bundle import BundleIndex
from mimosaspur_state.bundle import ModelEntry
from mimosaspur_state.records import TargetStatus


def missing_adapters(entry: ModelEntry, status: TargetStatus) -> list[AdapterEntry]:
    """Return an entry's adapters that aren't ready on a target, in loading order."""
    return [item for item in entry.adapters if item.resident_id() not in status.residents]


def lacks_adapter_memory(index: BundleIndex, entry: ModelEntry, status: TargetStatus) -> bool:
    """Return whether a ready replica's next adapter doesn't fit in the target's free memory.

    The target loads a new adapter before it unloads the old one. So a replica without that memory
    never becomes complete and must be replaced elsewhere.
    """
    missing = missing_adapters(entry, status)
    if not missing or not status.free_mb or entry.resident_id() not in status.residents:
        return False
    if any(_will_be_unloaded(index, resident, status) for resident in status.residents):
        return False
    return free_accelerator_mb(entry, status) < missing[0].memory_mb


def free_accelerator_mb(entry: ModelEntry, status: TargetStatus) -> int:
    """Return the memory that is free on each of a replica's accelerators."""
    chosen = accelerators_of(status, entry.resident_id())
    if chosen:
        return min(status.free_mb[index] for index in chosen)
    # Without a layout assumes the best case: an unneeded move costs more than a wait.
    largest_mb = sorted(status.free_mb, reverse=True)[: entry.accelerators]
    return min(largest_mb, default=0)


def _will_be_unloaded(index: BundleIndex, resident: str, status: TargetStatus) -> bool:
    """Return whether a resident is about to be unloaded: obsolete, or its successor is ready."""
    served = index.served.get(resident.rpartition("@")[0])
    if served is None:
        return True
    if served.adapter is None:
        return False
    return served.resident_id() != resident and served.resident_id() in status.residents
