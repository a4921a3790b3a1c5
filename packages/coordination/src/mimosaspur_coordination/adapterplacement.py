"""Decide which engine loads which adapter next, and which adapter makes room for it.

An engine takes no adapter's order while it loads a model, which can be for many seconds. So its
places are filled ahead with the adapters that are most likely to be asked for.
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass

# An adapter that takes another one's place must be worth so much more, so that they don't swing.
HYSTERESIS_RATIO = 2.0
# Requests a second below which an adapter isn't placed ahead.
MIN_PRELOAD_RATE = 0.01

# Requests a second that are expected for an adapter of a model.
ExpectedRate = Callable[[str, str], float]
Adapter = tuple[str, str]


@dataclass(slots=True)
class AdapterEngine:
    """Hold one engine's part in the decision."""

    identity: str
    # Adapters that are held or on their way, by resident model.
    held: Mapping[str, Collection[str]]
    slots: int
    # Whether the engine takes an adapter's order now.
    free: bool
    # Adapters that have just come and whose requests may still be on their way.
    recent: frozenset[Adapter] = frozenset()

    def count(self) -> int:
        """Return the number of places taken."""
        return sum(len(names) for names in self.held.values())

    def holds(self, adapter: Adapter) -> bool:
        """Tell whether an adapter is there or on its way."""
        model, name = adapter
        return name in self.held.get(model, ())


@dataclass(slots=True, frozen=True)
class AdapterMove:
    """Load an adapter on an engine after the victim, if there is one, is unloaded."""

    identity: str
    model: str
    adapter: str
    victim: Adapter | None = None


class AdapterPlacement:
    """Decide on adapters from the engines' state and the rates that are expected."""

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
        """Return the move that serves requests for an adapter, None if it is there already."""
        if self.holders.get(wanted):
            return None
        # A free place goes before one whose adapter seems worth nothing.
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
        """Return the most useful adapter that an engine can load before requests wait for it."""
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
        """Return what makes room, if something must, and its loss; None if nothing may."""
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
