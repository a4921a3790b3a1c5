"""Hold what one target could give up without any move."""

from dataclasses import dataclass

from mimosaspur_coordination.packing import Bin
from mimosaspur_coordination.packing import Need
from mimosaspur_state.bundle import ModelEntry
from mimosaspur_state.placement import Replica


@dataclass(slots=True, frozen=True)
class EvictionOptions:
    """Hold a target's replicas and its room in stages, each with one more replica given up.

    It is the same for all that need room, so one pass works it out once for each target.
    """

    residents: list[tuple[ModelEntry, Replica]]
    surplus: list[tuple[str, Replica]]
    stages: list[Bin]

    def evictions_needed(self, need: Need) -> int | None:
        """Return how many replicas must be given up for the need, or None if all aren't enough."""
        if not self.stages[-1].fits(need):
            return None
        return next(count for count, stage in enumerate(self.stages) if stage.fits(need))
