"""Register a target in the placement record of a plain service."""

from mimosaspur_coordination.mirror import Mirror
from mimosaspur_state import keys
from mimosaspur_state.errors import StoreUnavailable
from mimosaspur_state.errors import VersionConflict
from mimosaspur_state.objects import ABSENT
from mimosaspur_state.objects import ObjectStore
from mimosaspur_state.objects import StoredObject
from mimosaspur_state.placement import PlacementRecord
from mimosaspur_state.placement import Replica
from mimosaspur_state.placement import ReplicaState
from mimosaspur_state.placement import placement_from_value

SERVICE_VERSION = "service"


class ServiceRegistration:
    """Register and deregister one target for one service; the last live target stays."""

    def __init__(
        self,
        store: ObjectStore,
        mirror: Mirror,
        *,
        region: str,
        service: str,
        target: str,
    ) -> None:
        self.store = store
        self.mirror = mirror
        self.region = region
        self.key = keys.service_registration(region, service)
        self.service = service
        self.target = target
        self.first_versions: dict[str, int] = {}

    def is_registered(self) -> bool:
        """Return whether the mirrored record names this target."""
        return bool(self._record().on_target(self.target))

    def register(self) -> bool:
        """Register this target as ready; return whether it is registered."""
        # Each deregistration must see new heartbeats of the other targets.
        self.first_versions.clear()
        if not self.mirror.synced.is_set():
            return False
        record = self._record()
        replica = Replica(self.target, SERVICE_VERSION, ReplicaState.READY)
        if replica in record.replicas:
            return True
        return self._write(record.with_replica(replica))

    def deregister(self) -> bool:
        """Remove this target if another live one remains; return whether it is removed."""
        record = self._record()
        if not record.on_target(self.target):
            return True
        others = [replica for replica in record.ready() if replica.target != self.target]
        # A dead target may still be in the record: only the target itself removes its entry.
        if not any(self._is_alive(replica.target) for replica in others):
            return False
        return self._write(record.without(self.target, SERVICE_VERSION))

    def _is_alive(self, target: str) -> bool:
        """Return whether a target's status has changed since it was first read."""
        try:
            status = self.store.get(keys.status(self.region, target))
        except StoreUnavailable:
            return False
        if status is None:
            return False
        return status.version > self.first_versions.setdefault(target, status.version)

    def _record(self) -> PlacementRecord:
        item = self.mirror.get(self.key)
        if item is None:
            return PlacementRecord(self.service, 0)
        return placement_from_value(item.value)

    def _write(self, record: PlacementRecord) -> bool:
        item = self.mirror.get(self.key)
        value = record.to_value()
        try:
            if item is None:
                version = self.store.create(self.key, value)
            else:
                version = self.store.update(self.key, value, item.version or ABSENT)
        except (StoreUnavailable, VersionConflict):
            # The watch delivers the current record, and the next round retries from it.
            return False
        self.mirror.apply_update(StoredObject(self.key, version, value))
        return True
