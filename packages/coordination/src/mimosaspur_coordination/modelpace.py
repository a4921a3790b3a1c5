"""Learn how long engines take over a token of each model, beside one of a common model."""

# Weight of the newest measurement once some are known; the first ones count for more.
NEWEST = 0.15
# One measurement says no more than this many times more or less: the queue may have been misjudged.
MOST_CHANGE = 4.0
LEAST_PACE = 0.03
MOST_PACE = 3.0


class ModelPace:
    """Keep a factor for each model: 1 until measured, less for a model that is read faster."""

    __slots__ = ("measurements", "paces")

    def __init__(self) -> None:
        self.paces: dict[str, float] = {}
        self.measurements: dict[str, float] = {}

    def of(self, model: str) -> float:
        """Return a model's factor."""
        return self.paces.get(model, 1.0)

    def learn(self, model: str, ratio: float, *, share: float) -> None:
        """Take a time to a first token, as measured over predicted.

        `share` is the part of the predicted time in which the model itself was read.
        """
        known = self.measurements.get(model, 0.0)
        weight = share * max(NEWEST, 1.0 / (known + 1.0))
        factor = min(MOST_CHANGE, max(1.0 / MOST_CHANGE, ratio)) ** weight
        self.paces[model] = min(MOST_PACE, max(LEAST_PACE, self.of(model) * factor))
        self.measurements[model] = known + share
