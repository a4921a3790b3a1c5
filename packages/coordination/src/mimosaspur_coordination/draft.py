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


class RateLimiter(Protocol):
    """Limit a rate with tokens."""

    def take(self, n: int = 1) -> bool:
        """Take n tokens; return False if there is none now."""
        ...


class Draft:
    """Track the records and free memory as one planning pass changes them.

    Any change may fail to be written, so each must be safe alone: memory and load slots that
    one change releases are not reused by another in the same pass.
    """

    def __init__(self, view: PlannerView, rate_limiter: RateLimiter) -> None:
        self.view = view
        self.rate_limiter = rate_limiter
        self.records = {name: placed.record for name, placed in view.placed.items()}
        self.reasons: dict[str, list[str]] = {}
        loading = sum(len(_loading_replicas(record)) for record in self.records.values())
        self.remaining_loads = max(0, view.max_concurrent_loads - loading)
        self.max_free_mb: dict[tuple[int, tuple[str, ...]], int] = {}
        self.layouts: dict[str, Layout] = {}
        self.offers: dict[str, EvictionOptions] = {}

    @cached_property
    def bins(self) -> dict[str, Bin]:
        """Return the free memory by target, without memory that this pass releases."""
        bins = {
            status.instance: Bin.of(status)
            for status in sorted(self.view.alive.values(), key=lambda item: item.instance)
            if status.kind == TargetKind.ENGINE.value
        }
        for model, placed in self.view.placed.items():
            entry = self.view.index.models.get(model)
            if entry:
                self._reserve_missing(bins, entry, placed.record)
        return bins

    @cached_property
    def models_by_target(self) -> dict[str, set[str]]:
        """Return the models by target, including those removed in this pass."""
        found: dict[str, set[str]] = {}
        for model, record in self.records.items():
            for replica in record.replicas:
                found.setdefault(replica.target, set()).add(model)
        return found

    @cached_property
    def targets_with_unwanted(self) -> set[str]:
        """Return the targets with models outside the bundle, as of the first access."""
        unwanted = self.records.keys() - self.view.index.models.keys()
        return {item.target for model in unwanted for item in self.records[model].replicas}

    @cached_property
    def loading_sole_replica(self) -> set[str]:
        """Return the targets that load a model's only replica, as of the first access."""
        return {
            replica.target
            for model, record in self.records.items()
            if (loads := _loading_replicas(record)) and not self._is_served(model)
            for replica in loads
        }

    def record(self, model: str) -> PlacementRecord:
        """Return a model's record with the changes of this pass."""
        found = self.records.get(model)
        return found or PlacementRecord(model, self.view.index.generation)

    def is_live(self, replica: Replica) -> bool:
        """Return whether a replica's target is alive."""
        return replica.target in self.view.alive

    def is_staying(self, replica: Replica) -> bool:
        """Return whether a replica's target is alive and not draining."""
        return self.is_live(replica) and replica.target not in self.view.draining

    def live_ready(self, model: str) -> list[Replica]:
        """Return the ready replicas on live targets, of any version."""
        return [replica for replica in self.record(model).ready() if self.is_live(replica)]

    def up_to_date(self, entry: ModelEntry) -> list[Replica]:
        """Return ready replicas of the wanted version, with adapter room and a staying target."""
        ready = self.record(entry.name).ready()
        return [
            item
            for item in ready
            if item.version == entry.version
            and self.is_staying(item)
            and not self._lacks_adapter_room(entry, item)
        ]

    def loading(self, model: str) -> list[Replica]:
        """Return the replicas that are being loaded."""
        return _loading_replicas(self.record(model))

    def candidates(self, entry: ModelEntry) -> Iterator[Bin]:
        """Yield the targets that may get a replica of this entry, regardless of free memory."""
        need = Need.of(entry)
        taken = {
            item.target
            for item in self.record(entry.name).replicas
            if _is_wanted_version(item, entry)
        }
        for name, room in self.bins.items():
            if name not in self.view.draining and name not in taken and room.allows(need):
                yield room

    def candidates_with_room(self, entry: ModelEntry) -> list[Bin]:
        """Return the candidates with enough free memory."""
        need = Need.of(entry)
        if not self._may_fit(need):
            return []
        return [room for room in self.candidates(entry) if room.fits(need)]

    def has_room(self, entry: ModelEntry) -> bool:
        """Return whether any candidate has enough free memory."""
        need = Need.of(entry)
        return self._may_fit(need) and any(room.fits(need) for room in self.candidates(entry))

    def need_of(self, entry: ModelEntry, replica: Replica) -> Need:
        """Return the memory that a replica of an entry takes, at any version."""
        resident = f"{entry.name}@{replica.version}"
        former = self.view.former_entries.get(resident, entry)
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
            known = {name: self._entry_of_resident(name) for name in status.residents}
            needs = {name: Need.of(entry) for name, entry in known.items() if entry}
            self.layouts[target] = layout_of(status, needs)
        return self.layouts[target]

    def can_accept_load(self, target: str) -> bool:
        """Return whether a target can accept a load now.

        A target assigns accelerators in the order in which it receives loads, so the layout is
        predictable only with one load at a time.
        """
        if len(self.bins[target].capacity_mb) < 2:
            return True
        return not any(
            replica.target == target
            for model in self.models_by_target.get(target, ())
            for replica in self.loading(model)
        )

    def acquire_load(self, entry: ModelEntry) -> bool:
        """Acquire a load slot; return False if the weight store's limits are reached."""
        if self.remaining_loads == 0:
            return False
        # The target reads the weights of the model and of each adapter.
        if not self.rate_limiter.take(1 + len(entry.adapters)):
            self.remaining_loads = 0
            return False
        self.remaining_loads -= 1
        return True

    def start_load(self, entry: ModelEntry, target: str, reason: str) -> bool:
        """Start a load on a target; return False if a limit forbids it now."""
        if not self.can_accept_load(target) or not self.acquire_load(entry):
            return False
        replica = Replica(target, entry.version, ReplicaState.LOAD)
        self.update_record(entry.name, self.record(entry.name).with_replica(replica), reason)
        self.bins[target].force_reserve(Need.of(entry))
        self.models_by_target.setdefault(target, set()).add(entry.name)
        return True

    def retire(self, model: str, replica: Replica, reason: str) -> None:
        """Mark a replica LEAVING, so that its target unloads it."""
        leaving = Replica(replica.target, replica.version, ReplicaState.LEAVING)
        self.update_record(model, self.record(model).with_replica(leaving), reason)

    def drop(self, model: str, replica: Replica, reason: str) -> None:
        """Remove a replica from its record without waiting for its target."""
        rest = self.record(model).without(replica.target, replica.version)
        self.update_record(model, rest, reason)

    def update_record(self, model: str, record: PlacementRecord, reason: str) -> None:
        """Replace a model's record and add a reason."""
        for replica in (*self.record(model).replicas, *record.replicas):
            self.offers.pop(replica.target, None)
        generation = self.view.index.generation
        self.records[model] = PlacementRecord(model, generation, record.replicas)
        self.reasons.setdefault(model, []).append(reason)

    def changes(self) -> list[RecordChange]:
        """Return one change for each record, in the order of decision."""
        return [
            RecordChange(
                model, self._read_version(model), self._new_record(model), "; ".join(reasons)
            )
            for model, reasons in self.reasons.items()
        ]

    def _read_version(self, model: str) -> int:
        placed = self.view.placed.get(model)
        return placed.version if placed else ABSENT

    def _new_record(self, model: str) -> PlacementRecord | None:
        record = self.records[model]
        unwanted = model not in self.view.index.models
        return None if unwanted and not record.replicas else record

    def _reserve_missing(
        self, bins: dict[str, Bin], entry: ModelEntry, record: PlacementRecord
    ) -> None:
        for replica in record.replicas:
            room = bins.get(replica.target)
            if room is None or replica.version != entry.version:
                continue
            status = self.view.alive[replica.target]
            missing_mb = _missing_mb(entry, status)
            if missing_mb:
                # Reserved even if it doesn't fit: the adapters load as soon as memory is free.
                need = Need(entry.name, missing_mb, entry.accelerators)
                room.force_reserve(need, accelerators_of(status, entry.resident_id()))

    def _lacks_adapter_room(self, entry: ModelEntry, replica: Replica) -> bool:
        status = self.view.alive[replica.target]
        return bool(entry.adapters) and lacks_adapter_memory(self.view.index, entry, status)

    def _is_served(self, model: str) -> bool:
        entry = self.view.index.models.get(model)
        return entry is None or bool(self.up_to_date(entry))

    def _entry_of_resident(self, resident: str) -> ModelEntry | None:
        entry = self.view.index.models.get(resident.rpartition("@")[0])
        if entry and entry.resident_id() == resident:
            return entry
        return self.view.former_entries.get(resident)

    def _may_fit(self, need: Need) -> bool:
        """Return False if no target has room; free memory only shrinks during a pass."""
        key = (need.accelerators, need.domains)
        if key not in self.max_free_mb:
            rooms = [room for name, room in self.bins.items() if name not in self.view.draining]
            free = [room.max_free_mb(need.accelerators) for room in rooms if room.allows(need)]
            self.max_free_mb[key] = max(free, default=0)
        return need.memory_mb <= self.max_free_mb[key]


def _loading_replicas(record: PlacementRecord) -> list[Replica]:
    return [item for item in record.replicas if item.state is ReplicaState.LOAD]


def _is_wanted_version(replica: Replica, entry: ModelEntry) -> bool:
    return replica.version == entry.version


def _missing_mb(entry: ModelEntry, status: TargetStatus) -> int:
    base = 0 if entry.resident_id() in status.residents else entry.memory_mb
    if not entry.adapters:
        return base
    return base + sum(item.memory_mb for item in missing_adapters(entry, status))
