"""Describe the instances that the platform's instance list shows."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Instance:
    """Hold one instance as listed; the list lags behind the truth."""

    name: str
    role: str
    address: str
    region: str
    failure_domain: str
    leaving: bool
