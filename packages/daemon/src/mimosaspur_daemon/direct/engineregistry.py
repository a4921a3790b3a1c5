"""Keep a controller for each registered engine, and take snapshots for placement decisions."""

from collections.abc import Callable
from dataclasses import replace

from mimosaspur_coordination.orderlease import OrderLease
from mimosaspur_coordination.outstandingloads import load_names
from mimosaspur_coordination.placementproblem import EngineSnapshot
from mimosaspur_daemon.direct.enginecontroller import EngineController
from mimosaspur_daemon.direct.entrystate import EntryState
from mimosaspur_state.fleet import TargetRecord
from mimosaspur_state.routes import EngineSpec


class EngineRegistry:
    """Hold the controllers of all engines that are registered and configured."""

    __slots__ = ("controllers", "lease", "on_change", "running", "state")

    def __init__(
        self, state: EntryState, lease: OrderLease, *, on_change: Callable[[], None]
    ) -> None:
        self.state = state
        self.lease = lease
        # Called when something has changed on an engine.
        self.on_change = on_change
        self.controllers: dict[str, EngineController] = {}
        # Requests that run at each target, by model, as of this round.
        self.running: dict[str, dict[str, int]] = {}

    def services(self) -> list[tuple[str, EngineSpec]]:
        """Return the configured services that have engines."""
        configuration = self.state.configuration
        if configuration is None:
            return []
        services = configuration.services.values()
        return [(each.name, each.engine) for each in services if each.engine]

    def of_service(self, service: str) -> list[EngineController]:
        """Return the controllers of a service's engines."""
        return [
            controller
            for controller in self.controllers.values()
            if controller.record.service == service
        ]

    def update(self) -> None:
        """Add, remove and replace controllers to match the registrations."""
        wanted = {}
        for service, _ in self.services():
            for view in self.state.fleet.by_service.get(service, {}).values():
                wanted[view.record.identity] = view.record
        for identity in [each for each in self.controllers if each not in wanted]:
            self._drop(self.controllers.pop(identity))
        for identity, record in wanted.items():
            self._update_controller(self.controllers.get(identity), record)
        for controller in self.controllers.values():
            limited = self.state.notices.is_held(controller.record)
            if controller.limited and not limited:
                # Its state may be old: few reports were permitted.
                controller.report_requested_ms = 0
            controller.limited = limited

    def versions(self, service: str) -> dict[str, str]:
        """Return the software versions of a service's engines, by identity."""
        return {each.record.identity: each.record.version for each in self.of_service(service)}

    def snapshots(self, service: str) -> list[EngineSnapshot]:
        """Return snapshots of a service's engines, without lost ones."""
        controllers = [
            controller for controller in self.of_service(service) if not controller.lost()
        ]
        return [self._snapshot(controller) for controller in controllers]

    def _snapshot(self, controller: EngineController) -> EngineSnapshot:
        running = self.running.get(controller.record.identity, {})
        staying = [model for model in controller.residents if model not in controller.unloading]
        return EngineSnapshot(
            controller.record.identity,
            {model: running.get(model, 0) for model in staying},
            controller.free_in_ms(),
            usable=controller.usable(),
            leaving=controller.record.leaving,
            limited=controller.limited,
            loading=controller.loading,
            recent=controller.recent_models(),
            in_memory=controller.in_memory,
            on_disk=controller.on_disk,
            reserved_models=controller.reserved_models(),
            prefill_factor=self._prefill_factor(controller.record),
            version=controller.record.version,
        )

    def _prefill_factor(self, record: TargetRecord) -> float:
        """Return the measured factor of an engine's present lifetime, 1 if there is none."""
        view = self.state.fleet.targets.get(record.identity)
        # The controller may know of a restart that isn't registered yet.
        if view is None or view.record.started_ms != record.started_ms:
            return 1.0
        return view.prefill_factor

    def _drop(self, controller: EngineController) -> None:
        self.state.log.always(
            "engine_dropped",
            target=controller.record.incarnation,
            sequence=controller.sequence,
            loading=controller.loading,
            outstanding=load_names(controller.outstanding_loads()),
        )

    def _update_controller(self, controller: EngineController | None, record: TargetRecord) -> None:
        if controller and controller.restarted_ms > record.started_ms:
            # A report has shown the restart before the registration did.
            record = replace(record, started_ms=controller.restarted_ms, residents={})
        if controller and record.started_ms == controller.record.started_ms:
            controller.record = record
            return
        if controller and record.started_ms < controller.record.started_ms:
            return
        self.controllers[record.identity] = EngineController(
            record,
            port=self.state.engines,
            lease=self.lease,
            outstanding=self.state.outstanding_loads,
            clock=self.state.clock,
            log=self.state.log,
            on_change=self.on_change,
        )
        if controller:
            controller.restarted_ms = record.started_ms
            self.state.log.always("engine_restarted", target=record.identity)
