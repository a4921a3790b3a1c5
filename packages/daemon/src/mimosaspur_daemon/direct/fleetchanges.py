"""Say what has changed in the fleet since it was last told, once for all entries."""

from collections.abc import Collection
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field

import msgspec

from mimosaspur_daemon.direct.enginecontroller import EngineController
from mimosaspur_daemon.direct.fleetreport import residents_of
from mimosaspur_daemon.direct.storechanges import StoreChanges
from mimosaspur_protocol.peermessages import EngineResidents
from mimosaspur_protocol.peermessages import FleetReport
from mimosaspur_protocol.peermessages import QuotaRemaining
from mimosaspur_protocol.peermessages import TargetWork
from mimosaspur_protocol.peermessages import encode_peer

NEVER_SENT = -1


@dataclass(slots=True)
class SentState:
    """Hold up to where an entry was told what the others know."""

    # Whether it was told of the whole fleet, and since then of each change.
    fleet_sent: bool = False
    # The number of changes in the store up to which it was told.
    store_number: int = NEVER_SENT


class FleetChanges:
    """Keep work and residents as they were last told, and say what has changed since."""

    __slots__ = ("changed_residents", "changed_work", "expected_ms", "residents", "work")

    def __init__(self) -> None:
        self.work: Mapping[str, TargetWork] = {}
        self.residents: Mapping[str, EngineResidents] = {}
        # Milliseconds until a model that is being loaded is expected.
        self.expected_ms: dict[str, int] = {}
        self.changed_work: list[TargetWork] = []
        self.changed_residents: list[EngineResidents] = []

    def update(
        self, totals: Mapping[str, TargetWork] | None, desks: Collection[EngineController]
    ) -> bool:
        """Take the fleet as it is now; tell whether anything has changed since the last look.

        Without sums of work, those of the last look still stand.
        """
        totals = self.work if totals is None else totals
        known = [desk for desk in desks if desk.sequence is not None]
        residents = {desk.record.identity: residents_of(desk) for desk in known}
        expected = {desk.loading: desk.expected_in_ms() for desk in desks if desk.loading}
        self.changed_work = [each for key, each in totals.items() if self.work.get(key) != each]
        self.changed_residents = [
            each for key, each in residents.items() if self.residents.get(key) != each
        ]
        loads_changed = expected.keys() != self.expected_ms.keys()
        self.work, self.residents, self.expected_ms = totals, residents, expected
        return bool(self.changed_work or self.changed_residents or loads_changed)


@dataclass(slots=True)
class ReportBuilder:
    """Put together and encode what is told in one pass, once for all who know the same."""

    # What all are told, without work and residents.
    base: FleetReport
    fleet_changes: FleetChanges
    # None while others may not rely on what is known of the store here.
    store_changes: StoreChanges | None
    # All that is left of quotas, for whoever was told nothing yet.
    all_quotas: list[QuotaRemaining]
    frames: dict[tuple[bool, int], bytes] = field(default_factory=dict)

    def report(self, informed: SentState) -> FleetReport:
        """Return what an entry has to hear."""
        fleet = self.fleet_changes
        if informed.fleet_sent:
            work, residents, quotas = fleet.changed_work, fleet.changed_residents, self.base.quotas
        else:
            work = [each for each in fleet.work.values() if each.requests]
            residents = list(fleet.residents.values())
            quotas = self.all_quotas
        store = (
            self.store_changes.changes_since(informed.store_number) if self.store_changes else None
        )
        return msgspec.structs.replace(
            self.base, work=work, residents=residents, store=store, quotas=quotas
        )

    def frame(self, informed: SentState) -> bytes:
        """Return the same as a frame."""
        key = informed.fleet_sent, informed.store_number
        frame = self.frames.get(key)
        if frame is None:
            frame = self.frames[key] = encode_peer(self.report(informed))
        return frame

    def state_after(self, informed: SentState) -> SentState:
        """Return up to where an entry is told once it has got the report."""
        return SentState(
            True, self.store_changes.change_number if self.store_changes else informed.store_number
        )
