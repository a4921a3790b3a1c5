"""Tell whether an engine is slow at the moment, which its lasting factors don't hold."""

# A measurement of this many times its prediction shows that the engine is slow at the moment; that
# is more than the errors of predictions, and less than the 2.5 times of such moments.
SLOW_RATIO = 1.8
MAX_RATIO = 4.0
# How much longer an engine is slow once that is noticed: on average half of the half second that
# engines are slow at a time.
SLOW_MS = 250


class MomentarySlowness:
    """Hold by how much an engine is slower at the moment than it usually is."""

    __slots__ = ("ends_ms", "ratio")

    def __init__(self) -> None:
        self.ratio = 1.0
        self.ends_ms = 0

    def record(self, ratio: float, *, now_ms: int) -> bool:
        """Record a ratio of measured to predicted time; return whether a slow moment begins."""
        if ratio < SLOW_RATIO:
            self.ratio = 1.0
            return False
        begins = self.ratio == 1.0
        if begins:
            self.ends_ms = now_ms + SLOW_MS
        self.ratio = min(MAX_RATIO, ratio)
        return begins

    def remaining_ms(self, *, now_ms: int) -> int:
        """Return how much longer the engine is likely to be slow."""
        if self.ratio == 1.0:
            return 0
        # A clock that was set back must not make the moment longer.
        return min(SLOW_MS, max(0, self.ends_ms - now_ms))

    def added_ms(self, work_ms: float, *, now_ms: int) -> float:
        """Return by how much longer work takes that would take work_ms at the usual speed."""
        slow_ms = self.remaining_ms(now_ms=now_ms)
        # Of the slow time, only 1 / ratio counts as work.
        return min(work_ms * (self.ratio - 1.0), slow_ms * (1.0 - 1.0 / self.ratio))
