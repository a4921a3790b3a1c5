"""Tell entries what the coordinator reads in the store, and take it there."""

from mimosaspur_daemon.direct.entrystate import EntryState
from mimosaspur_protocol.peermessages import StoreNews
from mimosaspur_protocol.peermessages import TargetTold
from mimosaspur_state.fleet import TargetRecord
from mimosaspur_state.policy import Mechanism

# What an entry must know of the store to serve callers.
TARGETS = "targets"
CONFIGURATION = "configuration"


class StoreTeller:
    """Keep the targets as they were last told, and say what has changed since."""

    __slots__ = ("changed", "gone", "number", "state", "targets")

    def __init__(self, state: EntryState) -> None:
        self.state = state
        self.targets: dict[str, TargetTold] = {}
        # Counts the changes; those of the last number are kept.
        self.number = 0
        self.changed: list[TargetTold] = []
        self.gone: list[str] = []

    def look(self) -> None:
        """Find what has changed since the last look."""
        views = self.state.fleet.targets
        targets = {identity: _told(view.record) for identity, view in views.items()}
        changed = [each for name, each in targets.items() if self.targets.get(name) != each]
        gone = [name for name in self.targets if name not in targets]
        if changed or gone:
            self.targets, self.changed, self.gone = targets, changed, gone
            self.number += 1

    def fresh(self) -> bool:
        """Tell whether others may rely on what is told here."""
        on = self.state.uses(Mechanism.STORE_READER)
        return on and self.state.freshness.may_share((TARGETS, CONFIGURATION))

    def news(self, known: int) -> StoreNews:
        """Return what somebody has to hear who knows all up to a number."""
        whole = known < self.number - 1
        current = known == self.number
        return StoreNews(
            age_ms=self.state.freshness.age_ms((TARGETS, CONFIGURATION)),
            revision=self.state.fleet.revision,
            whole=whole,
            targets=list(self.targets.values()) if whole else [] if current else self.changed,
            gone=[] if whole or current else self.gone,
        )


def apply_store_news(state: EntryState, news: StoreNews) -> None:
    """Take the coordinator's word on the store, unless this entry knows better."""
    if news.revision < state.fleet.revision:
        return
    state.log.counters.observe("store_news_age_ms", news.age_ms)
    state.freshness.confirm_by_coordinator(age_ms=news.age_ms)
    state.fleet.revision = news.revision
    records = {told.identity: _record(told) for told in news.targets}
    if news.whole:
        state.on_targets_changed(state.fleet.replace(records))
    elif records or news.gone:
        state.on_targets_changed(state.fleet.update(records.values(), news.gone))


def _told(record: TargetRecord) -> TargetTold:
    return TargetTold(
        record.identity,
        record.service,
        *record.address,
        record.failure_domain,
        record.leaving,
        record.slots,
        record.started_ms,
    )


def _record(told: TargetTold) -> TargetRecord:
    return TargetRecord(
        identity=told.identity,
        service=told.service,
        address=(told.host, told.port),
        failure_domain=told.failure_domain,
        leaving=told.leaving,
        slots=told.slots,
        started_ms=told.started_ms,
    )
