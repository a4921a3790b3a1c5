"""Run a region's planner while this entry holds the planner lease."""

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
# The weight store limits load starts, but the planner counts placements, which precede the starts
# by a varying delay. The unused share absorbs that variation: 250 ms at two loads a second.
USED_RATE_SHARE = 0.8

GetIndex = Callable[[], BundleIndex | None]


class LeasedPlanner:
    """Hold the planner lease, mirror the region meanwhile, and write placement changes."""

    def __init__(
        self,
        store: ObjectStore,
        settings: Settings,
        incarnation: str,
        clock: Clock,
        get_index: GetIndex,
        *,
        metrics: Metrics | None = None,
        random: Random | None = None,
    ) -> None:
        self.store = store
        self.settings = settings
        self.clock = clock
        self.get_index = get_index
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
        """Run a planning pass every interval until stopped."""
        try:
            while not stop.wait(self._pause_ms() / MS_PER_SECOND):
                self.tick()
        finally:
            self._stop_mirror()
            if self.holds_lease:
                self.lease.release()

    def _pause_ms(self) -> int:
        # A long pass, as after the loss of a failure domain, must not starve callers of CPU.
        return max(self.settings.planner.interval_ms, PAUSE_TO_PASS_RATIO * self.pass_duration_ms)

    def tick(self) -> None:
        """Acquire or renew the lease when due, then run one planning pass if it is held."""
        self._renew_lease()
        index = self.get_index()
        builder = self.view_builder
        if not self.holds_lease or builder is None or index is None:
            return
        # Planning from a stale mirror would move healthy replicas.
        if not builder.mirror.synced.is_set() or not builder.mirror.reachable:
            return
        if self._read_unconfirmed(builder.mirror):
            self._run_pass(builder, index)
            self._delete_expired_report(builder)

    def _weight_store_bucket(self) -> TokenBucket:
        rate = self.settings.weight_store.loads_per_second * USED_RATE_SHARE
        # The bucket must hold the tokens of one interval, or the rate is never reached.
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
            # A single failed renewal must not reset the grace periods; only an expired lease does.
            self._stop_mirror()

    def _start_mirror(self) -> None:
        if self.view_builder is not None:
            return
        log(PART, "Acquired the planner lease; starting to plan.", region=self.region)
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
            # Every status heartbeat would end a watch, and the planner reads only once an interval.
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
        log(PART, "Stopped planning.", region=self.region)
        self.mirror_stop.set()
        self.view_builder = None
        self.unconfirmed_keys.clear()

    def _read_unconfirmed(self, mirror: Mirror) -> bool:
        """Read back records whose write got no answer; return whether all reads succeeded."""
        for key in sorted(self.unconfirmed_keys):
            try:
                found = self.store.get(key)
            except StoreUnavailable:
                return False
            if found:
                mirror.apply_update(found)
            self.unconfirmed_keys.discard(key)
        return True

    def _run_pass(self, builder: PlannerViewBuilder, index: BundleIndex) -> None:
        started_ms = self.clock.now_ms()
        view = builder.build(index, started_ms)
        changes = self._compute_changes(view)
        self.pass_duration_ms = self.clock.now_ms() - started_ms
        for change in changes:
            key = keys.placement(self.region, change.model)
            try:
                version = self._write_change(key, change)
            except VersionConflict:
                # The record was changed concurrently; the next pass plans from the new version.
                continue
            except StoreUnavailable:
                self.unconfirmed_keys.add(key)
                return
            value = change.new.to_value() if change.new else None
            builder.mirror.apply_update(StoredObject(key, version, value))
            placed = view.placed.get(change.model)
            self._report_change(change, placed.record if placed else None)

    def _delete_expired_report(self, builder: PlannerViewBuilder) -> None:
        """Delete one expired report of a removed instance, so that reports don't accumulate."""
        for item in builder.expired_reports(self.clock.now_ms())[:1]:
            try:
                self.store.delete(item.key, item.version)
            except (StoreUnavailable, VersionConflict):
                return
            builder.mirror.apply_update(StoredObject(item.key, item.version, None))
            log(PART, "Deleted the expired report of a removed instance.", key=item.key)

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
        kept = {(item.target, item.version) for item in after if not _is_leaving(item)}
        unloads = [
            item
            for item in before
            if not _is_leaving(item) and (item.target, item.version) not in kept
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
