"""Compute the changes of the store for entries that don't read it, and apply them there."""

from collections.abc import Sequence

import msgspec

from mimosaspur_daemon.direct.entrystate import EntryState
from mimosaspur_protocol.peermessages import MAX_MESSAGE_BYTES
from mimosaspur_protocol.peermessages import StoreUpdate
from mimosaspur_protocol.peermessages import TargetRegistration
from mimosaspur_state.fleet import TargetRecord
from mimosaspur_state.policy import Mechanism

# Kinds of store data that an entry needs to serve callers.
TARGETS = "targets"
CONFIGURATION = "configuration"
# From a report of an entry to the update that answers it, while nothing is late.
USUAL_WAIT_MS = 200
# Entries read longer lists from the store themselves, as a link ends at a message that is too long.
# The rest is left for the other parts of a report.
MAX_LIST_BYTES = MAX_MESSAGE_BYTES * 3 // 4


class StoreChanges:
    """Keep the targets as last sent, and compute what has changed since."""

    __slots__ = (
        "change_fits",
        "change_number",
        "changed",
        "removed",
        "state",
        "targets",
        "whole_fits",
    )

    def __init__(self, state: EntryState) -> None:
        self.state = state
        self.targets: dict[str, TargetRegistration] = {}
        # Number of the last change; `changed` and `removed` hold that change alone.
        self.change_number = 0
        self.changed: list[TargetRegistration] = []
        self.removed: list[str] = []
        # Whether the last change, and all targets, fit into a message.
        self.change_fits = True
        self.whole_fits = True

    def update(self) -> None:
        """Compute what has changed since the last update."""
        views = self.state.fleet.targets
        targets = {identity: target_message(view.record) for identity, view in views.items()}
        changed = [each for name, each in targets.items() if self.targets.get(name) != each]
        removed = [name for name in self.targets if name not in targets]
        if changed or removed:
            self.targets, self.changed, self.removed = targets, changed, removed
            self.change_number += 1
            self.change_fits = _fits(changed, removed)
            self.whole_fits = _fits(list(targets.values()), [])

    def shareable(self) -> bool:
        """Return whether other entries may rely on this instance's store data."""
        on = self.state.uses(Mechanism.STORE_READER)
        return on and self.state.freshness.may_share((TARGETS, CONFIGURATION))

    def fits(self, number: int) -> bool:
        """Return whether the changes since a change number fit into a message."""
        if number == self.change_number:
            return True
        return self.whole_fits if self._needs_all(number) else self.change_fits

    def changes_since(self, number: int) -> StoreUpdate:
        """Return the changes since a change number, all targets if more than one is missing."""
        whole = self._needs_all(number)
        current = number == self.change_number
        return StoreUpdate(
            age_ms=self.state.freshness.age_ms((TARGETS, CONFIGURATION)),
            revision=self.state.fleet.revision,
            is_complete=whole,
            targets=list(self.targets.values()) if whole else [] if current else self.changed,
            removed=[] if whole or current else self.removed,
        )

    def _needs_all(self, number: int) -> bool:
        return number < self.change_number - 1


def apply_store_changes(state: EntryState, changes: StoreUpdate) -> None:
    """Apply the coordinator's store data unless this entry has a newer revision."""
    followed = state.followed_targets
    records = [_to_record(message) for message in changes.targets]
    followed.update(records, changes.removed, is_complete=changes.is_complete)
    if changes.revision < state.fleet.revision:
        followed.applied_number = None
        return
    # The update itself may have been on its way, or have waited here, for this long.
    waited_ms = state.report_times.age_ms()
    late_ms = max(0, (waited_ms or 0) - USUAL_WAIT_MS)
    state.log.counters.observe("store_news_age_ms", changes.age_ms + late_ms)
    state.freshness.confirm_by_coordinator(age_ms=changes.age_ms + late_ms)
    state.fleet.revision = changes.revision
    if not followed.is_in_force(state.fleet.list_number):
        state.on_targets_changed(state.fleet.replace(followed.targets))
    elif records or changes.removed:
        state.on_targets_changed(state.fleet.update(records, changes.removed))
    followed.applied_number = state.fleet.list_number
    if waited_ms is not None:
        state.stream_versions.history.confirm(age_ms=changes.age_ms + waited_ms)


def target_message(record: TargetRecord) -> TargetRegistration:
    """Return the message that tells other entries of a registration."""
    return TargetRegistration(
        record.identity,
        record.service,
        *record.address,
        record.failure_domain,
        record.leaving,
        record.slots,
        record.started_ms,
        record.version,
    )


def _fits(targets: Sequence[TargetRegistration], removed: Sequence[str]) -> bool:
    return len(msgspec.msgpack.encode((targets, removed))) <= MAX_LIST_BYTES


def _to_record(message: TargetRegistration) -> TargetRecord:
    return TargetRecord(
        identity=message.identity,
        service=message.service,
        address=(message.host, message.port),
        failure_domain=message.failure_domain,
        leaving=message.leaving,
        slots=message.slots,
        started_ms=message.started_ms,
        version=message.version,
    )
