"""Track the memory of one engine's accelerators, including orders of unknown outcome."""

from collections.abc import Sequence
from dataclasses import dataclass

from mimosaspur_state.engine import EngineState
from mimosaspur_state.engine import OrderKind


@dataclass(slots=True)
class PendingOrder:
    """Track an order until a report settles it; an unload reserves no memory."""

    order_id: str
    kind: OrderKind
    resident: str
    memory_mb: int
    accelerators: tuple[int, ...]
    sent_at_ms: int
    unanswered: bool = False


class MemoryLedger:
    """Sum the memory of reported residents and of orders not yet reported.

    Not thread-safe: a single owner sends the orders and reads the reports.
    """

    __slots__ = ("requested_at_ms", "pending", "max_order_delay_ms", "report")

    def __init__(self, *, max_order_delay_ms: int) -> None:
        self.max_order_delay_ms = max_order_delay_ms
        self.pending: dict[str, PendingOrder] = {}
        self.report: EngineState | None = None
        self.requested_at_ms = 0

    def apply_report(self, report: EngineState, *, requested_at_ms: int) -> list[PendingOrder]:
        """Apply a complete report unless it is outdated; return the orders presumed lost."""
        if self.report is not None and requested_at_ms < self.requested_at_ms:
            return []
        self.report = report
        self.requested_at_ms = requested_at_ms
        lost = []
        for order in list(self.pending.values()):
            if requested_at_ms < order.sent_at_ms:
                continue
            expired = requested_at_ms - order.sent_at_ms >= self.max_order_delay_ms
            shown = self.is_reported(order)
            # An unanswered send may still arrive, even at a restarted engine.
            if expired or (shown and not order.unanswered):
                del self.pending[order.order_id]
                if not shown:
                    lost.append(order)
        return lost

    def is_reported(self, order: PendingOrder) -> bool:
        """Return whether the last report includes an order."""
        if self.report is None:
            return False
        if self.report.order(order.order_id) is not None:
            return True
        return any(item.order_id == order.order_id for item in self.report.residents)

    def unreported_order(self, resident: str) -> PendingOrder | None:
        """Return an order for this resident that the last report does not include."""
        for order in self.pending.values():
            if order.resident == resident and not self.is_reported(order):
                return order
        return None

    def try_reserve(
        self,
        order_id: str,
        resident: str,
        memory_mb: int,
        count: int,
        *,
        now_ms: int,
        headroom_mb: int = 0,
        keep_free_mb: Sequence[int] = (),
    ) -> tuple[int, ...] | None:
        """Reserve memory on the fullest accelerators that fit it; None if there are too few.

        headroom_mb must remain free there; keep_free_mb, by accelerator, is reserved elsewhere.
        """
        free = self._free_after_reserve(keep_free_mb)
        fitting = [index for index, mb in enumerate(free) if mb >= memory_mb + headroom_mb]
        if len(fitting) < count:
            return None
        chosen = tuple(sorted(sorted(fitting, key=lambda index: free[index])[:count]))
        self.pending[order_id] = PendingOrder(
            order_id, OrderKind.LOAD, resident, memory_mb, chosen, now_ms
        )
        return chosen

    def try_reserve_on(
        self,
        order_id: str,
        resident: str,
        memory_mb: int,
        accelerators: tuple[int, ...],
        *,
        now_ms: int,
    ) -> tuple[int, ...] | None:
        """Reserve memory on exactly these accelerators; None if it does not fit on all."""
        free = self.free_mb()
        if not accelerators or any(free[index] < memory_mb for index in accelerators):
            return None
        self.pending[order_id] = PendingOrder(
            order_id, OrderKind.LOAD, resident, memory_mb, accelerators, now_ms
        )
        return accelerators

    def track_unload(self, order_id: str, resident: str, *, now_ms: int) -> None:
        """Track an unload; its memory is free only when a report omits the resident."""
        self.pending[order_id] = PendingOrder(order_id, OrderKind.UNLOAD, resident, 0, (), now_ms)

    def record_send(self, order_id: str, *, at_ms: int, answered: bool) -> None:
        """Record when the last attempt to send an order ended."""
        order = self.pending.get(order_id)
        if order is None:
            return
        order.unanswered = order.unanswered or not answered
        order.sent_at_ms = at_ms

    def release_refused(self, order_id: str) -> None:
        """Release a refused order, unless an earlier unanswered send may still take effect."""
        order = self.pending.get(order_id)
        if order and not order.unanswered:
            del self.pending[order_id]

    def accelerators_of(self, resident: str) -> tuple[int, ...]:
        """Return the accelerators that hold or are to load a resident; may be empty."""
        shown = self.report.resident(resident) if self.report else None
        if shown:
            return shown.accelerators
        order = self.unreported_order(resident)
        return order.accelerators if order else ()

    def is_counted(self, resident: str) -> bool:
        """Return whether a resident's memory is already counted."""
        return bool(self.accelerators_of(resident))

    def unreported_loads(self) -> list[PendingOrder]:
        """Return the loads that hold memory without being in the last report."""
        loads = [order for order in self.pending.values() if order.kind is OrderKind.LOAD]
        return [order for order in loads if not self._counted_as_resident(order)]

    def capacity_mb(self) -> tuple[int, ...]:
        """Return the reported capacity of each accelerator."""
        return self.report.capacity_mb if self.report else ()

    def used_mb(self) -> tuple[int, ...]:
        """Return the memory counted on each accelerator."""
        used = [0] * len(self.capacity_mb())
        if self.report is None:
            return ()
        for item in self.report.residents:
            for index in item.accelerators:
                used[index] += item.memory_mb
        for order in self.pending.values():
            if not self._counted_as_resident(order):
                for index in order.accelerators:
                    used[index] += order.memory_mb
        return tuple(used)

    def free_mb(self) -> tuple[int, ...]:
        """Return the free memory of each accelerator, at least 0."""
        pairs = zip(self.capacity_mb(), self.used_mb(), strict=True)
        return tuple(max(0, capacity - used) for capacity, used in pairs)

    def _counted_as_resident(self, order: PendingOrder) -> bool:
        if self.report is None:
            return False
        # An engine holds a resident once, so a repeated load takes no additional memory.
        return self.report.resident(order.resident) is not None or self.is_reported(order)

    def _free_after_reserve(self, keep_free_mb: Sequence[int]) -> list[int]:
        kept = list(keep_free_mb) or [0] * len(self.capacity_mb())
        return [free - keep for free, keep in zip(self.free_mb(), kept, strict=True)]
