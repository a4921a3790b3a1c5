"""Define the load that a target reports."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Load:
    """Hold a target's load; predicted_wait_ms is for a request that arrives now."""

    active: int
    queued: int
    slots: int
    predicted_wait_ms: int
