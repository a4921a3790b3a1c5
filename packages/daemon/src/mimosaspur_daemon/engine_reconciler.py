"""Reconcile an engine's memory with the placement records."""

import threading
import uuid
from collections.abc import Callable
from functools import partial

import msgspec

from mimosaspur_coordination import orders
from mimosaspur_coordination import replicas
from mimosaspur_coordination.engineport import EnginePort
from mimosaspur_coordination.mirror import Mirror
from mimosaspur_coordination.orders import Assignment
from mimosaspur_daemon.engine_orders import OrderSender
from mimosaspur_daemon.engine_ownership import EngineOwnership
from mimosaspur_daemon.engine_records import EngineRecords
from mimosaspur_daemon.engine_snapshot import EngineSnapshot
from mimosaspur_daemon.engine_snapshot import ServingHooks
from mimosaspur_daemon.engine_snapshot import SnapshotBuilder
from mimosaspur_state.bundle import BundleIndex
from mimosaspur_state.clock import Clock
from mimosaspur_state.engine import EngineState
from mimosaspur_state.engine import ResidentState
from mimosaspur_state.errors import MimosaspurError
from mimosaspur_state.ledger import MemoryLedger
from mimosaspur_state.log import log
from mimosaspur_state.metrics import Metrics
from mimosaspur_state.objects import ObjectStore
from mimosaspur_state.placement import ReplicaState
from mimosaspur_state.settings import Settings
from mimosaspur_state.settings import TargetSettings

PART = "ENGINE"
MAX_PAUSE_POLLS = 2
PAUSE_MARGIN_MS = 1000
MS_PER_SECOND = 1000


