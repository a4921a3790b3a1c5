"""Share state between the components of one entry."""

import asyncio
import contextlib
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import replace
from typing import TypeVar

from mimosaspur_coordination.durations import DurationEstimator
from mimosaspur_coordination.evenload import LoadAge
from mimosaspur_coordination.fleetports import EnginePort
from mimosaspur_coordination.fleetports import FleetStore
from mimosaspur_coordination.fleetview import FleetView
from mimosaspur_coordination.followedtargets import FollowedTargets
from mimosaspur_coordination.limits.memorybudget import process_budget
from mimosaspur_coordination.limits.retrywindow import RetryWindow
from mimosaspur_coordination.limits.sharelease import ShareLease
from mimosaspur_coordination.outstandingloads import OutstandingLoads
from mimosaspur_coordination.quota.limiter import QuotaLimiter
from mimosaspur_coordination.reporttimes import ReportTimes
from mimosaspur_coordination.scheduling.loadoutlook import LoadOutlook
from mimosaspur_coordination.scheduling.refusedrequests import RefusedRequests
from mimosaspur_coordination.scheduling.scheduler import RequestScheduler
from mimosaspur_coordination.shares.holder import ShareHolder
from mimosaspur_coordination.storefreshness import StoreFreshness
from mimosaspur_coordination.unmetdemand import UnmetDemand
from mimosaspur_coordination.unmetdemand import UnmetRequest
from mimosaspur_coordination.unmetdemand import unmet_request
from mimosaspur_coordination.workspaces.ranks import Priority
from mimosaspur_coordination.workspaces.ranks import priority_of
from mimosaspur_coordination.workspaces.ranks import rank_table
from mimosaspur_daemon.direct.changenotifier import ChangeNotifier
from mimosaspur_daemon.direct.limitedengines import LimitedEngines
from mimosaspur_daemon.direct.quarantine import Quarantine
from mimosaspur_daemon.direct.reachabilityprobes import ReachabilityProbes
from mimosaspur_daemon.direct.reportedwork import ReportedWork
from mimosaspur_daemon.direct.streamversions import StreamVersions
from mimosaspur_daemon.direct.targetnotices import TargetNotices
from mimosaspur_state.clock import BoottimeClock
from mimosaspur_state.clock import Clock
from mimosaspur_state.directsettings import DirectSettings
from mimosaspur_state.domaintraffic import DomainTraffic
from mimosaspur_state.eventlog import EventLog
from mimosaspur_state.fleet import TargetRecord
from mimosaspur_state.policy import Mechanism
from mimosaspur_state.routes import Configuration
from mimosaspur_state.routes import Route
from mimosaspur_state.workspaces import Workspace
from mimosaspur_state.workspaces import with_weights_of
from mimosaspur_transport.channelpool import ChannelPool
from mimosaspur_transport.dialect import Dialect
from mimosaspur_transport.httpchannel import HttpChannel

K = TypeVar("K")

# Counts as urgent, of the highest priority.
UNKNOWN_REQUEST = UnmetRequest()
# Ranks in engine queues: resumed streams go first to keep their pause short, requests that will be
# late anyway go last, and the priorities of requests lie between them.
RESUMED_RANK = 0
FIRST_RANK = 1
LATE_RANK = 9


@dataclass(slots=True)
class EntryDependencies:
    """Provide the ports to everything outside the entry's process."""

    clock: Clock
    log: EventLog
    dialect: Dialect
    store: FleetStore
    engines: EnginePort
    # Reads the settings again; raises MimosaspurError.
    reload: Callable[[], DirectSettings]
    # Returns whether the settings have changed since the last call.
    changed: Callable[[], bool]


@dataclass(slots=True)
class UnreportedDemand:
    """Count the demand for a model since the last report to the coordinator."""

    tokens: int = 0
    # The shortest first-event objective among the requests' routes.
    objective_ms: int = 0
    # The lowest priority number among the requests.
    priority: int = 0


