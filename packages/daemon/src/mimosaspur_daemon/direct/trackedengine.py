"""Track one engine by its reports, and send it orders, one at a time."""

import asyncio
import contextlib
from collections.abc import Callable

from mimosaspur_coordination.fleetports import CallDeferred
from mimosaspur_coordination.fleetports import EngineOutOfReach
from mimosaspur_coordination.fleetports import EnginePort
from mimosaspur_coordination.fleetports import EngineSilent
from mimosaspur_coordination.orderlease import OrderLease
from mimosaspur_coordination.outstandingloads import OrderedLoad
from mimosaspur_coordination.outstandingloads import OutstandingLoads
from mimosaspur_state.clock import Clock
from mimosaspur_state.eventlog import EventLog
from mimosaspur_state.fleet import EngineOrder
from mimosaspur_state.fleet import EngineReport
from mimosaspur_state.fleet import OrderKind
from mimosaspur_state.fleet import OrderOutcome
from mimosaspur_state.fleet import TargetRecord

# Maximum attempts at an order whose outcome is unknown, or that conflicts with another one.
MAX_ORDER_ATTEMPTS = 8
# An unload that waits for its runs takes longer than others: the next order is tried this often
# before a report is requested.
ATTEMPTS_BEFORE_REPORT = 3
CONFLICT_RETRY_MS = 20
# An order that the engine's request limit doesn't permit yet is tried again after this time, and
# dropped after the longer one.
DEFERRED_RETRY_MS = 50
MAX_DEFERRAL_MS = 5_000
# Interval of reports while something is awaited; they lag by some hundred ms.
REPORT_POLL_MS = 100
# A report that shows fewer orders than were accepted counts as late for this time, then as right.
MAX_REPORT_LAG_MS = 1_500
# A load, or an unload that waits for its runs, fails if it takes this much longer than expected.
OVERDUE_TIMEOUT_MS = 15_000
# After this many failed reports in a row, or one if an entry can't reach the engine either, its
# models are loaded elsewhere.
MAX_FAILED_REPORTS = 2
# An engine whose machine is there may be silent for so long before its models are loaded elsewhere.
MAX_SILENCE_MS = 4_000
# An unanswered order blocks its engine for half a second and more: orders that can wait are not
# sent for this long after one.
UNANSWERED_COOLDOWN_MS = 4_000


class OrdersSuspended(Exception):
    """Report that this instance may not send orders to the engine now."""


