"""Assemble the entry role."""

import random
import uuid

from mimosaspur_coordination.demandcounter import DemandCounter
from mimosaspur_coordination.generation import BundleFetcher
from mimosaspur_coordination.generation import BundleHolder
from mimosaspur_coordination.mirror import Mirror
from mimosaspur_coordination.retrybudget import RetryBudget
from mimosaspur_coordination.routing import Router
from mimosaspur_coordination.targetdirectory import TargetDirectory
from mimosaspur_daemon.application import Application
from mimosaspur_daemon.dispatcher import EntryDispatcher
from mimosaspur_daemon.instancelistpoller import InstanceListPoller
from mimosaspur_daemon.linkpool import LinkPool
from mimosaspur_daemon.platform import open_instance_list
from mimosaspur_daemon.platform import open_store
from mimosaspur_daemon.reports import DemandReporter
from mimosaspur_state import keys
from mimosaspur_state.clock import Clock
from mimosaspur_state.metrics import Metrics
from mimosaspur_state.objects import StoredObject
from mimosaspur_state.settings import Policy
from mimosaspur_state.settings import Settings
from mimosaspur_transport.callers import CallerServer

STOP_GRACE_MS = 30_000
# One in this many of the allowed in-flight requests may wait for a target to become ready.
IN_FLIGHT_PER_WAITING_SLOT = 4


class EntryRole:
    """Create and run the components of the entry role."""

    def __init__(self, settings: Settings, clock: Clock) -> None:
        assert settings.entry is not None
        self.settings = settings
        self.clock = clock
        self.incarnation = uuid.uuid4().hex
        self.store = open_store(settings, clock)
        self.metrics = Metrics(settings.statsd, instance=settings.instance.name)
        self.holder = BundleHolder()
        region = settings.instance.region
        prefixes = (
            keys.HEAD,
            keys.placements(region),
            keys.service_registrations(region),
            keys.DRAINS,
        )
        self.mirror = Mirror(
            self.store,
            prefixes,
            wait_ms=settings.platform.watch_ms,
            watch_interval_ms=settings.platform.watch_pace_ms,
        )
        self.fetcher = BundleFetcher(self.store, self.holder)
        self.mirror.listeners.append(self.fetcher.on_change)
        self.directory = TargetDirectory(self.mirror, region=region)
        self.mirror.listeners.append(self.directory.on_drain_change)
        self.demand = DemandCounter()
        self.links = LinkPool(
            instance=settings.instance.name,
            incarnation=self.incarnation,
            settings=settings.peers,
            idle_ms=settings.entry.peer_idle_ms,
            clock=clock,
            holder=self.holder,
        )
        self.instances = InstanceListPoller(
            open_instance_list(settings, clock),
            self.directory,
            self.mirror,
            self.links,
            clock=clock,
            settings=settings.platform,
        )
        self.mirror.listeners.append(self.instances.on_placement_change)
        self.dispatcher = self._create_dispatcher()
        self.server = CallerServer(settings.entry, self.dispatcher, clock, self.metrics)
        self.shutting_down = False
        self.mirror.listeners.append(self.on_drain_change)

    def start(self, app: Application) -> str:
        """Start all tasks and return the address on which callers are served."""
        app.spawn("mirror", self.mirror.run)
        app.spawn("bundles", self.fetcher.run)
        app.spawn("instances", self.instances.run)
        app.spawn("demand", DemandReporter(self.store, self.settings, self.demand).run)
        assert self.settings.entry is not None
        if self.settings.entry.planner:
            self._start_planner(app)
        self.server.start()
        app.on_stop(self.shut_down)
        return self.server.address

    def shut_down(self) -> None:
        """Stop accepting requests, let running answers finish, then close the links."""
        self.shutting_down = True
        self.dispatcher.stopping = True
        self.server.stop(STOP_GRACE_MS)
        self.links.stop()

    def on_drain_change(self, item: StoredObject) -> None:
        """Report not ready to the balancer while a drain order for this instance exists."""
        if item.key == keys.drain(self.settings.instance.name):
            self.dispatcher.stopping = self.shutting_down or item.value is not None

    def _create_dispatcher(self) -> EntryDispatcher:
        entry = self.settings.entry
        assert entry is not None
        is_naive = self.settings.policy is Policy.NAIVE
        router = Router(
            failure_domain=self.settings.instance.failure_domain,
            random_source=random.Random(),
            naive=is_naive,
        )
        return EntryDispatcher(
            holder=self.holder,
            directory=self.directory,
            router=router,
            links=self.links,
            budget=RetryBudget(ratio=entry.retry_ratio, burst=entry.retry_burst),
            demand=self.demand,
            clock=self.clock,
            metrics=self.metrics,
            wait_ready_ms=0 if is_naive else entry.wait_ready_ms,
            max_waiting=entry.max_in_flight // IN_FLIGHT_PER_WAITING_SLOT,
        )

    def _start_planner(self, app: Application) -> None:
        # Imported here so that an entry that never plans doesn't load the planner's code.
        from mimosaspur_coordination.claimsweep import ClaimSweep
        from mimosaspur_daemon.leased_planner import LeasedPlanner

        planner = LeasedPlanner(
            self.store,
            self.settings,
            self.incarnation,
            self.clock,
            self.holder.current,
            metrics=self.metrics,
        )
        app.spawn("planner", planner.run)
        sweep = ClaimSweep(
            self.store,
            self.clock,
            retention_ms=self.settings.planner.claim_keep_ms,
            page_size=self.settings.planner.claims_swept_per_second,
            holds_lease=lambda: planner.holds_lease,
        )
        app.spawn("claimsweep", sweep.run)
