"""Draw the faults of a soak from its seed."""

import random
from collections.abc import Sequence
from dataclasses import dataclass

# Until then entries and connections settle, and after the last fault service comes back.
FIRST_FAULT_S = 3.0
QUIET_END_S = 5.0
MEAN_GAP_S = 1.1
CALLERS = 120
# Each fault with its weight and the bounds of its length in seconds.
FAULTS: dict[str, tuple[float, float, float]] = {
    "term one": (3, 0.0, 0.0),
    "term half": (1, 0.0, 0.0),
    "roll": (1, 0.0, 0.0),
    "hup": (3, 0.0, 0.0),
    "configure": (3, 0.0, 0.0),
    "kill one": (2, 0.0, 0.0),
    "kill half": (1, 0.0, 0.0),
    "kill all": (1, 0.0, 0.0),
    "stall one": (5, 0.02, 6.0),
    "stall all": (2, 0.02, 1.0),
    "links reset": (2, 0.0, 0.0),
    "requests cut off": (1, 0.02, 3.0),
    "answers cut off": (1, 0.02, 3.0),
    "store down": (1, 0.3, 6.0),
    "store slow": (1, 0.5, 5.0),
    "store silent": (1, 0.3, 4.0),
    "store restored": (1, 0.0, 0.0),
    "target crash": (2, 0.5, 2.0),
    "target leaves": (2, 2.5, 4.0),
    "target drains": (2, 2.5, 4.0),
    "target silent": (2, 0.3, 3.0),
    "target limited": (2, 3.0, 8.0),
    "target rests": (2, 0.5, 4.0),
    "version change": (2, 0.0, 0.0),
    "version change, kill all": (2, 0.0, 3.5),
    "releases, kill all": (1, 0.3, 2.5),
    "cut off, version change": (2, 0.2, 4.5),
    "cut off long, version change": (3, 4.5, 6.0),
    "frozen, version change": (2, 0.2, 6.0),
    "odd registration": (2, 1.0, 6.0),
    "busy": (1, 2.0, 8.0),
}
MAX_ENTRIES = 6
MIN_ENTRIES = 3


@dataclass(slots=True, frozen=True)
class Step:
    """Describe a fault; `pick` between 0 and 1 chooses what it hits."""

    at_s: float
    fault: str
    length_s: float
    pick: float


@dataclass(slots=True, frozen=True)
class Schedule:
    """Describe what one soak plays."""

    seed: int
    seconds: float
    entries: int
    callers: int
    steps: tuple[Step, ...]


def draw_schedule(
    seed: int,
    seconds: float,
    *,
    entries: int = 0,
    callers: int = CALLERS,
    only: Sequence[str] = tuple(FAULTS),
    gap_s: float = MEAN_GAP_S,
) -> Schedule:
    """Return the schedule of a seed; without a number of entries the seed draws it."""
    chance = random.Random(seed)
    drawn = chance.randint(MIN_ENTRIES, MAX_ENTRIES)
    steps = []
    at_s = FIRST_FAULT_S
    while at_s < seconds - QUIET_END_S:
        steps.append(_draw_step(chance, at_s, only))
        at_s += chance.expovariate(1 / gap_s)
    return Schedule(seed, seconds, entries or drawn, callers, tuple(steps))


def _draw_step(chance: random.Random, at_s: float, only: Sequence[str]) -> Step:
    fault = chance.choices(only, [FAULTS[each][0] for each in only])[0]
    _, shortest, longest = FAULTS[fault]
    # Most lengths are short, in the order of the entries' own timers.
    length_s = shortest + (longest - shortest) * chance.random() ** 2
    return Step(at_s, fault, length_s, chance.random())