class EntryState:
    """Hold configuration, targets, connections and counts of one entry."""

    def __init__(self, settings: DirectSettings, dependencies: EntryDependencies) -> None:
        self.settings = settings
        self.dependencies = dependencies
        self.clock = dependencies.clock
        self.log = dependencies.log
        self.traffic = DomainTraffic(settings.failure_domain, self.log.counters)
        # For what callers send and are sent.
        self.memory = process_budget(settings.memory_mb, clock=self.clock)
        self.configuration: Configuration | None = None
        self.changes = ChangeNotifier()
        # Set to send the coordinator a report before the next periodic one.
        self.report_requested = asyncio.Event()
        self.notices = TargetNotices(
            clock=self.clock,
            permit_clock=BoottimeClock(),
            dialect=dependencies.dialect,
            log=self.log,
            request_report=self.report_requested.set,
            on_change=self.changes.notify,
            on_leaving=self._on_target_leaving,
        )
        dependencies.engines.set_head_handler(self.notices.on_head)
        self.fleet = FleetView(
            clock=self.clock,
            leaving=self.notices.leaving,
            adaptive_pace=self.uses(Mechanism.MODEL_PACE),
            adaptive_queue=self.uses(Mechanism.QUEUE_RATIO),
            share_speeds=self.uses(Mechanism.ENGINE_SPEED),
        )
        self.pools: dict[str, ChannelPool] = {}
        self.reachability = ReachabilityProbes(clock=self.clock, adopt=self.adopt)
        self.retry_windows: dict[str, RetryWindow] = {}
        # This entry's share of the constant part of the retry budgets.
        self.retry_share = ShareLease(window_ms=settings.retries.window_ms, clock=BoottimeClock())
        self.quotas = QuotaLimiter(settings.quotas, clock=self.clock)
        self.shares = ShareHolder(clock=self.clock)
        # Set once a coordinator has sent the remaining quotas, or requests are ended.
        self.quotas_received = asyncio.Event()
        # Ranks of requests, and the configuration that they were computed from.
        self.ranks: dict[Priority, int] = {}
        self.ranked_configuration: Configuration | None = None
        # References to background tasks: the event loop itself keeps only weak ones.
        self.tasks: set[asyncio.Task[None]] = set()
        self.targets_updated = asyncio.Event()
        # Demand since the last report to the coordinator, by model and by adapter.
        self.unreported_demand: dict[str, UnreportedDemand] = {}
        self.unreported_adapter_requests: dict[tuple[str, str], int] = {}
        # Numbers of requests that wait for a model, and for an adapter.
        self.waiting: dict[str, int] = {}
        self.waiting_adapters: dict[tuple[str, str], int] = {}
        # What is asked of models that no engine holds.
        self.unmet = UnmetDemand(clock=self.clock)
        # Targets to which no connection could be opened since the last report.
        self.unreachable: set[str] = set()
        # When models that no engine holds will be ready, as far as the coordinator tells.
        self.load_outlook = LoadOutlook(handover_ms=settings.orders.handover_ms, clock=self.clock)
        # Orders the requests that wait here.
        self.scheduler = RequestScheduler(clock=self.clock)
        # Digests of requests refused early, and until when their callers may come back.
        self.refused = RefusedRequests(clock=self.clock)
        self.reported_work = ReportedWork()
        self.quarantine = Quarantine(self)
        self.outstanding_loads = OutstandingLoads(clock=self.clock)
        self.load_age = LoadAge(clock=self.clock)
        # Entries that are not leaving, as the coordinator last reported; 0 if unknown.
        self.staying_entries = 0
        self.stream_versions = StreamVersions(
            instance=settings.instance,
            lag_ms=settings.drain_ms,
            clock=BoottimeClock(),
            log=self.log,
        )
        self.report_times = ReportTimes(clock=BoottimeClock())
        self.followed_targets = FollowedTargets()
        self.targets_known = False
        self.freshness = StoreFreshness(bound_ms=settings.drain_ms, clock=BoottimeClock())
        self.leaving = False
        # Whether this entry is the coordinator.
        self.coordinating = False
        # While leaving, on the event loop's clock: when the balancer has stopped sending callers,
        # and when unfinished requests are ended.
        self.balancer_noticed_s = float("inf")
        self.shutdown_deadline_s = float("inf")
        # Whether requests are no longer sent to targets because the process is about to exit.
        self.shutting_down = False
        self.durations = DurationEstimator()
        # Dependencies that do not respond at present.
        self.unavailable: set[str] = set()

    @property
    def engines(self) -> EnginePort:
        """Return the port to engines, within what they say of themselves."""
        return LimitedEngines(self.dependencies.engines, self.notices)

    def uses(self, mechanism: Mechanism) -> bool:
        """Return whether a mechanism is enabled."""
        return self.settings.policy.uses(mechanism)

    def apply_configuration(self, newest: Configuration, *, source: str) -> bool:
        """Apply a configuration if it is newer, or names weights that are missing; return that."""
        current = self.configuration
        if current and newest.version == current.version:
            newest = _with_weights_of(current, newest)
            if newest == current:
                return False
        elif current and newest.version < current.version:
            return False
        self.configuration = newest
        self.quotas.configure(newest.workspaces or ())
        if self.uses(Mechanism.FAIR_SHARES):
            self.shares.configure(newest.workspaces or ())
        self.stream_versions.set_lifetime(newest.longest_stream_ms())
        self.log.always(
            "configuration",
            version=newest.version,
            routes=len(newest.routes),
            workspaces=len(newest.workspaces or ()),
            what=source,
        )
        self.report_requested.set()
        self.changes.notify()
        return True

    def version(self) -> int:
        """Return the version of the configuration in force, 0 without one."""
        return self.configuration.version if self.configuration else 0

    def rank_of(self, route: Route, workspace: Workspace | None) -> int:
        """Return the rank in engine queues of a request that can be on time."""
        if self.configuration is not self.ranked_configuration and self.configuration:
            self.ranks = rank_table(self.configuration, first=FIRST_RANK, last=LATE_RANK - 1)
            self.ranked_configuration = self.configuration
        # The request may have arrived under an older configuration.
        return self.ranks.get(priority_of(route, workspace), LATE_RANK - 1)

    def pool(self, record: TargetRecord) -> ChannelPool:
        """Return the connection pool of a target."""
        pool = self.pools.get(record.identity)
        if pool is None:
            pool = self.pools[record.identity] = ChannelPool(record.address, clock=self.clock)
        return pool

    def adopt(self, record: TargetRecord, channel: HttpChannel) -> None:
        """Keep a connection in the pool of a target, or close it if the target has gone."""
        pool = self.pools.get(record.identity)
        if pool is not None and pool.address == record.address:
            pool.adopt(channel)
        else:
            channel.close()

    def drop_copy(self, record: TargetRecord, handle: str) -> None:
        """Free the unused memory of a stopped run in the background."""
        task = asyncio.get_running_loop().create_task(self.engines.drop_copy(record, handle))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def remove_target(self, identity: str) -> None:
        """Close the connections to a target that is gone."""
        pool = self.pools.pop(identity, None)
        if pool:
            pool.close()

    def retry_window(self, service: str) -> RetryWindow:
        """Return the retry budget of a service."""
        window = self.retry_windows.get(service)
        if window is None:
            lease = self.retry_share
            window = RetryWindow(self.settings.retries, lease=lease, clock=lease.clock)
            self.retry_windows[service] = window
        return window

    def record_demand(
        self, model: str, adapter: str, *, tokens: int, objective_ms: int, priority: int = 0
    ) -> None:
        """Count a request for a model, and for an adapter if it names one."""
        if adapter:
            key = (model, adapter)
            self.unreported_adapter_requests[key] = self.unreported_adapter_requests.get(key, 0) + 1
        demand = self.unreported_demand.setdefault(
            model, UnreportedDemand(objective_ms=objective_ms, priority=priority)
        )
        demand.tokens += tokens
        demand.objective_ms = min(demand.objective_ms, objective_ms)
        demand.priority = min(demand.priority, priority)

    def record_rejection(
        self, route: Route, workspace: Workspace | None, service: str, model: str
    ) -> None:
        """Count a refused request as demand for its model if no engine holds it."""
        views = self.fleet.by_service.get(service, {}).values()
        holders = [view for view in views if model in view.residents and not view.record.leaving]
        if any(model not in view.unloading for view in holders):
            return
        request = self.unmet_request(route, workspace, service, model)
        self.unmet.reject(model, request, time_limit_ms=route.timeout_ms)
        self.log.counters.count("rejected_without_model", "urgent" if request.urgent else "patient")
        self.report_requested.set()

    def unmet_request(
        self, route: Route, workspace: Workspace | None, service: str, model: str
    ) -> UnmetRequest:
        """Return what a request counts as while no engine holds its model."""
        spec = self.configuration.services.get(service) if self.configuration else None
        models = spec.engine.models if spec and spec.engine else {}
        return unmet_request(route, workspace, models.get(model))

    def count_refused(
        self, model: str, adapter: str, request: UnmetRequest, *, returns_s: float
    ) -> None:
        """Count a request refused early as waiting until its caller returns, if need be.

        A coordinator without forecasts knows of waiting requests only.
        """
        if self.load_outlook.gives_forecasts:
            return
        with contextlib.ExitStack() as stack:
            stack.enter_context(self.waiting_for(model, adapter, request))
            asyncio.get_running_loop().call_later(returns_s, stack.pop_all().close)

    def on_targets_changed(self, ended: Collection[str]) -> None:
        """Record that the targets were updated and close connections to those that ended."""
        for identity in ended:
            self.remove_target(identity)
        if ended:
            self.notices.retain({view.record.incarnation for view in self.fleet.targets.values()})
        self.targets_known = True
        self.stream_versions.update_targets(self.fleet.versions())
        self.targets_updated.set()
        self.changes.notify()

    def _on_target_leaving(self, incarnation: str) -> None:
        self.fleet.mark_leaving(incarnation)
        self.targets_updated.set()
        self.changes.notify()

    def on_coordinator_lost(self) -> None:
        """Fall back to what this entry has observed itself."""
        self.followed_targets.reset()
        self.reported_work.reset()
        self.quotas.on_coordinator_lost()
        self.shares.on_coordinator_lost()
        self.quarantine.on_coordinator_lost()
        self.fleet.on_coordinator_lost()
        self.load_outlook.on_coordinator_lost()
        # Waiting requests no longer wait for what the coordinator had forecast.
        self.changes.notify()

    def ready(self) -> bool:
        """Return whether callers may be sent here."""
        return bool(self.configuration and self.targets_known and not self.leaving)

    def is_last_entry(self) -> bool:
        """Return whether no other entry is known to stay while this one leaves."""
        return not self.staying_entries

    @contextlib.contextmanager
    def waiting_for(
        self, model: str, adapter: str, request: UnmetRequest = UNKNOWN_REQUEST
    ) -> Iterator[None]:
        """Count a request as waiting for a model or an adapter within the context."""
        self.waiting[model] = self.waiting.get(model, 0) + 1
        if adapter:
            key = (model, adapter)
            self.waiting_adapters[key] = self.waiting_adapters.get(key, 0) + 1
        self.report_requested.set()
        try:
            with self.unmet.waiting(model, request):
                yield
        finally:
            _decrement(self.waiting, model)
            if adapter:
                _decrement(self.waiting_adapters, (model, adapter))


def _with_weights_of(current: Configuration, other: Configuration) -> Configuration:
    """Return a configuration with the weights that only another one of its version has."""
    workspaces = current.workspaces
    if workspaces is not None:
        workspaces = with_weights_of(workspaces, other.workspaces or ())
    return replace(current, workspaces=workspaces)


def _decrement(counts: dict[K, int], key: K) -> None:
    counts[key] -= 1
    if not counts[key]:
        del counts[key]
