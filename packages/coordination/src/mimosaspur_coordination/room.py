"""Make room for a model that finds none, without breaking a last replica."""

from dataclasses import dataclass
from dataclasses import field

from mimosaspur_coordination.draft import Draft
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


def give_room(draft: Draft, entry: ModelEntry) -> bool:
    """Begin the cheapest way to room for an entry; return False if there is none."""
    if _unwanted_leave(draft, entry):
        # Their room comes without any move; a target that never gives it stops being alive.
        return True
    ways = [way for room in draft.candidates(entry) if (way := _way(draft, entry, room))]
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
    targets = {room.target for room in draft.candidates(entry)}
    unwanted = [name for name in draft.records if name not in draft.view.index.models]
    return any(
        replica.target in targets for name in unwanted for replica in draft.records[name].replicas
    )


def _way(draft: Draft, entry: ModelEntry, room: Bin) -> Way | None:
    need = Need.of(entry)
    trial = room.copy()
    way = Way()
    residents = _residents(draft, room.target)
    layout = draft.layout(room.target)
    for held, replica in residents:
        if replica.state is ReplicaState.LEAVING:
            trial.give_back(draft.held(held, replica), layout.get(_resident(replica, held), ()))
    if trial.fits(need):
        return way
    for held, replica in residents:
        if _spare(draft, held, replica):
            trial.give_back(draft.held(held, replica), layout.get(_resident(replica, held), ()))
            way.surplus.append((held.name, replica))
            if trial.fits(need):
                return way
    return _way_by_moves(draft, need, trial, way, residents)


def _way_by_moves(
    draft: Draft,
    need: Need,
    trial: Bin,
    way: Way,
    residents: list[tuple[ModelEntry, Replica]],
) -> Way | None:
    layout = draft.layout(trial.target)
    others = {name: item.copy() for name, item in draft.bins.items()}
    for held, replica in residents:
        if replica.state is not ReplicaState.READY or _spare(draft, held, replica):
            continue
        if draft.loads(held.name):
            way.moving += 1
        elif replica.version != held.version:
            # It is being replaced itself; its own turn will move it.
            continue
        else:
            target = _elsewhere(draft, held, others, trial.target)
            if target is None:
                continue
            way.moves.append((held, target))
        trial.give_back(draft.held(held, replica), layout.get(_resident(replica, held), ()))
        if trial.fits(need):
            return way
    return None


def _elsewhere(draft: Draft, entry: ModelEntry, others: dict[str, Bin], target: str) -> str | None:
    need = Need.of(entry)
    names = [room.target for room in draft.candidates(entry) if room.target != target]
    names.sort(key=lambda name: (others[name].total_free(), name))
    return next((name for name in names if others[name].take(need)), None)


def _residents(draft: Draft, target: str) -> list[tuple[ModelEntry, Replica]]:
    """Return the replicas on a target, the largest first; old versions count as the new."""
    found = [
        (entry, replica)
        for name, entry in draft.view.index.models.items()
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


def _resident(replica: Replica, entry: ModelEntry) -> str:
    return f"{entry.name}@{replica.version}"
