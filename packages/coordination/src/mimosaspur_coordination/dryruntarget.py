"""Stand in for a target that does at once what placement asks of it."""

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
"""Tell whether an adapter that an entry doesn't name may be unloaded."""


@dataclass(slots=True)
class LoadedReplica:
    """Hold a replica's accelerators (empty if unknown), memory on each, and its adapters."""

    accelerator_indexes: tuple[int, ...]
    accelerators: int
    memory_mb: int
    adapters: dict[str, int]

    def need(self) -> Need:
        """Return what it takes now."""
        return Need("", self.memory_mb, self.accelerators)


class DryRunTarget:
    """Load, unload and grow replicas from what a target last reported."""

    def __init__(self, status: TargetStatus, known: Mapping[str, ModelEntry]) -> None:
        self.status = status
        self.bin = Bin.of(status)
        # What is still being loaded takes its room too, and gives it back if it isn't wanted.
        names = dict.fromkeys((*status.residents, *status.layout))
        found = {name: known[name] for name in names if name in known}
        self.loaded = {name: _loaded_replica(entry, status) for name, entry in found.items()}
        layout = layout_of(status, {name: held.need() for name, held in self.loaded.items()})
        for name, held in self.loaded.items():
            held.accelerator_indexes = layout.get(name, ())

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
        """Unload a replica with what sits on it."""
        held = self.loaded.pop(resident)
        self.bin.release(held.need(), held.accelerator_indexes)
        self._update_status()

    def is_complete(self, entry: ModelEntry) -> bool:
        """Tell whether an entry is here with all its adapters."""
        held = self.loaded.get(entry.resident_id())
        return held is not None and all(it.resident_id() in held.adapters for it in entry.adapters)

    def update_adapters(self, entry: ModelEntry, goes: MayUnload) -> bool:
        """Bring a replica one adapter nearer to what its entry names; tell whether any changed.

        Replicas on a target take turns: each may take the room that another one needs.
        """
        held = self.loaded[entry.resident_id()]
        before = dict(held.adapters)
        missing = [item for item in entry.adapters if item.resident_id() not in held.adapters]
        if missing and self._add_memory(held, missing[0].memory_mb):
            held.adapters[missing[0].resident_id()] = missing[0].memory_mb
        self._unload_replaced(held, entry, goes)
        if held.adapters == before:
            return False
        self._update_status()
        return True

    def _unreserved_mb(self, models: Mapping[str, ModelEntry]) -> list[int]:
        """Leave out the room that replicas here need for their own new adapters."""
        free_mb = list(self.bin.free_mb)
        for resident, held in self.loaded.items():
            entry = models.get(resident.rpartition("@")[0])
            if entry is None or entry.resident_id() != resident:
                continue
            missing = [item for item in entry.adapters if item.resident_id() not in held.adapters]
            for index in held.accelerator_indexes:
                free_mb[index] -= sum(item.memory_mb for item in missing)
        return free_mb

    def _add_memory(self, held: LoadedReplica, memory_mb: int) -> bool:
        extra = Need("", memory_mb, held.accelerators)
        if any(self.bin.free_mb[index] < memory_mb for index in held.accelerator_indexes):
            return False
        if not held.accelerator_indexes and not self.bin.fits(extra):
            return False
        self.bin.force_reserve(extra, held.accelerator_indexes)
        held.memory_mb += memory_mb
        return True

    def _unload_replaced(self, held: LoadedReplica, entry: ModelEntry, goes: MayUnload) -> None:
        wanted = {item.resident_id(): item.name for item in entry.adapters}
        replaced = {name for resident, name in wanted.items() if resident in held.adapters}
        for resident in held.adapters.keys() - wanted.keys():
            name = resident.rpartition("@")[0]
            if name in replaced or (name not in wanted.values() and goes(name, entry)):
                memory_mb = held.adapters.pop(resident)
                held.memory_mb -= memory_mb
                self.bin.release(Need("", memory_mb, held.accelerators), held.accelerator_indexes)

    def _update_status(self) -> None:
        layout = {name: held.accelerator_indexes for name, held in self.loaded.items()}
        adapters = [adapter for held in self.loaded.values() for adapter in held.adapters]
        self.status = msgspec.structs.replace(
            self.status,
            free_mb=tuple(self.bin.free_mb),
            residents=(*self.loaded, *adapters),
            layout=layout if all(layout.values()) else {},
            held_mb={name: held.memory_mb for name, held in self.loaded.items()},
        )


def _loaded_replica(entry: ModelEntry, status: TargetStatus) -> LoadedReplica:
    present = [item for item in entry.adapters if item.resident_id() in status.residents]
    adapters = {item.resident_id(): item.memory_mb for item in present}
    guess_mb = entry.memory_mb + sum(adapters.values())
    memory_mb = status.held_mb.get(entry.resident_id(), guess_mb)
    return LoadedReplica((), entry.accelerators, memory_mb, adapters)
