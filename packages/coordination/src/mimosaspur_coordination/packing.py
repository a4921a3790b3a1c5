"""Find room for models on the accelerators of targets."""

from collections.abc import Iterable
from collections.abc import Sequence
from dataclasses import dataclass

from mimosaspur_state.bundle import ModelEntry


@dataclass(slots=True, frozen=True)
class Need:
    """State what one replica takes: memory on each of some accelerators of one target."""

    model: str
    memory_mb: int
    accelerators: int
    domains: tuple[str, ...] = ()

    @classmethod
    def of(cls, entry: ModelEntry) -> "Need":
        """Return the need of a bundle's entry with all its adapters."""
        return cls(entry.name, entry.total_mb(), entry.accelerators, entry.domains)

    def size(self) -> tuple[int, int]:
        """Return the order in which to pack: the hardest to place is the largest."""
        return (self.accelerators * self.memory_mb, self.memory_mb)


@dataclass(slots=True)
class Bin:
    """Hold the memory that is free on each accelerator of one target."""

    target: str
    domain: str
    capacity_mb: tuple[int, ...]
    free_mb: list[int]

    def copy(self) -> "Bin":
        """Return a copy to try things on."""
        return Bin(self.target, self.domain, self.capacity_mb, list(self.free_mb))

    def allows(self, need: Need) -> bool:
        """Tell whether the need may be placed in this failure domain."""
        return not need.domains or self.domain in need.domains

    def fits(self, need: Need) -> bool:
        """Tell whether the need finds room here."""
        return choose_accelerators(self.free_mb, need.memory_mb, need.accelerators) is not None

    def take(self, need: Need) -> bool:
        """Take the room for the need; return False and change nothing if there is none."""
        chosen = choose_accelerators(self.free_mb, need.memory_mb, need.accelerators)
        if chosen is None:
            return False
        for index in chosen:
            self.free_mb[index] -= need.memory_mb
        return True

    def hold(self, need: Need) -> None:
        """Count out room that is promised already, wherever it may be, even below zero."""
        if self.take(need):
            return
        for index in _fullest_last(self.free_mb)[: need.accelerators]:
            self.free_mb[index] -= need.memory_mb

    def give_back(self, need: Need, chosen: tuple[int, ...] = ()) -> None:
        """Count in the room of a replica that leaves; if unknown, the fullest get it."""
        if chosen:
            for index in chosen:
                self.free_mb[index] += need.memory_mb
            return
        used = [total - free for total, free in zip(self.capacity_mb, self.free_mb, strict=True)]
        holders = [index for index, mb in enumerate(used) if mb >= need.memory_mb]
        holders.sort(key=lambda index: self.free_mb[index])
        for index in holders[: need.accelerators]:
            self.free_mb[index] += need.memory_mb

    def total_free(self) -> int:
        """Return the free memory of all accelerators."""
        return sum(self.free_mb)


def choose_accelerators(
    free_mb: Sequence[int], memory_mb: int, accelerators: int
) -> tuple[int, ...] | None:
    """Choose the accelerators with the least room that is enough; None if there are too few."""
    fitting = [index for index, free in enumerate(free_mb) if free >= memory_mb]
    if len(fitting) < accelerators:
        return None
    fitting.sort(key=lambda index: (free_mb[index], index))
    return tuple(fitting[:accelerators])


def largest_first(needs: Iterable[Need]) -> list[Need]:
    """Return needs in the order in which to pack them."""
    return sorted(needs, key=lambda item: (item.size(), item.model), reverse=True)


def pack(bins: Iterable[Bin], needs: Iterable[Need]) -> Need | None:
    """Take room for all needs, first fit, largest first; return the first that finds none."""
    ordered = list(bins)
    for need in largest_first(needs):
        if not any(room.allows(need) and room.take(need) for room in ordered):
            return need
    return None


def _fullest_last(free_mb: Sequence[int]) -> list[int]:
    return sorted(range(len(free_mb)), key=lambda index: -free_mb[index])
