"""Observe at an entry what workspaces ask of each service, what is served, and shortages."""

from collections.abc import Container

from mimosaspur_coordination.quota.decayingrate import DecayingRate
from mimosaspur_coordination.shares.division import ServiceUse
from mimosaspur_coordination.shares.division import Use
from mimosaspur_state.clock import Clock

# A service is short for this long after a request has waited for room. One entry gets few requests
# of each kind, so that less would end a shortage between two of them.
SHORTAGE_MS = 1_000
# Below this rate nothing has come for about 15 s; the rates are dropped.
MIN_RATE_PER_S = 0.001


class _Rates:
    __slots__ = ("asked", "served")

    def __init__(self, now_ms: int) -> None:
        self.asked = DecayingRate(now_ms)
        self.served = DecayingRate(now_ms)


class ObservedUse:
    """Observe the use of services at one entry."""

    __slots__ = ("clock", "rates", "short_ms")

    def __init__(self, *, clock: Clock) -> None:
        self.clock = clock
        # By service and workspace.
        self.rates: dict[str, dict[str, _Rates]] = {}
        # When a request last waited for room, by service.
        self.short_ms: dict[str, int] = {}

    def retain(self, workspaces: Container[str]) -> None:
        """Drop the rates of workspaces that are no longer configured."""
        for service, by_workspace in self.rates.items():
            self.rates[service] = {
                name: rates for name, rates in by_workspace.items() if name in workspaces
            }

    def on_asked(self, service: str, workspace: str, tokens: float) -> None:
        """Count a request that a target of the service could run."""
        self._rates(service, workspace).asked.add(tokens, self.clock.now_ms())

    def on_served(self, service: str, workspace: str, tokens: float) -> None:
        """Count a request that a target has begun to answer, whatever the status."""
        self._rates(service, workspace).served.add(tokens, self.clock.now_ms())

    def on_shortage(self, service: str) -> bool:
        """Record that a request waits for room; return whether the service wasn't short before."""
        was_short = self.is_short(service)
        self.short_ms[service] = self.clock.now_ms()
        return not was_short

    def is_short(self, service: str) -> bool:
        """Return whether requests have recently waited for room."""
        at_ms = self.short_ms.get(service)
        return at_ms is not None and 0 <= self.clock.now_ms() - at_ms < SHORTAGE_MS

    def short_services(self) -> list[str]:
        """Return the services that are short of room."""
        return [service for service in self.short_ms if self.is_short(service)]

    def use(self, service: str) -> ServiceUse:
        """Return the use of a service, and drop rates of the past."""
        now_ms = self.clock.now_ms()
        uses = {
            workspace: Use(rates.asked.at(now_ms), rates.served.at(now_ms))
            for workspace, rates in self.rates.get(service, {}).items()
        }
        for workspace, use in list(uses.items()):
            if max(use.asked_per_s, use.served_per_s) < MIN_RATE_PER_S:
                del uses[workspace], self.rates[service][workspace]
        return ServiceUse(self.is_short(service), uses)

    def _rates(self, service: str, workspace: str) -> _Rates:
        by_workspace = self.rates.setdefault(service, {})
        rates = by_workspace.get(workspace)
        if rates is None:
            rates = by_workspace[workspace] = _Rates(self.clock.now_ms())
        return rates
