"""Issue the shares of a service's room at the coordinator, while entries observe a shortage.

Addresses a workspace that asks for several times its usual demand, at up to 360 entries. Without a
shortage entries report nothing, and nothing is issued.
"""

from collections.abc import Iterable
from collections.abc import Mapping

from mimosaspur_coordination.shares.division import ServiceUse
from mimosaspur_coordination.shares.division import Share
from mimosaspur_coordination.shares.division import Shares
from mimosaspur_coordination.shares.division import Use
from mimosaspur_coordination.shares.division import divide_room
from mimosaspur_state.clock import Clock

# Shortest time between two divisions. Rates are averaged over 2 s, so that less tells little more.
ISSUE_INTERVAL_MS = 250
# Smaller changes of a share or of a demand aren't worth a message.
MIN_CHANGE_SHARE = 0.1


class ShareIssuer:
    """Add up what entries observe, and issue the shares of limited workspaces."""

    __slots__ = ("clock", "divided_ms", "issued", "uses")

    def __init__(self, *, clock: Clock) -> None:
        self.clock = clock
        # By entry and service, as last reported.
        self.uses: dict[str, Mapping[str, ServiceUse]] = {}
        # As last sent.
        self.issued: Shares = {}
        self.divided_ms: int | None = None

    def apply_use(self, instance: str, uses: Mapping[str, ServiceUse]) -> None:
        """Set what an entry observes; a later report replaces an earlier one as a whole."""
        self.uses[instance] = uses

    def on_link_changed(self, instance: str) -> None:
        """Drop what was known of an entry, whose link is new or has ended."""
        self.uses.pop(instance, None)

    def take_changes(self, weights: Mapping[str, float]) -> Shares | None:
        """Return all shares if they have changed since they were sent, or None.

        A service without limited workspaces is named while it is short, so that all entries report
        its use.
        """
        now_ms = self.clock.now_ms()
        if self.divided_ms is not None and 0 <= now_ms - self.divided_ms < ISSUE_INTERVAL_MS:
            return None
        short = self._short_services() if weights else set()
        if short:
            self.divided_ms = now_ms
        shares = {service: divide_room(self._total(service), weights) for service in short}
        if not _differs(self.issued, shares):
            return None
        self.issued = shares
        return shares

    def _short_services(self) -> set[str]:
        return {
            service for uses in self.uses.values() for service, each in uses.items() if each.short
        }

    def _total(self, service: str) -> dict[str, Use]:
        """Return the use of a service by workspace over all entries."""
        total: dict[str, Use] = {}
        reported = (uses[service] for uses in self.uses.values() if service in uses)
        for each in reported:
            for workspace, use in each.by_workspace.items():
                known = total.get(workspace, Use(0.0, 0.0))
                total[workspace] = Use(
                    known.asked_per_s + use.asked_per_s, known.served_per_s + use.served_per_s
                )
        return total


def _differs(old: Shares, new: Shares) -> bool:
    if old.keys() != new.keys():
        return True
    return any(_shares_differ(old[service], new[service]) for service in new)


def _shares_differ(old: Mapping[str, Share], new: Mapping[str, Share]) -> bool:
    if old.keys() != new.keys():
        return True
    pairs: Iterable[tuple[Share, Share]] = ((old[name], each) for name, each in new.items())
    return any(
        abs(after - before) > MIN_CHANGE_SHARE * before
        for was, now in pairs
        for before, after in ((was.per_s, now.per_s), (was.asked_per_s, now.asked_per_s))
    )
