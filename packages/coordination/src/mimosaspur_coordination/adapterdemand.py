"""Track the request rates of adapters with exponential decay."""

import math
from dataclasses import dataclass

from mimosaspur_state.clock import Clock

# Longer than the usual interval between two requests for the same adapter.
DECAY_MS = 10_000


@dataclass(slots=True)
class _Rate:
    """Hold a request rate as of a time."""

    per_second: float = 0.0
    updated_ms: int = 0

    def at(self, now_ms: int) -> float:
        """Return the rate, decayed to a time."""
        return self.per_second * math.exp((self.updated_ms - now_ms) / DECAY_MS)


class AdapterDemand:
    """Track the request rate of each adapter, and of all adapters of each model."""

    __slots__ = ("adapters", "clock", "models")

    def __init__(self, *, clock: Clock) -> None:
        self.clock = clock
        self.adapters: dict[tuple[str, str], _Rate] = {}
        self.models: dict[str, _Rate] = {}

    def count(self, model: str, adapter: str, requests: int) -> None:
        """Record requests for an adapter."""
        now_ms = self.clock.now_ms()
        for rate in (
            self.adapters.setdefault((model, adapter), _Rate()),
            self.models.setdefault(model, _Rate()),
        ):
            rate.per_second = rate.at(now_ms) + requests * 1000 / DECAY_MS
            rate.updated_ms = now_ms

    def rate(self, model: str, adapter: str) -> float:
        """Return the requests per second for an adapter."""
        rate = self.adapters.get((model, adapter))
        return rate.at(self.clock.now_ms()) if rate else 0.0

    def model_rate(self, model: str) -> float:
        """Return the requests per second for all adapters of a model."""
        rate = self.models.get(model)
        return rate.at(self.clock.now_ms()) if rate else 0.0
