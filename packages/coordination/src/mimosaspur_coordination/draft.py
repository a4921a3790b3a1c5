"""Collect the changes of one planning pass."""

from typing import Protocol

from mimosaspur_coordination.layout import Layout
from mimosaspur_coordination.layout import find_layout
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

    def take(self) -> bool:
        """Take one token; return False if there is none."""
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
        self.bins = {
            status.instance: _bin_of(status)
            for status in sorted(view.alive.values(), key=lambda item: item.instance)
            if status.kind == TargetKind.ENGINE.value
        }
        loading = sum(len(_loads(record)) for record in self.records.values())
        self.loads_left = max(0, view.at_once - loading)
        self._hold_promised()

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
        return [item for item in ready if item.version == entry.version and self.stays(item)]

    def loads(self, model: str) -> list[Replica]:
        """Return the replicas that are being loaded."""
        return _loads(self.record(model))

    def candidates(self, entry: ModelEntry) -> list[Bin]:
        """Return the targets that may get a replica of this entry, whatever their room."""
        need = Need.of(entry)
        taken = {item.target for item in self.record(entry.name).replicas if _same(item, entry)}
        return [
            room
            for name, room in self.bins.items()
            if name not in self.view.draining and name not in taken and room.allows(need)
        ]

    def held(self, entry: ModelEntry, replica: Replica) -> Need:
        """Return what a replica of an entry takes, whatever its version."""
        former = self.view.former.get(f"{entry.name}@{replica.version}", entry)
        return Need.of(entry if replica.version == entry.version else former)

    def layout(self, target: str) -> Layout:
        """Return the accelerators by resident of one target, as far as they are known."""
        status = self.view.alive[target]
        entries = {entry.resident(): entry for entry in self.view.index.models.values()}
        known = {**self.view.former, **entries}
        needs = {name: Need.of(known[name]) for name in status.residents if name in known}
        pairs = zip(status.capacity_mb, status.free_mb, strict=True)
        return find_layout([capacity - free for capacity, free in pairs], needs)

    def may_load(self) -> bool:
        """Take the right to start one load; return False if the weight store's limits say no."""
        if self.loads_left == 0:
            return False
        if not self.bucket.take():
            self.loads_left = 0
            return False
        self.loads_left -= 1
        return True

    def load(self, entry: ModelEntry, target: str, reason: str) -> bool:
        """Have a target load the entry; return False if the limits say not now."""
        if not self.may_load():
            return False
        replica = Replica(target, entry.version, ReplicaState.LOAD)
        self.change(entry.name, self.record(entry.name).with_replica(replica), reason)
        self.bins[target].hold(Need.of(entry))
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

    def _hold_promised(self) -> None:
        for model, record in self.records.items():
            entry = self.view.index.models.get(model)
            for replica in record.replicas:
                room = self.bins.get(replica.target)
                if room and entry and replica.version == entry.version:
                    residents = self.view.alive[replica.target].residents
                    missing_mb = _missing_mb(entry, residents)
                    if missing_mb:
                        room.hold(Need(model, missing_mb, entry.accelerators))


def _bin_of(status: TargetStatus) -> Bin:
    return Bin(status.instance, status.failure_domain, status.capacity_mb, list(status.free_mb))


def _loads(record: PlacementRecord) -> list[Replica]:
    return [item for item in record.replicas if item.state is ReplicaState.LOAD]


def _same(replica: Replica, entry: ModelEntry) -> bool:
    return replica.version == entry.version


def _missing_mb(entry: ModelEntry, residents: tuple[str, ...]) -> int:
    base = 0 if entry.resident() in residents else entry.memory_mb
    absent = [item.memory_mb for item in entry.adapters if item.resident() not in residents]
    return base + sum(absent)
