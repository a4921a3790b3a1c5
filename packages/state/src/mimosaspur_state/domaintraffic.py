"""Count the bytes that an entry exchanges with other failure domains, by purpose."""

from enum import Enum

from mimosaspur_state.counters import Counters


class TrafficPurpose(Enum):
    """Enumerate what traffic between failure domains is for."""

    REQUESTS = "requests"
    ANSWERS = "answers"
    ENTRY_REPORTS = "entry_reports"
    COORDINATOR_REPORTS = "coordinator_reports"


class DomainTraffic:
    """Count the bytes on connections to targets and entries in other failure domains.

    Overhead of the transport layer isn't included.
    """

    __slots__ = ("counters", "failure_domain")

    def __init__(self, failure_domain: str, counters: Counters) -> None:
        self.failure_domain = failure_domain
        self.counters = counters

    def add_sent(self, purpose: TrafficPurpose, peer_domain: str, count: int) -> None:
        """Count bytes sent to a peer; an empty domain is unknown and isn't counted."""
        self._add(purpose, peer_domain, "sent", count)

    def add_received(self, purpose: TrafficPurpose, peer_domain: str, count: int) -> None:
        """Count bytes received from a peer; an empty domain is unknown and isn't counted."""
        self._add(purpose, peer_domain, "received", count)

    def _add(self, purpose: TrafficPurpose, peer_domain: str, direction: str, count: int) -> None:
        if count and peer_domain and peer_domain != self.failure_domain:
            self.counters.add_cross_domain_bytes(purpose.value, direction, count)
