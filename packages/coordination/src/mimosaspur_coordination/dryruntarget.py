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

Goes = Callable[[str, ModelEntry], bool]
"""Tell whether an adapter that an entry doesn't name may be unloaded."""


@dataclass(slots=True)
class Held:
    """Hold a replica's accelerators (empty if unknown), memory on each, and its adapters."""

    chosen: tuple[int, ...]
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
        self.room = Bin.of(status)
        # What is still being loaded takes its room too, and gives it back if it isn't wanted.
        names = dict.fromkeys((*status.residents, *status.layout))
        found = {name: known[name] for name in names if name in known}
        self.held = {name: _held(entry, status) for name, entry in found.items()}
        layout = layout_of(status, {name: held.need() for name, held in self.held.items()})
        for name, held in self.held.items():
            held.chosen = layout.get(name, ())

    def load(self, entry: ModelEntry, models: Mapping[str, ModelEntry]) -> bool:
        """Load an entry with all its adapters; return False if there is no room."""
        need = Need.of(entry)
        free_mb = self._free_besides_promised(models)
        chosen = choose_accelerators(free_mb, need.memory_mb, need.accelerators)
        if chosen is None:
            return False
        self.room.hold(need, chosen)
        adapters = {item.resident(): item.memory_mb for item in entry.adapters}
        self.held[entry.resident()] = Held(chosen, entry.accelerators, entry.total_mb(), adapters)
        self._report()
        return True

    def unload(self, resident: str) -> None:
        """Unload a replica with what sits on it."""
        held = self.held.pop(resident)
        self.room.give_back(held.need(), held.chosen)
        self._report()

    def whole(self, entry: ModelEntry) -> bool:
        """Tell whether an entry is here with all its adapters."""
        held = self.held.get(entry.resident())
        return held is not None and all(it.resident() in held.adapters for it in entry.adapters)

    def grow(self, entry: ModelEntry, goes: Goes) -> bool:
        """Bring a replica one adapter nearer to what its entry names; tell whether any changed.

        Replicas on a target take turns: each may take the room that another one needs.
        """
        held = self.held[entry.resident()]
        before = dict(held.adapters)
        missing = [item for item in entry.adapters if item.resident() not in held.adapters]
        if missing and self._take(held, missing[0].memory_mb):
            held.adapters[missing[0].resident()] = missing[0].memory_mb
        self._shed(held, entry, goes)
        if held.adapters == before:
            return False
        self._report()
        return True

    def _free_besides_promised(self, models: Mapping[str, ModelEntry]) -> list[int]:
        """Leave out the room that replicas here need for their own new adapters."""
        free_mb = list(self.room.free_mb)
        for resident, held in self.held.items():
            entry = models.get(resident.rpartition("@")[0])
            if entry is None or entry.resident() != resident:
                continue
            missing = [item for item in entry.adapters if item.resident() not in held.adapters]
            for index in held.chosen:
                free_mb[index] -= sum(item.memory_mb for item in missing)
        return free_mb

    def _take(self, held: Held, memory_mb: int) -> bool:
        extra = Need("", memory_mb, held.accelerators)
        if any(self.room.free_mb[index] < memory_mb for index in held.chosen):
            return False
        if not held.chosen and not self.room.fits(extra):
            return False
        self.room.hold(extra, held.chosen)
        held.memory_mb += memory_mb
        return True

    def _shed(self, held: Held, entry: ModelEntry, goes: Goes) -> None:
        wanted = {item.resident(): item.name for item in entry.adapters}
        replaced = {name for resident, name in wanted.items() if resident in held.adapters}
        for resident in held.adapters.keys() - wanted.keys():
            name = resident.rpartition("@")[0]
            if name in replaced or (name not in wanted.values() and goes(name, entry)):
                memory_mb = held.adapters.pop(resident)
                held.memory_mb -= memory_mb
                self.room.give_back(Need("", memory_mb, held.accelerators), held.chosen)

    def _report(self) -> None:
        layout = {name: held.chosen for name, held in self.held.items()}
        adapters = [adapter for held in self.held.values() for adapter in held.adapters]
        self.status = msgspec.structs.replace(
            self.status,
            free_mb=tuple(self.room.free_mb),
            residents=(*self.held, *adapters),
            layout=layout if all(layout.values()) else {},
            held_mb={name: held.memory_mb for name, held in self.held.items()},
        )


def _held(entry: ModelEntry, status: TargetStatus) -> Held:
    present = [item for item in entry.adapters if item.resident() in status.residents]
    adapters = {item.resident(): item.memory_mb for item in present}
    guess_mb = entry.memory_mb + sum(adapters.values())
    memory_mb = status.held_mb.get(entry.resident(), guess_mb)
    return Held((), entry.accelerators, memory_mb, adapters)
