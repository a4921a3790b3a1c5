"""Keep the engine's memory: the one task that gives a target's engine its orders."""

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
    """Bring the engine to what placement asks of it; public reads are safe from any thread.

    Start `run` only once the target's listen address is bound: from then on no predecessor runs.
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
            raise ValueError("an engine keeper needs the settings section target")
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
        """Return the ids of models and adapters that may be used now, sorted."""
        return self._ready_residents

    def free_mb(self) -> tuple[int, ...]:
        """Return the memory left on each accelerator; empty before the first report."""
        return self._free_mb

    def capacity_mb(self) -> tuple[int, ...]:
        """Return the memory of each accelerator; empty before the first report."""
        return self._capacity_mb

    def layout(self) -> dict[str, tuple[int, ...]]:
        """Return the accelerators of each model that takes memory; don't change it."""
        return self._layout

    def held_mb(self) -> dict[str, int]:
        """Return each model's memory with its adapters on each accelerator; don't change it."""
        return self._held_mb

    def run(self, stop: threading.Event) -> None:
        """Go round every poll_ms, or sooner when placement changes, until told to stop."""
        self.ownership.start()
        while not stop.is_set():
            try:
                self.reconcile()
            except (MimosaspurError, msgspec.ValidationError) as error:
                # The task must outlive one object that it can't read or write.
                log(PART, "A round ended early.", error=str(error))
            self.wake.wait(self.target.poll_ms / MS_PER_SECOND)
            self.wake.clear()

    def reconcile(self) -> None:
        """Read the engine's report, then settle records and give the orders that fit."""
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
                # The status says so by this: the planner counts on no engine that is silent.
                self._free_mb = self._capacity_mb = ()
                self._layout, self._held_mb = {}, {}
        self._reconciled_at_ms = self.clock.now_ms()

    def _apply(self, report: EngineState) -> None:
        if not self.ownership.ensure_owner(report):
            return
        # A predecessor is fenced off even before there is a bundle to act by.
        cleared = self.ownership.is_predecessor_fenced(report)
        situation = self._build_snapshot(report)
        if situation is None:
            return
        self.records.store_available = True
        # Loads come first: they need no store, and a store that is silent takes its time.
        if cleared:
            self._reopen_residents(situation)
            self._load_missing(situation)
        self._mark_lost(situation)
        if cleared:
            self._mark_ready(situation)
            self._remove_replaced(situation)
            self._unload_unwanted(situation)

    def _build_snapshot(self, report: EngineState) -> EngineSnapshot | None:
        index = self.current_bundle()
        if index is None or not self.mirror.synced.is_set():
            return None
        return self.snapshots.build(report, index)

    def _mark_lost(self, situation: EngineSnapshot) -> None:
        for held in situation.assignments:
            lost = held.state is not ReplicaState.LOAD
            if not lost or situation.report.is_ready(held.base_id()):
                continue
            log(PART, "The engine lost a replica.", resident=held.base_id())
            self.records.update(replicas.mark_lost, held)

    def _mark_ready(self, situation: EngineSnapshot) -> None:
        for held in situation.assignments:
            if held.state is not ReplicaState.LOAD or not orders.is_complete(
                held, situation.report
            ):
                continue
            if any(
                self._is_order_unsettled(name) for name in (held.base_id(), *held.adapter_ids())
            ):
                continue
            self.records.update(replicas.mark_ready, held)

    def _remove_replaced(self, situation: EngineSnapshot) -> None:
        for held in situation.assignments:
            if held.state is not ReplicaState.LEAVING or not self.records.store_available:
                continue
            if not replicas.is_replaced(held.record, self.name, held.version, situation.index):
                continue
            self._remove_replica(held, situation)

    def _remove_replica(self, held: Assignment, situation: EngineSnapshot) -> None:
        parts = orders.residents_of(held, situation.report)
        for name in parts:
            self._close(name)
        left = self.records.update(partial(replicas.remove_replaced, index=situation.index), held)
        if left:
            log(PART, "A replica left.", resident=held.base_id())
            self.wake.set()
            return
        # It stays the one that callers need until a replacement is ready.
        for name in parts:
            self._open(name)

    def _reopen_residents(self, situation: EngineSnapshot) -> None:
        leaving = {item.id for item in situation.unwanted}
        leaving.update(
            item.id for item in situation.report.residents if item.state is ResidentState.UNLOADING
        )
        for held in situation.assignments:
            if held.state is ReplicaState.LEAVING:
                leaving.update(orders.residents_of(held, situation.report))
        for name in self.closed_residents - leaving:
            if not self._is_order_unsettled(name):
                self._open(name)

    def _load_missing(self, situation: EngineSnapshot) -> None:
        # No store was asked since the report, so only a pause can have made it old.
        if not self.sender.is_report_fresh():
            self.ownership.on_pause()
        for held in situation.assignments:
            step = orders.next_load(held, situation.report)
            if step is None or not self.sender.is_report_fresh():
                continue
            promised_mb = orders.reserved_mb(situation.assignments, self.ledger)
            if not self.sender.load(step, promised_mb):
                self.metrics.count("engine.load_waits")

    def _unload_unwanted(self, situation: EngineSnapshot) -> None:
        bases = {item.base for item in situation.report.residents}
        known, self._previously_unwanted = self._previously_unwanted, {
            item.id for item in situation.unwanted
        }
        # Entries must hear first of what replaces it: what is new here waits for a round.
        for item in (item for item in situation.unwanted if item.id in known):
            if item.id not in self.closed_residents and self.records.may_unload(item, situation):
                self._close(item.id)
            if (
                item.id not in self.closed_residents
                or item.id in bases
                or self.serving.in_use(item.id)
            ):
                continue
            if self.records.may_unload(item, situation) and self.sender.is_report_fresh():
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
