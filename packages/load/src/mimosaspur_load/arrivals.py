"""Draw what callers ask for, and when, from a seed."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

import numpy as np

WORK_SEEDS = (11, 12, 13, 14, 15, 16, 17, 18)
"""Seeds for tuning."""
FINAL_SEEDS = (901, 902, 903, 904, 905, 906, 907, 908)
"""Seeds for figures that go into a page; nothing may be tuned on them."""

ZIPF_EXPONENT = 0.9
SERVICE_SHARE = 0.1
STREAM_SHARE = 0.8
URGENT_SHARE = 0.25
URGENT = 1
USUAL = 5
TOKENS_MEDIAN = 30
TOKENS_SPREAD = 0.6
TOKENS_LIMITS = (4, 120)
DEADLINE_MS = 1500
DEADLINE_TOKEN_MS = 50
SERVICE_DEADLINE_MS = 2000
MS_PER_SECOND = 1000

Rate = Callable[[float], float]
Weights = Callable[[float], np.ndarray]


class Kind(Enum):
    """Name what a caller asks for."""

    CHAT = "chat"
    SERVICE = "service"


@dataclass(slots=True, frozen=True)
class Arrival:
    """Describe one request, due `at_ms` after the start; its deadline counts from then."""

    number: int
    at_ms: float
    kind: Kind
    name: str
    content: str
    max_tokens: int
    stream: bool
    priority: int
    deadline_ms: int
    entry: int


@dataclass(slots=True, frozen=True)
class Demand:
    """Give the rate and each name's weight over a run, by the share of it that has passed."""

    rate: Rate
    weights: Weights
    peak: float


def zipf(count: int) -> np.ndarray:
    """Return the weights of names by rank, which sum to 1."""
    weights = 1 / np.arange(1, count + 1) ** ZIPF_EXPONENT
    return np.asarray(weights / weights.sum())


def draw(
    demand: Demand, names: list[str], *, seconds: float, seed: int, service: str
) -> list[Arrival]:
    """Draw a run's arrivals: Poisson at the peak rate, thinned to the rate of each moment."""
    random = np.random.default_rng(seed)
    # Which names are popular changes with the seed.
    shuffled = [names[index] for index in random.permutation(len(names))]
    arrivals: list[Arrival] = []
    at_s = 0.0
    while (at_s := at_s + random.exponential(1 / demand.peak)) < seconds:
        passed = at_s / seconds
        if random.random() * demand.peak < demand.rate(passed):
            weights = demand.weights(passed)
            name = shuffled[int(random.choice(len(shuffled), p=weights))]
            arrivals.append(_arrival(random, len(arrivals), at_s, name, seed, service))
    return arrivals


def _arrival(
    random: np.random.Generator, number: int, at_s: float, name: str, seed: int, service: str
) -> Arrival:
    is_service = random.random() < SERVICE_SHARE
    tokens = _tokens(random)
    deadline_ms = DEADLINE_MS + DEADLINE_TOKEN_MS * tokens
    return Arrival(
        number=number,
        at_ms=at_s * MS_PER_SECOND,
        kind=Kind.SERVICE if is_service else Kind.CHAT,
        name=service if is_service else name,
        content=f"request {seed}-{number}",
        max_tokens=tokens,
        stream=not is_service and bool(random.random() < STREAM_SHARE),
        priority=URGENT if random.random() < URGENT_SHARE else USUAL,
        deadline_ms=SERVICE_DEADLINE_MS if is_service else deadline_ms,
        entry=int(random.integers(1 << 16)),
    )


def _tokens(random: np.random.Generator) -> int:
    drawn = TOKENS_MEDIAN * np.exp(TOKENS_SPREAD * random.standard_normal())
    return int(np.clip(drawn, *TOKENS_LIMITS))
