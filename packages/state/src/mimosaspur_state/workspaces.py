"""Describe the workspaces on whose behalf callers ask, and what each of them may ask for."""

from dataclasses import dataclass
from enum import Enum


class QuotaUnit(Enum):
    """Say what a quota counts."""

    REQUESTS = "requests"
    TOKENS = "tokens"


@dataclass(slots=True, frozen=True)
class Quota:
    """Bound what a workspace's callers may ask of all entries together, as a token bucket does."""

    unit: QuotaUnit
    per_s: float
    burst: float
    # What a request without token counts costs where tokens are counted.
    plain_cost: float = 0.0


@dataclass(slots=True, frozen=True)
class Workspace:
    """Describe one workspace; of its API keys only digests are kept."""

    name: str
    credentials: frozenset[bytes]
    # Goes before the route's priority; None leaves that one in force.
    priority: int | None = None
    # None sets no bound.
    quota: Quota | None = None
