"""Account for the entries' spending at the coordinator, and report what remains of quotas."""

from collections.abc import Iterable

from mimosaspur_coordination.quota.ledger import QuotaLedger
from mimosaspur_coordination.quota.spending import Remaining
from mimosaspur_coordination.quota.spending import Spending
from mimosaspur_daemon.direct.entrystate import EntryState
from mimosaspur_protocol.peermessages import EntryReport
from mimosaspur_protocol.peermessages import QuotaRemaining

# By then all entries that can reach a new coordinator follow it.
FOLLOW_GRACE_MS = 1_500


class QuotaAccounting:
    """Account for the quotas of the configuration in force while this instance coordinates."""

    __slots__ = (
        "expected_entries",
        "ledger",
        "predecessor_report_ms",
        "started_ms",
        "state",
        "version",
    )

    def __init__(self, state: EntryState) -> None:
        self.state = state
        self.ledger = QuotaLedger(state.settings.quotas, clock=state.clock)
        # The version of the configuration whose quotas are counted.
        self.version = 0
        self.started_ms = state.clock.now_ms()
        limiter = state.quotas
        # How many entries the last coordinator reported, until missing ones are accounted for.
        self.expected_entries = limiter.entries if limiter.has_update() else 0
        self.predecessor_report_ms = limiter.last_update_ms

    def apply_report(self, report: EntryReport, *, first: bool) -> None:
        """Apply an entry's spending; its first report covers the time before it followed."""
        self._configure()
        spendings = [Spending(each.workspace, each.spent, each.refused) for each in report.quotas]
        self.ledger.record_spending(report.instance, spendings, first=first)

    def on_entry_lost(self, instance: str, *, entries: int, last_report_ms: int) -> None:
        """Account for an entry that no longer reports but may go on spending."""
        silent_ms = self.state.clock.now_ms() - last_report_ms
        self.ledger.on_disconnect(instance, entries=entries, silent_ms=silent_ms)

    def changed_remaining(self, members: int) -> list[QuotaRemaining]:
        """Return what remains of the quotas where entries assume another amount."""
        self._configure()
        self._reserve_for_missing(members)
        return _to_messages(self.ledger.take_updates())

    def all_remaining(self) -> list[QuotaRemaining]:
        """Return what remains of all quotas."""
        return _to_messages(self.ledger.snapshot())

    def _configure(self) -> None:
        configuration = self.state.configuration
        if configuration is None or configuration.version == self.version:
            return
        self.version = configuration.version
        limiter = self.state.quotas
        self.ledger.configure(
            configuration.workspaces or (), limiter.accounts, last_update_ms=limiter.last_update_ms
        )

    def _reserve_for_missing(self, members: int) -> None:
        """Reserve quota for entries that followed the last coordinator but don't follow here."""
        now_ms = self.state.clock.now_ms()
        if not self.expected_entries or now_ms - self.started_ms < FOLLOW_GRACE_MS:
            return
        missing = self.expected_entries - members
        if missing > 0:
            window_ms = self.state.settings.quotas.window_ms
            silent_ms = min(window_ms, now_ms - self.predecessor_report_ms)
            self.ledger.reserve_missing(missing, entries=self.expected_entries, silent_ms=silent_ms)
        self.expected_entries = 0


def _to_messages(remaining: Iterable[Remaining]) -> list[QuotaRemaining]:
    return [
        QuotaRemaining(each.workspace, round(each.content), round(each.asked_per_s))
        for each in remaining
    ]
