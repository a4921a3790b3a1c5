"""Remove replicas that are unwanted, dead, timed out, outdated or on draining targets."""

from mimosaspur_coordination.draft import Draft
from mimosaspur_state.bundle import ModelEntry
from mimosaspur_state.placement import Replica
from mimosaspur_state.placement import ReplicaState


def retire_unwanted(draft: Draft) -> None:
    """Remove the models that the bundle in force no longer names."""
    for model in list(draft.records):
        if model in draft.view.index.models:
            continue
        if not draft.records[model].replicas:
            draft.update_record(model, draft.records[model], "the bundle no longer names it")
        for replica in draft.records[model].replicas:
            if replica.state is ReplicaState.LOAD or not draft.is_live(replica):
                draft.drop(model, replica, "the bundle no longer names it")
            elif replica.state is ReplicaState.READY and not _has_pending_handover(
                draft, model, replica
            ):
                draft.retire(model, replica, "the bundle no longer names it")


def drop_dead(draft: Draft, entry: ModelEntry) -> None:
    """Drop replicas of dead targets: loads immediately, others once a replacement is ready."""
    replaced = bool(draft.up_to_date(entry))
    for replica in draft.record(entry.name).replicas:
        if draft.is_live(replica):
            continue
        if replica.state is ReplicaState.LOAD or replaced:
            draft.drop(entry.name, replica, f"target {replica.target} is not alive")


def drop_obsolete_loads(draft: Draft, entry: ModelEntry) -> None:
    """Drop loads of other versions, on draining targets, and those that timed out."""
    for replica in draft.loading(entry.name):
        if replica.version != entry.version:
            draft.drop(entry.name, replica, f"version {replica.version} is no longer wanted")
        elif not draft.is_staying(replica):
            draft.drop(entry.name, replica, f"target {replica.target} is draining or dead")
        elif _is_load_timed_out(draft, entry, replica):
            draft.drop(entry.name, replica, f"target {replica.target} did not load it in time")


def retire_replaced(draft: Draft, entry: ModelEntry) -> None:
    """Retire replicas that are outdated, draining or lack adapter memory, once replaced."""
    up_to_date = draft.up_to_date(entry)
    if not up_to_date:
        return
    ready = draft.live_ready(entry.name)
    outgoing = [replica for replica in ready if replica not in up_to_date]
    # Replicas on draining targets go first: their instances wait for it.
    outgoing.sort(key=draft.is_staying)
    surplus = len(ready) - entry.replicas
    if surplus <= 0 and outgoing and not _can_add_replica(draft, entry):
        surplus = 1
    for replica in outgoing[: max(0, surplus)]:
        draft.retire(entry.name, replica, f"a replacement for {replica.target} is ready")


def _has_pending_handover(draft: Draft, model: str, replica: Replica) -> bool:
    """Return whether another model takes over one of its adapters and is not ready yet."""
    former = draft.view.former_entries.get(f"{model}@{replica.version}")
    for adapter in former.adapters if former else ():
        served = draft.view.index.served.get(adapter.name)
        # An engine can't hold a resident twice: the same version waits for this unload.
        if served is None or served.resident_id() == adapter.resident_id():
            continue
        if not draft.up_to_date(served.model) and _can_add_replica(draft, served.model):
            return True
    return False


def _is_load_timed_out(draft: Draft, entry: ModelEntry, replica: Replica) -> bool:
    view = draft.view
    since_ms = view.loading_since_ms.get((entry.name, replica.target, replica.version))
    return since_ms is not None and view.now_ms - since_ms >= view.load_timeout_ms


def _can_add_replica(draft: Draft, entry: ModelEntry) -> bool:
    """Return whether another replica is loading or has room."""
    return bool(draft.loading(entry.name)) or draft.has_room(entry)
