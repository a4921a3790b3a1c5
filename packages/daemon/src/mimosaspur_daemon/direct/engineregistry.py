"""Keep a desk for each registered engine, and say how the engines stand for a decision."""

from collections.abc import Callable
from dataclasses import replace

from mimosaspur_coordination.orderlease import OrderLease
from mimosaspur_coordination.placementproblem import EngineSnapshot
from mimosaspur_daemon.direct.enginecontroller import EngineController
from mimosaspur_daemon.direct.entrystate import EntryState
from mimosaspur_state.fleet import TargetRecord
from mimosaspur_state.routes import EngineSpec


class EngineRegistry:
    """Hold the desks of all engines that are registered and configured."""

    __slots__ = ("on_change", "controllers", "lease", "running", "state")

    def __init__(
        self, state: EntryState, lease: OrderLease, *, on_change: Callable[[], None]
    ) -> None:
        self.state = state
        self.lease = lease
        # Called when something has changed on an engine.
        self.on_change = on_change
        self.controllers: dict[str, EngineController] = {}
        # Requests that run at each target, by model, as of this turn.
        self.running: dict[str, dict[str, int]] = {}

    def services(self) -> list[tuple[str, EngineSpec]]:
        """Return the configured services that have engines."""
        configuration = self.state.configuration
        if configuration is None:
            return []
        services = configuration.services.values()
        return [(each.name, each.engine) for each in services if each.engine]

    def of_service(self, service: str) -> list[EngineController]:
        """Return the desks of a service's engines."""
        return [desk for desk in self.controllers.values() if desk.record.service == service]

    def update(self) -> None:
        """Follow the registrations: open desks, close desks, and note what has started again."""
        wanted = {}
        for service, _ in self.services():
            for view in self.state.fleet.by_service.get(service, {}).values():
                wanted[view.record.identity] = view.record
        for identity in [each for each in self.controllers if each not in wanted]:
            del self.controllers[identity]
        for identity, record in wanted.items():
            self._update_controller(self.controllers.get(identity), record)

    def snapshots(self, service: str) -> list[EngineSnapshot]:
        """Return how a service's engines stand."""
        desks = [desk for desk in self.of_service(service) if not desk.lost()]
        return [self._snapshot(desk) for desk in desks]

    def _snapshot(self, desk: EngineController) -> EngineSnapshot:
        running = self.running.get(desk.record.identity, {})
        staying = [model for model in desk.residents if model not in desk.unloading]
        return EngineSnapshot(
            desk.record.identity,
            {model: running.get(model, 0) for model in staying},
            desk.free_in_ms(),
            usable=desk.usable(),
            leaving=desk.record.leaving,
            loading=desk.loading,
            recent=desk.recent_models(),
            in_memory=desk.in_memory,
            on_disk=desk.on_disk,
            reserved_models=desk.reserved_models(),
        )

    def _update_controller(self, desk: EngineController | None, record: TargetRecord) -> None:
        if desk and desk.restarted_ms > record.started_ms:
            # Its report has told of the restart before its registration did.
            record = replace(record, started_ms=desk.restarted_ms, residents={})
        if desk and record.started_ms == desk.record.started_ms:
            desk.record = record
            return
        if desk and record.started_ms < desk.record.started_ms:
            return
        self.controllers[record.identity] = EngineController(
            record,
            port=self.state.dependencies.engines,
            lease=self.lease,
            clock=self.state.clock,
            log=self.state.log,
            on_change=self.on_change,
        )
        if desk:
            desk.restarted_ms = record.started_ms
            self.controllers[record.identity].inherit_pending(desk)
            self.state.log.always("engine_restarted", target=record.identity)
