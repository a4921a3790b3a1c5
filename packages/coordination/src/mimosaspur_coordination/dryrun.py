"""Simulate a roll from reported target statuses, using the real planner."""

from mimosaspur_coordination.dryruntarget import DryRunTarget
from mimosaspur_coordination.planner import plan
from mimosaspur_coordination.view import DEFAULT_MAX_CONCURRENT_LOADS
from mimosaspur_coordination.view import Placed
from mimosaspur_coordination.view import PlannerView
from mimosaspur_coordination.view import RecordChange
from mimosaspur_state.bundle import Bundle
from mimosaspur_state.bundle import BundleIndex
from mimosaspur_state.bundle import ModelEntry
from mimosaspur_state.placement import PlacementRecord
from mimosaspur_state.placement import Replica
from mimosaspur_state.placement import ReplicaState
from mimosaspur_state.records import TargetStatus

BASE_ROUNDS = 200
ROUNDS_PER_MODEL = 4
STEP_MS = 1000


class _UnlimitedRate:
    """Never limit the rate."""

    def take(self, n: int = 1) -> bool:
        """Return True."""
        return True


class DryRun:
    """Simulate a roll on targets that apply the planner's changes immediately."""

    def __init__(
        self,
        bundle: Bundle,
        in_force: Bundle,
        targets: list[TargetStatus],
        *,
        max_concurrent_loads: int = DEFAULT_MAX_CONCURRENT_LOADS,
    ) -> None:
        self.index = BundleIndex.build(1, bundle)
        self.max_concurrent_loads = max_concurrent_loads
        # The bundle in force takes precedence: it describes what is loaded now.
        self.entries_by_resident = {
            entry.resident_id(): entry for entry in (*bundle.models, *in_force.models)
        }
        self.targets = {
            item.instance: DryRunTarget(item, self.entries_by_resident) for item in targets
        }
        self.draining = frozenset(item.instance for item in targets if item.draining)
        self.placed: dict[str, Placed] = {}
        for name, target in self.targets.items():
            for resident in target.loaded:
                model, _, version = resident.rpartition("@")
                self._put_replica(model, Replica(name, version, ReplicaState.READY))

    def find_unready(self) -> ModelEntry | None:
        """Simulate the roll; return a model whose new version never gets ready, or None."""
        not_ready: list[ModelEntry] = []
        for step in range(BASE_ROUNDS + ROUNDS_PER_MODEL * len(self.index.models)):
            changes = plan(self._view(step * STEP_MS), _UnlimitedRate())
            not_ready = [entry for entry in self.index.models.values() if not self._is_ready(entry)]
            if not not_ready:
                return None
            for change in changes:
                self._apply_change(change)
            answered = self._run_targets()
            if not changes and not answered:
                break
        return not_ready[0] if not_ready else None

    def _view(self, now_ms: int) -> PlannerView:
        return PlannerView(
            index=self.index,
            placed=self.placed,
            alive={name: target.status for name, target in self.targets.items()},
            now_ms=now_ms,
            draining=self.draining,
            former_entries=self.entries_by_resident,
            max_concurrent_loads=self.max_concurrent_loads,
        )

    def _is_ready(self, entry: ModelEntry) -> bool:
        placed = self.placed.get(entry.name)
        ready = placed.record.ready() if placed else []
        return any(
            replica.version == entry.version and self.targets[replica.target].is_complete(entry)
            for replica in ready
        )

    def _apply_change(self, change: RecordChange) -> None:
        if change.new is None:
            self.placed.pop(change.model)
        else:
            self.placed[change.model] = Placed(change.new, 1)

    def _put_replica(self, model: str, replica: Replica) -> None:
        placed = self.placed.get(model)
        record = placed.record if placed else PlacementRecord(model, 0)
        self.placed[model] = Placed(record.with_replica(replica), 1)

    def _run_targets(self) -> bool:
        """Apply the records on all targets; return whether anything changed."""
        requested = [
            (model, replica)
            for model, placed in self.placed.items()
            for replica in placed.record.replicas
        ]
        # Targets load before they unload, so a leaving replica still takes its memory.
        requested.sort(key=lambda item: item[1].state is ReplicaState.LEAVING)
        return sum(self._run_replica(model, replica) for model, replica in requested) > 0

    def _run_replica(self, model: str, replica: Replica) -> bool:
        target = self.targets[replica.target]
        entry = self.index.models.get(model)
        if replica.state is ReplicaState.LEAVING:
            target.unload(f"{model}@{replica.version}")
            rest = self.placed[model].record.without(replica.target, replica.version)
            self.placed[model] = Placed(rest, 1)
            return True
        if entry is None or replica.version != entry.version:
            return False
        if replica.state is ReplicaState.READY:
            return target.update_adapters(entry, self._may_unload)
        if not target.load(entry, self.index.models):
            return False
        self._put_replica(model, Replica(replica.target, replica.version, ReplicaState.READY))
        return True

    def _may_unload(self, adapter: str, holder: ModelEntry) -> bool:
        served = self.index.served.get(adapter)
        if served is None:
            return True
        return served.model.name != holder.name and self._is_ready(served.model)
