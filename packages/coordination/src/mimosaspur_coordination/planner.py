"""Decide which target is to hold which model."""

from mimosaspur_coordination.demand import LOW_WINDOWS
from mimosaspur_coordination.demand import settled
from mimosaspur_coordination.demand import unserved
from mimosaspur_coordination.draft import Bucket
from mimosaspur_coordination.draft import Draft
from mimosaspur_coordination.packing import Bin
from mimosaspur_coordination.packing import Need
from mimosaspur_coordination.packing import pack
from mimosaspur_coordination.room import give_room
from mimosaspur_coordination.steps import drop_dead
from mimosaspur_coordination.steps import drop_useless_loads
from mimosaspur_coordination.steps import retire_outgoing
from mimosaspur_coordination.steps import retire_unwanted
from mimosaspur_coordination.view import DemandSum
from mimosaspur_coordination.view import PlannerView
from mimosaspur_coordination.view import RecordChange
from mimosaspur_state.bundle import ModelEntry

TRIED_TARGETS = 4


def plan(view: PlannerView, bucket: Bucket) -> list[RecordChange]:
    """Return the next changes, most urgent first; each is safe alone and in any order."""
    if any(placed.record.generation > view.index.generation for placed in view.placed.values()):
        # Another planner knows a newer bundle: ours would undo its moves.
        return []
    draft = Draft(view, bucket)
    entries = sorted(view.index.models.values(), key=lambda entry: _urgency(draft, entry))
    waits = _load_missing(draft, entries)
    retire_unwanted(draft)
    for entry in entries:
        drop_dead(draft, entry)
        drop_useless_loads(draft, entry)
        retire_outgoing(draft, entry)
    if not waits:
        # Room that a model without any replica waits for must not go to a second replica.
        _fill_up(draft, entries)
        _follow_demand(draft, entries)
    return draft.changes()


def _urgency(draft: Draft, entry: ModelEntry) -> tuple[bool, int, int, str]:
    serves = bool(draft.live_ready(entry.name))
    demand = draft.view.demand.get(entry.name, DemandSum())
    return (serves, entry.priority, -demand.requests, entry.name)


def _load_missing(draft: Draft, entries: list[ModelEntry]) -> bool:
    """Load what has no replica of the wanted version; tell whether one waits for room."""
    missing = [entry for entry in entries if not draft.good(entry) and not _coming(draft, entry)]
    waits = False
    for position, entry in enumerate(missing):
        rest = [Need.of(later) for later in missing[position + 1 :]]
        room = best_room(draft, entry, rest)
        if room and _blocks(draft, entry, room, rest):
            # All fit only if a larger one is placed first: a load's time is less than never.
            waits = True
        elif room:
            waits |= not draft.load(entry, room.target, "no replica of this version is ready")
        else:
            waits |= give_room(draft, entry)
    return waits


def best_room(draft: Draft, entry: ModelEntry, rest: list[Need]) -> Bin | None:
    """Return the best target with room, one that leaves room for the rest where possible."""
    need = Need.of(entry)
    fitting = [room for room in draft.candidates(entry) if room.fits(need)]
    fitting.sort(key=lambda room: _preference(draft, entry, room))
    if not rest or len(fitting) < 2:
        return fitting[0] if fitting else None
    for room in [*fitting[:TRIED_TARGETS], *_first_fit(draft, fitting, need, rest)]:
        if _leaves_room(draft, room, need, rest):
            return room
    return fitting[0]


def best_spare_room(draft: Draft, entry: ModelEntry) -> Bin | None:
    """Return the best target for a further replica.

    A target that still loads a model's only replica gets none: it lays out its accelerators
    in the order in which it sees its loads, and the further one could come in the way.
    """
    busy = {
        replica.target
        for other in draft.view.index.models.values()
        if not draft.good(other)
        for replica in draft.loads(other.name)
    }
    need = Need.of(entry)
    fitting = [
        room for room in draft.candidates(entry) if room.target not in busy and room.fits(need)
    ]
    return min(fitting, key=lambda room: _preference(draft, entry, room), default=None)


def _preference(draft: Draft, entry: ModelEntry, room: Bin) -> tuple[bool, int, int, str]:
    failed = (entry.name, room.target) in draft.view.failed_ms
    record = draft.record(entry.name)
    targets = [item.target for item in record.replicas if item.target in draft.bins]
    domains = [draft.bins[target].domain for target in targets]
    return (failed, domains.count(room.domain), -room.total_free(), room.target)


def _first_fit(draft: Draft, fitting: list[Bin], need: Need, rest: list[Need]) -> list[Bin]:
    """Return the target that packing all by size gives this need."""
    bins = [room.copy() for room in draft.bins.values() if room.target not in draft.view.draining]
    larger = [other for other in rest if (other.size(), other.model) > (need.size(), need.model)]
    if pack(bins, larger) is not None:
        return []
    names = {room.target: room for room in fitting}
    first = next((room for room in bins if room.target in names and room.fits(need)), None)
    return [names[first.target]] if first else []


def _blocks(draft: Draft, entry: ModelEntry, chosen: Bin, rest: list[Need]) -> bool:
    """Tell whether all would fit, but not with this entry on the chosen target first."""
    need = Need.of(entry)
    if not rest or _leaves_room(draft, chosen, need, rest):
        return False
    bins = [room.copy() for room in draft.bins.values() if room.target not in draft.view.draining]
    return pack(bins, [need, *rest]) is None


def _leaves_room(draft: Draft, chosen: Bin, need: Need, rest: list[Need]) -> bool:
    bins = [room.copy() for room in draft.bins.values() if room.target not in draft.view.draining]
    for room in bins:
        if room.target == chosen.target:
            room.take(need)
    return pack(bins, rest) is None


def _coming(draft: Draft, entry: ModelEntry) -> bool:
    loads = draft.loads(entry.name)
    return any(item.version == entry.version and draft.stays(item) for item in loads)


def _count(draft: Draft, entry: ModelEntry) -> int:
    coming = [item for item in draft.loads(entry.name) if draft.stays(item)]
    return len(draft.good(entry)) + len(coming)


def _fill_up(draft: Draft, entries: list[ModelEntry]) -> None:
    """Load up to the replicas that the bundle names."""
    for entry in entries:
        if not draft.good(entry) or _count(draft, entry) >= entry.replicas:
            continue
        room = best_spare_room(draft, entry)
        if room:
            draft.load(entry, room.target, f"it has fewer than {entry.replicas} replicas")


def _follow_demand(draft: Draft, entries: list[ModelEntry]) -> None:
    """Add replicas that earn more deadlines than a move costs; take away those long unused."""
    for entry in entries:
        good = draft.good(entry)
        if not good or len(good) < entry.replicas or draft.loads(entry.name):
            continue
        if not all(settled(draft.view, replica.target) for replica in good):
            continue
        lost = unserved(draft.view, entry, good)
        if lost > draft.view.move_cost and _count(draft, entry) < entry.ceiling():
            room = best_spare_room(draft, entry)
            if room and settled(draft.view, room.target):
                draft.load(entry, room.target, f"{lost:.0f} requests a window find no place")
        elif len(good) > entry.replicas and _long_low(draft, entry):
            fullest = min(good, key=lambda item: draft.bins[item.target].total_free())
            draft.leave(entry.name, fullest, "its demand stayed low")


def _long_low(draft: Draft, entry: ModelEntry) -> bool:
    return draft.view.low_windows.get(entry.name, 0) >= LOW_WINDOWS
