"""Place adapters on one engine, one at a time."""

import asyncio
from collections.abc import Callable

from mimosaspur_coordination.fleetports import EnginePort
from mimosaspur_coordination.orderlease import OrderLease
from mimosaspur_daemon.direct.trackedengine import REPORT_POLL_MS
from mimosaspur_daemon.direct.trackedengine import OrdersSuspended
from mimosaspur_daemon.direct.trackedengine import TrackedEngine
from mimosaspur_state.clock import Clock
from mimosaspur_state.eventlog import EventLog
from mimosaspur_state.fleet import OrderKind
from mimosaspur_state.fleet import OrderOutcome
from mimosaspur_state.fleet import TargetRecord

# An adapter that was used this lately isn't given up for another.
ADAPTER_EVICTION_COOLDOWN_MS = 300
# After an adapter's order is accepted it is taken as loaded: adapters load within some 30 ms.
ADAPTER_LOAD_S = 0.03


class AdapterController(TrackedEngine):
    """Know the adapters of one engine, and order them."""

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
        # Models that are about to be unloaded.
        self.unloading: set[str] = set()
        self.adapter_loaded_ms: dict[tuple[str, str], int] = {}
        # Adapters ordered that are not known to be there, by the time of their order.
        self.pending_adapters: dict[tuple[str, str], int] = {}
        self.placement_lock = asyncio.Lock()
        # The adapter that a task places now.
        self.placing_adapter: tuple[str, str] | None = None

    async def load_adapter(
        self, model: str, adapter: str, *, slots: int, victim: tuple[str, str] | None = None
    ) -> bool:
        """Load an adapter once the victim has made room, if one must; tell whether it is there."""
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
        while self.adapter_count() >= slots:
            if not await self._evict_adapter(victim or self._oldest_adapter()):
                return False
            victim = None
        # Counted from before the order: without an answer it may be there all the same.
        self.pending_adapters[model, adapter] = self.clock.now_ms()
        outcome = await self.order(OrderKind.LOAD, model, adapter)
        if outcome in (OrderOutcome.CONFLICT, OrderOutcome.REFUSED):
            del self.pending_adapters[model, adapter]
            return False
        if outcome is OrderOutcome.UNKNOWN:
            return False
        await asyncio.sleep(ADAPTER_LOAD_S)
        self.adapter_loaded_ms[model, adapter] = self.clock.now_ms()
        self.residents.setdefault(model, set()).add(adapter)
        self.pending_adapters.pop((model, adapter), None)
        return True

    async def _evict_adapter(self, evicted: tuple[str, str] | None) -> bool:
        if evicted is None:
            await asyncio.sleep(REPORT_POLL_MS / 1000)
            return False
        model, adapter = evicted
        if adapter not in self.residents.get(model, ()):
            # It has gone with its model.
            return True
        self.residents[model].discard(adapter)
        self.on_change()
        outcome = await self.order(OrderKind.UNLOAD, model, adapter)
        if outcome in (OrderOutcome.ACCEPTED, OrderOutcome.ALREADY_SO):
            self.adapter_loaded_ms.pop(evicted, None)
            # A report that was asked for meanwhile showed it still.
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
        """Return the adapters that have just come."""
        now_ms = self.clock.now_ms()
        return frozenset(
            adapter
            for adapter, came_ms in self.adapter_loaded_ms.items()
            if now_ms - came_ms < ADAPTER_EVICTION_COOLDOWN_MS
        )

    def adapters_held(self) -> dict[str, set[str]]:
        """Return the adapters that are held or may be on their way, by model that stays."""
        held = {
            model: set(names)
            for model, names in self.residents.items()
            if model not in self.unloading
        }
        for model, adapter in (*self.pending_adapters, *filter(None, (self.placing_adapter,))):
            if model in held:
                held[model].add(adapter)
        return held

    def adapter_count(self) -> int:
        """Return the number of adapters that are held or may be on their way."""
        held = {(model, name) for model, names in self.residents.items() for name in names}
        return len(held | set(self.pending_adapters))
