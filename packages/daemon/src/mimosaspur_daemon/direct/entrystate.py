"""Hold what all parts of one entry share."""

import asyncio
import contextlib
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from dataclasses import dataclass
from typing import TypeVar

from mimosaspur_coordination.durations import DurationEstimator
from mimosaspur_coordination.fleetports import EnginePort
from mimosaspur_coordination.fleetports import FleetStore
from mimosaspur_coordination.fleetview import FleetView
from mimosaspur_coordination.limits.retrywindow import RetryWindow
from mimosaspur_coordination.limits.sharelease import ShareLease
from mimosaspur_coordination.quota.limiter import QuotaLimiter
from mimosaspur_coordination.storefreshness import StoreFreshness
from mimosaspur_coordination.workspaces.ranks import Priority
from mimosaspur_coordination.workspaces.ranks import priority_of
from mimosaspur_coordination.workspaces.ranks import rank_table
from mimosaspur_daemon.direct.reportedwork import ReportedWork
from mimosaspur_state.clock import BoottimeClock
from mimosaspur_state.clock import Clock
from mimosaspur_state.directsettings import DirectSettings
from mimosaspur_state.eventlog import EventLog
from mimosaspur_state.fleet import TargetRecord
from mimosaspur_state.policy import Mechanism
from mimosaspur_state.routes import Configuration
from mimosaspur_state.routes import Route
from mimosaspur_state.workspaces import Workspace
from mimosaspur_transport.channelpool import ChannelPool
from mimosaspur_transport.dialect import Dialect

K = TypeVar("K")

# Ranks at engines: a stream that goes on at another engine must not pause for long, and what will
# be late anyway goes last. The priorities of requests lie between them.
RESUMED_RANK = 0
FIRST_RANK = 1
LATE_RANK = 9


@dataclass(slots=True)
class EntryDependencies:
    """Hold the ports through which an entry reaches everything outside of its process."""

    clock: Clock
    log: EventLog
    dialect: Dialect
    store: FleetStore
    engines: EnginePort
    # Reads the settings anew; raises MimosaspurError.
    reload: Callable[[], DirectSettings]
    # Tells whether the settings have changed since the last call.
    changed: Callable[[], bool]


@dataclass(slots=True)
class UnreportedDemand:
    """Hold what callers asked of a model since the last report."""

    tokens: int = 0
    # The shortest time to a first event among the requests' routes.
    objective_ms: int = 0


class ChangeNotifier:
    """Wake all who wait for the picture of the fleet to change."""

    __slots__ = ("event",)

    def __init__(self) -> None:
        self.event = asyncio.Event()

    def notify(self) -> None:
        """Wake all who wait."""
        self.event.set()
        self.event = asyncio.Event()

    async def wait(self, timeout_s: float) -> None:
        """Wait for a change, or until the timeout."""
        event = self.event
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await event.wait()


