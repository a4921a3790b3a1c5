"""Define workspaces, their credentials and their quotas."""

from dataclasses import dataclass
from enum import Enum


class QuotaUnit(Enum):
    """Enumerate the units of quotas."""

    REQUESTS = "requests"
    TOKENS = "tokens"


@dataclass(slots=True, frozen=True)
class Quota:
    """Limit a workspace's use over all entries, as a token bucket."""

    unit: QuotaUnit
    per_s: float
    burst: float
    # Cost in tokens of a request without token counts.
    plain_cost: float = 0.0


@dataclass(slots=True, frozen=True)
class Workspace:
    """Describe one workspace; credentials are digests of its API keys."""

    name: str
    credentials: frozenset[bytes]
    # Overrides the route's priority unless None.
    priority: int | None = None
    # None is unlimited.
    quota: Quota | None = None
    # Relative to the other workspaces', where there isn't room for all; above 0. None if the
    # configuration names none: room is divided only where it names one for some workspace.
    weight: float | None = None
