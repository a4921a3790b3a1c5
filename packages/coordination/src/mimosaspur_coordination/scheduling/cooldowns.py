"""Keep the times at which the targets that refused or failed a request may be asked again."""

import math
from collections.abc import Iterable


class Cooldowns:
    """Hold the end of each target's cooldown, on a clock in seconds."""

    __slots__ = ("ends_s",)

    def __init__(self) -> None:
        self.ends_s: dict[str, float] = {}

    def is_over(self, identity: str, now_s: float) -> bool:
        """Return whether a target may be asked."""
        return self.ends_s.get(identity, 0.0) <= now_s

    def shortest_s(self, identities: Iterable[str], now_s: float) -> float:
        """Return the time until the first of the targets that cool down may be asked."""
        waits = (self.ends_s.get(identity, 0.0) - now_s for identity in identities)
        return min((wait for wait in waits if wait > 0), default=math.inf)
