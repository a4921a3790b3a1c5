"""Free memory for a model by retiring or moving replicas, never a last one."""

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
    """List the replicas to retire from one target, and those to move elsewhere first."""

    removals: list[tuple[str, Replica]] = field(default_factory=list)
    moves: list[tuple[ModelEntry, str]] = field(default_factory=list)
    pending_moves: int = 0

    def cost(self) -> tuple[int, int]:
        """Return the sort key: moves first, then removals."""
        return (len(self.moves) + self.pending_moves, len(self.removals))


def make_room(draft: Draft, entry: ModelEntry) -> bool:
    """Start the cheapest plan that frees memory for an entry; return False if there is none."""
    if _has_unwanted_replicas(draft, entry):
        # These free their memory without any move; a target that doesn't is declared dead.
        return True
    searches = [_EvictionSearch(draft, entry, room) for room in draft.candidates(entry)]
    plans = [search.plan for search in searches if search.find_by_removals()]
    # A plan without moves always costs less, and is far quicker to find.
    plans = plans or [search.plan for search in searches if search.find_by_moves()]
    if not plans:
        return False
    plan = min(plans, key=EvictionPlan.cost)
    for moved, target in plan.moves:
        draft.start_load(moved, target, f"it moves to free memory for {entry.name}")
    if not plan.moves and not plan.pending_moves:
        for model, replica in plan.removals:
            draft.retire(model, replica, f"it is retired to free memory for {entry.name}")
    return True


def _has_unwanted_replicas(draft: Draft, entry: ModelEntry) -> bool:
    return any(room.target in draft.targets_with_unwanted for room in draft.candidates(entry))


class _EvictionSearch:
    """Search for a plan that frees memory for an entry on one target."""

    def __init__(self, draft: Draft, entry: ModelEntry, room: Bin) -> None:
        self.draft = draft
        self.need = Need.of(entry)
        self.offer = _cached_offer(draft, room)
        self.trial_bin = self.offer.stages[-1]
        self.plan = EvictionPlan()
        self.other_bins: dict[str, Bin] = {}

    def find_by_removals(self) -> bool:
        """Try with leaving and spare replicas only; return whether that is enough."""
        count = self.offer.evictions_needed(self.need)
        self.plan.removals = self.offer.surplus[:count]
        return count is not None

    def find_by_moves(self) -> bool:
        """Try with moves too, after `find_by_removals` failed; return whether that is enough."""
        self.trial_bin = self.trial_bin.copy()
        for entry, replica in self.offer.residents:
            if replica.state is not ReplicaState.READY or _is_spare(self.draft, entry, replica):
                continue
            if self._move(entry, replica):
                _release(self.draft, self.trial_bin, entry, replica)
                if self.trial_bin.fits(self.need):
                    return True
        return False

    def _move(self, entry: ModelEntry, replica: Replica) -> bool:
        if self.draft.loading(entry.name):
            self.plan.pending_moves += 1
            return True
        if replica.version != entry.version:
            # It is being replaced, which will move it anyway.
            return False
        target = self._find_other_target(entry)
        if target is not None:
            self.plan.moves.append((entry, target))
        return target is not None

    def _find_other_target(self, entry: ModelEntry) -> str | None:
        need = Need.of(entry)
        names = [room.target for room in self.draft.candidates_with_room(entry)]
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
    for entry, replica in residents:
        if replica.state is ReplicaState.LEAVING:
            _release(draft, trial, entry, replica)
    offer = EvictionOptions(residents, [], [trial])
    for entry, replica in residents:
        if _is_spare(draft, entry, replica):
            trial = trial.copy()
            _release(draft, trial, entry, replica)
            offer.surplus.append((entry.name, replica))
            offer.stages.append(trial)
    return offer


def _release(draft: Draft, trial: Bin, entry: ModelEntry, replica: Replica) -> None:
    chosen = draft.layout(trial.target).get(f"{entry.name}@{replica.version}", ())
    trial.release(draft.need_of(entry, replica), chosen)


def _residents(draft: Draft, target: str) -> list[tuple[ModelEntry, Replica]]:
    """Return the replicas on a target, largest first; old versions sort by the new entry."""
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
    """Return whether a ready replica may be retired because another one still serves."""
    if replica.state is not ReplicaState.READY:
        return False
    up_to_date = draft.up_to_date(entry)
    others = [item for item in draft.live_ready(entry.name) if item != replica]
    return len(up_to_date) > 1 if replica in up_to_date else bool(others)
