"""Define workspaces, their credentials and their quotas."""

from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import replace
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


def with_weights_of(
    workspaces: Iterable[Workspace], others: Iterable[Workspace]
) -> tuple[Workspace, ...]:
    """Return workspaces, with the weights that only the others of the same version have.

    An entry of an earlier version passes a configuration on without them.
    """
    weights = {each.name: each.weight for each in others}
    return tuple(
        replace(each, weight=weights.get(each.name)) if each.weight is None else each
        for each in workspaces
    )
