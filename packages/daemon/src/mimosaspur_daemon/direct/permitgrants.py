"""Issue permits for targets that name a limit, while this instance coordinates."""

from collections.abc import Callable

from mimosaspur_coordination.limits.permitissuer import PermitIssuer
from mimosaspur_coordination.limits.permitissuer import Permits
from mimosaspur_daemon.direct.targetnotices import TargetNotices
from mimosaspur_daemon.direct.targetnotices import to_demand
from mimosaspur_protocol.peermessages import EntryReport
from mimosaspur_protocol.peermessages import IssuedPermits
from mimosaspur_state.clock import Clock


class PermitGrants:
    """Apply the entries' requests for permits, and return those that are issued."""

    __slots__ = ("issuer", "notices", "queues", "stopped")

    def __init__(
        self, notices: TargetNotices, *, may_issue: Callable[[], bool], clock: Clock
    ) -> None:
        self.notices = notices
        self.stopped = False
        self.issuer = PermitIssuer(clock=clock, may_issue=lambda: not self.stopped and may_issue())
        # Requests that wait at all entries, by target and rank, as last sent.
        self.queues: dict[str, dict[int, int]] = {}
        notices.issuer = self.issuer

    def stop(self) -> None:
        """Issue no more permits."""
        self.stopped = True
        if self.notices.issuer is self.issuer:
            self.notices.issuer = None

    def apply_report(self, report: EntryReport) -> None:
        """Apply what an entry asks for."""
        self.issuer.apply_limits(self.notices.ledger.limits)
        for each in report.permits:
            if each.sent_before:
                self.issuer.on_sent_before(each.target, each.sent_before)
        self.issuer.apply_demand(
            report.instance,
            to_demand(report.permits),
            asked_ms=report.asked_ms,
            received_number=report.permits_number,
        )

    def issue(self) -> dict[str, IssuedPermits]:
        """Return the permits that the limits allow now, by entry."""
        self.issuer.apply_limits(self.notices.ledger.limits)
        return {key: _to_message(permits) for key, permits in self.issuer.issue().items()}

    def expected_waits(self, instance: str) -> IssuedPermits | None:
        """Return how long an entry's requests will wait, None if none waits."""
        permits = self.issuer.expected_waits(instance)
        return _to_message(permits) if permits else None

    def update_queues(self) -> bool:
        """Update the numbers of waiting requests; return whether they have changed."""
        queues = self.issuer.waiting()
        changed = queues != self.queues
        self.queues = queues
        return changed


def _to_message(permits: Permits) -> IssuedPermits:
    return IssuedPermits(
        permits.number, permits.asked_ms, dict(permits.counts), dict(permits.waits_ms)
    )
