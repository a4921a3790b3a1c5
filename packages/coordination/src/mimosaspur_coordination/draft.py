"""Collect the changes of one planning pass."""

from collections.abc import Iterator
from functools import cached_property
from typing import Protocol

from mimosaspur_coordination.adaptermemory import lacks_adapter_memory
from mimosaspur_coordination.adaptermemory import missing_adapters
from mimosaspur_coordination.evictionoptions import EvictionOptions
from mimosaspur_coordination.layout import Layout
from mimosaspur_coordination.layout import accelerators_of
from mimosaspur_coordination.layout import layout_of
from mimosaspur_coordination.packing import Bin
from mimosaspur_coordination.packing import Need
from mimosaspur_coordination.view import PlannerView
from mimosaspur_coordination.view import RecordChange
from mimosaspur_state.bundle import ModelEntry
from mimosaspur_state.objects import ABSENT
from mimosaspur_state.placement import PlacementRecord
from mimosaspur_state.placement import Replica
from mimosaspur_state.placement import ReplicaState
from mimosaspur_state.records import TargetStatus
from mimosaspur_state.settings import TargetKind


class Bucket(Protocol):
    """Bound a rate."""

    def take(self, n: int = 1) -> bool:
        """Take n tokens; return False if there is none now."""
        ...


