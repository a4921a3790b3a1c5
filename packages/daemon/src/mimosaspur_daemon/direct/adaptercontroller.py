"""Load and evict the adapters of one engine, one at a time."""

import asyncio
from collections.abc import Callable

from mimosaspur_coordination.fleetports import EnginePort
from mimosaspur_coordination.orderlease import OrderLease
from mimosaspur_coordination.outstandingloads import OrderedLoad
from mimosaspur_coordination.outstandingloads import OutstandingLoads
from mimosaspur_daemon.direct.trackedengine import REPORT_POLL_MS
from mimosaspur_daemon.direct.trackedengine import OrdersSuspended
from mimosaspur_daemon.direct.trackedengine import TrackedEngine
from mimosaspur_state.clock import Clock
from mimosaspur_state.eventlog import EventLog
from mimosaspur_state.fleet import OrderKind
from mimosaspur_state.fleet import OrderOutcome
from mimosaspur_state.fleet import TargetRecord

# An adapter loaded within this time isn't evicted for another one.
ADAPTER_EVICTION_COOLDOWN_MS = 300
# An adapter counts as loaded this long after the engine accepts the order; no report is awaited.
ADAPTER_LOAD_S = 0.03


class AdapterController(TrackedEngine):
    """Track the adapters of one engine, and load and evict them."""

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
        # Models that are to be unloaded.
        self.unloading: set[str] = set()
        self.adapter_loaded_ms: dict[tuple[str, str], int] = {}
        self.placement_lock = asyncio.Lock()
        # The model and adapter that a task is loading.
        self.placing_adapter: tuple[str, str] | None = None
        # The same, as recorded among the outstanding loads.
        self.announced_adapter: OrderedLoad | None = None

    def begin_adapter(self, model: str, adapter: str, *, evicts: bool) -> None:
        """Reserve the engine for an adapter that a task is about to load."""
        self.placing_adapter = (model, adapter)
        if self.sequence is not None:
            self.announced_adapter = self.ordered_load(model, adapter, self.sequence + evicts)
            self.outstanding.announce(self.announced_adapter)

    def end_adapter(self) -> None:
        """Release the engine after the load of an adapter, done or not."""
        self.placing_adapter = None
        if self.announced_adapter:
            self.outstanding.settle(self.announced_adapter)
            self.announced_adapter = None

    def pending_adapters(self) -> set[tuple[str, str]]:
        """Return the adapters that orders may still load."""
        return {(each.model, each.adapter) for each in self.outstanding_loads() if each.adapter}

    async def load_adapter(
        self, model: str, adapter: str, *, slots: int, victim: tuple[str, str] | None = None
    ) -> bool:
        """Load an adapter, evicting another one if no slot is free; return whether it is loaded."""
        async with self.placement_lock:
            try:
                return await self._load_adapter(model, adapter, slots, victim)
            except OrdersSuspended:
                return False

    async def _load_adapter(
        self, model: str, adapter: str, slots: int, victim: tuple[str, str] | None
    ) -> bool:
        if model not in self.residents or model in self.unloading:
            return False
        while self.adapter_count(besides=(model, adapter)) >= slots:
            if not await self._evict_adapter(victim or self._oldest_adapter()):
                return False
            victim = None
        outcome = await self.order(OrderKind.LOAD, model, adapter)
        if outcome not in (OrderOutcome.ACCEPTED, OrderOutcome.ALREADY_SO):
            return False
        await asyncio.sleep(ADAPTER_LOAD_S)
        self.adapter_loaded_ms[model, adapter] = self.clock.now_ms()
        self.residents.setdefault(model, set()).add(adapter)
        return True

    async def _evict_adapter(self, evicted: tuple[str, str] | None) -> bool:
        if evicted is None:
            await asyncio.sleep(REPORT_POLL_MS / 1000)
            return False
        model, adapter = evicted
        if adapter not in self.residents.get(model, ()):
            # It was unloaded with its model.
            return True
        self.residents[model].discard(adapter)
        self.on_change()
        outcome = await self.order(OrderKind.UNLOAD, model, adapter)
        if outcome in (OrderOutcome.ACCEPTED, OrderOutcome.ALREADY_SO):
            self.adapter_loaded_ms.pop(evicted, None)
            # A report requested before the unload may have added it again.
            self.residents.get(model, set()).discard(adapter)
            return True
        self.residents.setdefault(model, set()).add(adapter)
        return False

    def _oldest_adapter(self) -> tuple[str, str] | None:
        held = [(model, name) for model, names in self.residents.items() for name in names]
        held.sort(key=lambda pair: self.adapter_loaded_ms.get(pair, 0))
        if not held or held[0] in self.recent_adapters():
            return None
        return held[0]

    def recent_adapters(self) -> frozenset[tuple[str, str]]:
        """Return the adapters that were loaded recently."""
        now_ms = self.clock.now_ms()
        return frozenset(
            adapter
            for adapter, loaded_ms in self.adapter_loaded_ms.items()
            if now_ms - loaded_ms < ADAPTER_EVICTION_COOLDOWN_MS
        )

    def adapters_held(self) -> dict[str, set[str]]:
        """Return the adapters that are loaded or may be loading, by model that isn't unloaded."""
        held = {
            model: set(names)
            for model, names in self.residents.items()
            if model not in self.unloading
        }
        for model, adapter in (*self.pending_adapters(), *filter(None, (self.placing_adapter,))):
            if model in held:
                held[model].add(adapter)
        return held

    def adapter_count(self, *, besides: tuple[str, str]) -> int:
        """Return the number of other adapters that are loaded or may be loading."""
        held = {(model, name) for model, names in self.residents.items() for name in names}
        return len((held | self.pending_adapters()) - {besides})
