"""Know one engine by its reports, and give it orders, one at a time."""

import asyncio
from collections.abc import Callable

from mimosaspur_coordination.fleetports import EnginePort
from mimosaspur_coordination.orderlease import OrderLease
from mimosaspur_state.clock import Clock
from mimosaspur_state.eventlog import EventLog
from mimosaspur_state.fleet import EngineOrder
from mimosaspur_state.fleet import EngineReport
from mimosaspur_state.fleet import OrderKind
from mimosaspur_state.fleet import OrderOutcome
from mimosaspur_state.fleet import TargetRecord

# An order whose outcome is unknown, or that met another, is given again after a look at the
# engine, so often at most.
MAX_ORDER_ATTEMPTS = 8
# An unload that waits for its runs takes longer than others: so often the next order is tried
# before a report is asked for.
ATTEMPTS_BEFORE_REPORT = 3
CONFLICT_RETRY_MS = 20
# Reports lag by some hundred ms: they are asked for so often while something is awaited.
REPORT_POLL_MS = 100
# A report that still shows fewer orders than were accepted is late; after this time it is right.
MAX_REPORT_LAG_MS = 1_500
# A load, or an unload that waits for its runs, that takes this much longer than foreseen failed.
OVERDUE_TIMEOUT_MS = 15_000
# So many reports in a row without an answer, or one beside an entry that can't reach the engine,
# and its models are loaded elsewhere.
MAX_FAILED_REPORTS = 2
# An order without an answer keeps its engine for half a second and more. What can wait is not
# ordered for so long after one.
UNANSWERED_COOLDOWN_MS = 4_000


class OrdersSuspended(Exception):
    """Say that this instance may not give orders now."""


