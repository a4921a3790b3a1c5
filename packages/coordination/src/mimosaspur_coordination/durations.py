"""Estimate request durations per route from measured ones."""

from dataclasses import dataclass

# Weights of the newest measurement in the mean and in the mean deviation, and the number of
# deviations added to the mean: the parameters of TCP's retransmission timeout (RFC 6298).
MEAN_WEIGHT = 1 / 8
DEVIATION_WEIGHT = 1 / 4
DEVIATION_MULTIPLIER = 4.0
# An upper bound from fewer measurements is unreliable.
MIN_MEASUREMENTS = 5


@dataclass(slots=True)
class _Estimate:
    """Track a moving mean and mean deviation."""

    mean: float = 0.0
    deviation: float = 0.0
    measurements: int = 0

    def add(self, measurement: float) -> None:
        """Update the estimate with a measurement."""
        if not self.measurements:
            self.mean = measurement
            self.deviation = measurement / 2
        else:
            error = abs(measurement - self.mean)
            self.deviation += DEVIATION_WEIGHT * (error - self.deviation)
            self.mean += MEAN_WEIGHT * (measurement - self.mean)
        self.measurements += 1

    def upper_bound(self) -> float:
        """Return a value that measurements rarely exceed."""
        return self.mean + DEVIATION_MULTIPLIER * self.deviation


class DurationEstimator:
    """Estimate per route the duration of a response, or of a stream per expected token."""

    __slots__ = ("routes",)

    def __init__(self) -> None:
        self.routes: dict[str, _Estimate] = {}

    def record(self, route: str, duration_ms: float, *, tokens: int) -> None:
        """Record the duration of a response, or of a stream after its first token."""
        self.routes.setdefault(route, _Estimate()).add(duration_ms / max(1, tokens))

    def upper_bound_ms(self, route: str, *, tokens: int) -> float | None:
        """Return an upper bound of a request's duration, None with too few measurements."""
        estimate = self.routes.get(route)
        if estimate is None or estimate.measurements < MIN_MEASUREMENTS:
            return None
        return estimate.upper_bound() * max(1, tokens)
