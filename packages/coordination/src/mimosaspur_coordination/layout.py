"""Work out which accelerators of a target hold which resident."""

from collections.abc import Mapping
from collections.abc import Sequence
from itertools import combinations

from mimosaspur_coordination.packing import Need

MOST_RESIDENTS = 12

Layout = dict[str, tuple[int, ...]]


def find_layout(used_mb: Sequence[int], needs: Mapping[str, Need]) -> Layout:
    """Return accelerators by resident that explain the memory in use; empty if none do.

    Targets report how much each accelerator has free, not by what. Residents of one size may
    stand in each other's place here, which matters to nobody.
    """
    if len(needs) > MOST_RESIDENTS:
        return {}
    ordered = sorted(needs.items(), key=lambda item: (item[1].size(), item[0]), reverse=True)
    return _explain(list(used_mb), ordered) or {}


def _explain(used_mb: list[int], needs: list[tuple[str, Need]]) -> Layout | None:
    if not needs:
        return None if any(used_mb) else {}
    (resident, need), rest = needs[0], needs[1:]
    holders = [index for index, used in enumerate(used_mb) if used >= need.memory_mb]
    for chosen in combinations(holders, need.accelerators):
        left = list(used_mb)
        for index in chosen:
            left[index] -= need.memory_mb
        found = _explain(left, rest)
        if found is not None:
            return {resident: chosen, **found}
    return None
