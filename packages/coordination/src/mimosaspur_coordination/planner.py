"""Plan which targets hold which models."""

from collections.abc import Iterator
from itertools import chain

from mimosaspur_coordination.demand import SCALE_DOWN_WINDOWS
from mimosaspur_coordination.demand import is_stable
from mimosaspur_coordination.demand import unserved_requests
from mimosaspur_coordination.draft import Draft
from mimosaspur_coordination.draft import RateLimiter
from mimosaspur_coordination.eviction import make_room
from mimosaspur_coordination.packing import Bin
from mimosaspur_coordination.packing import Need
from mimosaspur_coordination.packing import largest
from mimosaspur_coordination.packing import pack
from mimosaspur_coordination.pendingentries import entries_to_place
from mimosaspur_coordination.pendingentries import entries_to_scale
from mimosaspur_coordination.replicaremoval import drop_dead
from mimosaspur_coordination.replicaremoval import drop_obsolete_loads
from mimosaspur_coordination.replicaremoval import retire_replaced
from mimosaspur_coordination.replicaremoval import retire_unwanted
from mimosaspur_coordination.view import DemandSum
from mimosaspur_coordination.view import PlannerView
from mimosaspur_coordination.view import RecordChange
from mimosaspur_state.bundle import ModelEntry

MAX_TRIED_TARGETS = 4
MAX_LOOKAHEAD_MODELS = 24
"""Look ahead only at the hardest to place: the cost is quadratic in the number of models."""


def plan(view: PlannerView, rate_limiter: RateLimiter) -> list[RecordChange]:
    """Return the next changes, most urgent first; each is safe alone and in any order."""
    if any(placed.record.generation > view.index.generation for placed in view.placed.values()):
        # Another planner has applied a newer bundle; changes for this one would revert its moves.
        return []
    draft = Draft(view, rate_limiter)
    entries = _by_urgency(draft, entries_to_place(view))
    waits = _load_missing(draft, entries)
    retire_unwanted(draft)
    for entry in entries:
        drop_dead(draft, entry)
        drop_obsolete_loads(draft, entry)
        retire_replaced(draft, entry)
    if not waits:
        # Memory that a model without any replica waits for must not go to an extra replica.
        _add_missing_replicas(draft, entries)
        _scale_to_demand(draft, _by_urgency(draft, entries_to_scale(view)))
    return draft.changes()


def _by_urgency(draft: Draft, entries: list[ModelEntry]) -> list[ModelEntry]:
    return sorted(entries, key=lambda entry: _urgency(draft, entry))


def _urgency(draft: Draft, entry: ModelEntry) -> tuple[bool, int, int, str]:
    serves = bool(draft.live_ready(entry.name))
    demand = draft.view.demand.get(entry.name, DemandSum())
    return (serves, entry.priority, -demand.requests, entry.name)


def _load_missing(draft: Draft, entries: list[ModelEntry]) -> bool:
    """Load models without a replica of the wanted version; return whether one has to wait."""
    missing = [
        entry for entry in entries if not draft.up_to_date(entry) and not _is_loading(draft, entry)
    ]
    waits = False
    held_back: list[ModelEntry] = []
    for position, entry in enumerate(missing):
        if not draft.has_room(entry):
            waits |= make_room(draft, entry)
        elif draft.remaining_loads == 0:
            waits = True
        elif not _load_first_replica(draft, entry, [*missing[position + 1 :], *held_back]):
            waits = True
            held_back.append(entry)
    return waits


def _load_first_replica(draft: Draft, entry: ModelEntry, later: list[ModelEntry]) -> bool:
    """Load a model's first replica; return False if it has to wait."""
    rest = largest([Need.of(other) for other in later], MAX_LOOKAHEAD_MODELS)
    room, leaves_room = best_target(draft, entry, rest)
    if not leaves_room and pack(_bins(draft), [Need.of(entry), *rest]) is None:
        # All fit only if a larger model is placed first, so this one waits for it.
        return False
    return draft.start_load(entry, room.target, "no replica of this version is ready")


def best_target(draft: Draft, entry: ModelEntry, rest: list[Need]) -> tuple[Bin, bool]:
    """Return the best target with room, and whether it leaves room for the rest.

    At least one target must have room.
    """
    need = Need.of(entry)
    fitting = _best_first(draft, entry, draft.candidates_with_room(entry))
    for room in chain(fitting[:MAX_TRIED_TARGETS], _first_fit_target(draft, fitting, need, rest)):
        if _leaves_room(draft, room, need, rest):
            return room, True
    return fitting[0], False


