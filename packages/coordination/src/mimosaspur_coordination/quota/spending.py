"""Say what entries tell the coordinator of quotas, and what it tells them."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Spending:
    """Hold what one entry spent of a workspace's quota since its last report, and refused."""

    workspace: str
    spent: float
    refused: float


@dataclass(slots=True, frozen=True)
class Remaining:
    """Hold what is left of a workspace's quota over all entries, and what a second asks of it."""

    workspace: str
    content: float
    asked_per_s: float
