"""Guard an engine against two senders of orders: a fencing token and a delay after a start."""

from mimosaspur_coordination import fencing
from mimosaspur_daemon.engine_orders import OrderSender
from mimosaspur_state.clock import Clock
from mimosaspur_state.engine import EngineState
from mimosaspur_state.errors import StoreUnavailable
from mimosaspur_state.log import log
from mimosaspur_state.objects import ObjectStore
from mimosaspur_state.settings import TargetSettings

PART = "ENGINE"
TOKEN_RETRY_DELAY_MS = 1000


class EngineOwnership:
    """Decide whether this process may send orders; used only by the reconciler's thread."""

    def __init__(
        self,
        store: ObjectStore,
        sender: OrderSender,
        clock: Clock,
        *,
        target: str,
        incarnation: str,
        settings: TargetSettings,
    ) -> None:
        self.store = store
        self.sender = sender
        self.clock = clock
        self.target = target
        self.incarnation = incarnation
        self.settings = settings
        self.started_ms = clock.now_ms()
        self.next_acquire_at_ms = clock.now_ms()
        self.must_verify_token = False

    def start(self) -> None:
        """Start the delay in which a predecessor's late orders may still arrive."""
        self.started_ms = self.clock.now_ms()

    def on_pause(self) -> None:
        """Require a check of the token: a successor may have started during a pause."""
        self.must_verify_token = True

    def ensure_owner(self, report: EngineState) -> bool:
        """Return whether this process holds the newest known token, acquiring one if needed."""
        if self.sender.token == 0:
            self._acquire_token()
        if self.sender.token and report.fencing > self.sender.token:
            self._relinquish(report.fencing)
        return self.sender.token > 0 and not self.sender.fenced_out

    def is_predecessor_fenced(self, report: EngineState) -> bool:
        """Return whether, by this report, no predecessor's order can take effect any more."""
        if self.settings.checks_fencing:
            return self._is_fence_reported(report)
        return self._is_order_delay_over() and self._verify_token()

    def _is_fence_reported(self, report: EngineState) -> bool:
        if report.fencing >= self.sender.token:
            return True
        # This report predates the fence; only the next one shows all orders that came before it.
        self.sender.fence()
        return False

    def _is_order_delay_over(self) -> bool:
        # An engine that ignores tokens executes late orders, so their longest delay must pass.
        waited_ms = self.sender.ledger.requested_at_ms - self.started_ms
        return waited_ms >= self.settings.longest_order_delay_ms

    def _verify_token(self) -> bool:
        if not self.must_verify_token:
            return True
        try:
            newest = fencing.newest_token(self.store, self.target)
        except StoreUnavailable:
            return False
        if newest > self.sender.token:
            self._relinquish(newest)
            return False
        self.must_verify_token = False
        return True

    def _acquire_token(self) -> None:
        if self.clock.now_ms() < self.next_acquire_at_ms:
            return
        try:
            self.sender.token = fencing.acquire_token(self.store, self.target, self.incarnation)
        except StoreUnavailable as error:
            self.next_acquire_at_ms = self.clock.now_ms() + TOKEN_RETRY_DELAY_MS
            log(
                PART,
                "Could not acquire a fencing token; no orders are sent, retrying.",
                error=str(error),
            )

    def _relinquish(self, newest: int) -> None:
        self.sender.fenced_out = True
        log(PART, "A newer process owns the engine; this one sends no more orders.", newest=newest)
