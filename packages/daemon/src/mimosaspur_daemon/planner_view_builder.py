"""Build the planner's view of a region from the mirror of its stored objects."""

from dataclasses import dataclass
from dataclasses import field

from mimosaspur_coordination.demand import LowDemandCounter
from mimosaspur_coordination.demand import sum_reports
from mimosaspur_coordination.mirror import Mirror
from mimosaspur_coordination.recordcache import RecordCache
from mimosaspur_coordination.view import DEFAULT_SERVICE_TIME_MS
from mimosaspur_coordination.view import LoadKey
from mimosaspur_coordination.view import Placed
from mimosaspur_coordination.view import PlannerView
from mimosaspur_state import keys
from mimosaspur_state.bundle import BundleIndex
from mimosaspur_state.bundle import ModelEntry
from mimosaspur_state.objects import StoredObject
from mimosaspur_state.placement import Replica
from mimosaspur_state.placement import ReplicaState
from mimosaspur_state.records import DemandReport
from mimosaspur_state.records import TargetStatus
from mimosaspur_state.settings import Settings
from mimosaspur_state.settings import TargetKind

# Replaces the status version of a target whose engine doesn't respond, so that no status counts as
# new.
NO_ENGINE_VERSION = 0


@dataclass(slots=True)
class ChangeTracker:
    """Track when each object last changed, by the local monotonic clock."""

    grace_ms: int
    last_changes: dict[str, tuple[int, int]] = field(default_factory=dict)

    def observe(self, key: str, version: int, now_ms: int) -> bool:
        """Record an object's version; return whether it changed within the grace period."""
        last = self.last_changes.get(key)
        if last is None or last[0] != version:
            self.last_changes[key] = (version, now_ms)
            return True
        return now_ms - last[1] < self.grace_ms

    def unchanged_ms(self, key: str, now_ms: int) -> int:
        """Return for how long an object has not changed, 0 if it was never observed."""
        last = self.last_changes.get(key)
        return now_ms - last[1] if last else 0


class PlannerViewBuilder:
    """Build views of a region; a new builder gives every target the full grace period."""

    def __init__(
        self,
        mirror: Mirror,
        settings: Settings,
        *,
        service_time_ms: int = DEFAULT_SERVICE_TIME_MS,
    ) -> None:
        self.mirror = mirror
        self.records = RecordCache(mirror)
        self.settings = settings
        self.region = settings.instance.region
        self.load_timeout_ms = settings.planner.load_timeout_ms
        self.service_time_ms = service_time_ms
        self.status_changes = ChangeTracker(settings.planner.status_grace_ms)
        self.report_changes = ChangeTracker(settings.planner.demand_window_ms)
        self.low_demand = LowDemandCounter()
        self.previous_replicas: set[Replica] | None = None
        self.changed_ms: dict[str, int] = {}
        self.loading_since_ms: dict[LoadKey, int] = {}
        self.failed_ms: dict[tuple[str, str], int] = {}
        self.former_entries: dict[str, ModelEntry] = {}

    def build(self, index: BundleIndex, now_ms: int) -> PlannerView:
        """Return the view of the region at this time."""
        self.former_entries.update({entry.resident_id(): entry for entry in index.models.values()})
        placed = self._placed()
        self._record_changes(placed, now_ms)
        self._record_loads(placed, now_ms)
        alive = self._alive_targets(now_ms)
        planner = self.settings.planner
        view = PlannerView(
            index=index,
            placed=placed,
            alive=alive,
            now_ms=now_ms,
            draining=self._draining_targets(alive),
            former_entries=self.former_entries,
            demand=sum_reports(self._current_reports(now_ms), planner.demand_window_ms),
            changed_ms=self.changed_ms,
            loading_since_ms=self.loading_since_ms,
            failed_ms=self.failed_ms,
            max_concurrent_loads=self.settings.weight_store.at_once,
            move_cost=planner.move_cost,
            window_ms=planner.demand_window_ms,
            service_time_ms=self._service_time_ms(alive),
            load_timeout_ms=self.load_timeout_ms,
        )
        view.low_windows = self.low_demand.update(view)
        return view

    def expired_reports(self, now_ms: int) -> list[StoredObject]:
        """Return the stored reports that have not changed for the retention time."""
        limit_ms = self.settings.planner.forget_ms
        sources = (
            (keys.statuses(self.region), self.status_changes),
            (keys.demands(self.region), self.report_changes),
        )
        return [
            item
            for prefix, tracker in sources
            for item in self.mirror.list_prefix(prefix)
            if tracker.unchanged_ms(item.key, now_ms) >= limit_ms
        ]

    def _service_time_ms(self, alive: dict[str, TargetStatus]) -> int:
        reported = sorted(item.service_time_ms for item in alive.values() if item.service_time_ms)
        return reported[len(reported) // 2] if reported else self.service_time_ms

    def _placed(self) -> dict[str, Placed]:
        items = self.records.all(keys.placements(self.region))
        return {record.model: Placed(record, item.version) for item, record in items}

    def _alive_targets(self, now_ms: int) -> dict[str, TargetStatus]:
        alive = {}
        for item in self.mirror.list_prefix(keys.statuses(self.region)):
            status = TargetStatus.from_value(item.value)
            # Without its engine a target's residents are lost, so its heartbeats don't count.
            version = item.version if _has_engine_or_service(status) else NO_ENGINE_VERSION
            if self.status_changes.observe(item.key, version, now_ms):
                alive[status.instance] = status
        return alive

    def _draining_targets(self, alive: dict[str, TargetStatus]) -> frozenset[str]:
        reported = {name for name, status in alive.items() if status.draining}
        ordered = {name for name in alive if self.mirror.get(keys.drain(name))}
        return frozenset(reported | ordered)

    def _current_reports(self, now_ms: int) -> list[DemandReport]:
        items = self.mirror.list_prefix(keys.demands(self.region))
        return [
            DemandReport.from_value(item.value)
            for item in items
            if self.report_changes.observe(item.key, item.version, now_ms)
        ]

    def _record_changes(self, placed: dict[str, Placed], now_ms: int) -> None:
        replicas = {replica for item in placed.values() for replica in item.record.replicas}
        if self.previous_replicas is not None:
            for replica in replicas ^ self.previous_replicas:
                self.changed_ms[replica.target] = now_ms
        self.previous_replicas = replicas

    def _record_loads(self, placed: dict[str, Placed], now_ms: int) -> None:
        loading = {
            (name, replica.target, replica.version)
            for name, item in placed.items()
            for replica in item.record.replicas
            if replica.state is ReplicaState.LOAD
        }
        for key in self.loading_since_ms.keys() - loading:
            if now_ms - self.loading_since_ms.pop(key) >= self.load_timeout_ms:
                self.failed_ms[key[:2]] = now_ms
        for key in loading - self.loading_since_ms.keys():
            self.loading_since_ms[key] = now_ms
        for pair, failed_ms in list(self.failed_ms.items()):
            if now_ms - failed_ms >= self.load_timeout_ms:
                del self.failed_ms[pair]


def _has_engine_or_service(status: TargetStatus) -> bool:
    return status.kind != TargetKind.ENGINE.value or bool(status.capacity_mb)
