"""Describe a target's load."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Load:
    """Report a target's load; predicted_wait_ms is for a request that came now."""

    active: int
    queued: int
    slots: int
    predicted_wait_ms: int
