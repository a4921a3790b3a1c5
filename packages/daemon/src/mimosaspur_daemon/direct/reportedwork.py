"""Subtract this entry's own work from the totals that the coordinator sends."""

from collections import deque
from collections.abc import Iterable
from collections.abc import Mapping

from mimosaspur_protocol.peermessages import TargetWork
from mimosaspur_state.fleet import OutstandingWork

# Reports not yet included in the totals. At ten or more a second, a coordinator that falls this far
# behind has long been replaced.
MAX_PENDING_REPORTS = 256


class ReportedWork:
    """Track this entry's reports and subtract the included one from the coordinator's totals.

    The totals are sums of the entries' last reports. Work begun or ended since isn't in them, so
    exactly the report that was included must be subtracted, not the current work.
    """

    __slots__ = ("included_number", "last_number", "own_in_totals", "pending_reports", "totals")

    def __init__(self) -> None:
        # Number of the last report.
        self.last_number = 0
        self.pending_reports: deque[tuple[int, dict[str, TargetWork]]] = deque(
            maxlen=MAX_PENDING_REPORTS
        )
        # Work of all entries, as last received.
        self.totals: dict[str, TargetWork] = {}
        # This entry's share of the totals, and the number of the report that it is from.
        self.own_in_totals: Mapping[str, TargetWork] = {}
        self.included_number = 0

    def reset(self) -> None:
        """Discard the state received from a coordinator that is no longer followed."""
        self.pending_reports.clear()
        self.totals = {}
        self.own_in_totals = {}

    def add_report(self, work: Iterable[TargetWork]) -> int:
        """Store a report that is being sent; return its number."""
        self.last_number += 1
        self.pending_reports.append((self.last_number, {each.target: each for each in work}))
        return self.last_number

    def set_included(self, number: int) -> None:
        """Set the number of the report that the next totals include."""
        self.included_number = number

    def apply_totals(self, updates: Iterable[TargetWork]) -> dict[str, OutstandingWork]:
        """Apply changed totals; return the other entries' work where it may have changed."""
        changed = set(self.own_in_totals)
        for total in updates:
            self.totals[total.target] = total
            changed.add(total.target)
        while self.pending_reports and self.pending_reports[0][0] <= self.included_number:
            self.own_in_totals = self.pending_reports.popleft()[1]
        changed.update(self.own_in_totals)
        return {target: self.others_work_at(target) for target in changed}

    def others_work_at(self, target: str) -> OutstandingWork:
        """Return the other entries' work at a target."""
        total = self.totals.get(target)
        if total is None:
            return OutstandingWork()
        unread: dict[int, float] = dict(total.prefill_tokens)
        own = self.own_in_totals.get(target)
        if own is None:
            return OutstandingWork(total.requests, unread, total.held_tokens)
        for rank, tokens in own.prefill_tokens.items():
            unread[rank] = unread.get(rank, 0) - tokens
        requests = total.requests - own.requests
        return OutstandingWork(requests, unread, total.held_tokens - own.held_tokens)
