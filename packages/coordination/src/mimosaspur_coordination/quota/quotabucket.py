"""Hold what is left of a quota, which refills with time."""


class QuotaBucket:
    """Be a token bucket's content; it may be overdrawn, and then refills from below zero."""

    __slots__ = ("at_ms", "capacity", "content", "per_s")

    def __init__(self, *, capacity: float, per_s: float, content: float, at_ms: int) -> None:
        self.capacity = capacity
        self.per_s = per_s
        self.content = min(capacity, content)
        self.at_ms = at_ms

    def at(self, now_ms: int) -> float:
        """Return the content at a time that is no earlier than that of the last change."""
        gained = self.per_s * (now_ms - self.at_ms) / 1000
        return min(self.capacity, self.content + gained)

    def take(self, cost: float, now_ms: int) -> None:
        """Take from the content, or put back what a negative cost says."""
        self.content = min(self.capacity, self.at(now_ms) - cost)
        self.at_ms = now_ms

    def resize(self, *, capacity: float, per_s: float, now_ms: int) -> None:
        """Go on with other bounds from what is left now."""
        content = self.at(now_ms)
        self.capacity, self.per_s = capacity, per_s
        self.content = min(capacity, content)
        self.at_ms = now_ms

    def wait_ms(self, cost: float, now_ms: int) -> float:
        """Return how long it takes until the content covers a cost."""
        missing = cost - self.at(now_ms)
        return max(0.0, missing * 1000 / self.per_s)
