"""Simulate a target that applies its placement records immediately."""

from collections.abc import Callable
from collections.abc import Mapping
from dataclasses import dataclass

import msgspec

from mimosaspur_coordination.layout import layout_of
from mimosaspur_coordination.packing import Bin
from mimosaspur_coordination.packing import Need
from mimosaspur_coordination.packing import choose_accelerators
from mimosaspur_state.bundle import ModelEntry
from mimosaspur_state.records import TargetStatus

MayUnload = Callable[[str, ModelEntry], bool]
"""Return whether an adapter that an entry doesn't name may be unloaded."""


@dataclass(slots=True)
class LoadedReplica:
    """Store a replica's accelerators (empty if unknown), memory on each, and adapters."""

    accelerator_indexes: tuple[int, ...]
    accelerators: int
    memory_mb: int
    adapters: dict[str, int]

    def need(self) -> Need:
        """Return the memory that it takes now."""
        return Need("", self.memory_mb, self.accelerators)


class DryRunTarget:
    """Simulate loads and unloads, starting from a target's last reported status."""

    def __init__(self, status: TargetStatus, known: Mapping[str, ModelEntry]) -> None:
        self.status = status
        self.bin = Bin.of(status)
        # Loading replicas take memory too, and release it if they aren't wanted.
        names = dict.fromkeys((*status.residents, *status.layout))
        found = {name: known[name] for name in names if name in known}
        self.loaded = {name: _loaded_replica(entry, status) for name, entry in found.items()}
        layout = layout_of(status, {name: replica.need() for name, replica in self.loaded.items()})
        for name, replica in self.loaded.items():
            replica.accelerator_indexes = layout.get(name, ())

    def load(self, entry: ModelEntry, models: Mapping[str, ModelEntry]) -> bool:
        """Load an entry with all its adapters; return False if there is no room."""
        need = Need.of(entry)
        free_mb = self._unreserved_mb(models)
        chosen = choose_accelerators(free_mb, need.memory_mb, need.accelerators)
        if chosen is None:
            return False
        self.bin.force_reserve(need, chosen)
        adapters = {item.resident_id(): item.memory_mb for item in entry.adapters}
        self.loaded[entry.resident_id()] = LoadedReplica(
            chosen, entry.accelerators, entry.total_mb(), adapters
        )
        self._update_status()
        return True

    def unload(self, resident: str) -> None:
        """Unload a replica with its adapters."""
        replica = self.loaded.pop(resident)
        self.bin.release(replica.need(), replica.accelerator_indexes)
        self._update_status()

    def is_complete(self, entry: ModelEntry) -> bool:
        """Return whether an entry is loaded with all its adapters."""
        replica = self.loaded.get(entry.resident_id())
        return replica is not None and all(
            it.resident_id() in replica.adapters for it in entry.adapters
        )

    def update_adapters(self, entry: ModelEntry, may_unload: MayUnload) -> bool:
        """Load one missing adapter and unload replaced ones; return whether any changed.

        One adapter at a time, because replicas on a target compete for its free memory.
        """
        replica = self.loaded[entry.resident_id()]
        before = dict(replica.adapters)
        missing = [item for item in entry.adapters if item.resident_id() not in replica.adapters]
        if missing and self._add_memory(replica, missing[0].memory_mb):
            replica.adapters[missing[0].resident_id()] = missing[0].memory_mb
        self._unload_replaced(replica, entry, may_unload)
        if replica.adapters == before:
            return False
        self._update_status()
        return True

    def _unreserved_mb(self, models: Mapping[str, ModelEntry]) -> list[int]:
        """Return the free memory less what loaded replicas still need for new adapters."""
        free_mb = list(self.bin.free_mb)
        for resident, replica in self.loaded.items():
            entry = models.get(resident.rpartition("@")[0])
            if entry is None or entry.resident_id() != resident:
                continue
            missing = [
                item for item in entry.adapters if item.resident_id() not in replica.adapters
            ]
            for index in replica.accelerator_indexes:
                free_mb[index] -= sum(item.memory_mb for item in missing)
        return free_mb

    def _add_memory(self, replica: LoadedReplica, memory_mb: int) -> bool:
        extra = Need("", memory_mb, replica.accelerators)
        if any(self.bin.free_mb[index] < memory_mb for index in replica.accelerator_indexes):
            return False
        if not replica.accelerator_indexes and not self.bin.fits(extra):
            return False
        self.bin.force_reserve(extra, replica.accelerator_indexes)
        replica.memory_mb += memory_mb
        return True

    def _unload_replaced(
        self, replica: LoadedReplica, entry: ModelEntry, may_unload: MayUnload
    ) -> None:
        wanted = {item.resident_id(): item.name for item in entry.adapters}
        replaced = {name for resident, name in wanted.items() if resident in replica.adapters}
        for resident in replica.adapters.keys() - wanted.keys():
            name = resident.rpartition("@")[0]
            if name in replaced or (name not in wanted.values() and may_unload(name, entry)):
                memory_mb = replica.adapters.pop(resident)
                replica.memory_mb -= memory_mb
                self.bin.release(
                    Need("", memory_mb, replica.accelerators), replica.accelerator_indexes
                )

    def _update_status(self) -> None:
        layout = {name: replica.accelerator_indexes for name, replica in self.loaded.items()}
        adapters = [adapter for replica in self.loaded.values() for adapter in replica.adapters]
        self.status = msgspec.structs.replace(
            self.status,
            free_mb=tuple(self.bin.free_mb),
            residents=(*self.loaded, *adapters),
            layout=layout if all(layout.values()) else {},
            held_mb={name: replica.memory_mb for name, replica in self.loaded.items()},
        )


def _loaded_replica(entry: ModelEntry, status: TargetStatus) -> LoadedReplica:
    present = [item for item in entry.adapters if item.resident_id() in status.residents]
    adapters = {item.resident_id(): item.memory_mb for item in present}
    estimate_mb = entry.memory_mb + sum(adapters.values())
    memory_mb = status.held_mb.get(entry.resident_id(), estimate_mb)
    return LoadedReplica((), entry.accelerators, memory_mb, adapters)
