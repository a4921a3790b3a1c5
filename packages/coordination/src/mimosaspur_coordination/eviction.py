"""Make room for a model that finds none, without breaking a last replica."""

from dataclasses import dataclass
from dataclasses import field

from mimosaspur_coordination.draft import Draft
from mimosaspur_coordination.evictionoptions import EvictionOptions
from mimosaspur_coordination.packing import Bin
from mimosaspur_coordination.packing import Need
from mimosaspur_state.bundle import ModelEntry
from mimosaspur_state.placement import Replica
from mimosaspur_state.placement import ReplicaState


@dataclass(slots=True)
class EvictionPlan:
    """Say what must leave one target, and move away from it first, to give room there."""

    removals: list[tuple[str, Replica]] = field(default_factory=list)
    moves: list[tuple[ModelEntry, str]] = field(default_factory=list)
    pending_moves: int = 0

    def cost(self) -> tuple[int, int]:
        """Return what to compare ways by: moves first, then replicas taken away."""
        return (len(self.moves) + self.pending_moves, len(self.removals))


def make_room(draft: Draft, entry: ModelEntry) -> bool:
    """Begin the cheapest way to room for an entry; return False if there is none."""
    if _has_unwanted_replicas(draft, entry):
        # Their room comes without any move; a target that never gives it stops being alive.
        return True
    tries = [_EvictionSearch(draft, entry, room) for room in draft.candidates(entry)]
    ways = [tried.plan for tried in tries if tried.find_by_removals()]
    # A way without moves always costs less, and is far quicker to find.
    ways = ways or [tried.plan for tried in tries if tried.find_by_moves()]
    if not ways:
        return False
    way = min(ways, key=EvictionPlan.cost)
    for moved, target in way.moves:
        draft.start_load(moved, target, f"it moves to give room to {entry.name}")
    if not way.moves and not way.pending_moves:
        for model, replica in way.removals:
            draft.retire(model, replica, f"it gives room to {entry.name}")
    return True


def _has_unwanted_replicas(draft: Draft, entry: ModelEntry) -> bool:
    return any(room.target in draft.targets_with_unwanted for room in draft.candidates(entry))


class _EvictionSearch:
    """Look for a way to give room to an entry on one target."""

    def __init__(self, draft: Draft, entry: ModelEntry, room: Bin) -> None:
        self.draft = draft
        self.need = Need.of(entry)
        self.offer = _cached_offer(draft, room)
        self.trial_bin = self.offer.stages[-1]
        self.plan = EvictionPlan()
        self.other_bins: dict[str, Bin] = {}

    def find_by_removals(self) -> bool:
        """Try with what leaves anyway and replicas that aren't needed."""
        count = self.offer.evictions_needed(self.need)
        self.plan.removals = self.offer.surplus[:count]
        return count is not None

    def find_by_moves(self) -> bool:
        """Try with moves besides; `by_surplus` must have failed before."""
        self.trial_bin = self.trial_bin.copy()
        for held, replica in self.offer.residents:
            if replica.state is not ReplicaState.READY or _is_spare(self.draft, held, replica):
                continue
            if self._move(held, replica):
                _release(self.draft, self.trial_bin, held, replica)
                if self.trial_bin.fits(self.need):
                    return True
        return False

    def _move(self, held: ModelEntry, replica: Replica) -> bool:
        if self.draft.loading(held.name):
            self.plan.pending_moves += 1
            return True
        if replica.version != held.version:
            # It is being replaced itself; its own turn will move it.
            return False
        target = self._find_other_target(held)
        if target is not None:
            self.plan.moves.append((held, target))
        return target is not None

    def _find_other_target(self, held: ModelEntry) -> str | None:
        need = Need.of(held)
        names = [room.target for room in self.draft.candidates_with_room(held)]
        rooms = [self.other_bins.get(name, self.draft.bins[name]) for name in names]
        fitting = [
            item for item in rooms if item.target != self.trial_bin.target and item.fits(need)
        ]
        best = min(fitting, key=lambda item: (item.total_free_mb(), item.target), default=None)
        if best is None:
            return None
        self.other_bins[best.target] = best.copy()
        self.other_bins[best.target].reserve(need)
        return best.target


def _cached_offer(draft: Draft, room: Bin) -> EvictionOptions:
    if room.target not in draft.offers:
        draft.offers[room.target] = _compute_offer(draft, room)
    return draft.offers[room.target]


def _compute_offer(draft: Draft, room: Bin) -> EvictionOptions:
    residents = _residents(draft, room.target)
    trial = room.copy()
    for held, replica in residents:
        if replica.state is ReplicaState.LEAVING:
            _release(draft, trial, held, replica)
    offer = EvictionOptions(residents, [], [trial])
    for held, replica in residents:
        if _is_spare(draft, held, replica):
            trial = trial.copy()
            _release(draft, trial, held, replica)
            offer.surplus.append((held.name, replica))
            offer.stages.append(trial)
    return offer


def _release(draft: Draft, trial: Bin, held: ModelEntry, replica: Replica) -> None:
    chosen = draft.layout(trial.target).get(f"{held.name}@{replica.version}", ())
    trial.release(draft.need_of(held, replica), chosen)


def _residents(draft: Draft, target: str) -> list[tuple[ModelEntry, Replica]]:
    """Return the replicas on a target, the largest first; old versions count as the new."""
    models = draft.view.index.models
    found = [
        (models[name], replica)
        for name in draft.models_by_target.get(target, ())
        if name in models
        for replica in draft.record(name).on_target(target)
    ]
    found.sort(key=lambda item: (Need.of(item[0]).size(), item[0].name), reverse=True)
    return found


def _is_spare(draft: Draft, entry: ModelEntry, replica: Replica) -> bool:
    """Tell whether a ready replica may go and leave another that serves as well."""
    if replica.state is not ReplicaState.READY:
        return False
    good = draft.up_to_date(entry)
    others = [item for item in draft.live_ready(entry.name) if item != replica]
    return len(good) > 1 if replica in good else bool(others)
