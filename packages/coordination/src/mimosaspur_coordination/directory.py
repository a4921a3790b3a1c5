"""Know the region's targets and which of them hold what."""

import threading

from mimosaspur_coordination.hints import TargetHint
from mimosaspur_coordination.mirror import Mirror
from mimosaspur_coordination.routing import Candidate
from mimosaspur_coordination.routing import candidates_for
from mimosaspur_state import keys
from mimosaspur_state.bundle import Served
from mimosaspur_state.instances import Instance
from mimosaspur_state.objects import StoredObject
from mimosaspur_state.placement import PlacementRecord
from mimosaspur_state.placement import placement_from_value

TARGET_ROLE = "target"


class Directory:
    """Join the instance list, the placement records and what targets say themselves."""

    def __init__(self, mirror: Mirror, *, region: str) -> None:
        self.mirror = mirror
        self.region = region
        self.hints: dict[str, TargetHint] = {}
        self.listed_leaving: set[str] = set()
        self.lock = threading.Lock()

    def update(self, instances: list[Instance]) -> list[TargetHint]:
        """Take in a reading of the instance list; return the hints that are new.

        An instance that has gone from the list keeps its hint while it is in use: the list
        lags and may miss one that lives.
        """
        new: list[TargetHint] = []
        with self.lock:
            for instance in instances:
                if instance.role != TARGET_ROLE or instance.region != self.region:
                    continue
                hint = self.hints.get(instance.name)
                if hint is None or hint.address != instance.address:
                    hint = TargetHint(instance.name, instance.address, instance.failure_domain)
                    self.hints = {**self.hints, instance.name: hint}
                    new.append(hint)
            self.listed_leaving = {instance.name for instance in instances if instance.leaving}
            listed = {instance.name for instance in instances}
            self.hints = {
                name: hint for name, hint in self.hints.items() if name in listed or hint.own > 0
            }
            self._mark_leaving()
        return new

    def follow_drains(self, item: StoredObject) -> None:
        """Take in a change of an operator's order to leave, long before the list shows it."""
        if item.key.startswith(keys.DRAINS):
            with self.lock:
                self._mark_leaving()

    def for_model(self, served: Served) -> list[Candidate]:
        """Return the targets that may hold a served model or adapter."""
        record = self.record(keys.placement(self.region, served.model.name))
        return candidates_for(served, record, self.hints)

    def for_service(self, name: str) -> list[Candidate]:
        """Return the targets that carry a plain service."""
        record = self.record(keys.carrier(self.region, name))
        carrying = {replica.target for replica in record.ready()} if record else set()
        resident = service_resident(name)
        return [
            Candidate(hint, resident)
            for hint in self.hints.values()
            if hint.name in carrying or resident in hint.residents
        ]

    def record(self, key: str) -> PlacementRecord | None:
        """Return the local copy of a placement record."""
        item = self.mirror.get(key)
        return placement_from_value(item.value) if item else None

    def _mark_leaving(self) -> None:
        for name, hint in self.hints.items():
            ordered = self.mirror.get(keys.drain(name)) is not None
            hint.leaving = ordered or name in self.listed_leaving


def service_resident(name: str) -> str:
    """Return how a target names a plain service among its residents."""
    return f"{name}@service"
