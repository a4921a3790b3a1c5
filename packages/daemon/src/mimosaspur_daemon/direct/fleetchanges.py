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
from mimosaspur_protocol.peermessages import ServiceShares
from mimosaspur_protocol.peermessages import TargetWork
from mimosaspur_protocol.peermessages import encode_peer

NEVER_SENT = -1
# Entries count down the times until models are ready. Sent in each report, these times made up 4 in
# 10 bytes of the reports, so they are sent again only if they differ by more than this.
READY_TIME_TOLERANCE_MS = 100


@dataclass(slots=True)
class SentState:
    """Track what an entry has been sent so far."""

    # Whether it was sent the whole fleet, and each change since.
    fleet_sent: bool = False
    # The number of the last change of the store that it was sent.
    store_number: int = NEVER_SENT


class FleetChanges:
    """Keep work and residents as last sent, and compute what has changed since."""

    __slots__ = (
        "changed_residents",
        "changed_work",
        "expected_by_version_ms",
        "expected_ms",
        "ready_at_ms",
        "ready_times_changed",
        "residents",
        "work",
    )

    def __init__(self) -> None:
        self.work: Mapping[str, TargetWork] = {}
        self.residents: Mapping[str, EngineResidents] = {}
        # Time until each model that is being loaded is expected.
        self.expected_ms: dict[str, int] = {}
        # The same by model and version, of services with several versions.
        self.expected_by_version_ms: dict[str, dict[str, int]] = {}
        # The same as points in time, as last sent, and whether they differ now.
        self.ready_at_ms: dict[str, int] = {}
        self.ready_times_changed = False
        self.changed_work: list[TargetWork] = []
        self.changed_residents: list[EngineResidents] = []

    def update(
        self,
        totals: Mapping[str, TargetWork] | None,
        controllers: Collection[EngineController],
        *,
        now_ms: int,
    ) -> bool:
        """Update to the fleet's current state; return whether anything has changed.

        Without totals of work, those of the last update are kept.
        """
        totals = self.work if totals is None else totals
        known = [controller for controller in controllers if controller.sequence is not None]
        residents = {controller.record.identity: residents_of(controller) for controller in known}
        expected: dict[str, int] = {}
        for controller in controllers:
            model = controller.loading
            if model:
                # Requests can be served once the first of several loads of a model has ended.
                in_ms = controller.expected_in_ms()
                expected[model] = min(in_ms, expected.get(model, in_ms))
        by_version = _expected_by_version(controllers)
        self.changed_work = [each for key, each in totals.items() if self.work.get(key) != each]
        self.changed_residents = [
            each for key, each in residents.items() if self.residents.get(key) != each
        ]
        self.work, self.residents, self.expected_ms = totals, residents, expected
        self._update_ready_times(now_ms)
        sent = self.expected_by_version_ms
        self.ready_times_changed |= _versions(by_version) != _versions(sent)
        self.expected_by_version_ms = by_version
        return bool(self.changed_work or self.changed_residents or self.ready_times_changed)

    def _update_ready_times(self, now_ms: int) -> None:
        ready_at_ms = {model: now_ms + in_ms for model, in_ms in self.expected_ms.items()}
        sent_ms = self.ready_at_ms
        self.ready_times_changed = ready_at_ms.keys() != sent_ms.keys() or any(
            # Entries count down to 0 too, so that an overdue load is no change.
            abs(at_ms - max(now_ms, sent_ms[model])) > READY_TIME_TOLERANCE_MS
            for model, at_ms in ready_at_ms.items()
        )
        if self.ready_times_changed:
            self.ready_at_ms = ready_at_ms


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
    full_forecast: dict[str, int]
    all_speeds: list[EngineSpeedUpdate]
    # None while fair shares are switched off.
    all_shares: list[ServiceShares] | None
    frames: dict[tuple[bool, int], bytes] = field(default_factory=dict)

    def report(self, sent: SentState) -> FleetReport:
        """Return the report for a member."""
        fleet = self.fleet_changes
        if sent.fleet_sent:
            work, residents, quotas = fleet.changed_work, fleet.changed_residents, self.base.quotas
            crashes, limits, loads = self.base.crashes, self.base.limits, self.base.loads
            entries, leaving = self.base.entries_joined, self.base.leaving_targets
            forecast = self.base.load_forecast
            speeds, shares = self.base.speeds, self.base.shares
        else:
            work = [each for each in fleet.work.values() if each.requests]
            residents = list(fleet.residents.values())
            quotas = self.all_quotas
            crashes, limits, loads = self.all_crashes, self.all_limits, self.all_loads
            entries, leaving = self.all_entries, self.all_leaving
            forecast = self.full_forecast
            speeds, shares = self.all_speeds, self.all_shares
        ready_times_hold = sent.fleet_sent and not fleet.ready_times_changed
        changes = self.store_changes_for(sent)
        store = changes.changes_since(sent.store_number) if changes else None
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
            load_forecast=forecast,
            model_ready_in_ms={} if ready_times_hold else fleet.expected_ms,
            ready_times_hold=ready_times_hold,
            version_ready_in_ms={} if ready_times_hold else fleet.expected_by_version_ms,
            speeds=speeds,
            shares=shares,
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
        changes = self.store_changes_for(sent)
        return SentState(True, changes.change_number if changes else sent.store_number)

    def store_changes_for(self, sent: SentState) -> StoreChanges | None:
        """Return the changes of the store, None if a member has to read the store itself."""
        changes = self.store_changes
        return changes if changes and changes.fits(sent.store_number) else None


def _expected_by_version(
    controllers: Collection[EngineController],
) -> dict[str, dict[str, int]]:
    """Return the time until loads end by model and version, of services with several versions."""
    versions: dict[str, set[str]] = {}
    for controller in controllers:
        versions.setdefault(controller.record.service, set()).add(controller.record.version)
    expected: dict[str, dict[str, int]] = {}
    for controller in controllers:
        record, model = controller.record, controller.loading
        if model and len(versions[record.service]) > 1:
            in_ms = controller.expected_in_ms()
            times_ms = expected.setdefault(model, {})
            times_ms[record.version] = min(in_ms, times_ms.get(record.version, in_ms))
    return expected


def _versions(expected: Mapping[str, Mapping[str, int]]) -> set[tuple[str, str]]:
    return {(model, version) for model, times_ms in expected.items() for version in times_ms}
