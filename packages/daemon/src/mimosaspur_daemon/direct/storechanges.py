"""Tell entries what the coordinator reads in the store, and take it there."""

from mimosaspur_daemon.direct.entrystate import EntryState
from mimosaspur_protocol.peermessages import StoreUpdate
from mimosaspur_protocol.peermessages import TargetRegistration
from mimosaspur_state.fleet import TargetRecord
from mimosaspur_state.policy import Mechanism

# What an entry must know of the store to serve callers.
TARGETS = "targets"
CONFIGURATION = "configuration"


class StoreChanges:
    """Keep the targets as they were last told, and say what has changed since."""

    __slots__ = ("changed", "removed", "change_number", "state", "targets")

    def __init__(self, state: EntryState) -> None:
        self.state = state
        self.targets: dict[str, TargetRegistration] = {}
        # Counts the changes; those of the last number are kept.
        self.change_number = 0
        self.changed: list[TargetRegistration] = []
        self.removed: list[str] = []

    def update(self) -> None:
        """Find what has changed since the last look."""
        views = self.state.fleet.targets
        targets = {identity: _to_message(view.record) for identity, view in views.items()}
        changed = [each for name, each in targets.items() if self.targets.get(name) != each]
        gone = [name for name in self.targets if name not in targets]
        if changed or gone:
            self.targets, self.changed, self.removed = targets, changed, gone
            self.change_number += 1

    def shareable(self) -> bool:
        """Tell whether others may rely on what is told here."""
        on = self.state.uses(Mechanism.STORE_READER)
        return on and self.state.freshness.may_share((TARGETS, CONFIGURATION))

    def changes_since(self, known: int) -> StoreUpdate:
        """Return what somebody has to hear who knows all up to a number."""
        whole = known < self.change_number - 1
        current = known == self.change_number
        return StoreUpdate(
            age_ms=self.state.freshness.age_ms((TARGETS, CONFIGURATION)),
            revision=self.state.fleet.revision,
            is_complete=whole,
            targets=list(self.targets.values()) if whole else [] if current else self.changed,
            removed=[] if whole or current else self.removed,
        )


def apply_store_changes(state: EntryState, news: StoreUpdate) -> None:
    """Take the coordinator's word on the store, unless this entry knows better."""
    if news.revision < state.fleet.revision:
        return
    state.log.counters.observe("store_news_age_ms", news.age_ms)
    state.freshness.confirm_by_coordinator(age_ms=news.age_ms)
    state.fleet.revision = news.revision
    records = {told.identity: _to_record(told) for told in news.targets}
    if news.is_complete:
        state.on_targets_changed(state.fleet.replace(records))
    elif records or news.removed:
        state.on_targets_changed(state.fleet.update(records.values(), news.removed))


def _to_message(record: TargetRecord) -> TargetRegistration:
    return TargetRegistration(
        record.identity,
        record.service,
        *record.address,
        record.failure_domain,
        record.leaving,
        record.slots,
        record.started_ms,
    )


def _to_record(told: TargetRegistration) -> TargetRecord:
    return TargetRecord(
        identity=told.identity,
        service=told.service,
        address=(told.host, told.port),
        failure_domain=told.failure_domain,
        leaving=told.leaving,
        slots=told.slots,
        started_ms=told.started_ms,
    )
