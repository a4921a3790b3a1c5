"""Plan a region while this entry holds the duty."""

import threading
from collections.abc import Callable
from random import Random

from mimosaspur_coordination.buckets import TokenBucket
from mimosaspur_coordination.lease import DutyLease
from mimosaspur_coordination.mirror import Mirror
from mimosaspur_coordination.naive import plan_naively
from mimosaspur_coordination.planner import plan
from mimosaspur_coordination.view import PlannerView
from mimosaspur_coordination.view import RecordChange
from mimosaspur_daemon.planner_view_builder import PlannerViewBuilder
from mimosaspur_state import keys
from mimosaspur_state.bundle import BundleIndex
from mimosaspur_state.clock import Clock
from mimosaspur_state.errors import StoreUnavailable
from mimosaspur_state.errors import VersionConflict
from mimosaspur_state.log import log
from mimosaspur_state.metrics import Metrics
from mimosaspur_state.objects import ABSENT
from mimosaspur_state.objects import ObjectStore
from mimosaspur_state.objects import StoredObject
from mimosaspur_state.placement import PlacementRecord
from mimosaspur_state.placement import Replica
from mimosaspur_state.placement import ReplicaState
from mimosaspur_state.settings import Policy
from mimosaspur_state.settings import Settings

PART = "PLANNER"
RENEWALS_PER_LEASE = 3
PAUSE_TO_PASS_RATIO = 4
MS_PER_SECOND = 1000
# The weight store counts when loads begin, the planner when it places them: between the two lie a
# watch and an order, whose times differ. A fifth leaves 250 ms for that at two loads a second.
USED_RATE_SHARE = 0.8

GetIndex = Callable[[], BundleIndex | None]


