"""Hold the right to give an engine orders: a fencing token, and the hold after a start."""

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
    """Tell whether this process may order now; used by the keeper's task only."""

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
        """Begin the hold after a start."""
        self.started_ms = self.clock.now_ms()

    def on_pause(self) -> None:
        """Remember that the process paused: a successor may have begun meanwhile."""
        self.must_verify_token = True

    def ensure_owner(self, report: EngineState) -> bool:
        """Tell whether this process holds the newest token it knows of, taking one if it can."""
        if self.sender.token == 0:
            self._acquire_token()
        if self.sender.token and report.fencing > self.sender.token:
            self._relinquish(report.fencing)
        return self.sender.token > 0 and not self.sender.fenced_out

    def is_predecessor_fenced(self, report: EngineState) -> bool:
        """Tell whether no order of a predecessor can arrive any more, by this report."""
        if self.settings.checks_fencing:
            return self._is_fence_reported(report)
        return self._is_order_delay_over() and self._verify_token()

    def _is_fence_reported(self, report: EngineState) -> bool:
        if report.fencing >= self.sender.token:
            return True
        # The report was made before the fence: the next one counts what came until then.
        self.sender.fence()
        return False

    def _is_order_delay_over(self) -> bool:
        # An engine that ignores tokens obeys late orders, so only waiting them out is safe.
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
            log(PART, "No fencing token yet, so no orders.", error=str(error))

    def _relinquish(self, newest: int) -> None:
        self.sender.fenced_out = True
        log(PART, "A successor owns the engine; giving no more orders.", newest=newest)
