"""Find the targets of the region that can serve a model or service."""

import itertools
import threading
from collections.abc import Iterable

import msgspec

from mimosaspur_coordination.hints import TargetHint
from mimosaspur_coordination.mirror import Mirror
from mimosaspur_coordination.recordcache import RecordCache
from mimosaspur_coordination.residentindex import ResidentIndex
from mimosaspur_coordination.residentindex import resident_name
from mimosaspur_coordination.routing import Candidate
from mimosaspur_coordination.routing import candidates_for
from mimosaspur_state import keys
from mimosaspur_state.bundle import ServedName
from mimosaspur_state.instances import Instance
from mimosaspur_state.objects import StoredObject
from mimosaspur_state.placement import PlacementRecord
from mimosaspur_state.placement import placement_from_value

TARGET_ROLE = "target"


class TargetDirectory:
    """Combine the instance list, the placement records and the targets' own reports."""

    def __init__(self, mirror: Mirror, *, region: str) -> None:
        self.mirror = mirror
        self.region = region
        self.records = RecordCache(mirror)
        self.hints: dict[str, TargetHint] = {}
        self.order_counter = itertools.count()
        self.resident_index = ResidentIndex()
        self.unlisted: set[str] = set()
        self.listed_leaving: set[str] = set()
        self.lock = threading.Lock()

    def update(self, instances: list[Instance]) -> list[TargetHint]:
        """Apply the instance list; return the new hints.

        A target missing from the list keeps its hint while in use, because the list lags and may
        omit a live target.
        """
        new: list[TargetHint] = []
        with self.lock:
            for instance in instances:
                if instance.role != TARGET_ROLE or instance.region != self.region:
                    continue
                hint = self.hints.get(instance.name)
                if hint is None or hint.address != instance.address:
                    hint = self._new_hint(instance, hint)
                    new.append(hint)
            self.listed_leaving = {instance.name for instance in instances if instance.leaving}
            self._remove_unlisted({instance.name for instance in instances})
            self.unlisted -= self.hints.keys()
            self._mark_leaving()
        return new

    def on_drain_change(self, item: StoredObject) -> None:
        """Apply a change of an operator's drain order, which the list shows only later."""
        if item.key.startswith(keys.DRAINS):
            with self.lock:
                self._mark_leaving()

    def on_placement_change(self, item: StoredObject) -> bool:
        """Apply a changed placement record; return whether it names an unlisted target."""
        prefixes = (keys.placements(self.region), keys.service_registrations(self.region))
        if item.value is None or not item.key.startswith(prefixes):
            return False
        try:
            record = placement_from_value(item.value)
        except msgspec.ValidationError:
            # The mirror must not stop here; reading this record reports the error.
            return False
        with self.lock:
            new = {it.target for it in record.replicas} - self.hints.keys() - self.unlisted
            self.unlisted |= new
        return bool(new)

    def unresolved_targets(self) -> frozenset[str]:
        """Return the unlisted and disconnected targets, which a read of the list may resolve."""
        disconnected = {
            name for name, hint in self.hints.items() if hint.disconnected_at_ms is not None
        }
        with self.lock:
            return frozenset(disconnected | self.unlisted)

    def stop_resolving(self, names: Iterable[str]) -> None:
        """Drop unlisted targets until a record names them again."""
        with self.lock:
            self.unlisted.difference_update(names)

    def for_model(self, served: ServedName) -> list[Candidate]:
        """Return the candidate targets for a model or adapter."""
        record = self.record(keys.placement(self.region, served.model.name))
        placed = {replica.target for replica in record.replicas} if record else set()
        return candidates_for(served, record, self._hints_for(placed, served.resident_id()))

    def for_service(self, name: str) -> list[Candidate]:
        """Return the candidate targets for a plain service."""
        record = self.record(keys.service_registration(self.region, name))
        carrying = {replica.target for replica in record.ready()} if record else set()
        resident = service_resident(name)
        return [
            Candidate(hint, resident)
            for hint in self._hints_for(carrying, resident).values()
            if hint.name in carrying or resident in hint.residents
        ]

    def record(self, key: str) -> PlacementRecord | None:
        """Return the mirrored copy of a placement record."""
        return self.records.get(key)

    def _hints_for(self, named: set[str], resident: str) -> dict[str, TargetHint]:
        """Return the hints of the named targets and of those holding any version, in order."""
        hints = self.hints
        names = named | self.resident_index.targets_holding(resident_name(resident))
        found = sorted(
            (hints[name] for name in names if name in hints), key=lambda hint: hint.order
        )
        return {hint.name: hint for hint in found}

    def _new_hint(self, instance: Instance, previous: TargetHint | None) -> TargetHint:
        hint = TargetHint(
            instance.name,
            instance.address,
            instance.failure_domain,
            order=previous.order if previous else next(self.order_counter),
            on_residents_changed=self._on_residents_changed,
        )
        self.resident_index.remove(instance.name)
        self.hints = {**self.hints, instance.name: hint}
        return hint

    def _remove_unlisted(self, listed: set[str]) -> None:
        gone = [
            name for name, hint in self.hints.items() if name not in listed and hint.in_flight <= 0
        ]
        for name in gone:
            self.resident_index.remove(name)
        self.hints = {name: hint for name, hint in self.hints.items() if name not in gone}

    def _on_residents_changed(self, hint: TargetHint) -> None:
        with self.lock:
            # A connection to a previous address may still deliver a message.
            if self.hints.get(hint.name) is hint:
                self.resident_index.update(hint.name, hint.residents)

    def _mark_leaving(self) -> None:
        for name, hint in self.hints.items():
            ordered = self.mirror.get(keys.drain(name)) is not None
            hint.leaving = ordered or name in self.listed_leaving


def service_resident(name: str) -> str:
    """Return the resident name of a plain service."""
    return f"{name}@service"
