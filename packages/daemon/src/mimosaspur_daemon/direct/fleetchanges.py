"""Compute and encode what has changed in the fleet since the last report, once for all entries."""

from collections.abc import Collection
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field

import msgspec

from mimosaspur_daemon.direct.enginecontroller import EngineController
from mimosaspur_daemon.direct.fleetreport import residents_of
from mimosaspur_daemon.direct.storechanges import StoreChanges
from mimosaspur_protocol.peermessages import CrashReport
from mimosaspur_protocol.peermessages import EngineResidents
from mimosaspur_protocol.peermessages import EngineSpeedUpdate
from mimosaspur_protocol.peermessages import EntryAddress
from mimosaspur_protocol.peermessages import FleetReport
from mimosaspur_protocol.peermessages import LimitUpdate
from mimosaspur_protocol.peermessages import LoadUpdate
from mimosaspur_protocol.peermessages import QuotaRemaining
from mimosaspur_protocol.peermessages import TargetWork
from mimosaspur_protocol.peermessages import encode_peer

NEVER_SENT = -1


@dataclass(slots=True)
class SentState:
    """Track what an entry has been sent so far."""

    # Whether it was sent the whole fleet, and each change since.
    fleet_sent: bool = False
    # The number of the last change of the store that it was sent.
    store_number: int = NEVER_SENT


class FleetChanges:
    """Keep work and residents as last sent, and compute what has changed since."""

    __slots__ = ("changed_residents", "changed_work", "expected_ms", "residents", "work")

    def __init__(self) -> None:
        self.work: Mapping[str, TargetWork] = {}
        self.residents: Mapping[str, EngineResidents] = {}
        # Time until each model that is being loaded is expected.
        self.expected_ms: dict[str, int] = {}
        self.changed_work: list[TargetWork] = []
        self.changed_residents: list[EngineResidents] = []

    def update(
        self, totals: Mapping[str, TargetWork] | None, controllers: Collection[EngineController]
    ) -> bool:
        """Update to the fleet's current state; return whether anything has changed.

        Without totals of work, those of the last update are kept.
        """
        totals = self.work if totals is None else totals
        known = [controller for controller in controllers if controller.sequence is not None]
        residents = {controller.record.identity: residents_of(controller) for controller in known}
        expected = {
            controller.loading: controller.expected_in_ms()
            for controller in controllers
            if controller.loading
        }
        self.changed_work = [each for key, each in totals.items() if self.work.get(key) != each]
        self.changed_residents = [
            each for key, each in residents.items() if self.residents.get(key) != each
        ]
        loads_changed = expected.keys() != self.expected_ms.keys()
        self.work, self.residents, self.expected_ms = totals, residents, expected
        return bool(self.changed_work or self.changed_residents or loads_changed)


@dataclass(slots=True)
class ReportBuilder:
    """Build and encode the reports of one round, once for all members in the same state."""

    # What all members are sent, without work and residents.
    base: FleetReport
    fleet_changes: FleetChanges
    # None while other entries may not rely on this instance's store data.
    store_changes: StoreChanges | None
    # What remains of all quotas, for members that were sent nothing yet.
    all_quotas: list[QuotaRemaining]
    # All known crashes, limits and outstanding loads, for the same members.
    all_crashes: list[CrashReport]
    all_limits: list[LimitUpdate]
    all_loads: list[LoadUpdate]
    all_leaving: list[str]
    all_entries: list[EntryAddress]
    all_speeds: list[EngineSpeedUpdate]
    frames: dict[tuple[bool, int], bytes] = field(default_factory=dict)

    def report(self, sent: SentState) -> FleetReport:
        """Return the report for a member."""
        fleet = self.fleet_changes
        if sent.fleet_sent:
            work, residents, quotas = fleet.changed_work, fleet.changed_residents, self.base.quotas
            crashes, limits, loads = self.base.crashes, self.base.limits, self.base.loads
            entries, leaving = self.base.entries_joined, self.base.leaving_targets
            speeds = self.base.speeds
        else:
            work = [each for each in fleet.work.values() if each.requests]
            residents = list(fleet.residents.values())
            quotas = self.all_quotas
            crashes, limits, loads = self.all_crashes, self.all_limits, self.all_loads
            entries, leaving = self.all_entries, self.all_leaving
            speeds = self.all_speeds
        store = self.store_changes.changes_since(sent.store_number) if self.store_changes else None
        return msgspec.structs.replace(
            self.base,
            work=work,
            residents=residents,
            store=store,
            quotas=quotas,
            crashes=crashes,
            limits=limits,
            loads=loads,
            leaving_targets=leaving,
            entries_joined=entries,
            entries_complete=not sent.fleet_sent,
            speeds=speeds,
        )

    def frame(self, sent: SentState) -> bytes:
        """Return the report for a member, encoded as a frame."""
        key = sent.fleet_sent, sent.store_number
        frame = self.frames.get(key)
        if frame is None:
            frame = self.frames[key] = encode_peer(self.report(sent))
        return frame

    def state_after(self, sent: SentState) -> SentState:
        """Return a member's state once it has received the report."""
        return SentState(
            True, self.store_changes.change_number if self.store_changes else sent.store_number
        )