class EntryState:
    """Hold configuration, targets, connections and counts of one entry."""

    def __init__(self, settings: DirectSettings, outside: EntryDependencies) -> None:
        self.settings = settings
        self.dependencies = outside
        self.clock = outside.clock
        self.log = outside.log
        self.configuration: Configuration | None = None
        self.fleet = FleetView(
            clock=self.clock,
            adaptive_pace=self.uses(Mechanism.MODEL_PACE),
            adaptive_queue=self.uses(Mechanism.QUEUE_RATIO),
        )
        self.pools: dict[str, ChannelPool] = {}
        self.retry_windows: dict[str, RetryWindow] = {}
        # This entry's part of the constants that bound repeats.
        self.retry_share = ShareLease(window_ms=settings.retries.window_ms, clock=BoottimeClock())
        self.quotas = QuotaLimiter(settings.quotas, clock=self.clock)
        # Set once a coordinator has told what is left of quotas.
        self.quotas_received = asyncio.Event()
        # The ranks of a configuration's requests.
        self.ranks: dict[Priority, int] = {}
        self.ranked_configuration: Configuration | None = None
        self.changes = ChangeNotifier()
        # Short tasks that nobody waits for.
        self.tasks: set[asyncio.Task[None]] = set()
        # Set when the targets have changed.
        self.targets_updated = asyncio.Event()
        # What was asked of each model since the last report to the coordinator.
        self.unreported_demand: dict[str, UnreportedDemand] = {}
        self.unreported_adapter_requests: dict[tuple[str, str], int] = {}
        # Requests that wait for a model, and those that wait for an adapter.
        self.waiting: dict[str, int] = {}
        self.waiting_adapters: dict[tuple[str, str], int] = {}
        # Targets to which no connection could be opened since the last report.
        self.unreachable: set[str] = set()
        # When models that are being loaded are expected, as the coordinator told.
        self.model_ready_in_ms: dict[str, int] = {}
        self.reported_work = ReportedWork()
        # Set when the coordinator should hear from this entry before its next turn.
        self.report_requested = asyncio.Event()
        # Entries that stay, as the coordinator last told, 0 if nobody told.
        self.staying_entries = 0
        self.targets_known = False
        self.freshness = StoreFreshness(bound_ms=settings.drain_ms, clock=self.clock)
        self.leaving = False
        # Whether this entry coordinates the others.
        self.coordinating = False
        # While leaving, on the event loop's clock: when the balancer has noticed, and when all that
        # is unanswered is ended.
        self.balancer_noticed_s = float("inf")
        self.shutdown_deadline_s = float("inf")
        # Whether nothing is passed on to targets any more, since this process ends now.
        self.shutting_down = False
        self.durations = DurationEstimator()
        # Dependencies that do not answer now.
        self.unavailable: set[str] = set()

    def uses(self, mechanism: Mechanism) -> bool:
        """Tell whether a mechanism is on."""
        return self.settings.policy.uses(mechanism)

    def apply_configuration(self, newest: Configuration, *, source: str) -> bool:
        """Put a configuration in force if it is newer; tell whether it is."""
        current = self.configuration
        if current and newest.version <= current.version:
            return False
        self.configuration = newest
        self.quotas.configure(newest.workspaces or ())
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
        """Return the place of a request in an engine's queue if it can be on time."""
        if self.configuration is not self.ranked_configuration and self.configuration:
            self.ranks = rank_table(self.configuration, first=FIRST_RANK, last=LATE_RANK - 1)
            self.ranked_configuration = self.configuration
        # A request may have come under an older configuration.
        return self.ranks.get(priority_of(route, workspace), LATE_RANK - 1)

    def pool(self, record: TargetRecord) -> ChannelPool:
        """Return the connections to a target."""
        pool = self.pools.get(record.identity)
        if pool is None:
            pool = self.pools[record.identity] = ChannelPool(record.address, clock=self.clock)
        return pool

    def drop_copy(self, record: TargetRecord, handle: str) -> None:
        """Have the memory of a stopped run freed that nobody will use."""
        task = asyncio.get_running_loop().create_task(
            self.dependencies.engines.drop_copy(record, handle)
        )
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def remove_target(self, identity: str) -> None:
        """Drop the connections to a target that is gone."""
        pool = self.pools.pop(identity, None)
        if pool:
            pool.close()

    def retry_window(self, service: str) -> RetryWindow:
        """Return the bound on repeats for a service."""
        window = self.retry_windows.get(service)
        if window is None:
            window = RetryWindow(self.settings.retries, lease=self.retry_share, clock=self.clock)
            self.retry_windows[service] = window
        return window

    def record_demand(self, model: str, adapter: str, *, tokens: int, objective_ms: int) -> None:
        """Count a request for a model, and for an adapter if it names one."""
        if adapter:
            key = (model, adapter)
            self.unreported_adapter_requests[key] = self.unreported_adapter_requests.get(key, 0) + 1
        asked = self.unreported_demand.setdefault(
            model, UnreportedDemand(objective_ms=objective_ms)
        )
        asked.tokens += tokens
        asked.objective_ms = min(asked.objective_ms, objective_ms)

    def on_targets_changed(self, ended: Iterable[str]) -> None:
        """Take note that the targets are known anew, and that some have ended."""
        for identity in ended:
            self.remove_target(identity)
        self.targets_known = True
        self.targets_updated.set()
        self.changes.notify()

    def on_coordinator_lost(self) -> None:
        """Go on with what this entry knows by itself."""
        self.reported_work.reset()
        self.quotas.on_coordinator_lost()
        self.fleet.on_coordinator_lost()

    def ready(self) -> bool:
        """Tell whether callers may be sent here."""
        return bool(self.configuration and self.targets_known and not self.leaving)

    def is_last_entry(self) -> bool:
        """Tell whether no other entry is known to stay while this one leaves."""
        return not self.staying_entries

    @contextlib.contextmanager
    def waiting_for(self, model: str, adapter: str) -> Iterator[None]:
        """Count a request that waits for a model or an adapter, while it waits."""
        self.waiting[model] = self.waiting.get(model, 0) + 1
        if adapter:
            key = (model, adapter)
            self.waiting_adapters[key] = self.waiting_adapters.get(key, 0) + 1
        self.report_requested.set()
        try:
            yield
        finally:
            _decrement(self.waiting, model)
            if adapter:
                _decrement(self.waiting_adapters, (model, adapter))


def _decrement(counts: dict[K, int], key: K) -> None:
    counts[key] -= 1
    if not counts[key]:
        del counts[key]
