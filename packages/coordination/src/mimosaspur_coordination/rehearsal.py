"""Rehearse a roll from what targets report, with the planner itself deciding the moves."""

from mimosaspur_coordination.layout import Layout
from mimosaspur_coordination.layout import find_layout
from mimosaspur_coordination.packing import Bin
from mimosaspur_coordination.packing import Need
from mimosaspur_coordination.packing import choose_accelerators
from mimosaspur_coordination.planner import plan
from mimosaspur_coordination.view import Placed
from mimosaspur_coordination.view import PlannerView
from mimosaspur_state.bundle import Bundle
from mimosaspur_state.bundle import BundleIndex
from mimosaspur_state.bundle import ModelEntry
from mimosaspur_state.placement import PlacementRecord
from mimosaspur_state.placement import Replica
from mimosaspur_state.placement import ReplicaState
from mimosaspur_state.records import TargetStatus

ROUNDS = 200
STEP_MS = 1000


class _Unlimited:
    """Give a token whenever asked."""

    def take(self) -> bool:
        """Take a token."""
        return True


class Rehearsal:
    """Stand in for targets that do at once what the planner asks of them."""

    def __init__(self, bundle: Bundle, in_force: Bundle, targets: list[TargetStatus]) -> None:
        self.index = BundleIndex.build(1, bundle)
        self.statuses = {status.instance: status for status in targets}
        self.bins = {name: _bin(status) for name, status in self.statuses.items()}
        self.entries = {entry.resident(): entry for entry in (*in_force.models, *bundle.models)}
        self.held: dict[tuple[str, str], tuple[Need, tuple[int, ...]]] = {}
        self.records: dict[str, PlacementRecord] = {}
        for status in targets:
            layout = self._layout(status)
            for resident in status.residents:
                self._find(status.instance, resident, layout.get(resident, ()))

    def unready(self) -> ModelEntry | None:
        """Run the roll; return a model that never gets its new version ready, or None."""
        for step in range(ROUNDS):
            changes = plan(self._view(step * STEP_MS), _Unlimited())
            waiting = [entry for entry in self.index.models.values() if not self._ready(entry)]
            if not waiting:
                return None
            if not changes:
                return waiting[0]
            for change in changes:
                if change.new is None:
                    self.records.pop(change.model)
                else:
                    self.records[change.model] = change.new
            self._answer()
        return waiting[0]

    def _layout(self, status: TargetStatus) -> Layout:
        known = [name for name in status.residents if name in self.entries]
        needs = {name: Need.of(self.entries[name]) for name in known}
        pairs = zip(status.capacity_mb, status.free_mb, strict=True)
        return find_layout([capacity - free for capacity, free in pairs], needs)

    def _find(self, target: str, resident: str, chosen: tuple[int, ...]) -> None:
        entry = self.entries.get(resident)
        if entry is None:
            return
        record = self.records.get(entry.name, PlacementRecord(entry.name, 0))
        replica = Replica(target, entry.version, ReplicaState.READY)
        self.records[entry.name] = record.with_replica(replica)
        self.held[(target, resident)] = (Need.of(entry), chosen)

    def _view(self, now_ms: int) -> PlannerView:
        for name, status in self.statuses.items():
            residents = [resident for target, resident in self.held if target == name]
            adapters = [
                adapter.resident()
                for resident in residents
                for adapter in self.entries[resident].adapters
            ]
            self.statuses[name] = TargetStatus.from_value(
                {
                    **status.to_value(),
                    "free_mb": list(self.bins[name].free_mb),
                    "residents": residents + adapters,
                }
            )
        return PlannerView(
            index=self.index,
            placed={name: Placed(record, 1) for name, record in self.records.items()},
            alive=self.statuses,
            now_ms=now_ms,
            draining=frozenset(n for n, status in self.statuses.items() if status.draining),
            former=self.entries,
        )

    def _ready(self, entry: ModelEntry) -> bool:
        record = self.records.get(entry.name)
        ready = record.ready() if record else []
        return any(replica.version == entry.version for replica in ready)

    def _answer(self) -> None:
        for name, record in self.records.items():
            for replica in record.replicas:
                resident = f"{name}@{replica.version}"
                key = (replica.target, resident)
                if replica.state is ReplicaState.LEAVING:
                    self.bins[replica.target].give_back(*self.held.pop(key))
                    record = record.without(replica.target, replica.version)
                elif replica.state is ReplicaState.LOAD:
                    need = Need.of(self.entries[resident])
                    free_mb = self.bins[replica.target].free_mb
                    chosen = choose_accelerators(free_mb, need.memory_mb, need.accelerators)
                    if chosen and self.bins[replica.target].take(need):
                        self.held[key] = (need, chosen)
                        ready = Replica(replica.target, replica.version, ReplicaState.READY)
                        record = record.with_replica(ready)
            self.records[name] = record


def _bin(status: TargetStatus) -> Bin:
    return Bin(status.instance, status.failure_domain, status.capacity_mb, list(status.free_mb))
