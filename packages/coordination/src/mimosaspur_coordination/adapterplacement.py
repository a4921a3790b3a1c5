"""Decide which engine loads which adapter next, and which adapter it unloads first.

An engine accepts no adapter orders while it loads a model, which can take many seconds. So its free
slots are filled in advance with the adapters that are most likely to be requested.
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass

# An adapter replaces another one only if its gain is this many times the loss, to avoid thrashing.
HYSTERESIS_RATIO = 2.0
# Requests per second below which an adapter isn't preloaded.
MIN_PRELOAD_RATE = 0.01

# Returns the requests per second that are expected for a model and its adapter.
ExpectedRate = Callable[[str, str], float]
Adapter = tuple[str, str]


@dataclass(slots=True)
class AdapterEngine:
    """Hold the state of one engine that the decision needs."""

    identity: str
    # Adapters that are loaded or being loaded, by resident model.
    held: Mapping[str, Collection[str]]
    slots: int
    # Whether the engine accepts an adapter order now.
    free: bool
    # Recently loaded adapters, for which requests may still be in flight.
    recent: frozenset[Adapter] = frozenset()

    def count(self) -> int:
        """Return the number of slots in use."""
        return sum(len(names) for names in self.held.values())

    def holds(self, adapter: Adapter) -> bool:
        """Return whether an adapter is loaded or being loaded."""
        model, name = adapter
        return name in self.held.get(model, ())


@dataclass(slots=True, frozen=True)
class AdapterMove:
    """Describe the load of an adapter on an engine, after unloading the victim if there is one."""

    identity: str
    model: str
    adapter: str
    victim: Adapter | None = None


class AdapterPlacement:
    """Choose adapter moves from the engines' state and the expected request rates."""

    __slots__ = ("engines", "expected_rate", "holders")

    def __init__(self, engines: Sequence[AdapterEngine], expected: ExpectedRate) -> None:
        self.engines = engines
        self.expected_rate = expected
        self.holders: dict[Adapter, int] = {}
        for engine in engines:
            for model, names in engine.held.items():
                for name in names:
                    self.holders[model, name] = self.holders.get((model, name), 0) + 1

    def for_waiting(self, wanted: Adapter) -> AdapterMove | None:
        """Return the move that lets waiting requests run, None if the adapter is already loaded."""
        if self.holders.get(wanted):
            return None
        # Prefers a free slot to one whose adapter has an expected rate of zero.
        best: tuple[float, bool, AdapterMove] | None = None
        for engine in self.engines:
            if wanted[0] not in engine.held or not engine.free:
                continue
            victim, loss = self._victim(engine)
            if loss is None:
                continue
            cost = loss, victim is not None
            if best is None or cost < best[:2]:
                best = *cost, AdapterMove(engine.identity, *wanted, victim)
        return best[2] if best else None

    def preload(
        self, engine: AdapterEngine, names: Mapping[str, Sequence[str]]
    ) -> AdapterMove | None:
        """Return the most useful adapter load for an engine before any request waits for it."""
        if not engine.free or not engine.slots:
            return None
        candidates = [
            (self._gain((model, name)), (model, name))
            for model in engine.held
            for name in names.get(model, ())
            if not engine.holds((model, name))
        ]
        if not candidates:
            return None
        gain, (model, name) = max(candidates)
        victim, loss = self._victim(engine)
        if loss is None or gain < MIN_PRELOAD_RATE or gain < loss * HYSTERESIS_RATIO:
            return None
        return AdapterMove(engine.identity, model, name, victim)

    def _victim(self, engine: AdapterEngine) -> tuple[Adapter | None, float | None]:
        """Return the adapter to unload, if any, and its loss; a loss of None if none may be."""
        if engine.count() < engine.slots:
            return None, 0.0
        held = [
            (self._loss((model, name)), (model, name))
            for model, names in engine.held.items()
            for name in names
            if (model, name) not in engine.recent
        ]
        if not held:
            return None, None
        loss, victim = min(held)
        return victim, loss

    def _gain(self, adapter: Adapter) -> float:
        return self.expected_rate(*adapter) / (1 + self.holders.get(adapter, 0))

    def _loss(self, adapter: Adapter) -> float:
        return self.expected_rate(*adapter) / self.holders.get(adapter, 1)
