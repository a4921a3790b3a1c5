"""Count how often one request comes to targets, and take the repeats that this needs."""

from mimosaspur_coordination.limits.retrywindow import RetryWindow
from mimosaspur_state.eventlog import EventLog


class RequestRetries:
    """Hold one request's arrivals at targets, and the repeats that were taken for them."""

    __slots__ = ("attempts", "log", "request", "service", "spent_at_ms", "window")

    def __init__(self, window: RetryWindow, log: EventLog, *, service: str, request: str) -> None:
        self.window = window
        self.log = log
        self.service = service
        self.request = request
        # Each arrival but the first needs a repeat.
        self.attempts = 0
        # When repeats were taken.
        self.spent_at_ms: list[int] = []

    def spend(self, repeats: int, *, what: str) -> bool:
        """Take repeats from what the service's bound allows, all or none; log the decision."""
        granted = self.window.try_spend(repeats)
        if granted:
            self.spent_at_ms += [self.window.clock.now_ms()] * repeats
        self.log.write(
            "repeat",
            request=self.request,
            service=self.service,
            what=what,
            repeats=repeats,
            outcome="granted" if granted else "refused",
            window=self.window.state(),
        )
        return granted

    def refund_unused(self) -> None:
        """Return what wasn't needed, now that the request has come to its last target."""
        unneeded = max(0, len(self.spent_at_ms) - max(0, self.attempts - 1))
        # Kept are the last, which lie nearest to the arrivals.
        for spent_ms in self.spent_at_ms[:unneeded]:
            self.window.refund(spent_ms)