class LeasedPlanner:
    """Take the lease, follow the region while holding it, and write the moves decided."""

    def __init__(
        self,
        store: ObjectStore,
        settings: Settings,
        incarnation: str,
        clock: Clock,
        current: GetIndex,
        *,
        metrics: Metrics | None = None,
        random: Random | None = None,
    ) -> None:
        self.store = store
        self.settings = settings
        self.clock = clock
        self.get_index = current
        self.metrics = metrics or Metrics()
        self.random = random or Random()
        self.region = settings.instance.region
        self.lease = DutyLease(
            store,
            keys.planner_lease(self.region),
            settings.instance.name,
            incarnation,
            clock,
            settings.planner.lease_ms,
        )
        self.load_bucket = self._weight_store_bucket()
        self.view_builder: PlannerViewBuilder | None = None
        self.mirror_stop = threading.Event()
        self.holds_lease = False
        self.renewal_attempt_ms: int | None = None
        self.last_held_ms = 0
        self.pass_duration_ms = 0
        self.unconfirmed_keys: set[str] = set()

    def run(self, stop: threading.Event) -> None:
        """Plan every interval until told to stop."""
        try:
            while not stop.wait(self._pause_ms() / MS_PER_SECOND):
                self.tick()
        finally:
            self._stop_mirror()
            if self.holds_lease:
                self.lease.release()

    def _pause_ms(self) -> int:
        # A long pass, as after a failure domain is lost, must not take the callers' processor.
        return max(self.settings.planner.interval_ms, PAUSE_TO_PASS_RATIO * self.pass_duration_ms)

    def tick(self) -> None:
        """Renew or ask for the lease when due, and make one planning pass if we hold it."""
        self._renew_lease()
        index = self.get_index()
        watch = self.view_builder
        if not self.holds_lease or watch is None or index is None:
            return
        # A copy that may be behind by an outage would move what is well where it is.
        if not watch.mirror.synced.is_set() or not watch.mirror.reachable:
            return
        if self._read_unconfirmed(watch.mirror):
            self._run_pass(watch, index)
            self._delete_expired_report(watch)

    def _weight_store_bucket(self) -> TokenBucket:
        rate = self.settings.weight_store.loads_per_second * USED_RATE_SHARE
        # What comes between two passes must not be lost, or the rate is never reached.
        burst = rate * self.settings.planner.interval_ms / MS_PER_SECOND
        return TokenBucket(rate, clock=self.clock, burst=burst)

    def _renew_lease(self) -> None:
        now_ms = self.clock.now_ms()
        lease_ms = self.settings.planner.lease_ms
        if (
            self.renewal_attempt_ms is not None
            and now_ms - self.renewal_attempt_ms < lease_ms // RENEWALS_PER_LEASE
        ):
            return
        self.renewal_attempt_ms = now_ms
        self.holds_lease = self.lease.hold()
        if self.holds_lease:
            self.last_held_ms = now_ms
            self._start_mirror()
        elif now_ms - self.last_held_ms >= lease_ms:
            # One lost answer must not cost the graces that run: only a lost lease does.
            self._stop_mirror()

    def _start_mirror(self) -> None:
        if self.view_builder is not None:
            return
        log(PART, "Took up the planner duty.", region=self.region)
        prefixes = (
            keys.placements(self.region),
            keys.statuses(self.region),
            keys.demands(self.region),
            keys.DRAINS,
        )
        mirror = Mirror(
            self.store,
            prefixes,
            wait_ms=self.settings.platform.watch_ms,
            # Each target's beat would end a watch, and we look only once an interval.
            watch_interval_ms=self.settings.planner.interval_ms,
        )
        self.view_builder = PlannerViewBuilder(mirror, self.settings)
        self.mirror_stop = threading.Event()
        thread = threading.Thread(
            target=mirror.run, args=(self.mirror_stop,), name="planner-mirror", daemon=True
        )
        thread.start()

    def _stop_mirror(self) -> None:
        if self.view_builder is None:
            return
        log(PART, "Gave up the planner duty.", region=self.region)
        self.mirror_stop.set()
        self.view_builder = None
        self.unconfirmed_keys.clear()

    def _read_unconfirmed(self, mirror: Mirror) -> bool:
        """Read back records whose write had no answer; tell whether all are known."""
        for key in sorted(self.unconfirmed_keys):
            try:
                found = self.store.get(key)
            except StoreUnavailable:
                return False
            if found:
                mirror.apply_update(found)
            self.unconfirmed_keys.discard(key)
        return True

    def _run_pass(self, watch: PlannerViewBuilder, index: BundleIndex) -> None:
        began_ms = self.clock.now_ms()
        view = watch.build(index, began_ms)
        changes = self._compute_changes(view)
        self.pass_duration_ms = self.clock.now_ms() - began_ms
        for change in changes:
            key = keys.placement(self.region, change.model)
            try:
                version = self._write_change(key, change)
            except VersionConflict:
                # Someone changed it since; the next pass sees how.
                continue
            except StoreUnavailable:
                self.unconfirmed_keys.add(key)
                return
            value = change.new.to_value() if change.new else None
            watch.mirror.apply_update(StoredObject(key, version, value))
            placed = view.placed.get(change.model)
            self._report_change(change, placed.record if placed else None)

    def _delete_expired_report(self, watch: PlannerViewBuilder) -> None:
        """Delete the report of an instance long gone, one a pass: names change every day."""
        for item in watch.expired_reports(self.clock.now_ms())[:1]:
            try:
                self.store.delete(item.key, item.version)
            except (StoreUnavailable, VersionConflict):
                return
            watch.mirror.apply_update(StoredObject(item.key, item.version, None))
            log(PART, "Forgot an instance that is long gone.", key=item.key)

    def _compute_changes(self, view: PlannerView) -> list[RecordChange]:
        if self.settings.policy is Policy.NAIVE:
            return plan_naively(view, self.load_bucket, self.random)
        return plan(view, self.load_bucket)

    def _write_change(self, key: str, change: RecordChange) -> int:
        if change.new is None:
            self.store.delete(key, change.record_version)
            return change.record_version
        if change.record_version == ABSENT:
            return self.store.create(key, change.new.to_value())
        return self.store.update(key, change.new.to_value(), change.record_version)

    def _report_change(self, change: RecordChange, old: PlacementRecord | None) -> None:
        before = set(old.replicas) if old else set()
        after = set(change.new.replicas) if change.new else set()
        loads = [item for item in after - before if item.state is ReplicaState.LOAD]
        stayed = {(item.target, item.version) for item in after if not _is_leaving(item)}
        unloads = [
            item
            for item in before
            if not _is_leaving(item) and (item.target, item.version) not in stayed
        ]
        if loads:
            self.metrics.count("moves.load", len(loads))
        if unloads:
            self.metrics.count("moves.unload", len(unloads))
        log(
            PART,
            "Changed a placement record.",
            model=change.model,
            reason=change.reason,
            loads=[item.target for item in loads],
            unloads=[item.target for item in unloads],
        )


def _is_leaving(replica: Replica) -> bool:
    return replica.state is ReplicaState.LEAVING
