"""Move models on one engine."""

import asyncio
from collections.abc import Callable

from mimosaspur_coordination.fleetports import EnginePort
from mimosaspur_coordination.orderlease import OrderLease
from mimosaspur_daemon.direct.adaptercontroller import AdapterController
from mimosaspur_daemon.direct.trackedengine import MAX_REPORT_LAG_MS
from mimosaspur_daemon.direct.trackedengine import OVERDUE_TIMEOUT_MS
from mimosaspur_daemon.direct.trackedengine import REPORT_POLL_MS
from mimosaspur_daemon.direct.trackedengine import OrdersSuspended
from mimosaspur_state.clock import Clock
from mimosaspur_state.eventlog import EventLog
from mimosaspur_state.fleet import OrderKind
from mimosaspur_state.fleet import OrderOutcome
from mimosaspur_state.fleet import TargetRecord

# An unload of an idle model takes so long, in which the engine takes no other order.
IDLE_UNLOAD_MS = 50
# Beyond the time that a load should take.
LOAD_SLACK_MS = 15
# A model that has come stays at least so long, whatever a late report says: the requests that
# waited for it are on their way.
MIN_RESIDENCE_MS = 700
# When a report is asked for that confirms it.
CONFIRM_DELAY_MS = 300
# Reports are priced: an engine on which nothing moves is asked this seldom.
REPORT_INTERVAL_MS = 2_000
# An engine without a usable report yet is asked again so soon.
REPORT_RETRY_MS = 300
# An order without an answer may be carried out so late; until then its room counts as taken.
LATE_ORDER_TIMEOUT_MS = 12_500
# After a move the engine's report catches up before the next one.
SWAP_COOLDOWN_MS = 20
# A model's move waits so long for an adapter that is being placed.
ADAPTER_WAIT_MS = 40
# Entries stop sending a model's requests within this time of being told that it goes.
UNLOAD_NOTICE_MS = 40


