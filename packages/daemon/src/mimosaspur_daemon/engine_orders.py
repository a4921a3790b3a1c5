"""Send orders to an engine; the memory ledger reserves each until a report settles it."""

import uuid
from collections.abc import Sequence
from dataclasses import dataclass

from mimosaspur_coordination.engineport import EnginePort
from mimosaspur_coordination.orders import PlannedLoad
from mimosaspur_state.clock import Clock
from mimosaspur_state.engine import EngineOrder
from mimosaspur_state.engine import EngineState
from mimosaspur_state.engine import EngineUnavailable
from mimosaspur_state.engine import OrderFenced
from mimosaspur_state.engine import OrderKind
from mimosaspur_state.engine import OrderOutcome
from mimosaspur_state.engine import OrderRefused
from mimosaspur_state.engine import OrderState
from mimosaspur_state.ledger import MemoryLedger
from mimosaspur_state.log import log

PART = "ENGINE"
MIN_RETRY_DELAY_MS = 500
MAX_RETRY_DELAY_MS = 10_000


@dataclass(slots=True)
class RetryBackoff:
    """Store when a failed order may be retried."""

    delay_ms: int
    retry_at_ms: int


class OrderSender:
    """Send orders to one engine and read its reports; used by one thread only."""

    __slots__ = (
        "clock",
        "finished_orders",
        "engine",
        "fenced_out",
        "ledger",
        "max_pause_ms",
        "orders",
        "retries",
        "token",
    )

    def __init__(
        self, engine: EnginePort, ledger: MemoryLedger, clock: Clock, *, max_pause_ms: int
    ) -> None:
        self.engine = engine
        self.ledger = ledger
        self.clock = clock
        self.max_pause_ms = max_pause_ms
        self.token = 0
        self.fenced_out = False
        self.orders: dict[str, EngineOrder] = {}
        self.finished_orders: set[str] = set()
        self.retries: dict[str, RetryBackoff] = {}

    def read_report(self) -> EngineState | None:
        """Read the engine's report and settle the ledger; return None if it is unavailable."""
        asked_at_ms = self.clock.now_ms()
        try:
            report = self.engine.state()
        except EngineUnavailable as error:
            log(
                PART,
                "Could not read the engine's state; retrying in the next round.",
                error=str(error),
            )
            return None
        for lost in self.ledger.apply_report(report, requested_at_ms=asked_at_ms):
            log(
                PART,
                "Treating an order as lost: its longest delay has passed.",
                order=lost.order_id,
                resident=lost.resident,
            )
        self._record_outcomes(report)
        return report

    def is_report_fresh(self) -> bool:
        """Return whether the last report is recent enough to base orders on."""
        return self.clock.now_ms() - self.ledger.requested_at_ms <= self.max_pause_ms

    def fence(self) -> None:
        """Order the engine to refuse every order with an older token."""
        self._send(EngineOrder(uuid.uuid4().hex, self.token, OrderKind.FENCE))

    def load(self, step: PlannedLoad, reserved_mb: Sequence[int]) -> bool:
        """Send a load that fits, or resend an unsettled order; return whether one was sent."""
        if self._resend_unsettled(step.resident):
            return True
        if self._is_backing_off(step.resident):
            return False
        order_id = uuid.uuid4().hex
        accelerators = self._reserve(order_id, step, reserved_mb)
        if accelerators is None:
            return False
        order = EngineOrder(
            order_id,
            self.token,
            OrderKind.LOAD,
            step.resident,
            step.base,
            step.kind(),
            step.memory_mb,
            accelerators,
        )
        self._send(order)
        return True

    def unload(self, resident: str) -> bool:
        """Send an unload, or resend an unsettled order; return whether one was sent."""
        if self._resend_unsettled(resident):
            return True
        if self._is_backing_off(resident):
            return False
        order = EngineOrder(uuid.uuid4().hex, self.token, OrderKind.UNLOAD, resident)
        self.ledger.track_unload(order.order_id, resident, now_ms=self.clock.now_ms())
        self._send(order)
        return True

    def _reserve(
        self, order_id: str, step: PlannedLoad, reserved_mb: Sequence[int]
    ) -> tuple[int, ...] | None:
        now_ms = self.clock.now_ms()
        if step.base:
            accelerators = self.ledger.accelerators_of(step.base)
            return self.ledger.try_reserve_on(
                order_id, step.resident, step.memory_mb, accelerators, now_ms=now_ms
            )
        return self.ledger.try_reserve(
            order_id,
            step.resident,
            step.memory_mb,
            step.accelerators,
            now_ms=now_ms,
            headroom_mb=step.headroom_mb,
            keep_free_mb=reserved_mb,
        )

    def _resend_unsettled(self, resident: str) -> bool:
        held = self.ledger.unreported_order(resident)
        if held is None or held.order_id not in self.orders:
            return False
        # The engine executes an order id only once, so resending it is safe and settles it.
        self._send(self.orders[held.order_id])
        return True

    def _is_backing_off(self, resident: str) -> bool:
        retry = self.retries.get(resident)
        return retry is not None and self.clock.now_ms() < retry.retry_at_ms

    def _send(self, order: EngineOrder) -> None:
        if self.fenced_out:
            return
        self.orders[order.order_id] = order
        answered = False
        try:
            self.engine.order(order)
            answered = True
            log(
                PART,
                "Sent an order to the engine.",
                order=order.order_id,
                kind=order.kind.value,
                resident=order.id,
            )
        except EngineUnavailable as error:
            log(
                PART,
                "The engine did not answer an order; its outcome is unknown.",
                order=order.order_id,
                error=str(error),
            )
        except OrderFenced as error:
            self.fenced_out = True
            self.ledger.release_refused(order.order_id)
            log(
                PART,
                "A newer process owns the engine; this one sends no more orders.",
                newest=error.newest_token,
            )
        except OrderRefused as error:
            self.ledger.release_refused(order.order_id)
            self._back_off(order.id)
            log(
                PART,
                "The engine refused an order; it may be retried after a delay.",
                order=order.order_id,
                error=str(error),
            )
        self.ledger.record_send(order.order_id, at_ms=self.clock.now_ms(), answered=answered)

    def _record_outcomes(self, report: EngineState) -> None:
        for order_id, order in list(self.orders.items()):
            order_state = report.order(order_id)
            if (
                order_state
                and order_state.state is not OrderOutcome.RUNNING
                and order_id not in self.finished_orders
            ):
                self.finished_orders.add(order_id)
                self._record_outcome(order, order_state)
            running = order_state is not None and order_state.state is OrderOutcome.RUNNING
            if order_id not in self.ledger.pending and not running:
                del self.orders[order_id]
                self.finished_orders.discard(order_id)

    def _record_outcome(self, order: EngineOrder, order_state: OrderState) -> None:
        if order_state.state is OrderOutcome.FAILED:
            self._record_failure(order, order_state.detail)
        else:
            self.retries.pop(order.id, None)

    def _record_failure(self, order: EngineOrder, detail: str) -> None:
        log(
            PART,
            "The engine failed to execute an order; it may be retried after a delay.",
            order=order.order_id,
            resident=order.id,
            detail=detail,
        )
        self._back_off(order.id)

    def _back_off(self, resident: str) -> None:
        previous = self.retries.get(resident)
        delay_ms = (
            min(2 * previous.delay_ms, MAX_RETRY_DELAY_MS) if previous else MIN_RETRY_DELAY_MS
        )
        self.retries[resident] = RetryBackoff(delay_ms, self.clock.now_ms() + delay_ms)
