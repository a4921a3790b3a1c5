"""Implement the token bucket of a quota."""


class QuotaBucket:
    """A token bucket that may be overdrawn and then refills from below zero."""

    __slots__ = ("at_ms", "capacity", "content", "per_s")

    def __init__(self, *, capacity: float, per_s: float, content: float, at_ms: int) -> None:
        self.capacity = capacity
        self.per_s = per_s
        self.content = min(capacity, content)
        self.at_ms = at_ms

    def at(self, now_ms: int) -> float:
        """Return the content at a time not before the last change."""
        gained = self.per_s * (now_ms - self.at_ms) / 1000
        return min(self.capacity, self.content + gained)

    def take(self, cost: float, now_ms: int) -> None:
        """Take a cost from the bucket; a negative cost is put back."""
        self.content = min(self.capacity, self.at(now_ms) - cost)
        self.at_ms = now_ms

    def resize(self, *, capacity: float, per_s: float, now_ms: int) -> None:
        """Change the capacity and rate; keep the current content up to the capacity."""
        content = self.at(now_ms)
        self.capacity, self.per_s = capacity, per_s
        self.content = min(capacity, content)
        self.at_ms = now_ms

    def wait_ms(self, cost: float, now_ms: int) -> float:
        """Return the time until the content covers a cost."""
        missing = cost - self.at(now_ms)
        return max(0.0, missing * 1000 / self.per_s)