class Draft:
    """Hold the records as this pass leaves them and the room that is left.

    Each record's change must be safe alone, since any of them may fail to be written. So
    room and load places that one change gives up are not used by another in the same pass.
    """

    def __init__(self, view: PlannerView, bucket: Bucket) -> None:
        self.view = view
        self.bucket = bucket
        self.records = {name: placed.record for name, placed in view.placed.items()}
        self.reasons: dict[str, list[str]] = {}
        loading = sum(len(_loads(record)) for record in self.records.values())
        self.loads_left = max(0, view.at_once - loading)
        self.most_free: dict[tuple[int, tuple[str, ...]], int] = {}
        self.layouts: dict[str, Layout] = {}
        self.offers: dict[str, EvictionOptions] = {}

    @cached_property
    def bins(self) -> dict[str, Bin]:
        """Hold the room of each target, without what this pass gives up."""
        bins = {
            status.instance: Bin.of(status)
            for status in sorted(self.view.alive.values(), key=lambda item: item.instance)
            if status.kind == TargetKind.ENGINE.value
        }
        for model, placed in self.view.placed.items():
            entry = self.view.index.models.get(model)
            if entry:
                self._hold_promised(bins, entry, placed.record)
        return bins

    @cached_property
    def models_on(self) -> dict[str, set[str]]:
        """Hold by target the models whose record names it, or named it in this pass."""
        found: dict[str, set[str]] = {}
        for model, record in self.records.items():
            for replica in record.replicas:
                found.setdefault(replica.target, set()).add(model)
        return found

    @cached_property
    def unwanted_on(self) -> set[str]:
        """Hold the targets with models that the bundle doesn't name, as first asked for."""
        unwanted = self.records.keys() - self.view.index.models.keys()
        return {item.target for model in unwanted for item in self.records[model].replicas}

    @cached_property
    def busy(self) -> set[str]:
        """Hold the targets that load a model's only replica, as first asked for in this pass."""
        return {
            replica.target
            for model, record in self.records.items()
            if (loads := _loads(record)) and not self._served(model)
            for replica in loads
        }

    def record(self, model: str) -> PlacementRecord:
        """Return a model's record as this pass leaves it."""
        found = self.records.get(model)
        return found or PlacementRecord(model, self.view.index.generation)

    def live(self, replica: Replica) -> bool:
        """Tell whether a replica's target is alive."""
        return replica.target in self.view.alive

    def stays(self, replica: Replica) -> bool:
        """Tell whether a replica's target is alive and not told to leave."""
        return self.live(replica) and replica.target not in self.view.draining

    def live_ready(self, model: str) -> list[Replica]:
        """Return the ready replicas on live targets, of any version."""
        return [replica for replica in self.record(model).ready() if self.live(replica)]

    def good(self, entry: ModelEntry) -> list[Replica]:
        """Return the ready replicas of the wanted version on targets that stay."""
        ready = self.record(entry.name).ready()
        return [
            item
            for item in ready
            if item.version == entry.version
            and self.stays(item)
            and not self._lacks_room(entry, item)
        ]

    def loads(self, model: str) -> list[Replica]:
        """Return the replicas that are being loaded."""
        return _loads(self.record(model))

    def candidates(self, entry: ModelEntry) -> Iterator[Bin]:
        """Yield the targets that may get a replica of this entry, whatever their room."""
        need = Need.of(entry)
        taken = {item.target for item in self.record(entry.name).replicas if _same(item, entry)}
        for name, room in self.bins.items():
            if name not in self.view.draining and name not in taken and room.allows(need):
                yield room

    def fitting(self, entry: ModelEntry) -> list[Bin]:
        """Return the candidates that have room."""
        need = Need.of(entry)
        if not self._may_fit(need):
            return []
        return [room for room in self.candidates(entry) if room.fits(need)]

    def has_room(self, entry: ModelEntry) -> bool:
        """Tell whether any candidate has room."""
        need = Need.of(entry)
        return self._may_fit(need) and any(room.fits(need) for room in self.candidates(entry))

    def held(self, entry: ModelEntry, replica: Replica) -> Need:
        """Return what a replica of an entry takes, whatever its version."""
        resident = f"{entry.name}@{replica.version}"
        former = self.view.former.get(resident, entry)
        shape = entry if replica.version == entry.version else former
        status = self.view.alive.get(replica.target)
        if status is None or resident not in status.held_mb:
            return Need.of(shape)
        chosen = accelerators_of(status, resident)
        return Need(entry.name, status.held_mb[resident], len(chosen) or shape.accelerators)

    def layout(self, target: str) -> Layout:
        """Return the accelerators by resident of one target, as far as they are known."""
        if target not in self.layouts:
            status = self.view.alive[target]
            known = {name: self._entry_of(name) for name in status.residents}
            needs = {name: Need.of(entry) for name, entry in known.items() if entry}
            self.layouts[target] = layout_of(status, needs)
        return self.layouts[target]

    def is_free_to_load(self, target: str) -> bool:
        """Tell whether a target may be given a load now.

        A target lays out its accelerators in the order in which it sees its loads. One load at
        a time leaves no doubt where each one comes to lie.
        """
        if len(self.bins[target].capacity_mb) < 2:
            return True
        return not any(
            replica.target == target
            for model in self.models_on.get(target, ())
            for replica in self.loads(model)
        )

    def may_load(self, entry: ModelEntry) -> bool:
        """Take the right to start one load; return False if the weight store's limits say no."""
        if self.loads_left == 0:
            return False
        # The target reads the weights of the model and of each adapter, one after the other.
        if not self.bucket.take(1 + len(entry.adapters)):
            self.loads_left = 0
            return False
        self.loads_left -= 1
        return True

    def load(self, entry: ModelEntry, target: str, reason: str) -> bool:
        """Have a target load the entry; return False if the limits say not now."""
        if not self.is_free_to_load(target) or not self.may_load(entry):
            return False
        replica = Replica(target, entry.version, ReplicaState.LOAD)
        self.change(entry.name, self.record(entry.name).with_replica(replica), reason)
        self.bins[target].hold(Need.of(entry))
        self.models_on.setdefault(target, set()).add(entry.name)
        return True

    def leave(self, model: str, replica: Replica, reason: str) -> None:
        """Have a target unload a replica."""
        leaving = Replica(replica.target, replica.version, ReplicaState.LEAVING)
        self.change(model, self.record(model).with_replica(leaving), reason)

    def drop(self, model: str, replica: Replica, reason: str) -> None:
        """Take a replica out of its record without its target."""
        rest = self.record(model).without(replica.target, replica.version)
        self.change(model, rest, reason)

    def change(self, model: str, record: PlacementRecord, reason: str) -> None:
        """Put a changed record in place of a model's former one."""
        for replica in (*self.record(model).replicas, *record.replicas):
            self.offers.pop(replica.target, None)
        generation = self.view.index.generation
        self.records[model] = PlacementRecord(model, generation, record.replicas)
        self.reasons.setdefault(model, []).append(reason)

    def changes(self) -> list[RecordChange]:
        """Return the changes, one for each record, in the order in which they were decided."""
        return [
            RecordChange(model, self._version(model), self._outcome(model), "; ".join(reasons))
            for model, reasons in self.reasons.items()
        ]

    def _version(self, model: str) -> int:
        placed = self.view.placed.get(model)
        return placed.version if placed else ABSENT

    def _outcome(self, model: str) -> PlacementRecord | None:
        record = self.records[model]
        unwanted = model not in self.view.index.models
        return None if unwanted and not record.replicas else record

    def _hold_promised(
        self, bins: dict[str, Bin], entry: ModelEntry, record: PlacementRecord
    ) -> None:
        for replica in record.replicas:
            room = bins.get(replica.target)
            if room is None or replica.version != entry.version:
                continue
            status = self.view.alive[replica.target]
            missing_mb = _missing_mb(entry, status)
            if missing_mb:
                # Also a replica without that room takes its adapters as soon as there is room.
                need = Need(entry.name, missing_mb, entry.accelerators)
                room.hold(need, accelerators_of(status, entry.resident()))

    def _lacks_room(self, entry: ModelEntry, replica: Replica) -> bool:
        status = self.view.alive[replica.target]
        return bool(entry.adapters) and lacks_adapter_memory(self.view.index, entry, status)

    def _served(self, model: str) -> bool:
        entry = self.view.index.models.get(model)
        return entry is None or bool(self.good(entry))

    def _entry_of(self, resident: str) -> ModelEntry | None:
        entry = self.view.index.models.get(resident.rpartition("@")[0])
        if entry and entry.resident() == resident:
            return entry
        return self.view.former.get(resident)

    def _may_fit(self, need: Need) -> bool:
        """Tell quickly that no target has room: in one pass, room only gets less."""
        key = (need.accelerators, need.domains)
        if key not in self.most_free:
            rooms = [room for name, room in self.bins.items() if name not in self.view.draining]
            free = [room.free_on(need.accelerators) for room in rooms if room.allows(need)]
            self.most_free[key] = max(free, default=0)
        return need.memory_mb <= self.most_free[key]


def _loads(record: PlacementRecord) -> list[Replica]:
    return [item for item in record.replicas if item.state is ReplicaState.LOAD]


def _same(replica: Replica, entry: ModelEntry) -> bool:
    return replica.version == entry.version


def _missing_mb(entry: ModelEntry, status: TargetStatus) -> int:
    base = 0 if entry.resident() in status.residents else entry.memory_mb
    if not entry.adapters:
        return base
    return base + sum(item.memory_mb for item in missing_adapters(entry, status))
