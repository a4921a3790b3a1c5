"""Gather what one round of the engine keeper decides by."""

from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from mimosaspur_coordination import orders
from mimosaspur_coordination.mirror import Mirror
from mimosaspur_coordination.orders import Held
from mimosaspur_state import keys
from mimosaspur_state.bundle import BundleIndex
from mimosaspur_state.engine import EngineState
from mimosaspur_state.engine import Resident
from mimosaspur_state.log import log
from mimosaspur_state.objects import StoredObject
from mimosaspur_state.placement import PlacementRecord
from mimosaspur_state.placement import placement_from_value

PART = "ENGINE"


@dataclass(slots=True, frozen=True)
class ServingSide:
    """Tell the requests on a resident, refuse new ones for it, and allow them again."""

    in_use: Callable[[str], int]
    close: Callable[[str], None]
    reopen: Callable[[str], None]


@dataclass(slots=True, frozen=True)
class Situation:
    """Hold what one round decides by."""

    report: EngineState
    index: BundleIndex
    helds: list[Held]
    unwanted: list[Resident]


def records_of(mirror: Mirror, region: str) -> list[tuple[StoredObject, PlacementRecord]]:
    """Return a region's placement records as mirrored; one that is unreadable is left out."""
    found = []
    for item in mirror.under(keys.placements(region)):
        try:
            found.append((item, placement_from_value(item.value)))
        except msgspec.ValidationError as error:
            log(PART, "A placement record is unreadable.", key=item.key, error=str(error))
    return found


def situation_of(
    report: EngineState,
    index: BundleIndex,
    records: list[tuple[StoredObject, PlacementRecord]],
    target: str,
) -> Situation:
    """Compare an engine's report with what the records ask of its target."""
    helds = orders.held_here(records, target, index)
    elsewhere = orders.models_ready((record for _, record in records), index)
    return Situation(report, index, helds, orders.unwanted(helds, report, index, elsewhere))
