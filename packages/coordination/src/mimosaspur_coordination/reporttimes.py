"""Remember when reports to the coordinator were sent: its answers can't be older than that."""

from mimosaspur_state.clock import Clock

# Reports without an answer that are remembered.
MAX_REPORTS = 1_000


class ReportTimes:
    """Track how old the coordinator's last answer is at most, however late it is read."""

    __slots__ = ("answered_ms", "clock", "sent_ms")

    def __init__(self, *, clock: Clock) -> None:
        # Must count time in suspend.
        self.clock = clock
        # By number, the oldest first.
        self.sent_ms: dict[int, int] = {}
        # When the last report that has an answer was sent; None before the first answer.
        self.answered_ms: int | None = None

    def on_sent(self, number: int) -> None:
        """Record that a report is being sent."""
        self.sent_ms[number] = self.clock.now_ms()
        if len(self.sent_ms) > MAX_REPORTS:
            del self.sent_ms[next(iter(self.sent_ms))]

    def on_answered(self, number: int) -> None:
        """Record that the next update was computed after a report had arrived."""
        self.answered_ms = self.sent_ms.get(number, self.answered_ms)
        for earlier in [each for each in self.sent_ms if each < number]:
            del self.sent_ms[earlier]

    def age_ms(self) -> int | None:
        """Return the time since the answered report was sent, None before the first answer."""
        return None if self.answered_ms is None else self.clock.now_ms() - self.answered_ms