class EngineController(AdapterController):
    """Move models on one engine, beside its adapters."""

    def __init__(
        self,
        record: TargetRecord,
        *,
        port: EnginePort,
        lease: OrderLease,
        clock: Clock,
        log: EventLog,
        on_change: Callable[[], None],
    ) -> None:
        super().__init__(record, port=port, lease=lease, clock=clock, log=log, on_change=on_change)
        # The model that is being loaded, how long that takes, and when it began: 0 while an unload
        # goes before it.
        self.loading = ""
        self.load_ms = 0
        self.load_started_ms = 0
        # How long the unload before it is expected to wait for runs, and since when it does.
        self.unload_ms = 0
        self.reserved_ms = 0
        self.from_store = False
        # When models came, as foreseen or as reported.
        self.loaded_ms: dict[str, int] = {}
        # Whether a task of this desk moves a model, and the count of orders for which the next
        # order of that move was decided.
        self.swapping = False
        self.expected_sequence: int | None = None
        # After a failed move the engine is left alone until then.
        self.cooldown_until_ms = 0
        # Models that orders without an answer, also to an earlier lifetime of the engine, may load
        # yet, and until when.
        self.late_loads: dict[str, int] = {}

    def inherit_pending(self, earlier: "EngineController") -> None:
        """Take over what may still come of orders to the engine's earlier lifetime.

        An order without an answer may be carried out after the restart, once the engine has
        accepted as many orders again. Until it can't come any more its room counts as taken.
        """
        now_ms = self.clock.now_ms()
        self.pending_adapters.update(earlier.pending_adapters)
        self.late_loads = {
            model: ordered_ms + LATE_ORDER_TIMEOUT_MS
            for model, ordered_ms in earlier.unanswered_loads.items()
            if ordered_ms + LATE_ORDER_TIMEOUT_MS > now_ms
        }
        for model, until_ms in earlier.late_loads.items():
            self.late_loads[model] = max(until_ms, self.late_loads.get(model, 0))

    def reserved_models(self) -> tuple[str, ...]:
        """Return the models for which room is kept, since they may come late."""
        now_ms = self.clock.now_ms()
        return tuple(
            model
            for model, until_ms in self.late_loads.items()
            if until_ms > now_ms and model not in self.residents
        )

    def usable(self) -> bool:
        """Tell whether the engine may get models at all."""
        return self.state_known() and not self.record.leaving

    def free_in_ms(self) -> int:
        """Return when a model may be moved, 0 for now."""
        now_ms = self.clock.now_ms()
        if self.swapping:
            return max(REPORT_POLL_MS, self.expected_in_ms())
        if self.busy:
            return REPORT_POLL_MS
        if self.placing_adapter:
            return ADAPTER_WAIT_MS
        return max(0, self.cooldown_until_ms - now_ms)

    def expected_in_ms(self) -> int:
        """Return when the model that is being loaded is expected.

        What is overdue, the load or the unload before it, is expected to take as long again as it
        is late.
        """
        if not self.load_started_ms:
            unloaded_ms = self.reserved_ms + self.unload_ms
            return self.load_ms + abs(unloaded_ms - self.clock.now_ms())
        return abs(self.load_started_ms + self.load_ms - self.clock.now_ms())

    def reserve(self, model: str, load_ms: int, *, unload_ms: int = 0) -> None:
        """Keep the engine for a model that is to be loaded."""
        self.unload_ms = unload_ms
        self.reserved_ms = self.clock.now_ms()
        self.swapping = True
        self.expected_sequence = self.sequence
        self.loading = model
        self.load_ms = load_ms
        self.load_started_ms = 0

    async def swap(
        self,
        model: str,
        victims: tuple[str, ...],
        *,
        load_ms: int,
        predictable: bool = True,
        requested: bool = True,
    ) -> bool:
        """Unload the victims, requested lately or not, then load a model; tell if it is there."""
        if not self.swapping:
            self.reserve(model, load_ms)
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
            self.on_change()

    def accepts_adapters(self) -> bool:
        """Tell whether the engine would take an adapter's order now."""
        waits = self.placing_adapter or self.order_lock.locked()
        return not waits and not self.busy and not self.swapping

    async def _send_next_order(self, kind: OrderKind, model: str) -> OrderOutcome:
        """Give the move's next order, for the state that its last one has left."""
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
            # before a report shows that it is gone.
            return await self._wait_until_unloaded(victim)
        self.residents.pop(victim, None)
        self.on_change()
        await asyncio.sleep(IDLE_UNLOAD_MS / 1000)
        return True

    async def _load(self, model: str, load_ms: int, *, predictable: bool) -> bool:
        outcome = await self._send_next_order(OrderKind.LOAD, model)
        if outcome is OrderOutcome.ACCEPTED:
            begun_ms = self.load_started_ms = self.clock.now_ms()
            self.on_change()
            if predictable and not self.confirmed_by_report:
                # The report tells some hundred ms later; a request that comes too early is
                # refused as not run.
                await asyncio.sleep((load_ms + LOAD_SLACK_MS) / 1000)
                self.busy = False
            elif not await self._wait_until_loaded(model, begun_ms, load_ms):
                return False
        elif outcome is not OrderOutcome.ALREADY_SO:
            if outcome is OrderOutcome.UNKNOWN and self.behind(self.expected_sequence):
                self.late_loads[model] = self.clock.now_ms() + LATE_ORDER_TIMEOUT_MS
            return False
        self.residents.setdefault(model, set())
        self.loaded_ms[model] = self.clock.now_ms()
        return True

    def recent_models(self) -> frozenset[str]:
        """Return the models that have just come."""
        now_ms = self.clock.now_ms()
        self.loaded_ms = {
            model: arrived_ms
            for model, arrived_ms in self.loaded_ms.items()
            if now_ms - arrived_ms < MIN_RESIDENCE_MS
        }
        return frozenset(self.loaded_ms)

    def report_due(self) -> bool:
        """Tell whether it is time to ask for a report; while a model moves, the move asks."""
        if self.swapping:
            return False
        now_ms = self.clock.now_ms()
        arrived_ms = max(self.loaded_ms.values(), default=0)
        if arrived_ms and now_ms - arrived_ms < CONFIRM_DELAY_MS:
            # A report would be from before the load's end, and show the engine as busy.
            return False
        age_ms = now_ms - self.report_requested_ms
        if self.report_requested_ms < arrived_ms or self.busy:
            return age_ms >= REPORT_POLL_MS
        if self.suspected and not self.failed_reports:
            return age_ms >= REPORT_POLL_MS
        return age_ms >= (REPORT_INTERVAL_MS if self.state_known() else REPORT_RETRY_MS)

    async def _wait_until_loaded(self, model: str, begun_ms: int, load_ms: int) -> bool:
        await asyncio.sleep(load_ms / 1000)
        while self.clock.now_ms() - begun_ms < load_ms + OVERDUE_TIMEOUT_MS:
            if await self.refresh() and self.report_current and not self.busy:
                return model in self.residents
            await asyncio.sleep(REPORT_POLL_MS / 1000)
        self.log.write("load_overdue", target=self.record.identity, model=model)
        return False

    async def _wait_until_unloaded(self, victim: str) -> bool:
        """Wait for a report that shows that a model is gone; tell whether one came."""
        began_ms = self.clock.now_ms()
        while self.clock.now_ms() - began_ms < OVERDUE_TIMEOUT_MS:
            if await self.refresh() and self.report_current and not self.busy:
                return victim not in self.residents
            await asyncio.sleep(REPORT_POLL_MS / 1000)
        return False

    def add_unreported(self, residents: dict[str, set[str]]) -> None:
        """Add what has come too lately for a report to show it."""
        now_ms = self.clock.now_ms()
        for (model, adapter), ordered_ms in list(self.pending_adapters.items()):
            there = adapter in residents.get(model, ())
            if there or now_ms - ordered_ms > LATE_ORDER_TIMEOUT_MS:
                del self.pending_adapters[model, adapter]
        for (model, adapter), used_ms in self.adapter_loaded_ms.items():
            # Adapters ordered lately are there although the report may not show them yet.
            recent = now_ms - used_ms < MAX_REPORT_LAG_MS
            if recent and model in residents and adapter in self.residents.get(model, ()):
                residents[model].add(adapter)
        for model in self.recent_models():
            # A report may be from just before the load's end.
            residents.setdefault(model, set(self.residents.get(model, ())))
