"""Track which kinds of requests have recently come for each model.

A kind is a rank and an objective: requests are held back only for kinds that are really requested.
"""

from collections.abc import Iterable
from collections.abc import Iterator
from dataclasses import dataclass

from mimosaspur_state.clock import Clock

# On the busiest deployment, one entry of 24 sees an urgent request for a given model every 10 s.
RECENT_MS = 30_000
# Weight of the newest prompt in a kind's average.
PROMPT_WEIGHT = 0.2

# The rank in engine queues, then the objective for the first event; the lowest is the most urgent.
Urgency = tuple[int, float]


@dataclass(slots=True)
class Kind:
    """Describe the recent requests of one kind for one model."""

    model: str
    rank: int
    objective_ms: float
    prompt_tokens: float
    last_ms: int


class RecentKinds:
    """Keep the kinds of requests that have come for each model within RECENT_MS."""

    __slots__ = ("by_model", "clock", "urgencies")

    def __init__(self, *, clock: Clock) -> None:
        self.clock = clock
        self.by_model: dict[str, dict[Urgency, Kind]] = {}
        # The time of the last request of each urgency, for any model.
        self.urgencies: dict[Urgency, int] = {}

    def record(self, model: str, urgency: Urgency, *, prompt_tokens: int) -> None:
        """Record a request; the model must be one that the configuration names."""
        kinds = self.by_model.setdefault(model, {})
        kind = kinds.get(urgency)
        if kind is None:
            kind = kinds[urgency] = Kind(model, *urgency, float(prompt_tokens), 0)
        kind.prompt_tokens += PROMPT_WEIGHT * (prompt_tokens - kind.prompt_tokens)
        kind.last_ms = self.urgencies[urgency] = self.clock.now_ms()
        for each in [each for each in kinds if not self._is_recent(kinds[each].last_ms)]:
            del kinds[each]

    def any_more_urgent(self, urgency: Urgency) -> bool:
        """Return whether any recent request was more urgent, for whatever model."""
        return any(
            other < urgency and self._is_recent(at_ms) for other, at_ms in self.urgencies.items()
        )

    def more_urgent(self, models: Iterable[str], urgency: Urgency) -> Iterator[Kind]:
        """Yield the recent kinds of requests for any of the models that are more urgent."""
        for model in models:
            for other, kind in self.by_model.get(model, {}).items():
                if other < urgency and self._is_recent(kind.last_ms):
                    yield kind

    def _is_recent(self, at_ms: int) -> bool:
        # The clock may have jumped back.
        return abs(self.clock.now_ms() - at_ms) <= RECENT_MS
