"""Learn the speeds of a service's engines at one entry, from its requests and the shared ones."""

import math
from collections.abc import Iterable
from dataclasses import dataclass

from mimosaspur_coordination.enginespeed.estimate import MAX_FACTOR
from mimosaspur_coordination.enginespeed.estimate import MIN_FACTOR
from mimosaspur_coordination.enginespeed.estimate import UNKNOWN
from mimosaspur_coordination.enginespeed.estimate import UNKNOWN_SPEED
from mimosaspur_coordination.enginespeed.estimate import Estimate
from mimosaspur_coordination.enginespeed.estimate import Speed
from mimosaspur_coordination.enginespeed.estimate import SpeedUpdate
from mimosaspur_coordination.enginespeed.estimate import update_of

# By how much one measurement may differ from what is known, as a factor. An engine that is slow for
# half a second, or whose queue was estimated wrongly, thus changes little; the first measurements
# must reach the factor in a few steps.
MAX_STEADY_RATIO = 2.0
MAX_FIRST_RATIO = 4.0
STEADY_MEASUREMENTS = 5.0
# The mean counts as if this many further engines had the factor 1, so that a single known engine
# isn't the measure of itself.
PRIOR_ENGINES = 1.0
MIN_LOG_FACTOR = math.log(MIN_FACTOR)
MAX_LOG_FACTOR = math.log(MAX_FACTOR)


@dataclass(slots=True)
class _Lifetime:
    """Hold what is known of one lifetime of an engine."""

    started_ms: int
    # From the coordinator.
    shared: Speed = UNKNOWN_SPEED
    # Measured here and reported, but not counted in the shared one yet, as far as is known.
    reported: Speed = UNKNOWN_SPEED
    # Measured here since the last report.
    unreported: Speed = UNKNOWN_SPEED
    # All three together.
    known: Speed = UNKNOWN_SPEED

    def combine(self) -> None:
        self.known = self.shared.plus(self.reported).plus(self.unreported)


class EngineSpeeds:
    """Hold the speeds of the engines of one service, by the engines' identities.

    The load: up to 365 engines, and the requests and streams of one entry.
    """

    __slots__ = ("lifetimes", "mean_decode", "mean_prefill", "means_outdated")

    def __init__(self) -> None:
        self.lifetimes: dict[str, _Lifetime] = {}
        # The mean logarithms that factors are relative to.
        self.mean_prefill = 0.0
        self.mean_decode = 0.0
        # They are computed when they are needed: an update changes many engines at once.
        self.means_outdated = False

    def start(self, target: str, started_ms: int) -> None:
        """Begin a lifetime of an engine, of which nothing is known."""
        self.lifetimes[target] = _Lifetime(started_ms)
        self.means_outdated = True

    def end(self, target: str) -> None:
        """Drop what is known of an engine whose lifetime has ended."""
        self.lifetimes.pop(target, None)
        self.means_outdated = True

    def factors(self, target: str) -> tuple[float, float]:
        """Return an engine's factors for prefill and decode, 1 if unknown."""
        lifetime = self.lifetimes.get(target)
        if lifetime is None:
            return 1.0, 1.0
        self._update_means()
        known = lifetime.known
        return (
            _relative_factor(known.prefill, self.mean_prefill),
            _relative_factor(known.decode, self.mean_decode),
        )

    def is_steady(self, target: str) -> bool:
        """Return whether an engine's time to read prompts is known well."""
        lifetime = self.lifetimes.get(target)
        return bool(lifetime and lifetime.known.prefill.measurements >= STEADY_MEASUREMENTS)

    def add_prefill(self, target: str, ratio: float, *, weight: float) -> None:
        """Add the ratio of measured to predicted time to first token, at the present factor."""
        self._add(target, prefill_ratio=ratio, weight=weight)

    def add_decode(self, target: str, ratio: float) -> None:
        """Add the ratio of measured to predicted time between events, at the present factor."""
        self._add(target, decode_ratio=ratio, weight=1.0)

    def _add(
        self,
        target: str,
        *,
        prefill_ratio: float | None = None,
        decode_ratio: float | None = None,
        weight: float,
    ) -> None:
        lifetime = self.lifetimes.get(target)
        if lifetime is None or not weight > 0.0:
            return
        self._update_means()
        known = lifetime.known
        lifetime.unreported = lifetime.unreported.plus(
            Speed(
                _measurement(known.prefill, prefill_ratio, self.mean_prefill, weight),
                _measurement(known.decode, decode_ratio, self.mean_decode, weight),
            )
        )
        lifetime.combine()
        self.means_outdated = True

    def apply_shared(self, update: SpeedUpdate) -> bool:
        """Apply the coordinator's combined speed of an engine; return whether it was used."""
        lifetime = self.lifetimes.get(update.target)
        speed = update.speed()
        if lifetime is None or speed is None or lifetime.started_ms != update.started_ms:
            return False
        lifetime.shared = speed
        lifetime.reported = UNKNOWN_SPEED
        lifetime.combine()
        self.means_outdated = True
        return True

    def take_all(self) -> list[SpeedUpdate]:
        """Return what a new coordinator needs to know; later reports add to it."""
        return [
            update_of(target, lifetime.started_ms, speed)
            for target, lifetime in self.lifetimes.items()
            if lifetime.started_ms and (speed := lifetime.shared.plus(lifetime.reported)).is_known()
        ]

    def take_unreported(self) -> list[SpeedUpdate]:
        """Return what was measured since the last report, and mark it as reported."""
        updates = []
        for target, lifetime in self.lifetimes.items():
            if lifetime.started_ms and lifetime.unreported.is_known():
                updates.append(update_of(target, lifetime.started_ms, lifetime.unreported))
                lifetime.reported = lifetime.reported.plus(lifetime.unreported)
                lifetime.unreported = UNKNOWN_SPEED
        return updates

    def _update_means(self) -> None:
        if not self.means_outdated:
            return
        self.means_outdated = False
        lifetimes = self.lifetimes.values()
        self.mean_prefill = _mean_log(each.known.prefill for each in lifetimes)
        self.mean_decode = _mean_log(each.known.decode for each in lifetimes)


def _mean_log(estimates: Iterable[Estimate]) -> float:
    """Return the mean logarithm of the engines' factors, weighted by how well they are known."""
    total, weight = 0.0, PRIOR_ENGINES
    for each in estimates:
        confidence = each.confidence()
        total += confidence * each.log_factor
        weight += confidence
    return total / weight


def _relative_factor(estimate: Estimate, mean_log: float) -> float:
    return math.exp(estimate.confidence() * (estimate.log_factor - mean_log))


def _measurement(known: Estimate, ratio: float | None, mean_log: float, weight: float) -> Estimate:
    """Return a measurement of the factor; its ratio is relative to the factor in force."""
    if ratio is None or not math.isfinite(ratio) or ratio <= 0.0:
        return UNKNOWN
    steady = known.measurements >= STEADY_MEASUREMENTS
    most = math.log(MAX_STEADY_RATIO if steady else MAX_FIRST_RATIO)
    measured = known.confidence() * (known.log_factor - mean_log) + math.log(ratio)
    clipped = min(known.log_factor + most, max(known.log_factor - most, measured))
    return Estimate(min(MAX_LOG_FACTOR, max(MIN_LOG_FACTOR, clipped)), weight)
