"""Pack models onto the accelerators of targets."""

from collections.abc import Iterable
from collections.abc import Sequence
from dataclasses import dataclass
from heapq import nlargest

from mimosaspur_state.bundle import ModelEntry
from mimosaspur_state.records import TargetStatus


@dataclass(slots=True, frozen=True)
class Need:
    """Describe what one replica takes: memory on each of several accelerators of one target."""

    model: str
    memory_mb: int
    accelerators: int
    domains: tuple[str, ...] = ()

    @classmethod
    def of(cls, entry: ModelEntry) -> "Need":
        """Return the need of a bundle's entry with all its adapters."""
        return cls(entry.name, entry.total_mb(), entry.accelerators, entry.domains)

    def size(self) -> tuple[int, int]:
        """Return the sort key for packing; a larger one is harder to place."""
        return (self.accelerators * self.memory_mb, self.memory_mb)


@dataclass(slots=True)
class Bin:
    """Track the free memory on each accelerator of one target."""

    target: str
    domain: str
    capacity_mb: tuple[int, ...]
    free_mb: list[int]

    @classmethod
    def of(cls, status: TargetStatus) -> "Bin":
        """Return the memory that a target reports; none if capacity and free memory don't match."""
        whole = len(status.capacity_mb) == len(status.free_mb)
        capacity_mb = status.capacity_mb if whole else ()
        free_mb = list(status.free_mb) if whole else []
        return cls(status.instance, status.failure_domain, capacity_mb, free_mb)

    def copy(self) -> "Bin":
        """Return a copy for trial placements."""
        return Bin(self.target, self.domain, self.capacity_mb, list(self.free_mb))

    def allows(self, need: Need) -> bool:
        """Return whether the need permits this failure domain."""
        return not need.domains or self.domain in need.domains

    def fits(self, need: Need) -> bool:
        """Return whether enough accelerators have memory for the need."""
        return sum(free >= need.memory_mb for free in self.free_mb) >= need.accelerators

    def reserve(self, need: Need) -> bool:
        """Reserve memory for the need; return False and change nothing if it doesn't fit."""
        chosen = choose_accelerators(self.free_mb, need.memory_mb, need.accelerators)
        if chosen is None:
            return False
        for index in chosen:
            self.free_mb[index] -= need.memory_mb
        return True

    def force_reserve(self, need: Need, chosen: tuple[int, ...] = ()) -> None:
        """Reserve memory that is already committed, even if free memory becomes negative."""
        if not chosen and self.reserve(need):
            return
        for index in chosen or _emptiest_first(self.free_mb)[: need.accelerators]:
            self.free_mb[index] -= need.memory_mb

    def release(self, need: Need, chosen: tuple[int, ...] = ()) -> None:
        """Release a replica's memory; on the fullest accelerators if its own are unknown."""
        if chosen:
            for index in chosen:
                self.free_mb[index] += need.memory_mb
            return
        used = [total - free for total, free in zip(self.capacity_mb, self.free_mb, strict=True)]
        holders = [index for index, mb in enumerate(used) if mb >= need.memory_mb]
        holders.sort(key=lambda index: self.free_mb[index])
        for index in holders[: need.accelerators]:
            self.free_mb[index] += need.memory_mb

    def max_free_mb(self, accelerators: int) -> int:
        """Return the most memory that is free on each of the given number of accelerators."""
        if len(self.free_mb) < accelerators:
            return 0
        return sorted(self.free_mb, reverse=True)[accelerators - 1]

    def total_free_mb(self) -> int:
        """Return the free memory of all accelerators."""
        return sum(self.free_mb)


def choose_accelerators(
    free_mb: Sequence[int], memory_mb: int, accelerators: int
) -> tuple[int, ...] | None:
    """Choose the fullest accelerators with enough free memory; None if there are too few."""
    fitting = [index for index, free in enumerate(free_mb) if free >= memory_mb]
    if len(fitting) < accelerators:
        return None
    fitting.sort(key=lambda index: (free_mb[index], index))
    return tuple(fitting[:accelerators])


def largest(needs: Iterable[Need], count: int) -> list[Need]:
    """Return the given number of needs that are hardest to place, hardest first."""
    return nlargest(count, needs, key=lambda item: (item.size(), item.model))


def largest_first(needs: Iterable[Need]) -> list[Need]:
    """Return needs sorted for packing, hardest to place first."""
    return sorted(needs, key=lambda item: (item.size(), item.model), reverse=True)


def pack(bins: Iterable[Bin], needs: Iterable[Need]) -> Need | None:
    """Reserve memory for all needs, first-fit decreasing; return the first that doesn't fit."""
    ordered = list(bins)
    for need in largest_first(needs):
        if not any(room.allows(need) and room.reserve(need) for room in ordered):
            return need
    return None


def _emptiest_first(free_mb: Sequence[int]) -> list[int]:
    return sorted(range(len(free_mb)), key=lambda index: -free_mb[index])
