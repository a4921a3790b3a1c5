"""Combine measurements of a factor by their number, and check those of other processes."""

import math
from dataclasses import dataclass

# The weight of the assumption that an engine is as fast as the others, in measurements.
PRIOR_MEASUREMENTS = 1.5
# Caps the number of measurements, so that later ones keep some weight: early ones may be of models
# whose cost isn't known yet.
MAX_MEASUREMENTS = 40.0
# Bounds of a factor: a value beyond them is not an engine's speed but a wrong measurement.
MIN_FACTOR = 0.1
MAX_FACTOR = 10.0


@dataclass(slots=True, frozen=True)
class Estimate:
    """Hold the mean logarithm of measured factors, and the number of measurements."""

    log_factor: float = 0.0
    measurements: float = 0.0

    def plus(self, other: "Estimate") -> "Estimate":
        """Return the mean of both, weighted by their numbers of measurements."""
        total = self.measurements + other.measurements
        if not total:
            return self
        own_share = self.measurements / total
        mean = own_share * self.log_factor + (1.0 - own_share) * other.log_factor
        return Estimate(mean, min(MAX_MEASUREMENTS, total))

    def confidence(self) -> float:
        """Return the weight of the measurements against the assumption that the factor is 1."""
        return self.measurements / (self.measurements + PRIOR_MEASUREMENTS)

    def shrunk_log(self) -> float:
        """Return the logarithm of the factor, nearer to 0 the fewer measurements there are."""
        return self.confidence() * self.log_factor


UNKNOWN = Estimate()


@dataclass(slots=True, frozen=True)
class Speed:
    """Hold what is known of an engine's speed: how long reading and writing take."""

    prefill: Estimate = UNKNOWN
    decode: Estimate = UNKNOWN

    def plus(self, other: "Speed") -> "Speed":
        """Return the combination of both."""
        return Speed(self.prefill.plus(other.prefill), self.decode.plus(other.decode))

    def is_known(self) -> bool:
        """Return whether there is any measurement."""
        return bool(self.prefill.measurements or self.decode.measurements)

    def measurements(self) -> float:
        """Return the number of all measurements."""
        return self.prefill.measurements + self.decode.measurements


UNKNOWN_SPEED = Speed()


@dataclass(slots=True, frozen=True)
class SpeedUpdate:
    """Describe the measured factors of one lifetime of an engine, to or from another process."""

    target: str
    # The start of the lifetime; 0 if the engine doesn't tell it.
    started_ms: int
    prefill: float
    prefill_measurements: float
    decode: float
    decode_measurements: float

    def speed(self) -> Speed | None:
        """Return the speed, None if a value can't be one."""
        prefill = _estimate(self.prefill, self.prefill_measurements)
        decode = _estimate(self.decode, self.decode_measurements)
        # Without its start, an engine that has restarted can't be told from the earlier lifetime.
        if prefill is None or decode is None or self.started_ms <= 0:
            return None
        return Speed(prefill, decode)


def update_of(target: str, started_ms: int, speed: Speed) -> SpeedUpdate:
    """Return a speed as an update."""
    return SpeedUpdate(
        target,
        started_ms,
        math.exp(speed.prefill.log_factor),
        speed.prefill.measurements,
        math.exp(speed.decode.log_factor),
        speed.decode.measurements,
    )


def _estimate(factor: float, measurements: float) -> Estimate | None:
    if not (math.isfinite(factor) and math.isfinite(measurements)):
        return None
    # The logarithm and back may round beyond a bound.
    if not 0.99 * MIN_FACTOR <= factor <= 1.01 * MAX_FACTOR or measurements < 0.0:
        return None
    return Estimate(math.log(factor), min(MAX_MEASUREMENTS, measurements))
