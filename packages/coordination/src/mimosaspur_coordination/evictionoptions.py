"""Describe the replicas that one target could evict without moving any."""

from dataclasses import dataclass

from mimosaspur_coordination.packing import Bin
from mimosaspur_coordination.packing import Need
from mimosaspur_state.bundle import ModelEntry
from mimosaspur_state.placement import Replica


@dataclass(slots=True, frozen=True)
class EvictionOptions:
    """Hold a target's replicas and its free space after 0, 1, 2, ... evictions.

    A planning pass computes it once per target, as it does not depend on what is placed.
    """

    residents: list[tuple[ModelEntry, Replica]]
    surplus: list[tuple[str, Replica]]
    stages: list[Bin]

    def evictions_needed(self, need: Need) -> int | None:
        """Return how many evictions make room for the need, None if all are not enough."""
        if not self.stages[-1].fits(need):
            return None
        return next(count for count, stage in enumerate(self.stages) if stage.fits(need))
