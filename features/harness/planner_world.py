"""Simulate a region whose targets apply the planner's changes in any order."""

from harness.planner_target import SimulatedTarget
from harness.planner_target import can_pack
from mimosaspur_coordination.packing import Need
from mimosaspur_coordination.packing import choose_accelerators
from mimosaspur_coordination.planner import plan
from mimosaspur_coordination.view import LoadKey
from mimosaspur_coordination.view import Placed
from mimosaspur_coordination.view import PlannerView
from mimosaspur_coordination.view import RecordChange
from mimosaspur_state.bundle import Bundle
from mimosaspur_state.bundle import BundleIndex
from mimosaspur_state.bundle import ModelEntry
from mimosaspur_state.placement import PlacementRecord
from mimosaspur_state.placement import Replica
from mimosaspur_state.placement import ReplicaState

STEP_MS = 1000
LOAD_TIMEOUT_MS = 40_000


class FixedTokens:
    """Grant a fixed number of tokens."""

    def __init__(self, left: int) -> None:
        self.left = left

    def take(self, n: int = 1) -> bool:
        """Take one token; return False if none is left."""
        self.left -= 1
        return self.left >= 0


class SimulatedRegion:
    """Run the planner against simulated targets and check every state."""

    def __init__(self, capacities: list[tuple[int, ...]], max_concurrent_loads: int) -> None:
        self.targets = {
            f"t{number}": SimulatedTarget(f"t{number}", f"d{number % 2}", capacity)
            for number, capacity in enumerate(capacities)
        }
        self.statuses = {name: target.status() for name, target in self.targets.items()}
        self.max_concurrent_loads = max_concurrent_loads
        self.records: dict[str, Placed] = {}
        self.index = BundleIndex.build(0, Bundle("none", ()))
        self.needs: dict[tuple[str, str], Need] = {}
        self.former_entries: dict[str, ModelEntry] = {}
        self.dead: set[str] = set()
        self.draining: set[str] = set()
        self.loading_since_ms: dict[LoadKey, int] = {}
        self.now_ms = 0
        self.version = 0

    def roll(self, bundle: Bundle) -> None:
        """Put a bundle in force."""
        self.index = BundleIndex.build(self.index.generation + 1, bundle)
        for model in bundle.models:
            self.former_entries[model.resident_id()] = model
            self.needs[(model.name, model.version)] = Need.of(model)

    def run_planner(self) -> list[RecordChange]:
        """Run the planner on the reported statuses."""
        self.now_ms += STEP_MS
        self._track_load_starts()
        view = PlannerView(
            index=self.index,
            placed=dict(self.records),
            alive={name: s for name, s in self.statuses.items() if name not in self.dead},
            now_ms=self.now_ms,
            draining=frozenset(self.draining),
            former_entries=dict(self.former_entries),
            loading_since_ms=dict(self.loading_since_ms),
            max_concurrent_loads=self.max_concurrent_loads,
            load_timeout_ms=LOAD_TIMEOUT_MS,
        )
        return plan(view, FixedTokens(self.max_concurrent_loads))

    def apply_change(self, change: RecordChange) -> None:
        """Apply a change if the record's version still matches, then check the state."""
        known = self.records.get(change.model)
        if (known.version if known else 0) != change.record_version:
            return
        before = known.record if known else PlacementRecord(change.model, 0)
        if change.new is None:
            del self.records[change.model]
        else:
            self._put_record(change.new)
        self._check_last_ready_kept(before, change)
        self.check_limits()

    def apply_records(self, name: str) -> None:
        """Apply all records on one target."""
        if name in self.dead:
            return
        target = self.targets[name]
        for placed in list(self.records.values()):
            for replica in placed.record.on_target(name):
                if replica.state is ReplicaState.LOAD:
                    self._load(target, placed.record.model, replica)
                elif replica.state is ReplicaState.LEAVING:
                    self._complete_leaving(placed.record.model, replica)
                elif (entry := self._wanted_entry(placed.record.model, replica)) is not None:
                    self._update_adapters(target, entry)
        for model, version in list(target.loaded):
            placed_now = self.records.get(model)
            on = placed_now.record.on_target(name) if placed_now else []
            if version not in [replica.version for replica in on]:
                target.unload((model, version))
        self.check_limits()

    def write_status(self, name: str) -> None:
        """Store one target's status."""
        if name not in self.dead:
            self.statuses[name] = self.targets[name].status()

    def run_until_ready(self, rounds: int) -> bool:
        """Run planner and targets in turn; return whether all models are ready and changes end."""
        for _ in range(rounds):
            changes = self.run_planner()
            if not changes and self.all_ready():
                return True
            for change in changes:
                self.apply_change(change)
            for name in self.targets:
                self.apply_records(name)
                self.write_status(name)
        return False

    def all_ready(self) -> bool:
        """Return whether each model has a ready replica of its version."""
        return all(
            any(
                item.version == entry.version
                and item.target not in self.dead
                and self._is_complete(item.target, entry)
                for item in (self.records[name].record.ready() if name in self.records else [])
            )
            for name, entry in self.index.models.items()
        )

    def check_limits(self) -> None:
        """Check the limit on concurrent loads and that each target's memory is enough."""
        loads = [
            item
            for placed in self.records.values()
            for item in placed.record.replicas
            if item.state is ReplicaState.LOAD
        ]
        assert len(loads) <= self.max_concurrent_loads, f"{len(loads)} concurrent loads"
        for name, target in self.targets.items():
            if name in self.dead:
                continue
            planned = {
                (placed.record.model, item.version)
                for placed in self.records.values()
                for item in placed.record.on_target(name)
            }
            # A loaded replica may still have other adapters than the bundle names.
            needs = [held[0] for held in target.loaded.values()]
            needs += [self.needs[key] for key in planned - target.loaded.keys()]
            assert can_pack(list(target.capacity_mb), needs), f"{name} can't hold {needs}"

    def _check_last_ready_kept(self, before: PlacementRecord, change: RecordChange) -> None:
        if change.model not in self.index.models:
            return
        after = change.new.ready() if change.new else []
        had = [item for item in before.ready() if item.target not in self.dead]
        has = [item for item in after if item.target not in self.dead]
        assert has or not had, f"{change} removes the last ready replica"

    def _put_record(self, record: PlacementRecord) -> None:
        self.version += 1
        self.records[record.model] = Placed(record, self.version)

    def _load(self, target: SimulatedTarget, model: str, replica: Replica) -> None:
        need = self.needs[(model, replica.version)]
        free_mb = self._unreserved_mb(target)
        chosen = choose_accelerators(free_mb, need.memory_mb, need.accelerators)
        if chosen is None:
            return
        target.loaded[(model, replica.version)] = (need, chosen)
        ready = Replica(replica.target, replica.version, ReplicaState.READY)
        self._put_record(self.records[model].record.with_replica(ready))

        adapters = self.former_entries[f"{model}@{replica.version}"].adapters
        target.adapters[(model, replica.version)] = {
            item.resident_id(): item.memory_mb for item in adapters
        }

    def _unreserved_mb(self, target: SimulatedTarget) -> list[int]:
        """Return the free memory less what loaded bases still need for adapters."""
        free_mb = target.free_mb()
        for key, (_, chosen) in target.loaded.items():
            entry = self.index.models.get(key[0])
            if entry is None or entry.version != key[1]:
                continue
            present = target.adapters.get(key, {})
            missing = [item for item in entry.adapters if item.resident_id() not in present]
            for index in chosen:
                free_mb[index] -= sum(item.memory_mb for item in missing)
        return free_mb

    def _wanted_entry(self, model: str, replica: Replica) -> ModelEntry | None:
        entry = self.index.models.get(model)
        return entry if entry and entry.version == replica.version else None

    def _is_complete(self, name: str, entry: ModelEntry) -> bool:
        present = self.targets[name].adapters.get((entry.name, entry.version), {})
        return all(item.resident_id() in present for item in entry.adapters)

    def _update_adapters(self, target: SimulatedTarget, entry: ModelEntry) -> None:
        """Load one missing adapter, then unload the replaced ones."""
        key = (entry.name, entry.version)
        present = target.adapters.get(key, {})
        missing = [item for item in entry.adapters if item.resident_id() not in present]
        if missing:
            target.load_adapter(key, missing[0].resident_id(), missing[0].memory_mb)
        wanted = {item.name: item.resident_id() for item in entry.adapters}
        for name in list(present):
            successor = wanted.get(name.rpartition("@")[0])
            if successor is None or (successor != name and successor in present):
                target.unload_adapter(key, name)

    def _complete_leaving(self, model: str, replica: Replica) -> None:
        record = self.records[model].record
        if record.ready() or model not in self.index.models:
            self._put_record(record.without(replica.target, replica.version))

    def _track_load_starts(self) -> None:
        loading = {
            (name, item.target, item.version)
            for name, placed in self.records.items()
            for item in placed.record.replicas
            if item.state is ReplicaState.LOAD
        }
        self.loading_since_ms = {
            key: self.loading_since_ms.get(key, self.now_ms) for key in loading
        }
