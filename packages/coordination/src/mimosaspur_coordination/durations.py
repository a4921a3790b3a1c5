"""Foresee how long a request lasts, from how long those of its route have lasted."""

from dataclasses import dataclass

# Weights of the newest measurement in the mean and in the mean deviation, and how many deviations
# are added to the mean: those by which TCP foresees the longest round trip (RFC 6298).
MEAN_WEIGHT = 1 / 8
DEVIATION_WEIGHT = 1 / 4
DEVIATION_MULTIPLIER = 4.0
# Fewer measurements than this say nothing of the longest.
MIN_MEASUREMENTS = 5


@dataclass(slots=True)
class _Estimate:
    """Hold a mean and a mean deviation."""

    mean: float = 0.0
    deviation: float = 0.0
    measurements: int = 0

    def add(self, measured: float) -> None:
        """Take one more measurement."""
        if not self.measurements:
            self.mean = measured
            self.deviation = measured / 2
        else:
            error = abs(measured - self.mean)
            self.deviation += DEVIATION_WEIGHT * (error - self.deviation)
            self.mean += MEAN_WEIGHT * (measured - self.mean)
        self.measurements += 1

    def upper_bound(self) -> float:
        """Return what is seldom passed."""
        return self.mean + DEVIATION_MULTIPLIER * self.deviation


class DurationEstimator:
    """Keep an estimate for each route: of a whole answer, and of a stream's time for each token."""

    __slots__ = ("routes",)

    def __init__(self) -> None:
        self.routes: dict[str, _Estimate] = {}

    def record(self, route: str, duration_ms: float, *, tokens: int) -> None:
        """Take how long an answer took, or a stream of so many expected tokens after its start."""
        self.routes.setdefault(route, _Estimate()).add(duration_ms / max(1, tokens))

    def upper_bound_ms(self, route: str, *, tokens: int) -> float | None:
        """Return how long a request may well last, None if too little is known."""
        estimate = self.routes.get(route)
        if estimate is None or estimate.measurements < MIN_MEASUREMENTS:
            return None
        return estimate.upper_bound() * max(1, tokens)