def best_extra_target(draft: Draft, entry: ModelEntry) -> Bin | None:
    """Return the best target for an extra replica.

    A target that loads a model's only replica gets none: it assigns accelerators in the order
    in which it receives loads, so the extra replica could take the other one's memory.
    """
    fitting = [
        room
        for room in draft.candidates_with_room(entry)
        if room.target not in draft.loading_sole_replica
    ]
    return next(iter(_best_first(draft, entry, fitting)), None)


def _best_first(draft: Draft, entry: ModelEntry, rooms: list[Bin]) -> list[Bin]:
    record = draft.record(entry.name)
    targets = [item.target for item in record.replicas if item.target in draft.bins]
    domains = [draft.bins[target].domain for target in targets]

    adapters = {adapter.resident_id() for adapter in entry.adapters}

    def preference(room: Bin) -> tuple[bool, bool, int, int, str]:
        failed = (entry.name, room.target) in draft.view.failed_ms
        # An engine can't hold an adapter twice, as beside an older version of its model.
        clashes = not adapters.isdisjoint(draft.view.alive[room.target].residents)
        busy = not draft.can_accept_load(room.target)
        spread = domains.count(room.domain)
        return (failed or clashes, busy, spread, -room.total_free_mb(), room.target)

    return sorted(rooms, key=preference)


def _first_fit_target(
    draft: Draft, fitting: list[Bin], need: Need, rest: list[Need]
) -> Iterator[Bin]:
    """Yield the target that first-fit decreasing gives this need; lazy because it is costly."""
    bins = _bins(draft)
    larger = [other for other in rest if (other.size(), other.model) > (need.size(), need.model)]
    if pack(bins, larger) is not None:
        return
    names = {room.target: room for room in fitting}
    first = next((room for room in bins if room.target in names and room.fits(need)), None)
    if first:
        yield names[first.target]


def _leaves_room(draft: Draft, chosen: Bin, need: Need, rest: list[Need]) -> bool:
    if not rest:
        return True
    bins = _bins(draft)
    for room in bins:
        if room.target == chosen.target:
            room.reserve(need)
    return pack(bins, rest) is None


def _bins(draft: Draft) -> list[Bin]:
    return [room.copy() for name, room in draft.bins.items() if name not in draft.view.draining]


def _is_loading(draft: Draft, entry: ModelEntry) -> bool:
    loads = draft.loading(entry.name)
    return any(item.version == entry.version and draft.is_staying(item) for item in loads)


def _replica_count(draft: Draft, entry: ModelEntry) -> int:
    loading = [item for item in draft.loading(entry.name) if draft.is_staying(item)]
    return len(draft.up_to_date(entry)) + len(loading)


def _add_missing_replicas(draft: Draft, entries: list[ModelEntry]) -> None:
    """Load models that have fewer replicas than the bundle names."""
    for entry in entries:
        if draft.remaining_loads == 0:
            return
        if not draft.up_to_date(entry) or _replica_count(draft, entry) >= entry.replicas:
            continue
        room = best_extra_target(draft, entry)
        if room:
            draft.start_load(entry, room.target, f"it has fewer than {entry.replicas} replicas")


def _scale_to_demand(draft: Draft, entries: list[ModelEntry]) -> None:
    """Add replicas where unserved demand exceeds the move cost; retire those long unused."""
    for entry in entries:
        up_to_date = draft.up_to_date(entry)
        if not up_to_date or len(up_to_date) < entry.replicas or draft.loading(entry.name):
            continue
        if not all(is_stable(draft.view, replica.target) for replica in up_to_date):
            continue
        excess = unserved_requests(draft.view, entry, up_to_date)
        if excess > draft.view.move_cost and _replica_count(draft, entry) < entry.replica_limit():
            room = best_extra_target(draft, entry)
            if room and is_stable(draft.view, room.target):
                draft.start_load(
                    entry,
                    room.target,
                    f"{excess:.0f} requests per window are refused or exceed its capacity",
                )
        elif len(up_to_date) > entry.replicas and _is_demand_long_low(draft, entry):
            fullest = min(up_to_date, key=lambda item: draft.bins[item.target].total_free_mb())
            draft.retire(entry.name, fullest, "its demand stayed low")


def _is_demand_long_low(draft: Draft, entry: ModelEntry) -> bool:
    return draft.view.low_windows.get(entry.name, 0) >= SCALE_DOWN_WINDOWS
