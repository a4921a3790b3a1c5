"""Stand in for a region whose targets answer the planner in any order."""

from harness.planner_target import SimTarget
from harness.planner_target import any_packing
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


class Tokens:
    """Hand out a fixed number of tokens."""

    def __init__(self, left: int) -> None:
        self.left = left

    def take(self, n: int = 1) -> bool:
        """Take a token if there is one."""
        self.left -= 1
        return self.left >= 0


class World:
    """Run the planner against simulated targets, checking every state that arises."""

    def __init__(self, capacities: list[tuple[int, ...]], at_once: int) -> None:
        self.targets = {
            f"t{number}": SimTarget(f"t{number}", f"d{number % 2}", capacity)
            for number, capacity in enumerate(capacities)
        }
        self.statuses = {name: target.status() for name, target in self.targets.items()}
        self.at_once = at_once
        self.records: dict[str, Placed] = {}
        self.index = BundleIndex.build(0, Bundle("none", ()))
        self.sizes: dict[tuple[str, str], Need] = {}
        self.former: dict[str, ModelEntry] = {}
        self.dead: set[str] = set()
        self.draining: set[str] = set()
        self.since_ms: dict[LoadKey, int] = {}
        self.now_ms = 0
        self.version = 0

    def roll(self, bundle: Bundle) -> None:
        """Put a bundle in force."""
        self.index = BundleIndex.build(self.index.generation + 1, bundle)
        for model in bundle.models:
            self.former[model.resident()] = model
            self.sizes[(model.name, model.version)] = Need.of(model)

    def decide(self) -> list[RecordChange]:
        """Have the planner decide from what it can see."""
        self.now_ms += STEP_MS
        self._note_loads()
        view = PlannerView(
            index=self.index,
            placed=dict(self.records),
            alive={name: s for name, s in self.statuses.items() if name not in self.dead},
            now_ms=self.now_ms,
            draining=frozenset(self.draining),
            former=dict(self.former),
            loading_since_ms=dict(self.since_ms),
            at_once=self.at_once,
            load_timeout_ms=LOAD_TIMEOUT_MS,
        )
        return plan(view, Tokens(self.at_once))

    def write(self, change: RecordChange) -> None:
        """Apply a planner's change if its version still holds, and check what it leaves."""
        known = self.records.get(change.model)
        if (known.version if known else 0) != change.record_version:
            return
        before = known.record if known else PlacementRecord(change.model, 0)
        if change.new is None:
            del self.records[change.model]
        else:
            self._put(change.new)
        self._check_last_kept(before, change)
        self.check()

    def answer(self, name: str) -> None:
        """Have one target do all that its records ask of it."""
        if name in self.dead:
            return
        target = self.targets[name]
        for placed in list(self.records.values()):
            for replica in placed.record.on(name):
                if replica.state is ReplicaState.LOAD:
                    self._load(target, placed.record.model, replica)
                elif replica.state is ReplicaState.LEAVING:
                    self._let_go(placed.record.model, replica)
                elif (entry := self._wanted(placed.record.model, replica)) is not None:
                    self._grow(target, entry)
        for model, version in list(target.held):
            placed_now = self.records.get(model)
            on = placed_now.record.on(name) if placed_now else []
            if version not in [replica.version for replica in on]:
                target.drop((model, version))
        self.check()

    def report(self, name: str) -> None:
        """Have one target write its status."""
        if name not in self.dead:
            self.statuses[name] = self.targets[name].status()

    def settle(self, rounds: int) -> bool:
        """Let all run in turn; tell whether every model became ready and all is at rest."""
        for _ in range(rounds):
            changes = self.decide()
            if not changes and self.all_ready():
                return True
            for change in changes:
                self.write(change)
            for name in self.targets:
                self.answer(name)
                self.report(name)
        return False

    def all_ready(self) -> bool:
        """Tell whether each model has a ready replica of its version."""
        return all(
            any(
                item.version == entry.version
                and item.target not in self.dead
                and self._whole(item.target, entry)
                for item in (self.records[name].record.ready() if name in self.records else [])
            )
            for name, entry in self.index.models.items()
        )

    def check(self) -> None:
        """Check the limits and the memory, stated plainly."""
        loads = [
            item
            for placed in self.records.values()
            for item in placed.record.replicas
            if item.state is ReplicaState.LOAD
        ]
        assert len(loads) <= self.at_once, f"{len(loads)} loads at once"
        for name, target in self.targets.items():
            if name in self.dead:
                continue
            planned = {
                (placed.record.model, item.version)
                for placed in self.records.values()
                for item in placed.record.on(name)
            }
            # What a target holds may still have other adapters than the bundle names.
            needs = [held[0] for held in target.held.values()]
            needs += [self.sizes[key] for key in planned - target.held.keys()]
            assert any_packing(list(target.capacity_mb), needs), f"{name} can't hold {needs}"

    def _check_last_kept(self, before: PlacementRecord, change: RecordChange) -> None:
        if change.model not in self.index.models:
            return
        after = change.new.ready() if change.new else []
        had = [item for item in before.ready() if item.target not in self.dead]
        has = [item for item in after if item.target not in self.dead]
        assert has or not had, f"{change} takes the last ready replica"

    def _put(self, record: PlacementRecord) -> None:
        self.version += 1
        self.records[record.model] = Placed(record, self.version)

    def _load(self, target: SimTarget, model: str, replica: Replica) -> None:
        need = self.sizes[(model, replica.version)]
        free_mb = self._free_besides_promised(target)
        chosen = choose_accelerators(free_mb, need.memory_mb, need.accelerators)
        if chosen is None:
            return
        target.held[(model, replica.version)] = (need, chosen)
        ready = Replica(replica.target, replica.version, ReplicaState.READY)
        self._put(self.records[model].record.with_replica(ready))

        adapters = self.former[f"{model}@{replica.version}"].adapters
        target.adapters[(model, replica.version)] = {
            item.resident(): item.memory_mb for item in adapters
        }

    def _free_besides_promised(self, target: SimTarget) -> list[int]:
        """Leave room for adapters that bases on the target still need, as an engine keeper does."""
        free_mb = target.free_mb()
        for key, (_, chosen) in target.held.items():
            entry = self.index.models.get(key[0])
            if entry is None or entry.version != key[1]:
                continue
            present = target.adapters.get(key, {})
            missing = [item for item in entry.adapters if item.resident() not in present]
            for index in chosen:
                free_mb[index] -= sum(item.memory_mb for item in missing)
        return free_mb

    def _wanted(self, model: str, replica: Replica) -> ModelEntry | None:
        entry = self.index.models.get(model)
        return entry if entry and entry.version == replica.version else None

    def _whole(self, name: str, entry: ModelEntry) -> bool:
        present = self.targets[name].adapters.get((entry.name, entry.version), {})
        return all(item.resident() in present for item in entry.adapters)

    def _grow(self, target: SimTarget, entry: ModelEntry) -> None:
        """Load one missing adapter, as an engine keeper does, then unload what it replaces."""
        key = (entry.name, entry.version)
        present = target.adapters.get(key, {})
        missing = [item for item in entry.adapters if item.resident() not in present]
        if missing:
            target.add_adapter(key, missing[0].resident(), missing[0].memory_mb)
        wanted = {item.name: item.resident() for item in entry.adapters}
        for name in list(present):
            successor = wanted.get(name.rpartition("@")[0])
            if successor is None or (successor != name and successor in present):
                target.drop_adapter(key, name)

    def _let_go(self, model: str, replica: Replica) -> None:
        record = self.records[model].record
        if record.ready() or model not in self.index.models:
            self._put(record.without(replica.target, replica.version))

    def _note_loads(self) -> None:
        loading = {
            (name, item.target, item.version)
            for name, placed in self.records.items()
            for item in placed.record.replicas
            if item.state is ReplicaState.LOAD
        }
        self.since_ms = {key: self.since_ms.get(key, self.now_ms) for key in loading}
