"""Load and unload models on one engine."""

import asyncio
from collections.abc import Callable

from mimosaspur_coordination.fleetports import EnginePort
from mimosaspur_coordination.orderlease import OrderLease
from mimosaspur_coordination.outstandingloads import OrderedLoad
from mimosaspur_coordination.outstandingloads import OutstandingLoads
from mimosaspur_daemon.direct.adaptercontroller import AdapterController
from mimosaspur_daemon.direct.trackedengine import MAX_REPORT_LAG_MS
from mimosaspur_daemon.direct.trackedengine import OVERDUE_TIMEOUT_MS
from mimosaspur_daemon.direct.trackedengine import REPORT_POLL_MS
from mimosaspur_daemon.direct.trackedengine import OrdersSuspended
from mimosaspur_state.clock import Clock
from mimosaspur_state.eventlog import EventLog
from mimosaspur_state.fleet import EngineReport
from mimosaspur_state.fleet import OrderKind
from mimosaspur_state.fleet import OrderOutcome
from mimosaspur_state.fleet import TargetRecord

# An unload of an idle model takes this long, in which the engine accepts no other order.
IDLE_UNLOAD_MS = 50
# Margin on the expected time of a load.
LOAD_SLACK_MS = 15
# A loaded model stays at least this long, whatever a late report shows: the requests that waited
# for it are in flight.
MIN_RESIDENCE_MS = 700
# Delay of the report that confirms a load.
CONFIRM_DELAY_MS = 300
# Reports are priced, so an idle engine is rarely asked for one.
REPORT_INTERVAL_MS = 2_000
# The interval while there is no usable report.
REPORT_RETRY_MS = 300
# The engine's report catches up in this time after a swap.
SWAP_COOLDOWN_MS = 20
# Estimated wait of a swap for an adapter that is being loaded.
ADAPTER_WAIT_MS = 40
# Entries stop sending a model's requests within this time of the notice of its unload.
UNLOAD_NOTICE_MS = 40