class EngineReconciler:
    """Load and unload models and adapters as placement records require.

    Call `run` only after the target's listen address is bound, which rules out a running
    predecessor. The methods that return state may be called from any thread.
    """

    def __init__(
        self,
        settings: Settings,
        store: ObjectStore,
        engine: EnginePort,
        clock: Clock,
        mirror: Mirror,
        current_bundle: Callable[[], BundleIndex | None],
        metrics: Metrics,
        *,
        serving: ServingHooks,
        incarnation: str = "",
    ) -> None:
        if settings.target is None:
            raise ValueError("the engine reconciler needs the settings section target")
        self.target: TargetSettings = settings.target
        self.name = settings.instance.name
        self.region = settings.instance.region
        self.store = store
        self.clock = clock
        self.mirror = mirror
        self.records = EngineRecords(store, mirror, region=self.region, target=self.name)
        self.snapshots = SnapshotBuilder(mirror, region=self.region, target=self.name)
        self.current_bundle = current_bundle
        self.metrics = metrics
        self.serving = serving
        self.max_pause_ms = MAX_PAUSE_POLLS * self.target.poll_ms + PAUSE_MARGIN_MS
        self.ledger = MemoryLedger(max_order_delay_ms=self.target.longest_order_delay_ms)
        self.sender = OrderSender(engine, self.ledger, clock, max_pause_ms=self.max_pause_ms)
        self.ownership = EngineOwnership(
            store,
            self.sender,
            clock,
            target=self.name,
            incarnation=incarnation or uuid.uuid4().hex,
            settings=self.target,
        )
        self.on_change: list[Callable[[], None]] = []
        self.closed_residents: set[str] = set()
        self.wake = threading.Event()
        self._ready_residents: tuple[str, ...] = ()
        self._free_mb: tuple[int, ...] = ()
        self._capacity_mb: tuple[int, ...] = ()
        self._layout: dict[str, tuple[int, ...]] = {}
        self._held_mb: dict[str, int] = {}
        self._reconciled_at_ms = clock.now_ms()
        self._previously_unwanted: set[str] = set()
        self.mirror.listeners.append(lambda item: self.wake.set())

    def ready_residents(self) -> tuple[str, ...]:
        """Return the sorted ids of the models and adapters that can be used now."""
        return self._ready_residents

    def free_mb(self) -> tuple[int, ...]:
        """Return the free memory of each accelerator; empty without a recent report."""
        return self._free_mb

    def capacity_mb(self) -> tuple[int, ...]:
        """Return the memory of each accelerator; empty without a recent report."""
        return self._capacity_mb

    def layout(self) -> dict[str, tuple[int, ...]]:
        """Return the accelerators of each model that holds memory; read-only."""
        return self._layout

    def held_mb(self) -> dict[str, int]:
        """Return the memory per accelerator of each model with its adapters; read-only."""
        return self._held_mb

    def run(self, stop: threading.Event) -> None:
        """Reconcile every poll_ms, or sooner when placement changes, until `stop` is set."""
        self.ownership.start()
        while not stop.is_set():
            try:
                self.reconcile()
            except (MimosaspurError, msgspec.ValidationError) as error:
                # One unreadable or unwritable object must not end this thread.
                log(
                    PART,
                    "Reconciling the engine failed; retrying in the next round.",
                    error=str(error),
                )
            self.wake.wait(self.target.poll_ms / MS_PER_SECOND)
            self.wake.clear()

    def reconcile(self) -> None:
        """Read the engine's report, update the records and send the orders that are due."""
        if self.clock.now_ms() - self._reconciled_at_ms > self.max_pause_ms:
            self.ownership.on_pause()
        report = self.sender.read_report()
        if report is not None:
            self._publish(report)
            self._apply(report)
            self._publish(report)
        else:
            self.metrics.count("engine.unanswered")
            if not self.sender.is_report_fresh():
                # An empty capacity in the status keeps the planner from using a silent engine.
                self._free_mb = self._capacity_mb = ()
                self._layout, self._held_mb = {}, {}
        self._reconciled_at_ms = self.clock.now_ms()

    def _apply(self, report: EngineState) -> None:
        if not self.ownership.ensure_owner(report):
            return
        # A predecessor is fenced off even before a bundle is available.
        may_order = self.ownership.is_predecessor_fenced(report)
        snapshot = self._build_snapshot(report)
        if snapshot is None:
            return
        self.records.store_available = True
        # Loads come first: they need no store, and calls to a silent store block until a timeout.
        if may_order:
            self._reopen_residents(snapshot)
            self._load_missing(snapshot)
        self._mark_lost(snapshot)
        if may_order:
            self._mark_ready(snapshot)
            self._remove_replaced(snapshot)
            self._unload_unwanted(snapshot)

    def _build_snapshot(self, report: EngineState) -> EngineSnapshot | None:
        index = self.current_bundle()
        if index is None or not self.mirror.synced.is_set():
            return None
        return self.snapshots.build(report, index)

    def _mark_lost(self, snapshot: EngineSnapshot) -> None:
        for assignment in snapshot.assignments:
            lost = assignment.state is not ReplicaState.LOAD
            if not lost or snapshot.report.is_ready(assignment.base_id()):
                continue
            log(
                PART,
                "The engine no longer has a replica ready; marking it to be loaded again.",
                resident=assignment.base_id(),
            )
            self.records.update(replicas.mark_lost, assignment)

    def _mark_ready(self, snapshot: EngineSnapshot) -> None:
        for assignment in snapshot.assignments:
            if assignment.state is not ReplicaState.LOAD or not orders.is_complete(
                assignment, snapshot.report
            ):
                continue
            if any(
                self._is_order_unsettled(name)
                for name in (assignment.base_id(), *assignment.adapter_ids())
            ):
                continue
            self.records.update(replicas.mark_ready, assignment)

    def _remove_replaced(self, snapshot: EngineSnapshot) -> None:
        for assignment in snapshot.assignments:
            if assignment.state is not ReplicaState.LEAVING or not self.records.store_available:
                continue
            if not replicas.is_replaced(
                assignment.record, self.name, assignment.version, snapshot.index
            ):
                continue
            self._remove_replica(assignment, snapshot)

    def _remove_replica(self, assignment: Assignment, snapshot: EngineSnapshot) -> None:
        residents = orders.residents_of(assignment, snapshot.report)
        for name in residents:
            self._close(name)
        removed = self.records.update(
            partial(replicas.remove_replaced, index=snapshot.index), assignment
        )
        if removed:
            log(PART, "Removed a replaced replica from its record.", resident=assignment.base_id())
            self.wake.set()
            return
        # Callers need this replica until a replacement is ready.
        for name in residents:
            self._open(name)

    def _reopen_residents(self, snapshot: EngineSnapshot) -> None:
        leaving = {item.id for item in snapshot.unwanted}
        leaving.update(
            item.id for item in snapshot.report.residents if item.state is ResidentState.UNLOADING
        )
        for assignment in snapshot.assignments:
            if assignment.state is ReplicaState.LEAVING:
                leaving.update(orders.residents_of(assignment, snapshot.report))
        for name in self.closed_residents - leaving:
            if not self._is_order_unsettled(name):
                self._open(name)

    def _load_missing(self, snapshot: EngineSnapshot) -> None:
        # No store call was made since the report, so only a pause can have made it stale.
        if not self.sender.is_report_fresh():
            self.ownership.on_pause()
        for assignment in snapshot.assignments:
            step = orders.next_load(assignment, snapshot.report)
            if step is None or not self.sender.is_report_fresh():
                continue
            reserved_mb = orders.reserved_mb(snapshot.assignments, self.ledger)
            if not self.sender.load(step, reserved_mb):
                self.metrics.count("engine.load_waits")

    def _unload_unwanted(self, snapshot: EngineSnapshot) -> None:
        bases = {item.base for item in snapshot.report.residents}
        previous, self._previously_unwanted = self._previously_unwanted, {
            item.id for item in snapshot.unwanted
        }
        # Entries must be notified of the replacement first, so wait for one round.
        for item in (item for item in snapshot.unwanted if item.id in previous):
            if item.id not in self.closed_residents and self.records.may_unload(item, snapshot):
                self._close(item.id)
            if (
                item.id not in self.closed_residents
                or item.id in bases
                or self.serving.in_use(item.id)
            ):
                continue
            if self.records.may_unload(item, snapshot) and self.sender.is_report_fresh():
                self.sender.unload(item.id)

    def _is_order_unsettled(self, name: str) -> bool:
        return self.ledger.unreported_order(name) is not None

    def _close(self, name: str) -> None:
        self.closed_residents.add(name)
        self.serving.close(name)

    def _open(self, name: str) -> None:
        self.closed_residents.discard(name)
        self.serving.reopen(name)

    def _publish(self, report: EngineState) -> None:
        ready = [item.id for item in report.residents if report.is_ready(item.id)]
        usable = tuple(sorted(set(ready) - self.closed_residents))
        self._free_mb = self.ledger.free_mb()
        self._capacity_mb = report.capacity_mb
        ordered = self.ledger.unreported_loads()
        self._layout = {**{it.resident: it.accelerators for it in ordered}, **report.layout()}
        self._held_mb = {**{it.resident: it.memory_mb for it in ordered}, **report.held_mb()}
        if usable == self._ready_residents:
            return
        self._ready_residents = usable
        for listener in self.on_change:
            listener()
