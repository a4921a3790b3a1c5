"""Compare the memory ledger with a naive replay of random histories."""

from dataclasses import dataclass
from dataclasses import field

from hypothesis import HealthCheck
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from mimosaspur_state.engine import EngineState
from mimosaspur_state.engine import OrderOutcome
from mimosaspur_state.engine import OrderState
from mimosaspur_state.engine import Resident
from mimosaspur_state.engine import ResidentKind
from mimosaspur_state.engine import ResidentState
from mimosaspur_state.ledger import MemoryLedger

MAX_ORDER_DELAY_MS = 100
CAPACITY_MB = (1000, 700)
RESIDENT_IDS = ("a@1", "b@1", "c@1")


@dataclass(slots=True, frozen=True)
class Order:
    """Store one order and the times at which it was sent."""

    order_id: str
    resident: str
    memory_mb: int
    accelerators: tuple[int, ...]
    sends: list[tuple[int, bool]]


@dataclass(slots=True)
class History:
    """Store all orders and reports, and compute every sum from all of them."""

    orders: list[Order] = field(default_factory=list)
    reports: list[tuple[int, EngineState]] = field(default_factory=list)

    def free_mb(self) -> tuple[int, ...]:
        """Return the free memory by the last report and the unsettled orders."""
        requested_at_ms = max(at for at, _ in self.reports)
        last = [report for at, report in self.reports if at == requested_at_ms][-1]
        free = list(last.capacity_mb)
        for resident in last.residents:
            for index in resident.accelerators:
                free[index] -= resident.memory_mb
        for order in self.orders:
            included = includes_order(last, order) or last.resident(order.resident) is not None
            if not included and not self.is_settled(order):
                for index in order.accelerators:
                    free[index] -= order.memory_mb
        return tuple(max(0, mb) for mb in free)

    def is_settled(self, order: Order) -> bool:
        """Return whether a report settled an order, ignoring reports that came out of order."""
        sent_ms = max(at for at, _ in order.sends)
        all_answered = all(answered for _, answered in order.sends)
        newest = -1
        for requested_at_ms, report in self.reports:
            if requested_at_ms < newest:
                continue
            newest = requested_at_ms
            if requested_at_ms - sent_ms >= MAX_ORDER_DELAY_MS:
                return True
            if requested_at_ms >= sent_ms and all_answered and includes_order(report, order):
                return True
        return False


def includes_order(report: EngineState, order: Order) -> bool:
    """Return whether a report includes an order."""
    if any(known.order_id == order.order_id for known in report.orders):
        return True
    return any(resident.order_id == order.order_id for resident in report.residents)


def draw_report(data: strategies.DataObject, history: History) -> EngineState:
    """Draw a report of any finished orders and any residents, imports included."""
    known = []
    residents = {}
    for order in history.orders:
        if data.draw(strategies.booleans()):
            known.append(OrderState(order.order_id, OrderOutcome.DONE))
        if data.draw(strategies.booleans()):
            residents[order.resident] = make_resident(
                order.resident, order.memory_mb, order.accelerators
            )
    if data.draw(strategies.booleans()):
        residents["import@1"] = make_resident("import@1", 50, (0,))
    return EngineState("engine", 1, CAPACITY_MB, tuple(residents.values()), tuple(known))


def make_resident(name: str, memory_mb: int, accelerators: tuple[int, ...]) -> Resident:
    """Return a resident that is ready."""
    kind = ResidentKind.MODEL
    return Resident(name, None, kind, memory_mb, accelerators, ResidentState.READY, "")


def replay(data: strategies.DataObject) -> None:
    """Apply random events to a ledger and compare its sums after each."""
    ledger = MemoryLedger(max_order_delay_ms=MAX_ORDER_DELAY_MS)
    history = History()
    now_ms = 1
    apply_report(ledger, history, EngineState("engine", 1, CAPACITY_MB), now_ms)
    for number in range(data.draw(strategies.integers(1, 20))):
        now_ms += data.draw(strategies.integers(0, 60))
        if data.draw(strategies.booleans()):
            requested_at_ms = now_ms - data.draw(strategies.integers(0, 40))
            apply_report(ledger, history, draw_report(data, history), max(1, requested_at_ms))
        else:
            send_order(data, ledger, history, f"order-{number}", now_ms)
        assert ledger.free_mb() == history.free_mb(), (ledger, history)


def apply_report(
    ledger: MemoryLedger, history: History, report: EngineState, requested_at_ms: int
) -> None:
    """Apply a report to the ledger and the history."""
    history.reports.append((requested_at_ms, report))
    ledger.apply_report(report, requested_at_ms=requested_at_ms)


def send_order(
    data: strategies.DataObject,
    ledger: MemoryLedger,
    history: History,
    order_id: str,
    now_ms: int,
) -> None:
    """Reserve and send an order, or resend one that the ledger holds."""
    answered = data.draw(strategies.booleans())
    held = [order for order in history.orders if order.order_id in ledger.pending]
    resends: bool = data.draw(strategies.booleans())
    if held and resends:
        resent = held[data.draw(strategies.integers(0, len(held) - 1))]
        resent.sends.append((now_ms, answered))
        ledger.record_send(resent.order_id, at_ms=now_ms, answered=answered)
        return
    name = data.draw(strategies.sampled_from(RESIDENT_IDS))
    memory_mb = data.draw(strategies.integers(1, 600))
    count = data.draw(strategies.integers(1, 2))
    free = history.free_mb()
    accelerators = ledger.try_reserve(order_id, name, memory_mb, count, now_ms=now_ms)
    fitting = [index for index, mb in enumerate(free) if mb >= memory_mb]
    assert (accelerators is not None) == (len(fitting) >= count), (free, memory_mb, count)
    if accelerators is None:
        return
    assert len(accelerators) == count
    assert set(accelerators) <= set(fitting), (accelerators, free, memory_mb)
    ledger.record_send(order_id, at_ms=now_ms, answered=answered)
    history.orders.append(Order(order_id, name, memory_mb, accelerators, [(now_ms, answered)]))


def check_histories(count: int) -> None:
    """Check `count` random histories, the same ones on every run."""

    @settings(
        max_examples=count,
        derandomize=True,
        database=None,
        deadline=None,
        suppress_health_check=list(HealthCheck),
    )
    @given(strategies.data())
    def check(data: strategies.DataObject) -> None:
        replay(data)

    check()
