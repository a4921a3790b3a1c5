"""Learn how long engines take over a token of each model, beside one of a common model."""

import math
from dataclasses import dataclass

# Weight of the newest measurement once some are known; the first ones count for more.
NEWEST = 0.15
# One measurement says no more than this many times more or less: the queue may have been misjudged.
MOST_CHANGE = 4.0
LEAST_PACE = 0.03
MOST_PACE = 3.0
# What all models have in common, the engines' own speed, stands under this name. A model that
# nobody has measured is taken to cost as much.
ENGINES = ""
# It moves little once it is known, so that what models differ by has something to stand on.
ENGINES_NEWEST = 0.005
# A known pace moves by a tenth at most with one measurement: under load queues are misjudged often.
STEADY_CHANGE = 2.0
# What differs by less than this part isn't worth a message.
TOLD_CHANGE = 0.1
# From so many measurements on, each further one is a small step.
KNOWN_MEASUREMENTS = 5.0
# No more measurements than this are counted, so that late ones keep their weight.
MOST_MEASUREMENTS = 200.0


@dataclass(slots=True, frozen=True)
class Pace:
    """Hold a model's factor and how many measurements it rests on."""

    factor: float
    measurements: float


UNKNOWN_PACE = Pace(1.0, 0.0)


class ModelPace:
    """Keep a factor for all engines and one for each model, less for what is read faster."""

    __slots__ = ("learns", "measurements", "paces", "told")

    def __init__(self, *, learns: bool = True) -> None:
        self.learns = learns
        self.paces: dict[str, float] = {}
        self.measurements: dict[str, float] = {}
        # The factors as this process last told or was told them.
        self.told: dict[str, float] = {}

    def of(self, model: str) -> float:
        """Return what a model's token costs, in tokens of a common model on a common engine."""
        return self.factor(ENGINES) * self.factor(model)

    def factor(self, name: str) -> float:
        """Return the factor of a model, or of the engines; 1 until measured."""
        return self.paces.get(name, 1.0)

    def learn(self, model: str, ratio: float, *, share: float) -> None:
        """Take a time to a first token, as measured over predicted.

        `share` is the part of the predicted time in which the model itself was read.
        """
        if not self.learns:
            return
        left = ratio / self._learn(ENGINES, ratio, share=share, newest=ENGINES_NEWEST)
        self._learn(model, left, share=share, newest=NEWEST)

    def _learn(self, name: str, ratio: float, *, share: float, newest: float) -> float:
        """Move a factor towards a measured one; return by how much it moved."""
        known = self.measurements.get(name, 0.0)
        weight = share * max(newest, 1.0 / (known + 1.0))
        most = STEADY_CHANGE if known >= KNOWN_MEASUREMENTS else MOST_CHANGE
        old = self.factor(name)
        new = old * min(most, max(1.0 / most, ratio)) ** weight
        self.paces[name] = min(MOST_PACE, max(LEAST_PACE, new))
        self.measurements[name] = min(MOST_MEASUREMENTS, known + share)
        return self.paces[name] / old

    def news(self) -> dict[str, Pace]:
        """Return the models whose factors have changed since they were last told."""
        news = {}
        for model, factor in self.paces.items():
            told = self.told.get(model, 1.0)
            if abs(factor - told) > TOLD_CHANGE * told:
                news[model] = Pace(factor, self.measurements[model])
                self.told[model] = factor
        return news

    def adopt(self, model: str, pace: Pace) -> None:
        """Take a factor that rests on the measurements of other processes too."""
        self.paces[model] = self.told[model] = pace.factor
        self.measurements[model] = pace.measurements


class SharedPaces:
    """Put together the factors that several processes have learnt."""

    __slots__ = ("changes", "paces")

    def __init__(self) -> None:
        self.paces: dict[str, Pace] = {}
        # What was heard of each model since it was last told: changes of its factor's logarithm.
        self.changes: dict[str, list[float]] = {}

    def hear(self, model: str, pace: Pace) -> None:
        """Take a factor that another process has learnt, starting from the one it was told."""
        told = self.paces.get(model, UNKNOWN_PACE)
        self.changes.setdefault(model, []).append(math.log(pace.factor / told.factor))

    def news(self) -> dict[str, Pace]:
        """Return the factors that have changed since the last call."""
        news = {}
        for model, changes in self.changes.items():
            old = self.paces.get(model, UNKNOWN_PACE)
            mean = sum(changes) / len(changes)
            if old.measurements >= KNOWN_MEASUREMENTS:
                # Each is a small step towards the same factor, from where all of them stood.
                mean *= (1.0 - (1.0 - NEWEST) ** len(changes)) / NEWEST
            factor = old.factor * min(MOST_CHANGE, max(1.0 / MOST_CHANGE, math.exp(mean)))
            measurements = min(MOST_MEASUREMENTS, old.measurements + len(changes))
            news[model] = Pace(min(MOST_PACE, max(LEAST_PACE, factor)), measurements)
        self.changes.clear()
        self.paces.update(news)
        return news
