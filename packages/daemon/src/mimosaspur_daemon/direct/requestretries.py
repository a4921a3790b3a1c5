"""Count one request's attempts and take its retries from the service's budget."""

from mimosaspur_coordination.limits.retrywindow import RetryWindow
from mimosaspur_state.eventlog import EventLog


class RequestRetries:
    """Track one request's attempts and the retries that were taken for them."""

    __slots__ = ("attempts", "log", "request", "service", "spent_at_ms", "window")

    def __init__(self, window: RetryWindow, log: EventLog, *, service: str, request: str) -> None:
        self.window = window
        self.log = log
        self.service = service
        self.request = request
        # Each attempt but the first needs a retry.
        self.attempts = 0
        # Times at which retries were taken.
        self.spent_at_ms: list[int] = []

    def spend(self, count: int, *, what: str) -> bool:
        """Take retries from the service's budget, all or none; log the decision."""
        now_ms = self.window.clock.now_ms()
        granted = self.window.try_spend(count, now_ms=now_ms)
        if granted:
            self.spent_at_ms += [now_ms] * count
        self._log(what, count, "granted" if granted else "refused")
        return granted

    def cover_next(self, *, what: str) -> bool:
        """Return whether the next attempt is covered, by a retry that wasn't used or a new one."""
        return len(self.spent_at_ms) >= self.attempts or self.spend(1, what=what)

    def refund_unused(self) -> None:
        """Return unused retries to the budget after the last attempt."""
        unneeded = max(0, len(self.spent_at_ms) - max(0, self.attempts - 1))
        # Return the oldest: the latest are closest to the attempts that used them.
        for spent_ms in self.spent_at_ms[:unneeded]:
            self.window.refund(spent_ms)
        if unneeded:
            self._log("unused", unneeded, "returned")

    def _log(self, what: str, count: int, outcome: str) -> None:
        self.log.write(
            "repeat",
            request=self.request,
            service=self.service,
            what=what,
            repeats=count,
            outcome=outcome,
            window=self.window.state(),
        )
