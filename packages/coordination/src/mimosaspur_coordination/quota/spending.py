"""Define the quota data exchanged between entries and the coordinator."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Spending:
    """Hold what one entry spent and refused of a workspace's quota since its last report."""

    workspace: str
    spent: float
    refused: float


@dataclass(slots=True, frozen=True)
class Remaining:
    """Hold what is left of a workspace's quota over all entries, and the demand per second."""

    workspace: str
    content: float
    asked_per_s: float
