"""Tell apart what may stand behind a target: a model engine or a plain service."""

import threading
from collections.abc import Callable
from typing import Protocol

from mimosaspur_coordination.generation import BundleHolder
from mimosaspur_coordination.mirror import Mirror
from mimosaspur_coordination.serviceregistration import ServiceRegistration
from mimosaspur_coordination.targetdirectory import service_resident
from mimosaspur_daemon.engine_reconciler import EngineReconciler
from mimosaspur_daemon.engine_snapshot import ServingHooks
from mimosaspur_daemon.runners import EngineRunner
from mimosaspur_daemon.runners import ServiceRunner
from mimosaspur_daemon.serving import Runner
from mimosaspur_daemon.serving import Serving
from mimosaspur_state import keys
from mimosaspur_state.clock import Clock
from mimosaspur_state.metrics import Metrics
from mimosaspur_state.objects import ObjectStore
from mimosaspur_state.settings import Settings
from mimosaspur_state.settings import TargetSettings
from mimosaspur_transport.chat import EngineChat
from mimosaspur_transport.engine import EngineAdmin
from mimosaspur_transport.plainservice import PlainService

REGISTER_INTERVAL_S = 1.0


class Upstream(Protocol):
    """Hold what the role target needs of what stands behind it."""

    runner: Runner
    on_change: list[Callable[[], None]]

    def attach(self, serving: Serving) -> None:
        """Connect with the serving side, before `run`."""
        ...

    def residents(self) -> tuple[str, ...]:
        """Return what can be served now."""
        ...

    def free_mb(self) -> tuple[int, ...]:
        """Return the memory left on each accelerator."""
        ...

    def capacity_mb(self) -> tuple[int, ...]:
        """Return the memory of each accelerator."""
        ...

    def layout(self) -> dict[str, tuple[int, ...]]:
        """Return the accelerators of each model that takes memory."""
        ...

    def held_mb(self) -> dict[str, int]:
        """Return each model's memory with its adapters on each accelerator."""
        ...

    def run(self, stop: threading.Event) -> None:
        """Keep it as placement asks until told to stop."""
        ...

    def is_withdrawn(self) -> bool:
        """Tell whether nothing depends on this target any more."""
        ...

    def withdraw(self) -> bool:
        """Move off placement as far as this target decides that; tell whether it is off."""
        ...

    def cancel_withdrawal(self) -> None:
        """Take back `leave`."""
        ...


class EngineUpstream:
    """Keep a model engine."""

    def __init__(
        self,
        settings: Settings,
        target: TargetSettings,
        store: ObjectStore,
        mirror: Mirror,
        holder: BundleHolder,
        *,
        clock: Clock,
        metrics: Metrics,
        incarnation: str,
    ) -> None:
        self.settings = settings
        self.target = target
        self.store = store
        self.mirror = mirror
        self.holder = holder
        self.clock = clock
        self.metrics = metrics
        self.incarnation = incarnation
        self.admin = EngineAdmin(target.address, settings.platform.timeout_ms)
        chat = EngineChat(target.address, silent_ms=target.silent_ms)
        self.runner: Runner = EngineRunner(chat, clock)
        self.on_change: list[Callable[[], None]] = []
        self.reconciler: EngineReconciler | None = None

    def attach(self, serving: Serving) -> None:
        """Connect with the serving side, before `run`."""
        self.reconciler = EngineReconciler(
            self.settings,
            self.store,
            self.admin,
            self.clock,
            self.mirror,
            self.holder.current,
            self.metrics,
            serving=ServingHooks(
                serving.in_flight_count, serving.close_resident, serving.reopen_resident
            ),
            incarnation=self.incarnation,
        )
        self.reconciler.on_change = self.on_change

    def residents(self) -> tuple[str, ...]:
        """Return what can be served now."""
        return self.reconciler.ready_residents() if self.reconciler else ()

    def free_mb(self) -> tuple[int, ...]:
        """Return the memory left on each accelerator."""
        return self.reconciler.free_mb() if self.reconciler else ()

    def capacity_mb(self) -> tuple[int, ...]:
        """Return the memory of each accelerator."""
        return self.reconciler.capacity_mb() if self.reconciler else ()

    def layout(self) -> dict[str, tuple[int, ...]]:
        """Return the accelerators of each model that takes memory."""
        return self.reconciler.layout() if self.reconciler else {}

    def held_mb(self) -> dict[str, int]:
        """Return each model's memory with its adapters on each accelerator."""
        return self.reconciler.held_mb() if self.reconciler else {}

    def run(self, stop: threading.Event) -> None:
        """Keep the engine as placement asks until told to stop."""
        assert self.reconciler is not None
        self.reconciler.run(stop)

    def is_withdrawn(self) -> bool:
        """Tell whether no placement record names this target."""
        own = self.settings.instance.name
        records = self.mirror.list_prefix(keys.placements(self.settings.instance.region))
        return not any(
            replica["target"] == own for item in records for replica in item.value["replicas"]
        )

    def withdraw(self) -> bool:
        """Wait for the planner, which moves the models first."""
        return self.is_withdrawn()

    def cancel_withdrawal(self) -> None:
        """Wait for the planner, which may place models here again."""


class ServiceUpstream:
    """Keep a plain service registered as carried by this target."""

    def __init__(
        self, settings: Settings, target: TargetSettings, store: ObjectStore, mirror: Mirror
    ) -> None:
        self.resident = service_resident(target.service)
        self.runner: Runner = ServiceRunner(PlainService(target.address))
        self.on_change: list[Callable[[], None]] = []
        self.registration = ServiceRegistration(
            store,
            mirror,
            region=settings.instance.region,
            service=target.service,
            target=settings.instance.name,
        )
        self.withdrawing = False

    def attach(self, serving: Serving) -> None:
        """Need nothing of the serving side."""

    def residents(self) -> tuple[str, ...]:
        """Return what can be served now."""
        return (self.resident,)

    def free_mb(self) -> tuple[int, ...]:
        """Return nothing: a plain service has no accelerators."""
        return ()

    def capacity_mb(self) -> tuple[int, ...]:
        """Return nothing: a plain service has no accelerators."""
        return ()

    def layout(self) -> dict[str, tuple[int, ...]]:
        """Return nothing: a plain service has no accelerators."""
        return {}

    def held_mb(self) -> dict[str, int]:
        """Return nothing: a plain service has no accelerators."""
        return {}

    def run(self, stop: threading.Event) -> None:
        """Keep the service registered until told to stop."""
        while not stop.is_set():
            if not self.withdrawing:
                self.registration.register()
            stop.wait(REGISTER_INTERVAL_S)

    def is_withdrawn(self) -> bool:
        """Tell whether the record no longer names this target."""
        return not self.registration.is_registered()

    def withdraw(self) -> bool:
        """Take this target off the record if another one carries the service."""
        self.withdrawing = True
        return self.registration.deregister()

    def cancel_withdrawal(self) -> None:
        """Register again."""
        self.withdrawing = False
