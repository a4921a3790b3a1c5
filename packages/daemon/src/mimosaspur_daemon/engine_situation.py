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
from mimosaspur_state.errors import StoreUnavailable
from mimosaspur_state.log import log
from mimosaspur_state.objects import ObjectStore
from mimosaspur_state.objects import StoredObject
from mimosaspur_state.placement import PlacementRecord
from mimosaspur_state.placement import placement_from_value
from mimosaspur_state.records import TargetStatus

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
    records: list[PlacementRecord]
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
    known = [record for _, record in records]
    unwanted = orders.unwanted(helds, report, index, orders.models_ready(known, index))
    return Situation(report, index, known, helds, unwanted)


def still_to_come(adapter: Resident, situation: Situation, store: ObjectStore, region: str) -> bool:
    """Tell whether a model that takes an adapter over is not known to have it ready yet."""
    served = situation.index.served.get(adapter.id.rpartition("@")[0])
    if served is None or (adapter.base or "").startswith(f"{served.model.name}@"):
        return False
    if any(held.base() == served.model.resident() for held in situation.helds):
        # Decided by our engine's own report already.
        return False
    found = [record for record in situation.records if record.model == served.model.name]
    # A replica stays READY while it loads what a new bundle adds, so its target must say it.
    targets = {replica.target for record in found for replica in record.ready()}
    try:
        statuses = [store.get(keys.status(region, target)) for target in sorted(targets)]
    except StoreUnavailable:
        return True
    told = [TargetStatus.from_value(item.value).residents for item in statuses if item]
    return not any(served.resident() in residents for residents in told)