class TrackedEngine:
    """Track the state of one engine, and send orders until their outcome is known."""

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
        self.record = record
        self.port = port
        # Of all engines, shared with the other controllers and, by messages, with other instances.
        self.outstanding = outstanding
        self.lease = lease
        self.clock = clock
        self.log = log
        self.on_change = on_change
        self.residents: dict[str, set[str]] = {
            model: set(adapters) for model, adapters in (record.residents or {}).items()
        }
        # Copies of weights, least recently used first.
        self.in_memory: tuple[str, ...] = ()
        self.on_disk: tuple[str, ...] = ()
        # Number of orders that the engine has accepted, None before the first report.
        self.sequence: int | None = None
        self.sequence_ms = 0
        # The highest count that the engine itself has reported in this lifetime.
        self.reported_sequence = 0
        self.busy = False
        # Whether the last report counts as including the last accepted order.
        self.report_current = False
        # Whether only a report shows that the last order was carried out: its start is unknown.
        self.confirmed_by_report = False
        self.report_requested_ms = 0
        self.failed_reports = 0
        # When the first of them was requested, and whether the last one showed the engine's machine
        # to be there.
        self.failing_since_ms = 0
        self.silent = False
        # Whether nothing came in time to the last one, so that it may have kept its models.
        self.out_of_reach = False
        # Whether an entry couldn't reach the engine.
        self.suspected = False
        # Whether it limits the requests that it takes, orders and reports among them.
        self.limited = False
        # Whether another instance has its address now, or it has restarted.
        self.replaced = False
        # Start time of a restart that a report has shown, 0 if there was none.
        self.restarted_ms = 0
        # Time of the last unanswered order, None if there was none.
        self.unanswered_ms: int | None = None
        self.order_lock = asyncio.Lock()

    def state_known(self) -> bool:
        """Return whether the engine's state is known well enough for an order."""
        return self.sequence is not None and self.failed_reports == 0 and not self.replaced

    def lost(self) -> bool:
        """Return whether the engine counts as lost until it reports again."""
        if self.silent and self.clock.now_ms() - self.failing_since_ms < MAX_SILENCE_MS:
            return self.replaced
        failed = self.failed_reports >= MAX_FAILED_REPORTS
        return self.replaced or failed or (self.suspected and self.failed_reports > 0)

    def may_return(self) -> bool:
        """Return whether a lost engine may soon be there again with its models.

        An engine whose machine is out of reach may go on as one that is silent. One that refuses
        connections has ended.
        """
        failing_ms = self.clock.now_ms() - self.failing_since_ms
        return self.out_of_reach and not self.replaced and 0 <= failing_ms < MAX_SILENCE_MS

    def recently_unanswered(self) -> bool:
        """Return whether an order was unanswered recently, as the next one may be too."""
        since_ms = self.unanswered_ms
        return since_ms is not None and self.clock.now_ms() - since_ms < UNANSWERED_COOLDOWN_MS

    async def refresh(self) -> bool:
        """Request a report; return whether there was one."""
        try:
            return await self._request_report()
        except CallDeferred:
            return False

    async def _request_report(self) -> bool:
        requested_ms = self.report_requested_ms = self.clock.now_ms()
        report: EngineReport | None = None
        silent = out_of_reach = False
        try:
            report = await self.port.report(self.record)
        except EngineSilent:
            silent = True
        except EngineOutOfReach:
            out_of_reach = True
        self.silent, self.out_of_reach = silent, out_of_reach
        if report is None:
            if not self.failed_reports:
                self.failing_since_ms = requested_ms
            self.failed_reports += 1
            return False
        self.failed_reports = 0
        self.suspected = False
        self._apply_report(report)
        return True

    async def order(
        self, kind: OrderKind, model: str, adapter: str = "", *, expected: int | None = None
    ) -> OrderOutcome:
        """Send an order until its outcome is known; raise OrdersSuspended.

        An order is decided for one state of the engine, identified by the count of orders that it
        has accepted: `expected`, or the count known now. A late order of an earlier lease holder
        changes that state, so that the decision may no longer fit. An order is therefore never
        sent again with another count; the outcome is then a conflict.
        """
        expected_sequence = self.sequence if expected is None else expected
        load = None
        if kind is OrderKind.LOAD and expected_sequence is not None:
            load = self.ordered_load(model, adapter, expected_sequence)
        async with self.order_lock:
            if load:
                self.outstanding.announce(load)
            try:
                return await self._order(kind, model, adapter, expected_sequence)
            finally:
                if load:
                    self.outstanding.settle(load)

    async def _order(
        self, kind: OrderKind, model: str, adapter: str, expected_sequence: int | None
    ) -> OrderOutcome:
        self.confirmed_by_report = False
        unanswered_before_ms = self.unanswered_ms
        deferred_until_ms = self.clock.now_ms() + MAX_DEFERRAL_MS
        attempt = 0
        while attempt < MAX_ORDER_ATTEMPTS:
            if not self.lease.may_order() or self.lease.record is None or self.restarted_ms:
                raise OrdersSuspended
            if expected_sequence is None or self.sequence != expected_sequence:
                return self._stale_outcome(
                    expected_sequence, answered=self.unanswered_ms == unanswered_before_ms
                )
            order = EngineOrder(
                kind,
                model,
                adapter,
                expected_sequence,
                self.lease.instance,
                self.lease.record.token,
            )
            try:
                outcome = await self._send_once(order, attempt)
            except CallDeferred:
                if self.clock.now_ms() >= deferred_until_ms:
                    break
                await asyncio.sleep(DEFERRED_RETRY_MS / 1000)
                continue
            if outcome is not None:
                return outcome
            attempt += 1
        all_answered = self.unanswered_ms == unanswered_before_ms
        return OrderOutcome.CONFLICT if all_answered else OrderOutcome.UNKNOWN

    def _stale_outcome(self, expected_sequence: int | None, *, answered: bool) -> OrderOutcome:
        """Return the outcome of an order whose expected count isn't the engine's.

        An engine carries out an unanswered order once it has accepted as many orders as that one
        expects. While it has accepted fewer, the order may still be carried out.
        """
        self.log.write(
            "order_overtaken",
            target=self.record.identity,
            expected=expected_sequence,
            sequence=self.sequence,
            answered=answered,
        )
        late = not answered and self.behind(expected_sequence)
        return OrderOutcome.UNKNOWN if late else OrderOutcome.CONFLICT

    def behind(self, expected: int | None) -> bool:
        """Return whether the engine has accepted fewer orders than an order expects."""
        return expected is not None and self.sequence is not None and self.sequence < expected

    async def _send_once(self, order: EngineOrder, attempt: int) -> OrderOutcome | None:
        """Send an order once; return its outcome, None if it should be sent again."""
        self.lease.record_order()
        try:
            outcome = await self.port.order(self.record, order)
        except asyncio.CancelledError:
            self._mark_unanswered(order)
            raise
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
        """Find the outcome of an unanswered order by a report.

        If it had no effect, the same order may safely be sent again: the engine carries out only
        one of two orders that expect the same sequence.
        """
        self.unanswered_ms = self.clock.now_ms()
        self._mark_unanswered(order)
        await self.refresh_after_pause()
        if self.lost():
            return OrderOutcome.UNKNOWN
        if self._report_confirms(order):
            # It has been carried out after all.
            self.confirmed_by_report = True
            return OrderOutcome.ACCEPTED
        return None

    def _mark_unanswered(self, order: EngineOrder) -> None:
        if order.kind is OrderKind.LOAD:
            self.outstanding.mark_unanswered(
                self.ordered_load(order.model, order.adapter, order.expected_sequence)
            )

    def ordered_load(self, model: str, adapter: str, expected_sequence: int) -> OrderedLoad:
        """Return a load of this lifetime of the engine."""
        record = self.record
        return OrderedLoad(record.identity, record.started_ms, model, adapter, expected_sequence)

    def outstanding_loads(self) -> list[OrderedLoad]:
        """Return the loads that the engine may still carry out."""
        return self.outstanding.of(
            self.record.identity,
            started_ms=self.record.started_ms,
            sequence=self.reported_sequence,
        )

    def _report_confirms(self, order: EngineOrder) -> bool:
        """Return whether the last report shows an order's effect and exactly one more order.

        A higher count alone proves nothing: the count tracked here may have been wrong.
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

    def confirm_loads(self, report: EngineReport) -> None:
        """Apply what a report shows of accepted loads."""

    def add_unreported(self, residents: dict[str, set[str]]) -> None:
        """Add what was loaded too recently for a report to show it."""

    async def _wait_after_conflict(self, attempt: int) -> None:
        if attempt < ATTEMPTS_BEFORE_REPORT:
            await asyncio.sleep(CONFLICT_RETRY_MS / 1000)
            return
        # The last order is still in progress, or the sequence is wrong: wait for a current report.
        started_ms = self.clock.now_ms()
        await self.refresh_after_pause()
        while (
            self.busy or not self.report_current
        ) and self.clock.now_ms() - started_ms < OVERDUE_TIMEOUT_MS:
            await self.refresh_after_pause()

    async def refresh_after_pause(self) -> None:
        """Request a report after a short pause, and wait until the request limit permits it."""
        deferred_until_ms = self.clock.now_ms() + MAX_DEFERRAL_MS
        while self.clock.now_ms() < deferred_until_ms:
            await asyncio.sleep(REPORT_POLL_MS / 1000)
            with contextlib.suppress(CallDeferred):
                await self._request_report()
                return

    def _apply_report(self, report: EngineReport) -> None:
        if report.started_ms < self.record.started_ms:
            # The report is from before the last start.
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
        self.reported_sequence = max(self.reported_sequence, report.sequence)
        self.confirm_loads(report)
        late = self.sequence is not None and report.sequence < self.sequence
        if late and now_ms - self.sequence_ms < MAX_REPORT_LAG_MS:
            self.report_current = False
            return
        self.report_current = True
        if self.sequence is None:
            self.log.always(
                "engine_found",
                target=self.record.incarnation,
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
            # They already occupy slots, and are loaded before a request can arrive.
            residents.setdefault(model, set()).add(adapter)
        self.add_unreported(residents)
        if residents != self.residents:
            self.residents = residents
            self.on_change()

    def _log_order(self, order: EngineOrder, outcome: OrderOutcome) -> None:
        self.log.write(
            "order",
            target=self.record.incarnation,
            kind=order.kind.value,
            model=order.model,
            adapter=order.adapter,
            expected=order.expected_sequence,
            token=order.fencing_token,
            outcome=outcome.value,
        )
