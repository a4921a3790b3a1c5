"""Draw a target in proportion to the room that is left, where what is known of the load is old.

Addresses many entries that choose at the same moment: between two reports all of them would send to
the target that was the emptiest in the last one, while others idle.
"""

import itertools
import math
import random
from collections import Counter
from collections.abc import Sequence
from typing import TypeVar

from mimosaspur_state.clock import Clock

T = TypeVar("T")

# Cost, speed and target.
Candidate = tuple[float, float, T]

# Added to a cost at random where nothing is spread, so that entries with the same data do not all
# choose the same target.
JITTER_MS = 4.0
# Parts of the jitter in which its probabilities are integrated, to about 1 in 1,000.
JITTER_STEPS = 40
# Limit on the costs from which on these parts are counted: with 40 of them, the probabilities of
# 365 targets took 190 ms, while the entry's requests waited.
MAX_JITTER_STARTS = 5
# A probability that none of the costs is lower yet, beyond which nothing is added.
NEGLIGIBLE = 1e-6
# With fewer entries, what all send between two reports is small against a target's queue.
MIN_ENTRIES = 8
# Entries report this often, so that the totals of a new update are already that old.
REPORT_AGE_MS = 100
# Older information says nothing about the load now: it is spread as if it had this age.
MAX_AGE_MS = 1_000
# The part of the highest age that is spread over: on average, work is sent in the middle between
# two updates.
SPREAD_AGE_SHARE = 1 / 2
# The part of the time to the objective that a longer wait than at the cheapest target may take.
SPREAD_SPARE_SHARE = 1 / 16


class LoadAge:
    """Track the age of what is known of the other entries' work."""

    __slots__ = ("clock", "interval_ms", "updated_ms")

    def __init__(self, *, clock: Clock) -> None:
        self.clock = clock
        self.updated_ms = clock.now_ms()
        # The time between the last two updates.
        self.interval_ms = 0

    def on_update(self) -> None:
        """Record an update of the other entries' work."""
        self.interval_ms = self._since_update_ms()
        self.updated_ms = self.clock.now_ms()

    def age_ms(self) -> int:
        """Return the age of what is known now."""
        return min(MAX_AGE_MS, self._since_update_ms() + REPORT_AGE_MS)

    def highest_age_ms(self) -> int:
        """Return the age that it will have at the next update: until then all entries follow it."""
        return min(MAX_AGE_MS, max(self.interval_ms, self._since_update_ms()) + REPORT_AGE_MS)

    def _since_update_ms(self) -> int:
        # Clocks may jump.
        return max(0, self.clock.now_ms() - self.updated_ms)


def spread_ms(*, entries: int, age_ms: int, spare_ms: float) -> float:
    """Return by how much a target may cost more than the cheapest to be drawn too; 0 for none.

    `age_ms` is the highest age of what is known, `spare_ms` the time left to the request's
    objective.
    """
    if entries < MIN_ENTRIES or spare_ms <= 0:
        return 0.0
    return min(age_ms * SPREAD_AGE_SHARE, spare_ms * SPREAD_SPARE_SHARE)


def draw(candidates: Sequence[Candidate[T]], *, spread: float) -> T | None:
    """Draw among (cost, speed, target); return None without candidates.

    The weight is the room that a target has below the cheapest cost plus the spread, by its speed.
    """
    if not candidates:
        return None
    limit = min(cost for cost, _, _ in candidates) + max(spread, JITTER_MS)
    near = [each for each in candidates if each[0] < limit]
    if spread <= JITTER_MS:
        return min(near, key=lambda each: each[0] + random.random() * JITTER_MS)[2]
    return random.choices(near, _weights(near, spread))[0][2]


def chances(candidates: Sequence[Candidate[T]], *, spread: float) -> list[float]:
    """Return the probability of each candidate to be drawn."""
    if spread <= JITTER_MS:
        return _jitter_chances([cost for cost, _, _ in candidates])
    weights = _weights(candidates, spread)
    total = sum(weights)
    return [weight / total for weight in weights]


def _weights(candidates: Sequence[Candidate[T]], spread: float) -> list[float]:
    limit = min(cost for cost, _, _ in candidates) + spread
    return [max(0.0, limit - cost) * speed for cost, speed, _ in candidates]


def _jitter_chances(costs: Sequence[float]) -> list[float]:
    """Return the probability of each cost to be the lowest with its jitter.

    Integrates, over the jitter of each cost, the probability that all others are higher. All costs
    share the points, as an entry's requests wait meanwhile.
    """
    limit = min(costs, default=0.0) + JITTER_MS
    near = [cost - limit + JITTER_MS for cost in costs if cost < limit]
    sums = [0.0] * len(near)
    for begin, end in itertools.pairwise(_jitter_points(near)):
        at = (begin + end) / 2
        higher = [min(1.0, (cost + JITTER_MS - at) / JITTER_MS) for cost in near]
        all_higher = math.prod(higher)
        if all_higher < NEGLIGIBLE:
            break
        for index, cost in enumerate(near):
            if cost < end:
                sums[index] += all_higher / higher[index] * (end - max(begin, cost))
    total = sum(sums)
    found = iter(sums)
    return [next(found) / total if cost < limit else 0.0 for cost in costs]


def _jitter_points(near: Sequence[float]) -> list[float]:
    """Return points between the lowest cost and the end of its jitter.

    They are dense above costs that several targets have: the lowest of hundreds is close to them.
    """
    steps = [(step / JITTER_STEPS) ** 3 for step in range(JITTER_STEPS + 1)]
    common = Counter(near).most_common(MAX_JITTER_STARTS)
    starts = [cost for cost, count in common if count > 1]
    return sorted(
        {start + (JITTER_MS - start) * step for start in {0.0, *starts} for step in steps}
    )
