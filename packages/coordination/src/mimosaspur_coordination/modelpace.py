"""Estimate the time per prompt token of each model, relative to a reference model."""

import math
from dataclasses import dataclass

# Minimum weight of a new measurement; the first ones weigh more.
LEARNING_RATE = 0.15
# Clips the ratio of a measurement, whose queueing time may have been estimated wrongly.
MAX_CHANGE_RATIO = 4.0
MIN_PACE = 0.03
MAX_PACE = 3.0
# Key of the factor common to all models; it is also the estimate for unmeasured models.
ALL_ENGINES = ""
# Low, so that the models' own factors have a stable reference.
ALL_ENGINES_LEARNING_RATE = 0.005
# Tighter clipping for known paces, as queueing estimates are often wrong under load.
MAX_STEADY_CHANGE_RATIO = 2.0
# Smaller changes are not worth a message.
MIN_REPORTED_CHANGE_SHARE = 0.1
# Measurements after which a pace counts as known.
STEADY_MEASUREMENTS = 5.0
# Caps the count, so that later measurements keep some weight.
MAX_MEASUREMENTS = 200.0


@dataclass(slots=True, frozen=True)
class Pace:
    """Hold a model's factor and the number of measurements behind it."""

    factor: float
    measurements: float


UNKNOWN_PACE = Pace(1.0, 0.0)


class ModelPace:
    """Track a cost factor for all engines and one per model; lower means faster."""

    __slots__ = ("adaptive", "factors", "measurements", "reported")

    def __init__(self, *, adaptive: bool = True) -> None:
        self.adaptive = adaptive
        self.factors: dict[str, float] = {}
        self.measurements: dict[str, float] = {}
        # The factors last sent to or received from the coordinator.
        self.reported: dict[str, float] = {}

    def token_cost(self, model: str) -> float:
        """Return the cost of a model's token in reference tokens."""
        return self.factors.get(ALL_ENGINES, 1.0) * self.factors.get(model, 1.0)

    def factor(self, name: str) -> float:
        """Return the factor of a model or of all engines, 1 until measured."""
        return self.factors.get(name, 1.0)

    def add_measurement(self, model: str, ratio: float, *, share: float) -> float:
        """Update the factors with the ratio of measured to predicted time to first token.

        Return the ratio that is left after the update of the factor common to all engines.

        `share` is the request's own prefill time divided by the predicted time.
        """
        if not self.adaptive:
            return ratio
        model_ratio = ratio / self._update_factor(
            ALL_ENGINES, ratio, share=share, min_weight=ALL_ENGINES_LEARNING_RATE
        )
        self._update_factor(model, model_ratio, share=share, min_weight=LEARNING_RATE)
        return model_ratio

    def _update_factor(self, name: str, ratio: float, *, share: float, min_weight: float) -> float:
        """Move a factor towards a measurement; return the ratio of the new to the old factor."""
        measurements = self.measurements.get(name, 0.0)
        weight = share * max(min_weight, 1.0 / (measurements + 1.0))
        max_ratio = (
            MAX_STEADY_CHANGE_RATIO if measurements >= STEADY_MEASUREMENTS else MAX_CHANGE_RATIO
        )
        old = self.factor(name)
        new = old * min(max_ratio, max(1.0 / max_ratio, ratio)) ** weight
        self.factors[name] = min(MAX_PACE, max(MIN_PACE, new))
        self.measurements[name] = min(MAX_MEASUREMENTS, measurements + share)
        return self.factors[name] / old

    def take_changes(self) -> dict[str, Pace]:
        """Return the paces that changed since the last report, and mark them as reported."""
        changed = {}
        for model, factor in self.factors.items():
            previous = self.reported.get(model, 1.0)
            if abs(factor - previous) > MIN_REPORTED_CHANGE_SHARE * previous:
                changed[model] = Pace(factor, self.measurements[model])
                self.reported[model] = factor
        return changed

    def apply_shared(self, model: str, pace: Pace) -> None:
        """Replace a factor by one that was combined from several processes."""
        self.factors[model] = self.reported[model] = pace.factor
        self.measurements[model] = pace.measurements


class SharedPaces:
    """Combine the factors that several processes have measured."""

    __slots__ = ("paces", "pending_changes")

    def __init__(self) -> None:
        self.paces: dict[str, Pace] = {}
        # Reported changes of the logarithm of each model's factor since the last update.
        self.pending_changes: dict[str, list[float]] = {}

    def add_report(self, model: str, pace: Pace) -> None:
        """Add a factor that another process measured, starting from the shared one."""
        previous = self.paces.get(model, UNKNOWN_PACE)
        self.pending_changes.setdefault(model, []).append(math.log(pace.factor / previous.factor))

    def take_changes(self) -> dict[str, Pace]:
        """Combine the reported changes and return the new factors."""
        changed = {}
        for model, changes in self.pending_changes.items():
            old = self.paces.get(model, UNKNOWN_PACE)
            mean = sum(changes) / len(changes)
            if old.measurements >= STEADY_MEASUREMENTS:
                # Each report is a small step from the same shared factor towards the same value.
                mean *= (1.0 - (1.0 - LEARNING_RATE) ** len(changes)) / LEARNING_RATE
            factor = old.factor * min(MAX_CHANGE_RATIO, max(1.0 / MAX_CHANGE_RATIO, math.exp(mean)))
            measurements = min(MAX_MEASUREMENTS, old.measurements + len(changes))
            changed[model] = Pace(min(MAX_PACE, max(MIN_PACE, factor)), measurements)
        self.pending_changes.clear()
        self.paces.update(changed)
        return changed
