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
TOKEN_PAUSE_MS = 1000


class OrderAuthority:
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
        self.ask_at_ms = clock.now_ms()
        self.doubted = False

    def start(self) -> None:
        """Begin the hold after a start."""
        self.started_ms = self.clock.now_ms()

    def doubt(self) -> None:
        """Remember that the process paused: a successor may have begun meanwhile."""
        self.doubted = True

    def held(self, report: EngineState) -> bool:
        """Tell whether this process holds the newest token it knows of, taking one if it can."""
        if self.sender.token == 0:
            self._take()
        if self.sender.token and report.fencing > self.sender.token:
            self._give_up(report.fencing)
        return self.sender.token > 0 and not self.sender.fenced_out

    def cleared(self, report: EngineState) -> bool:
        """Tell whether no order of a predecessor can arrive any more, by this report."""
        if self.settings.checks_fencing:
            return self._fenced(report)
        return self._hold_passed() and self._still_ours()

    def _fenced(self, report: EngineState) -> bool:
        if report.fencing >= self.sender.token:
            return True
        # The report was made before the fence: the next one counts what came until then.
        self.sender.fence()
        return False

    def _hold_passed(self) -> bool:
        # An engine that ignores tokens obeys late orders, so only waiting them out is safe.
        waited_ms = self.sender.ledger.requested_at_ms - self.started_ms
        return waited_ms >= self.settings.longest_order_delay_ms

    def _still_ours(self) -> bool:
        if not self.doubted:
            return True
        try:
            newest = fencing.newest_token(self.store, self.target)
        except StoreUnavailable:
            return False
        if newest > self.sender.token:
            self._give_up(newest)
            return False
        self.doubted = False
        return True

    def _take(self) -> None:
        if self.clock.now_ms() < self.ask_at_ms:
            return
        try:
            self.sender.token = fencing.acquire_token(self.store, self.target, self.incarnation)
        except StoreUnavailable as error:
            self.ask_at_ms = self.clock.now_ms() + TOKEN_PAUSE_MS
            log(PART, "No fencing token yet, so no orders.", error=str(error))

    def _give_up(self, newest: int) -> None:
        self.sender.fenced_out = True
        log(PART, "A successor owns the engine; giving no more orders.", newest=newest)
