"""Plan without make-before-break, as a baseline for measurements."""

from random import Random

from mimosaspur_coordination.draft import Draft
from mimosaspur_coordination.draft import RateLimiter
from mimosaspur_coordination.packing import Need
from mimosaspur_coordination.replicaremoval import drop_obsolete_loads
from mimosaspur_coordination.replicaremoval import retire_unwanted
from mimosaspur_coordination.view import PlannerView
from mimosaspur_coordination.view import RecordChange
from mimosaspur_state.bundle import ModelEntry
from mimosaspur_state.placement import ReplicaState


def plan_naively(
    view: PlannerView, rate_limiter: RateLimiter, random: Random
) -> list[RecordChange]:
    """Return break-before-make changes that place loads on random targets."""
    draft = Draft(view, rate_limiter)
    retire_unwanted(draft)
    for entry in view.index.models.values():
        drop_obsolete_loads(draft, entry)
        _remove_outdated(draft, entry)
        if len(draft.record(entry.name).replicas) < entry.replicas:
            _load_on_random_target(draft, entry, random)
    return draft.changes()


def _remove_outdated(draft: Draft, entry: ModelEntry) -> None:
    for replica in draft.record(entry.name).replicas:
        if not draft.is_live(replica):
            draft.drop(entry.name, replica, "its target is not alive")
        elif replica.version == entry.version and draft.is_staying(replica):
            continue
        elif replica.state is ReplicaState.READY:
            # A target doesn't unload a last ready replica, so it is removed from the record.
            draft.drop(entry.name, replica, "it is outdated or its target is draining")


def _load_on_random_target(draft: Draft, entry: ModelEntry, random: Random) -> None:
    need = Need.of(entry)
    fitting = [room for room in draft.candidates(entry) if room.fits(need)]
    if fitting:
        draft.start_load(entry, random.choice(fitting).target, "it has too few replicas")
