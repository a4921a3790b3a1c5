"""Take this entry's own part off the work that all entries have at targets."""

from collections import deque
from collections.abc import Iterable
from collections.abc import Mapping

from mimosaspur_protocol.peermessages import TargetWork
from mimosaspur_state.fleet import OutstandingWork

# Reports that weren't counted yet, at ten and more a second: a coordinator that counts none for so
# many has long been given up.
MAX_PENDING_REPORTS = 256


class ReportedWork:
    """Keep what this entry has reported, and take it off the work that all entries have.

    The coordinator adds up the entries' last reports. What this entry has begun or ended since then
    isn't in the sum: so just what was counted is taken off, not what the entry has now.
    """

    __slots__ = ("own_in_totals", "included_number", "last_number", "pending_reports", "totals")

    def __init__(self) -> None:
        # Counts the reports.
        self.last_number = 0
        self.pending_reports: deque[tuple[int, dict[str, TargetWork]]] = deque(
            maxlen=MAX_PENDING_REPORTS
        )
        # All entries' work as it was last told.
        self.totals: dict[str, TargetWork] = {}
        # This entry's part in it, and the report that it is from.
        self.own_in_totals: Mapping[str, TargetWork] = {}
        self.included_number = 0

    def reset(self) -> None:
        """Forget what a coordinator has told that is no longer followed."""
        self.pending_reports.clear()
        self.totals = {}
        self.own_in_totals = {}

    def add_report(self, work: Iterable[TargetWork]) -> int:
        """Keep a report that is sent now; return its number."""
        self.last_number += 1
        self.pending_reports.append((self.last_number, {each.target: each for each in work}))
        return self.last_number

    def set_included(self, number: int) -> None:
        """Take note which report the sums that are told next count in."""
        self.included_number = number

    def apply_totals(self, told: Iterable[TargetWork]) -> dict[str, OutstandingWork]:
        """Take the sums that have changed; return the others' work where it may have changed."""
        changed = set(self.own_in_totals)
        for total in told:
            self.totals[total.target] = total
            changed.add(total.target)
        while self.pending_reports and self.pending_reports[0][0] <= self.included_number:
            self.own_in_totals = self.pending_reports.popleft()[1]
        changed.update(self.own_in_totals)
        return {target: self.others_work_at(target) for target in changed}

    def others_work_at(self, target: str) -> OutstandingWork:
        """Return the others' work at a target."""
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
