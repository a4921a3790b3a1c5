"""Foresee how long a request lasts, from how long those of its route have lasted."""

from dataclasses import dataclass

# Weights of the newest measurement in the mean and in the mean deviation, and how many deviations
# are added to the mean: those by which TCP foresees the longest round trip (RFC 6298).
NEWEST_MEAN = 1 / 8
NEWEST_DEVIATION = 1 / 4
DEVIATIONS = 4.0
# Fewer measurements than this say nothing of the longest.
KNOWN_MEASUREMENTS = 5


@dataclass(slots=True)
class _Estimate:
    """Hold a mean and a mean deviation."""

    mean: float = 0.0
    deviation: float = 0.0
    measurements: int = 0

    def learn(self, measured: float) -> None:
        """Take one more measurement."""
        if not self.measurements:
            self.mean = measured
            self.deviation = measured / 2
        else:
            error = abs(measured - self.mean)
            self.deviation += NEWEST_DEVIATION * (error - self.deviation)
            self.mean += NEWEST_MEAN * (measured - self.mean)
        self.measurements += 1

    def longest(self) -> float:
        """Return what is seldom passed."""
        return self.mean + DEVIATIONS * self.deviation


class Durations:
    """Keep an estimate for each route: of a whole answer, and of a stream's time for each token."""

    __slots__ = ("routes",)

    def __init__(self) -> None:
        self.routes: dict[str, _Estimate] = {}

    def learn(self, route: str, duration_ms: float, *, tokens: int) -> None:
        """Take how long an answer took, or a stream of so many expected tokens after its start."""
        self.routes.setdefault(route, _Estimate()).learn(duration_ms / max(1, tokens))

    def longest_ms(self, route: str, *, tokens: int) -> float | None:
        """Return how long a request may well last, None if too little is known."""
        estimate = self.routes.get(route)
        if estimate is None or estimate.measurements < KNOWN_MEASUREMENTS:
            return None
        return estimate.longest() * max(1, tokens)
