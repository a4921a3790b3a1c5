"""Define the entries of the platform's instance list."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Instance:
    """Describe one instance as listed; the list may be stale."""

    name: str
    role: str
    address: str
    region: str
    failure_domain: str
    leaving: bool
