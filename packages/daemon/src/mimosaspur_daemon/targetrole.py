"""Assemble the target role."""

import uuid

from mimosaspur_coordination.admission import AdmissionQueue
from mimosaspur_coordination.claims import Claims
from mimosaspur_coordination.generation import BundleFetcher
from mimosaspur_coordination.generation import BundleHolder
from mimosaspur_coordination.mirror import Mirror
from mimosaspur_daemon.application import Application
from mimosaspur_daemon.attempts import AttemptRegistry
from mimosaspur_daemon.draincontroller import DrainController
from mimosaspur_daemon.platform import open_store
from mimosaspur_daemon.reports import StatusReporter
from mimosaspur_daemon.serving import Serving
from mimosaspur_daemon.targetserver import TargetServer
from mimosaspur_daemon.upstream import EngineUpstream
from mimosaspur_daemon.upstream import ServiceUpstream
from mimosaspur_daemon.upstream import Upstream
from mimosaspur_state import keys
from mimosaspur_state.clock import Clock
from mimosaspur_state.metrics import Metrics
from mimosaspur_state.records import TargetStatus
from mimosaspur_state.settings import Policy
from mimosaspur_state.settings import Settings
from mimosaspur_state.settings import TargetKind
from mimosaspur_state.settings import TargetSettings


class TargetRole:
    """Create and start the components of the target role."""

    def __init__(self, settings: Settings, clock: Clock) -> None:
        assert settings.target is not None
        self.settings = settings
        self.target: TargetSettings = settings.target
        self.clock = clock
        self.incarnation = uuid.uuid4().hex
        self.store = open_store(settings, clock)
        self.metrics = Metrics(settings.statsd, instance=settings.instance.name)
        self.holder = BundleHolder()
        self.mirror = self._create_mirror()
        self.fetcher = BundleFetcher(self.store, self.holder)
        self.mirror.listeners.append(self.fetcher.on_change)
        self.queue = self._create_queue()
        self.upstream = self._create_upstream()
        self.serving = self._create_serving()
        self.upstream.attach(self.serving)
        self.registry = AttemptRegistry(clock, retention_ms=self.target.keep_answer_ms)
        self.server = TargetServer(
            settings,
            self.target,
            incarnation=self.incarnation,
            clock=clock,
            holder=self.holder,
            serving=self.serving,
            registry=self.registry,
            residents=self.upstream.residents,
        )
        self.drain_controller = DrainController(
            settings, self.mirror, self.serving, self.server, self.upstream, self.registry
        )
        self.status_reporter = StatusReporter(self.store, settings, self.build_status)
        self.address = ""

    def start(self, app: Application) -> str:
        """Start all threads and return the address that entries connect to."""
        # Bind first: this rules out a running predecessor on this instance.
        self.address = self.server.bind()
        self.upstream.on_change.append(self.server.announce_residents)
        self.upstream.on_change.append(self.status_reporter.on_status_change)
        self.holder.listeners.append(lambda index: self.server.announce_generation())
        self.mirror.listeners.append(lambda item: self.drain_controller.wake.set())
        self.drain_controller.on_change.append(self.status_reporter.on_status_change)
        app.spawn("mirror", self.mirror.run)
        app.spawn("bundles", self.fetcher.run)
        app.spawn("behind", self.upstream.run)
        app.spawn("server", self.server.run)
        app.spawn("sweep", self.server.sweep)
        app.spawn("claims", self.serving.claims.abandoned.run)
        app.spawn("departure", self.drain_controller.run)
        app.spawn("status", self.status_reporter.run)
        app.on_stop(self.drain_controller.shut_down)
        return self.address

    def build_status(self, beat: int) -> TargetStatus:
        """Return this target's status for the planner."""
        instance = self.settings.instance
        load = self.serving.load()
        return TargetStatus(
            instance=instance.name,
            incarnation=self.incarnation,
            kind=self.target.kind.value,
            service=self.target.service,
            failure_domain=instance.failure_domain,
            address=self.address,
            capacity_mb=self.upstream.capacity_mb(),
            free_mb=self.upstream.free_mb(),
            residents=self.upstream.residents(),
            draining=self.drain_controller.is_drain_ordered(),
            active=load.active,
            queued=load.queued,
            slots=load.slots,
            beat=beat,
            service_time_ms=int(self.queue.service_time_ms),
            generation=self.holder.generation(),
        )

    def _create_mirror(self) -> Mirror:
        region = self.settings.instance.region
        placement_prefix = keys.placements(region)
        if self.target.kind is TargetKind.SERVICE:
            placement_prefix = keys.service_registration(region, self.target.service)
        prefixes = (keys.HEAD, placement_prefix, keys.drain(self.settings.instance.name))
        return Mirror(
            self.store,
            prefixes,
            wait_ms=self.settings.platform.watch_ms,
            watch_interval_ms=self.settings.platform.watch_pace_ms,
        )

    def _create_queue(self) -> AdmissionQueue:
        return AdmissionQueue(
            self.clock,
            slots=self.target.slots,
            max_waiting=self.target.queue,
            service_time_ms=self.target.service_time_ms,
            naive=self.settings.policy is Policy.NAIVE,
        )

    def _create_upstream(self) -> Upstream:
        if self.target.kind is TargetKind.SERVICE:
            return ServiceUpstream(self.settings, self.target, self.store, self.mirror)
        return EngineUpstream(
            self.settings,
            self.target,
            self.store,
            self.mirror,
            self.holder,
            clock=self.clock,
            metrics=self.metrics,
            incarnation=self.incarnation,
        )

    def _create_serving(self) -> Serving:
        return Serving(
            queue=self.queue,
            claims=Claims(
                self.store,
                self.clock,
                target=self.settings.instance.name,
                writes_per_second=self.settings.platform.writes_per_second,
            ),
            holder=self.holder,
            runner=self.upstream.runner,
            clock=self.clock,
            metrics=self.metrics,
            residents=self.upstream.residents,
        )