class EngineController(AdapterController):
    """Load and unload models on one engine, and its adapters."""

    def __init__(
        self,
        record: TargetRecord,
        *,
        port: EnginePort,
        lease: OrderLease,
        outstanding: OutstandingLoads,
        clock: Clock,
        log: EventLog,
        on_change: Callable[[], None],
    ) -> None:
        super().__init__(
            record,
            port=port,
            lease=lease,
            outstanding=outstanding,
            clock=clock,
            log=log,
            on_change=on_change,
        )
        # The model that is being loaded, how long that takes, and when it started: 0 while an
        # unload precedes it.
        self.loading = ""
        self.load_ms = 0
        self.load_started_ms = 0
        # Expected duration of the unload before it, and when the engine was reserved.
        self.unload_ms = 0
        self.reserved_ms = 0
        self.from_store = False
        # When models were loaded, as predicted or as reported.
        self.loaded_ms: dict[str, int] = {}
        # Models whose load the engine has accepted and no idle report has confirmed, with the count
        # of accepted orders since.
        self.unconfirmed_loads: dict[str, int] = {}
        # Whether a swap is in progress, and the count of accepted orders that its next order
        # expects.
        self.swapping = False
        self.expected_sequence: int | None = None
        # No swap starts before then.
        self.cooldown_until_ms = 0
        # The load of the swap in progress, as recorded among the outstanding ones.
        self.announced_load: OrderedLoad | None = None

    def reserved_models(self) -> tuple[str, ...]:
        """Return the models that room is reserved for, since a late order may load them."""
        models = {each.model for each in self.outstanding_loads() if not each.adapter}
        models |= self.unconfirmed_loads.keys() - self.residents.keys()
        return tuple(sorted(models - {self.loading}))

    def usable(self) -> bool:
        """Return whether models may be loaded on the engine."""
        return self.state_known() and not self.record.leaving and not self.limited

    def free_in_ms(self) -> int:
        """Return the time until a swap may start, 0 for now."""
        now_ms = self.clock.now_ms()
        if self.swapping:
            return max(REPORT_POLL_MS, self.expected_in_ms())
        if self.busy:
            return REPORT_POLL_MS
        if self.placing_adapter:
            return ADAPTER_WAIT_MS
        return max(0, self.cooldown_until_ms - now_ms)

    def expected_in_ms(self) -> int:
        """Return the expected time until the model that is being loaded is there.

        An overdue load, or unload before it, is expected to take as long again as it is late.
        """
        if not self.load_started_ms:
            unloaded_ms = self.reserved_ms + self.unload_ms
            return self.load_ms + abs(unloaded_ms - self.clock.now_ms())
        return abs(self.load_started_ms + self.load_ms - self.clock.now_ms())

    def reserve(self, model: str, load_ms: int, *, unloads: int, unload_ms: int = 0) -> None:
        """Reserve the engine for a model that is to be loaded after a number of unloads."""
        self.unload_ms = unload_ms
        self.reserved_ms = self.clock.now_ms()
        self.swapping = True
        self.expected_sequence = self.sequence
        self.loading = model
        self.load_ms = load_ms
        self.load_started_ms = 0
        if self.sequence is not None:
            self.announced_load = self.ordered_load(model, "", self.sequence + unloads)
            self.outstanding.announce(self.announced_load)

    async def swap(
        self,
        model: str,
        victims: tuple[str, ...],
        *,
        load_ms: int,
        predictable: bool = True,
        requested: bool = True,
    ) -> bool:
        """Unload the victims, then load a model; return whether it is loaded."""
        if not self.swapping:
            self.reserve(model, load_ms, unloads=len(victims))
        self.unloading.update(victims)
        self.on_change()
        try:
            if victims and requested:
                await asyncio.sleep(UNLOAD_NOTICE_MS / 1000)
            for victim in victims:
                if not await self._unload(victim):
                    return False
            return await self._load(model, load_ms, predictable=predictable)
        except OrdersSuspended:
            return False
        finally:
            self.cooldown_until_ms = self.clock.now_ms() + SWAP_COOLDOWN_MS
            self.unloading.difference_update(victims)
            self.loading = ""
            self.swapping = False
            if self.announced_load:
                self.outstanding.settle(self.announced_load)
            self.on_change()

    def accepts_adapters(self) -> bool:
        """Return whether the engine would accept an adapter order now."""
        waits = self.placing_adapter or self.order_lock.locked()
        return not waits and not self.busy and not self.swapping

    async def _send_next_order(self, kind: OrderKind, model: str) -> OrderOutcome:
        """Send the swap's next order, which expects the state that its last one has left."""
        outcome = await self.order(kind, model, expected=self.expected_sequence)
        if outcome is OrderOutcome.ACCEPTED:
            self.expected_sequence = self.sequence
        return outcome

    async def _unload(self, victim: str) -> bool:
        outcome = await self._send_next_order(OrderKind.UNLOAD, victim)
        if outcome not in (OrderOutcome.ACCEPTED, OrderOutcome.ALREADY_SO):
            return False
        if self.confirmed_by_report:
            # The engine may be busy with something else: nothing is loaded in the model's place
            # before a report shows that it is unloaded.
            return await self._wait_until_unloaded(victim)
        self.residents.pop(victim, None)
        self.on_change()
        await asyncio.sleep(IDLE_UNLOAD_MS / 1000)
        return True

    async def _load(self, model: str, load_ms: int, *, predictable: bool) -> bool:
        outcome = await self._send_next_order(OrderKind.LOAD, model)
        if outcome is OrderOutcome.ACCEPTED:
            started_ms = self.load_started_ms = self.clock.now_ms()
            if self.sequence is not None:
                self.unconfirmed_loads[model] = self.sequence
            self.on_change()
            if predictable and not self.confirmed_by_report:
                # A report would come some hundred ms later; a request that comes too early is
                # refused as not run.
                await asyncio.sleep((load_ms + LOAD_SLACK_MS) / 1000)
                self.busy = False
            elif not await self._wait_until_loaded(model, started_ms, load_ms):
                return False
        elif outcome is not OrderOutcome.ALREADY_SO:
            return False
        self.residents.setdefault(model, set())
        self.loaded_ms[model] = self.clock.now_ms()
        return True

    def recent_models(self) -> frozenset[str]:
        """Return the models that were loaded recently."""
        now_ms = self.clock.now_ms()
        self.loaded_ms = {
            model: loaded_ms
            for model, loaded_ms in self.loaded_ms.items()
            if now_ms - loaded_ms < MIN_RESIDENCE_MS
        }
        return frozenset(self.loaded_ms)

    def report_due(self) -> bool:
        """Return whether to request a report now; a swap in progress requests its own."""
        if self.swapping:
            return False
        now_ms = self.clock.now_ms()
        loaded_ms = max(self.loaded_ms.values(), default=0)
        if loaded_ms and now_ms - loaded_ms < CONFIRM_DELAY_MS:
            # A report would be from before the load's end, and show the engine as busy.
            return False
        age_ms = now_ms - self.report_requested_ms
        if self.report_requested_ms < loaded_ms or self.busy:
            return age_ms >= REPORT_POLL_MS
        if self.suspected and not self.failed_reports:
            return age_ms >= REPORT_POLL_MS
        return age_ms >= (REPORT_INTERVAL_MS if self.state_known() else REPORT_RETRY_MS)

    async def _wait_until_loaded(self, model: str, started_ms: int, load_ms: int) -> bool:
        await asyncio.sleep(load_ms / 1000)
        while self.clock.now_ms() - started_ms < load_ms + OVERDUE_TIMEOUT_MS:
            if await self.refresh() and self.report_current and not self.busy:
                return model in self.residents
            await asyncio.sleep(REPORT_POLL_MS / 1000)
        self.log.write("load_overdue", target=self.record.identity, model=model)
        return False

    async def _wait_until_unloaded(self, victim: str) -> bool:
        """Wait for a report that shows a model unloaded; return whether there was one."""
        started_ms = self.clock.now_ms()
        while self.clock.now_ms() - started_ms < OVERDUE_TIMEOUT_MS:
            if await self.refresh() and self.report_current and not self.busy:
                return victim not in self.residents
            await asyncio.sleep(REPORT_POLL_MS / 1000)
        return False

    def confirm_loads(self, report: EngineReport) -> None:
        """Drop the unconfirmed loads that a report shows to have ended, done or not."""
        for model, sequence in list(self.unconfirmed_loads.items()):
            if report.sequence > sequence or (report.sequence == sequence and not report.busy):
                del self.unconfirmed_loads[model]

    def add_unreported(self, residents: dict[str, set[str]]) -> None:
        """Add what was loaded too recently for a report to show it."""
        now_ms = self.clock.now_ms()
        for (model, adapter), loaded_ms in self.adapter_loaded_ms.items():
            # Recently loaded adapters are there although the report may not show them yet.
            recent = now_ms - loaded_ms < MAX_REPORT_LAG_MS
            if recent and model in residents and adapter in self.residents.get(model, ()):
                residents[model].add(adapter)
        for model in self.recent_models():
            # A report may be from just before the load's end.
            residents.setdefault(model, set(self.residents.get(model, ())))
