"""Find which accelerators of a target hold each resident."""

from collections.abc import Mapping
from collections.abc import Sequence
from itertools import combinations

from mimosaspur_coordination.packing import Bin
from mimosaspur_coordination.packing import Need
from mimosaspur_state.records import TargetStatus

MAX_INFERRED_RESIDENTS = 12

Layout = Mapping[str, tuple[int, ...]]


def layout_of(status: TargetStatus, needs: Mapping[str, Need]) -> Layout:
    """Return accelerators by resident as the target reports them, or else inferred."""
    if status.layout:
        return {name: accelerators_of(status, name) for name in status.layout}
    room = Bin.of(status)
    pairs = zip(room.capacity_mb, room.free_mb, strict=True)
    return infer_layout([capacity - free for capacity, free in pairs], needs)


def accelerators_of(status: TargetStatus, resident: str) -> tuple[int, ...]:
    """Return a resident's accelerators as its target reports them; empty if unknown.

    While an engine doesn't answer, its target's status lists no accelerators.
    """
    chosen = status.layout.get(resident, ())
    return chosen if all(index < len(status.free_mb) for index in chosen) else ()


def infer_layout(used_mb: Sequence[int], needs: Mapping[str, Need]) -> Layout:
    """Return accelerators by resident that match the memory in use; empty if none do.

    An estimate for targets that don't report their layout: several layouts may match.
    """
    if len(needs) > MAX_INFERRED_RESIDENTS:
        return {}
    ordered = sorted(needs.items(), key=lambda item: (item[1].size(), item[0]), reverse=True)
    return _search_layout(list(used_mb), ordered) or {}


def _search_layout(
    used_mb: list[int], needs: list[tuple[str, Need]]
) -> dict[str, tuple[int, ...]] | None:
    if not needs:
        return None if any(used_mb) else {}
    (resident, need), rest = needs[0], needs[1:]
    holders = [index for index, used in enumerate(used_mb) if used >= need.memory_mb]
    for chosen in combinations(holders, need.accelerators):
        left = list(used_mb)
        for index in chosen:
            left[index] -= need.memory_mb
        found = _search_layout(left, rest)
        if found is not None:
            return {resident: chosen, **found}
    return None
