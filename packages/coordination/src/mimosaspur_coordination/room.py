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
class Way:
    """Say what must leave one target, and move away from it first, to give room there."""

    surplus: list[tuple[str, Replica]] = field(default_factory=list)
    moves: list[tuple[ModelEntry, str]] = field(default_factory=list)
    moving: int = 0

    def cost(self) -> tuple[int, int]:
        """Return what to compare ways by: moves first, then replicas taken away."""
        return (len(self.moves) + self.moving, len(self.surplus))


def make_room(draft: Draft, entry: ModelEntry) -> bool:
    """Begin the cheapest way to room for an entry; return False if there is none."""
    if _unwanted_leave(draft, entry):
        # Their room comes without any move; a target that never gives it stops being alive.
        return True
    tries = [_Try(draft, entry, room) for room in draft.candidates(entry)]
    ways = [tried.way for tried in tries if tried.by_surplus()]
    # A way without moves always costs less, and is far quicker to find.
    ways = ways or [tried.way for tried in tries if tried.by_moves()]
    if not ways:
        return False
    way = min(ways, key=Way.cost)
    for moved, target in way.moves:
        draft.load(moved, target, f"it moves to give room to {entry.name}")
    if not way.moves and not way.moving:
        for model, replica in way.surplus:
            draft.leave(model, replica, f"it gives room to {entry.name}")
    return True


def _unwanted_leave(draft: Draft, entry: ModelEntry) -> bool:
    return any(room.target in draft.unwanted_on for room in draft.candidates(entry))


class _Try:
    """Look for a way to give room to an entry on one target."""

    def __init__(self, draft: Draft, entry: ModelEntry, room: Bin) -> None:
        self.draft = draft
        self.need = Need.of(entry)
        self.offer = _offer(draft, room)
        self.trial = self.offer.stages[-1]
        self.way = Way()
        self.others: dict[str, Bin] = {}

    def by_surplus(self) -> bool:
        """Try with what leaves anyway and replicas that aren't needed."""
        count = self.offer.evictions_needed(self.need)
        self.way.surplus = self.offer.surplus[:count]
        return count is not None

    def by_moves(self) -> bool:
        """Try with moves besides; `by_surplus` must have failed before."""
        self.trial = self.trial.copy()
        for held, replica in self.offer.residents:
            if replica.state is not ReplicaState.READY or _spare(self.draft, held, replica):
                continue
            if self._move(held, replica):
                _give_back(self.draft, self.trial, held, replica)
                if self.trial.fits(self.need):
                    return True
        return False

    def _move(self, held: ModelEntry, replica: Replica) -> bool:
        if self.draft.loads(held.name):
            self.way.moving += 1
            return True
        if replica.version != held.version:
            # It is being replaced itself; its own turn will move it.
            return False
        target = self._elsewhere(held)
        if target is not None:
            self.way.moves.append((held, target))
        return target is not None

    def _elsewhere(self, held: ModelEntry) -> str | None:
        need = Need.of(held)
        names = [room.target for room in self.draft.fitting(held)]
        rooms = [self.others.get(name, self.draft.bins[name]) for name in names]
        fitting = [item for item in rooms if item.target != self.trial.target and item.fits(need)]
        best = min(fitting, key=lambda item: (item.total_free(), item.target), default=None)
        if best is None:
            return None
        self.others[best.target] = best.copy()
        self.others[best.target].take(need)
        return best.target


def _offer(draft: Draft, room: Bin) -> EvictionOptions:
    if room.target not in draft.offers:
        draft.offers[room.target] = _work_out(draft, room)
    return draft.offers[room.target]


def _work_out(draft: Draft, room: Bin) -> EvictionOptions:
    residents = _residents(draft, room.target)
    trial = room.copy()
    for held, replica in residents:
        if replica.state is ReplicaState.LEAVING:
            _give_back(draft, trial, held, replica)
    offer = EvictionOptions(residents, [], [trial])
    for held, replica in residents:
        if _spare(draft, held, replica):
            trial = trial.copy()
            _give_back(draft, trial, held, replica)
            offer.surplus.append((held.name, replica))
            offer.stages.append(trial)
    return offer


def _give_back(draft: Draft, trial: Bin, held: ModelEntry, replica: Replica) -> None:
    chosen = draft.layout(trial.target).get(f"{held.name}@{replica.version}", ())
    trial.give_back(draft.held(held, replica), chosen)


def _residents(draft: Draft, target: str) -> list[tuple[ModelEntry, Replica]]:
    """Return the replicas on a target, the largest first; old versions count as the new."""
    models = draft.view.index.models
    found = [
        (models[name], replica)
        for name in draft.models_on.get(target, ())
        if name in models
        for replica in draft.record(name).on(target)
    ]
    found.sort(key=lambda item: (Need.of(item[0]).size(), item[0].name), reverse=True)
    return found


def _spare(draft: Draft, entry: ModelEntry, replica: Replica) -> bool:
    """Tell whether a ready replica may go and leave another that serves as well."""
    if replica.state is not ReplicaState.READY:
        return False
    good = draft.good(entry)
    others = [item for item in draft.live_ready(entry.name) if item != replica]
    return len(good) > 1 if replica in good else bool(others)
