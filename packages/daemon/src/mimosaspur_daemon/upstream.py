"""Provide one interface to a target's upstream: a model engine or a plain service."""

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
    """Define what the target role needs of its upstream."""

    runner: Runner
    on_change: list[Callable[[], None]]

    def attach(self, serving: Serving) -> None:
        """Connect to the serving side; call it before `run`."""
        ...

    def residents(self) -> tuple[str, ...]:
        """Return the ids of the residents that can be served now."""
        ...

    def free_mb(self) -> tuple[int, ...]:
        """Return the free memory of each accelerator."""
        ...

    def capacity_mb(self) -> tuple[int, ...]:
        """Return the memory of each accelerator."""
        ...

    def layout(self) -> dict[str, tuple[int, ...]]:
        """Return the accelerators of each model that holds memory."""
        ...

    def held_mb(self) -> dict[str, int]:
        """Return the memory per accelerator of each model with its adapters."""
        ...

    def run(self, stop: threading.Event) -> None:
        """Apply the placement until `stop` is set."""
        ...

    def is_withdrawn(self) -> bool:
        """Return whether no record names this target any more."""
        ...

    def withdraw(self) -> bool:
        """Withdraw this target from its records if allowed; return whether it is withdrawn."""
        ...

    def cancel_withdrawal(self) -> None:
        """Cancel `withdraw`."""
        ...


class EngineUpstream:
    """Reconcile a model engine with its placement."""

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
        """Connect to the serving side; call it before `run`."""
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
        """Return the ids of the residents that can be served now."""
        return self.reconciler.ready_residents() if self.reconciler else ()

    def free_mb(self) -> tuple[int, ...]:
        """Return the free memory of each accelerator."""
        return self.reconciler.free_mb() if self.reconciler else ()

    def capacity_mb(self) -> tuple[int, ...]:
        """Return the memory of each accelerator."""
        return self.reconciler.capacity_mb() if self.reconciler else ()

    def layout(self) -> dict[str, tuple[int, ...]]:
        """Return the accelerators of each model that holds memory."""
        return self.reconciler.layout() if self.reconciler else {}

    def held_mb(self) -> dict[str, int]:
        """Return the memory per accelerator of each model with its adapters."""
        return self.reconciler.held_mb() if self.reconciler else {}

    def run(self, stop: threading.Event) -> None:
        """Reconcile the engine with its placement until `stop` is set."""
        assert self.reconciler is not None
        self.reconciler.run(stop)

    def is_withdrawn(self) -> bool:
        """Return whether no placement record names this target."""
        own_name = self.settings.instance.name
        records = self.mirror.list_prefix(keys.placements(self.settings.instance.region))
        return not any(
            replica["target"] == own_name for item in records for replica in item.value["replicas"]
        )

    def withdraw(self) -> bool:
        """Return whether the planner has moved all models away."""
        return self.is_withdrawn()

    def cancel_withdrawal(self) -> None:
        """Do nothing: the planner may place models here again."""


class ServiceUpstream:
    """Keep this target registered as a carrier of its plain service."""

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
        """Do nothing: a plain service needs no hooks of the serving side."""

    def residents(self) -> tuple[str, ...]:
        """Return the ids of the residents that can be served now."""
        return (self.resident,)

    def free_mb(self) -> tuple[int, ...]:
        """Return an empty value: a plain service has no accelerators."""
        return ()

    def capacity_mb(self) -> tuple[int, ...]:
        """Return an empty value: a plain service has no accelerators."""
        return ()

    def layout(self) -> dict[str, tuple[int, ...]]:
        """Return an empty value: a plain service has no accelerators."""
        return {}

    def held_mb(self) -> dict[str, int]:
        """Return an empty value: a plain service has no accelerators."""
        return {}

    def run(self, stop: threading.Event) -> None:
        """Keep the service registered until `stop` is set."""
        while not stop.is_set():
            if not self.withdrawing:
                self.registration.register()
            stop.wait(REGISTER_INTERVAL_S)

    def is_withdrawn(self) -> bool:
        """Return whether the service's record no longer names this target."""
        return not self.registration.is_registered()

    def withdraw(self) -> bool:
        """Deregister this target if another one carries the service."""
        self.withdrawing = True
        return self.registration.deregister()

    def cancel_withdrawal(self) -> None:
        """Resume registering this target."""
        self.withdrawing = False