class TrackedEngine:
    """Hold what the coordinator knows of one engine, and see its orders through."""

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
        self.record = record
        self.port = port
        self.lease = lease
        self.clock = clock
        self.log = log
        self.on_change = on_change
        self.residents: dict[str, set[str]] = {
            model: set(adapters) for model, adapters in (record.residents or {}).items()
        }
        # Copies of weights, those that were used longest ago first.
        self.in_memory: tuple[str, ...] = ()
        self.on_disk: tuple[str, ...] = ()
        # Orders that the engine has accepted, None until a report tells.
        self.sequence: int | None = None
        self.sequence_ms = 0
        self.busy = False
        # Whether the last report is as new as the last order.
        self.report_current = False
        # Whether the last order was seen to be carried out by a report alone: when it began isn't
        # known then.
        self.confirmed_by_report = False
        self.report_requested_ms = 0
        self.failed_reports = 0
        # Whether an entry could not reach it.
        self.suspected = False
        # Whether another instance has its address by now, or it has started again.
        self.replaced = False
        # When it had started again, as a report told, 0 if none did.
        self.restarted_ms = 0
        # Loads of models without an answer, by the time of the order: they may come late.
        self.unanswered_loads: dict[str, int] = {}
        # When an order last had no answer, None if none did.
        self.unanswered_ms: int | None = None
        self.order_lock = asyncio.Lock()

    def state_known(self) -> bool:
        """Tell whether the engine's state is known well enough for an order."""
        return self.sequence is not None and self.failed_reports == 0 and not self.replaced

    def lost(self) -> bool:
        """Tell whether the engine is taken for gone until it reports again."""
        failed = self.failed_reports >= MAX_FAILED_REPORTS
        return self.replaced or failed or (self.suspected and self.failed_reports > 0)

    def recently_unanswered(self) -> bool:
        """Tell whether an order had no answer a short while ago: others may have none either."""
        since_ms = self.unanswered_ms
        return since_ms is not None and self.clock.now_ms() - since_ms < UNANSWERED_COOLDOWN_MS

    async def refresh(self) -> bool:
        """Ask for a report; tell whether there was one."""
        self.report_requested_ms = self.clock.now_ms()
        report = await self.port.report(self.record)
        if report is None:
            self.failed_reports += 1
            return False
        self.failed_reports = 0
        self.suspected = False
        self._apply_report(report)
        return True

    async def order(
        self, kind: OrderKind, model: str, adapter: str = "", *, expected: int | None = None
    ) -> OrderOutcome:
        """Give an order until its outcome is known; raise OrdersSuspended.

        An order is decided for one state of the engine, named by the count of orders that it has
        accepted: `expected`, or the count that is known now. An order of an earlier holder that is
        carried out late changes that state, and what would have fitted may not fit any more. So an
        order is never given again with another count; the outcome is then a conflict.
        """
        decided = self.sequence if expected is None else expected
        async with self.order_lock:
            self.confirmed_by_report = False
            silent_before_ms = self.unanswered_ms
            for attempt in range(MAX_ORDER_ATTEMPTS):
                if not self.lease.may_order() or self.lease.record is None or self.restarted_ms:
                    raise OrdersSuspended
                if decided is None or self.sequence != decided:
                    return self._stale_outcome(
                        decided, answered=self.unanswered_ms == silent_before_ms
                    )
                order = EngineOrder(
                    kind, model, adapter, decided, self.lease.instance, self.lease.record.token
                )
                outcome = await self._send_once(order, attempt)
                if outcome is not None:
                    return outcome
            all_answered = self.unanswered_ms == silent_before_ms
            return OrderOutcome.CONFLICT if all_answered else OrderOutcome.UNKNOWN

    def _stale_outcome(self, decided: int | None, *, answered: bool) -> OrderOutcome:
        """Drop an order whose count of orders isn't the engine's.

        An engine obeys an order without an answer as soon as it has accepted as many orders as that
        one expects. If it has accepted fewer yet, the order may still be carried out.
        """
        self.log.write(
            "order_overtaken",
            target=self.record.identity,
            expected=decided,
            sequence=self.sequence,
            answered=answered,
        )
        late = not answered and self.behind(decided)
        return OrderOutcome.UNKNOWN if late else OrderOutcome.CONFLICT

    def behind(self, expected: int | None) -> bool:
        """Tell whether the engine has accepted fewer orders than an order expects."""
        return expected is not None and self.sequence is not None and self.sequence < expected

    async def _send_once(self, order: EngineOrder, attempt: int) -> OrderOutcome | None:
        """Give an order once; return its outcome, None if it should be given again."""
        self.lease.record_order()
        outcome = await self.port.order(self.record, order)
        self._log_order(order, outcome)
        if outcome is OrderOutcome.ACCEPTED:
            self.sequence = order.expected_sequence + 1
            self.sequence_ms = self.clock.now_ms()
            return outcome
        if outcome is OrderOutcome.CONFLICT:
            await self._wait_after_conflict(attempt)
            return None
        if outcome is OrderOutcome.UNKNOWN:
            return await self._resolve_unanswered(order)
        self.replaced = outcome is OrderOutcome.REFUSED
        return outcome

    async def _resolve_unanswered(self, order: EngineOrder) -> OrderOutcome | None:
        """Look what became of an order without an answer.

        If nothing did, the same order is given again: the engine obeys only one of two orders that
        expect the same sequence.
        """
        self.unanswered_ms = self.clock.now_ms()
        if order.kind is OrderKind.LOAD and not order.adapter:
            self.unanswered_loads[order.model] = self.unanswered_ms
        await self.refresh_after_pause()
        if self.lost():
            return OrderOutcome.UNKNOWN
        if self._report_confirms(order):
            # It has been carried out after all.
            self.confirmed_by_report = True
            return OrderOutcome.ACCEPTED
        return None

    def _report_confirms(self, order: EngineOrder) -> bool:
        """Tell whether the last report shows an order's effect, and its count just that one more.

        A count that has moved on proves nothing alone: the desk's own count may have been wrong.
        """
        if self.sequence != order.expected_sequence + 1:
            return False
        adapters = self.residents.get(order.model)
        if order.adapter:
            there = order.adapter in (adapters or ())
        else:
            there = adapters is not None
            if self.busy:
                return True
        return there == (order.kind is OrderKind.LOAD)

    def add_unreported(self, residents: dict[str, set[str]]) -> None:
        """Add what has come too lately for a report to show it."""

    async def _wait_after_conflict(self, attempt: int) -> None:
        if attempt < ATTEMPTS_BEFORE_REPORT:
            await asyncio.sleep(CONFLICT_RETRY_MS / 1000)
            return
        # The last order is still under way, or the sequence is wrong: a settled report tells.
        began_ms = self.clock.now_ms()
        await self.refresh_after_pause()
        while (
            self.busy or not self.report_current
        ) and self.clock.now_ms() - began_ms < OVERDUE_TIMEOUT_MS:
            await self.refresh_after_pause()

    async def refresh_after_pause(self) -> None:
        """Ask for a report after a short pause."""
        await asyncio.sleep(REPORT_POLL_MS / 1000)
        await self.refresh()

    def _apply_report(self, report: EngineReport) -> None:
        if report.started_ms < self.record.started_ms:
            # From before its last start.
            self.report_current = False
            return
        if report.started_ms > self.record.started_ms:
            self.restarted_ms = report.started_ms
            self.replaced = True
            self.on_change()
            return
        now_ms = self.clock.now_ms()
        self.in_memory = report.in_memory
        self.on_disk = report.on_disk
        late = self.sequence is not None and report.sequence < self.sequence
        if late and now_ms - self.sequence_ms < MAX_REPORT_LAG_MS:
            self.report_current = False
            return
        self.report_current = True
        if self.sequence is None:
            self.log.always(
                "engine_found",
                target=self.record.identity,
                residents={model: sorted(names) for model, names in report.residents.items()},
                in_memory=report.in_memory,
                on_disk=report.on_disk,
                sequence=report.sequence,
            )
        if report.sequence != self.sequence:
            self.sequence = report.sequence
            self.sequence_ms = now_ms
        self.busy = report.busy
        residents = {model: set(adapters) for model, adapters in report.residents.items()}
        for model, adapter in report.pending_adapters:
            # They take their places already, and are there before a request could be.
            residents.setdefault(model, set()).add(adapter)
        self.add_unreported(residents)
        if residents != self.residents:
            self.residents = residents
            self.on_change()

    def _log_order(self, order: EngineOrder, outcome: OrderOutcome) -> None:
        self.log.write(
            "order",
            target=self.record.identity,
            kind=order.kind.value,
            model=order.model,
            adapter=order.adapter,
            expected=order.expected_sequence,
            token=order.fencing_token,
            outcome=outcome.value,
        )
