"""Simulate a model engine that accepts orders, as an implementation of the engine port."""

import asyncio
import random
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field

from mimosaspur_coordination.fleetports import HeadHandler
from mimosaspur_coordination.fleetports import StoppedRun
from mimosaspur_state.fleet import EngineOrder
from mimosaspur_state.fleet import EngineReport
from mimosaspur_state.fleet import OrderKind
from mimosaspur_state.fleet import OrderOutcome
from mimosaspur_state.fleet import TargetRecord

LOAD_S = 0.15
UNLOAD_S = 0.04
REPORT_LAG_S = 0.1


class Overcommitted(Exception):
    """Report that the engine was ordered to hold more than it has room for."""


@dataclass(slots=True)
class SimulatedEngine:
    """Hold models and adapters; reports lag, and orders may be unanswered and carried out late."""

    model_slots: int = 3
    adapter_slots: int = 4
    residents: dict[str, set[str]] = field(default_factory=dict)
    # Numbers, from 1, of orders that get no answer; they are carried out after late_s.
    unanswered: frozenset[int] = frozenset()
    late_s: float = 0.0
    load_s: float = LOAD_S
    # How long an unload waits for the model's runs.
    runs_s: float = 0.0
    # Numbers of orders at which the engine counts one more that the controller didn't send.
    extra_counts: frozenset[int] = frozenset()
    # Orders of another lease holder, carried out just before the controller's order of that number.
    foreign_orders: dict[int, EngineOrder] = field(default_factory=dict)
    started_ms: int = 0
    sequence: int = 0
    busy: bool = False
    order_count: int = 0
    accepted: list[EngineOrder] = field(default_factory=list)
    received: list[EngineOrder] = field(default_factory=list)
    max_adapters: int = 0
    overcommitted: bool = False
    # Reports with the event loop's time from which each holds.
    history: list[tuple[float, EngineReport]] = field(default_factory=list)

    def set_head_handler(self, handler: HeadHandler) -> None:
        """Ignore the handler, as calls have no heads here."""

    async def report(self, target: TargetRecord) -> EngineReport | None:
        """Return the report of REPORT_LAG_S ago."""
        await asyncio.sleep(0)
        self._record_state()
        known_s = asyncio.get_running_loop().time() - REPORT_LAG_S
        while len(self.history) > 1 and self.history[1][0] <= known_s:
            self.history.pop(0)
        return self.history[0][1]

    async def order(self, target: TargetRecord, order: EngineOrder) -> OrderOutcome:
        """Carry out an order, or leave it unanswered."""
        self.order_count += 1
        self.received.append(order)
        if self.order_count in self.foreign_orders:
            self._execute(self.foreign_orders[self.order_count])
        if self.order_count in self.extra_counts:
            self.sequence += 1
        if self.order_count in self.unanswered:
            asyncio.get_running_loop().call_later(self.late_s, self._execute, order)
            await asyncio.sleep(0.02)
            return OrderOutcome.UNKNOWN
        await asyncio.sleep(0.001)
        return self._execute(order)

    async def stop_and_copy(
        self, source: TargetRecord, request: bytes, to: TargetRecord
    ) -> StoppedRun | None:
        """Stop and copy nothing."""
        return None

    async def drop_copy(self, source: TargetRecord, handle: str) -> None:
        """Do nothing, as there are no copies."""

    def _record_state(self) -> None:
        """Record the report that holds from now on."""
        self.history.append((asyncio.get_running_loop().time(), self._current_report()))

    def _current_report(self) -> EngineReport:
        return EngineReport(
            residents={model: frozenset(names) for model, names in self.residents.items()},
            pending_adapters=frozenset(),
            busy=self.busy,
            sequence=self.sequence,
            waiting=0,
            running=0,
            kv_used=0,
            started_ms=self.started_ms,
        )

    def restart(self) -> None:
        """Restart under the same identity: hold nothing, and count orders from zero."""
        self.started_ms += 1_000
        self.residents = {}
        self.sequence = 0
        self.busy = False
        self._record_state()

    def _execute(self, order: EngineOrder) -> OrderOutcome:
        if order.expected_sequence != self.sequence or self.busy:
            return OrderOutcome.CONFLICT
        if self._holds(order):
            return OrderOutcome.ALREADY_SO
        self.sequence += 1
        self.accepted.append(order)
        if order.adapter:
            self._execute_adapter_order(order)
        else:
            self._execute_model_order(order)
        self._record_state()
        return OrderOutcome.ACCEPTED

    def _holds(self, order: EngineOrder) -> bool:
        there = order.model in self.residents
        if order.adapter:
            there = order.adapter in self.residents.get(order.model, ())
        return there == (order.kind is OrderKind.LOAD)

    def _execute_adapter_order(self, order: EngineOrder) -> None:
        adapters = self.residents.get(order.model, set())
        if order.kind is OrderKind.LOAD:
            adapters.add(order.adapter)
        else:
            adapters.discard(order.adapter)
        held = sum(len(names) for names in self.residents.values())
        self.max_adapters = max(self.max_adapters, held)
        self.overcommitted |= held > self.adapter_slots

    def _execute_model_order(self, order: EngineOrder) -> None:
        self.busy = True
        loop = asyncio.get_running_loop()
        if order.kind is OrderKind.UNLOAD:
            loop.call_later(UNLOAD_S + self.runs_s, self._unloaded, order.model, self.started_ms)
            return
        self.overcommitted |= len(self.residents) + 1 > self.model_slots
        loop.call_later(self.load_s, self._loaded, order.model, self.started_ms)

    def _unloaded(self, model: str, started_ms: int) -> None:
        if started_ms != self.started_ms:
            # The engine has restarted meanwhile.
            return
        self.residents.pop(model, None)
        self.busy = False
        self._record_state()

    def _loaded(self, model: str, started_ms: int) -> None:
        if started_ms != self.started_ms:
            return
        self.residents[model] = set()
        self.busy = False
        self._record_state()


def random_unanswered(seed: int, most: int) -> frozenset[int]:
    """Return a random third of the first order numbers, chosen by a seed."""
    chooser = random.Random(seed)
    return frozenset(number for number in range(1, most) if chooser.random() < 1 / 3)


class EnginePorts:
    """Pass on calls to the simulated engine of a record."""

    def __init__(self, engines: Mapping[str, SimulatedEngine]) -> None:
        self.engines = engines

    def set_head_handler(self, handler: HeadHandler) -> None:
        """Ignore the handler, as calls have no heads here."""

    async def report(self, target: TargetRecord) -> EngineReport | None:
        """Return the engine's report."""
        return await self.engines[target.identity].report(target)

    async def order(self, target: TargetRecord, order: EngineOrder) -> OrderOutcome:
        """Send an order to the engine."""
        return await self.engines[target.identity].order(target, order)

    async def stop_and_copy(
        self, source: TargetRecord, request: bytes, to: TargetRecord
    ) -> StoppedRun | None:
        """Stop and copy nothing."""
        return None

    async def drop_copy(self, source: TargetRecord, handle: str) -> None:
        """Do nothing, as there are no copies."""
