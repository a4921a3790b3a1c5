"""Record which targets carry a plain service."""

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
    """Put this target on a service's record, and take it off while another one stays."""

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
        """Tell whether the local copy of the record names this target."""
        return bool(self._record().on_target(self.target))

    def register(self) -> bool:
        """Name this target as ready; tell whether it is."""
        # Whether the others live is asked anew with every order to leave.
        self.first_versions.clear()
        if not self.mirror.synced.is_set():
            return False
        record = self._record()
        replica = Replica(self.target, SERVICE_VERSION, ReplicaState.READY)
        if replica in record.replicas:
            return True
        return self._write(record.with_replica(replica))

    def deregister(self) -> bool:
        """Take this target off if a living one stays; tell whether it is off."""
        record = self._record()
        if not record.on_target(self.target):
            return True
        others = [replica for replica in record.ready() if replica.target != self.target]
        # A carrier that died stays on the record, since nobody else takes it off.
        if not any(self._is_alive(replica.target) for replica in others):
            return False
        return self._write(record.without(self.target, SERVICE_VERSION))

    def _is_alive(self, target: str) -> bool:
        """Tell whether a target has written its status since it was first looked at."""
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
            # The watch brings what is there now; the next round decides by that.
            return False
        self.mirror.apply_update(StoredObject(self.key, version, value))
        return True
