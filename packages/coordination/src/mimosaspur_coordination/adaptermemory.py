"""Tell whether a replica can take in its new adapters where it is."""

from mimosaspur_coordination.layout import accelerators_of
from mimosaspur_state.bundle import AdapterEntry
from mimosaspur_state.bundle import BundleIndex
from mimosaspur_state.bundle import ModelEntry
from mimosaspur_state.records import TargetStatus


def missing_adapters(entry: ModelEntry, status: TargetStatus) -> list[AdapterEntry]:
    """Return an entry's adapters that a target doesn't have ready, in the order of loading."""
    return [item for item in entry.adapters if item.resident_id() not in status.residents]


def lacks_adapter_memory(index: BundleIndex, entry: ModelEntry, status: TargetStatus) -> bool:
    """Tell whether a ready replica's next adapter finds no room beside what stays there.

    The target loads a new adapter before it unloads the old one. So a replica without that room
    never gets whole, and must be replaced elsewhere.
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
    # Without a layout the best case counts: a move that isn't needed costs more than a wait.
    most = sorted(status.free_mb, reverse=True)[: entry.accelerators]
    return min(most, default=0)


def _will_be_unloaded(index: BundleIndex, resident: str, status: TargetStatus) -> bool:
    """Tell whether a resident is about to give its room: its successor is ready or not wanted."""
    served = index.served.get(resident.rpartition("@")[0])
    if served is None:
        return True
    if served.adapter is None:
        return False
    return served.resident_id() != resident and served.resident_id() in status.residents
