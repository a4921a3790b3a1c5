"""Keep a desk for each registered engine, and say how the engines stand for a decision."""

from collections.abc import Callable
from dataclasses import replace

from mimosaspur_coordination.orderlease import OrderLease
from mimosaspur_coordination.placementproblem import EngineSnapshot
from mimosaspur_daemon.direct.enginedesk import EngineDesk
from mimosaspur_daemon.direct.entrystate import EntryState
from mimosaspur_state.fleet import TargetRecord
from mimosaspur_state.routes import EngineSpec


class KnownEngines:
    """Hold the desks of all engines that are registered and configured."""

    __slots__ = ("changed", "desks", "lease", "running", "state")

    def __init__(
        self, state: EntryState, lease: OrderLease, *, changed: Callable[[], None]
    ) -> None:
        self.state = state
        self.lease = lease
        # Called when something has changed on an engine.
        self.changed = changed
        self.desks: dict[str, EngineDesk] = {}
        # Requests that run at each target, by model, as of this turn.
        self.running: dict[str, dict[str, int]] = {}

    def services(self) -> list[tuple[str, EngineSpec]]:
        """Return the configured services that have engines."""
        configuration = self.state.configuration
        if configuration is None:
            return []
        services = configuration.services.values()
        return [(each.name, each.engine) for each in services if each.engine]

    def of(self, service: str) -> list[EngineDesk]:
        """Return the desks of a service's engines."""
        return [desk for desk in self.desks.values() if desk.record.service == service]

    def update(self) -> None:
        """Follow the registrations: open desks, close desks, and note what has started again."""
        wanted = {}
        for service, _ in self.services():
            for view in self.state.fleet.by_service.get(service, {}).values():
                wanted[view.record.identity] = view.record
        for identity in [each for each in self.desks if each not in wanted]:
            del self.desks[identity]
        for identity, record in wanted.items():
            self._update_desk(self.desks.get(identity), record)

    def snapshots(self, service: str) -> list[EngineSnapshot]:
        """Return how a service's engines stand."""
        desks = [desk for desk in self.of(service) if not desk.lost()]
        return [self._snapshot(desk) for desk in desks]

    def _snapshot(self, desk: EngineDesk) -> EngineSnapshot:
        running = self.running.get(desk.record.identity, {})
        staying = [model for model in desk.residents if model not in desk.closing]
        return EngineSnapshot(
            desk.record.identity,
            {model: running.get(model, 0) for model in staying},
            desk.free_in_ms(),
            usable=desk.usable(),
            leaving=desk.record.leaving,
            loading=desk.loading,
            recent=desk.recent(),
            in_memory=desk.in_memory,
            on_disk=desk.on_disk,
            reserved_models=desk.kept_free(),
        )

    def _update_desk(self, desk: EngineDesk | None, record: TargetRecord) -> None:
        if desk and desk.restarted_ms > record.started_ms:
            # Its report has told of the restart before its registration did.
            record = replace(record, started_ms=desk.restarted_ms, residents={})
        if desk and record.started_ms == desk.record.started_ms:
            desk.record = record
            return
        if desk and record.started_ms < desk.record.started_ms:
            return
        self.desks[record.identity] = EngineDesk(
            record,
            port=self.state.dependencies.engines,
            lease=self.lease,
            clock=self.state.clock,
            log=self.state.log,
            changed=self.changed,
        )
        if desk:
            desk.restarted_ms = record.started_ms
            self.desks[record.identity].inherit(desk)
            self.state.log.always("engine_restarted", target=record.identity)
