"""Learn how long engines take over a token of each model, beside one of a common model."""

import math
from dataclasses import dataclass

# Weight of the newest measurement once some are known; the first ones count for more.
LEARNING_RATE = 0.15
# One measurement says no more than this many times more or less: the queue may have been misjudged.
MAX_CHANGE_RATIO = 4.0
MIN_PACE = 0.03
MAX_PACE = 3.0
# What all models have in common, the engines' own speed, stands under this name. A model that
# nobody has measured is taken to cost as much.
ALL_ENGINES = ""
# It moves little once it is known, so that what models differ by has something to stand on.
ALL_ENGINES_LEARNING_RATE = 0.005
# A known pace moves by a tenth at most with one measurement: under load queues are misjudged often.
MAX_STEADY_CHANGE_RATIO = 2.0
# What differs by less than this part isn't worth a message.
MIN_REPORTED_CHANGE_SHARE = 0.1
# From so many measurements on, each further one is a small step.
STEADY_MEASUREMENTS = 5.0
# No more measurements than this are counted, so that late ones keep their weight.
MAX_MEASUREMENTS = 200.0


@dataclass(slots=True, frozen=True)
class Pace:
    """Hold a model's factor and how many measurements it rests on."""

    factor: float
    measurements: float


UNKNOWN_PACE = Pace(1.0, 0.0)


class ModelPace:
    """Keep a factor for all engines and one for each model, less for what is read faster."""

    __slots__ = ("adaptive", "measurements", "factors", "reported")

    def __init__(self, *, adaptive: bool = True) -> None:
        self.adaptive = adaptive
        self.factors: dict[str, float] = {}
        self.measurements: dict[str, float] = {}
        # The factors as this process last told or was told them.
        self.reported: dict[str, float] = {}

    def token_cost(self, model: str) -> float:
        """Return what a model's token costs, in tokens of a common model on a common engine."""
        return self.factor(ALL_ENGINES) * self.factor(model)

    def factor(self, name: str) -> float:
        """Return the factor of a model, or of the engines; 1 until measured."""
        return self.factors.get(name, 1.0)

    def add_measurement(self, model: str, ratio: float, *, share: float) -> None:
        """Take a time to a first token, as measured over predicted.

        `share` is the part of the predicted time in which the model itself was read.
        """
        if not self.adaptive:
            return
        left = ratio / self._update_factor(
            ALL_ENGINES, ratio, share=share, newest=ALL_ENGINES_LEARNING_RATE
        )
        self._update_factor(model, left, share=share, newest=LEARNING_RATE)

    def _update_factor(self, name: str, ratio: float, *, share: float, newest: float) -> float:
        """Move a factor towards a measured one; return by how much it moved."""
        known = self.measurements.get(name, 0.0)
        weight = share * max(newest, 1.0 / (known + 1.0))
        most = MAX_STEADY_CHANGE_RATIO if known >= STEADY_MEASUREMENTS else MAX_CHANGE_RATIO
        old = self.factor(name)
        new = old * min(most, max(1.0 / most, ratio)) ** weight
        self.factors[name] = min(MAX_PACE, max(MIN_PACE, new))
        self.measurements[name] = min(MAX_MEASUREMENTS, known + share)
        return self.factors[name] / old

    def take_changes(self) -> dict[str, Pace]:
        """Return the models whose factors have changed since they were last told."""
        news = {}
        for model, factor in self.factors.items():
            told = self.reported.get(model, 1.0)
            if abs(factor - told) > MIN_REPORTED_CHANGE_SHARE * told:
                news[model] = Pace(factor, self.measurements[model])
                self.reported[model] = factor
        return news

    def apply_shared(self, model: str, pace: Pace) -> None:
        """Take a factor that rests on the measurements of other processes too."""
        self.factors[model] = self.reported[model] = pace.factor
        self.measurements[model] = pace.measurements


class SharedPaces:
    """Put together the factors that several processes have learnt."""

    __slots__ = ("pending_changes", "paces")

    def __init__(self) -> None:
        self.paces: dict[str, Pace] = {}
        # What was heard of each model since it was last told: changes of its factor's logarithm.
        self.pending_changes: dict[str, list[float]] = {}

    def add_report(self, model: str, pace: Pace) -> None:
        """Take a factor that another process has learnt, starting from the one it was told."""
        told = self.paces.get(model, UNKNOWN_PACE)
        self.pending_changes.setdefault(model, []).append(math.log(pace.factor / told.factor))

    def take_changes(self) -> dict[str, Pace]:
        """Return the factors that have changed since the last call."""
        news = {}
        for model, changes in self.pending_changes.items():
            old = self.paces.get(model, UNKNOWN_PACE)
            mean = sum(changes) / len(changes)
            if old.measurements >= STEADY_MEASUREMENTS:
                # Each is a small step towards the same factor, from where all of them stood.
                mean *= (1.0 - (1.0 - LEARNING_RATE) ** len(changes)) / LEARNING_RATE
            factor = old.factor * min(MAX_CHANGE_RATIO, max(1.0 / MAX_CHANGE_RATIO, math.exp(mean)))
            measurements = min(MAX_MEASUREMENTS, old.measurements + len(changes))
            news[model] = Pace(min(MAX_PACE, max(MIN_PACE, factor)), measurements)
        self.pending_changes.clear()
        self.paces.update(news)
        return news
