"""Send the entries that follow the coordinator what has changed, and what they are granted."""

import contextlib
from collections.abc import Collection

from msgspec.structs import replace

from mimosaspur_coordination.coordinatorcapacity import update_pause_s
from mimosaspur_coordination.loadforecast import SharedForecast
from mimosaspur_coordination.orderlease import OrderLease
from mimosaspur_coordination.quarantine.evidenceacks import EvidenceAcks
from mimosaspur_coordination.quarantine.traits import trait_name
from mimosaspur_daemon.direct.enginecontroller import EngineController
from mimosaspur_daemon.direct.fleetchanges import FleetChanges
from mimosaspur_daemon.direct.fleetchanges import ReportBuilder
from mimosaspur_daemon.direct.fleetreport import apply_report
from mimosaspur_daemon.direct.fleetreport import pace_messages
from mimosaspur_daemon.direct.fleetreport import total_work
from mimosaspur_daemon.direct.loadmessages import load_messages
from mimosaspur_daemon.direct.members import Member
from mimosaspur_daemon.direct.members import Members
from mimosaspur_daemon.direct.sharemessages import share_messages
from mimosaspur_daemon.direct.speedmessages import speed_messages
from mimosaspur_daemon.direct.storechanges import StoreChanges
from mimosaspur_protocol.peermessages import CrashReport
from mimosaspur_protocol.peermessages import EngineSpeedUpdate
from mimosaspur_protocol.peermessages import EntryAddress
from mimosaspur_protocol.peermessages import FleetReport
from mimosaspur_protocol.peermessages import IssuedPermits
from mimosaspur_protocol.peermessages import IssuedTurns
from mimosaspur_protocol.peermessages import LimitUpdate
from mimosaspur_protocol.peermessages import ModelPaceUpdate
from mimosaspur_protocol.peermessages import QuotaRemaining
from mimosaspur_protocol.peermessages import ReportAck
from mimosaspur_protocol.peermessages import ServiceShares
from mimosaspur_protocol.peermessages import TargetWork
from mimosaspur_protocol.peermessages import encode_peer
from mimosaspur_state.policy import Mechanism
from mimosaspur_transport.peerlink import PeerLost

# Entries are sent something at least this often, so that they notice a lost coordinator.
HEARTBEAT_INTERVAL_MS = 250
# Paces change slowly once they are known.
PACES_INTERVAL_MS = 1_000
# So do the speeds of engines, but for the first few measurements.
SPEEDS_INTERVAL_MS = 1_000


class MemberUpdates:
    """Send a coordinator's members changes of the fleet, permits and turns."""

    def __init__(self, members: Members) -> None:
        self.members = members
        self.state = members.state
        self.paces_sent_ms = 0
        self.speeds_sent_ms = 0
        self.store_changes = StoreChanges(members.state)
        self.fleet_changes = FleetChanges()
        # The time until models would be loaded, as last computed and as sent.
        self.forecast: dict[str, int] = {}
        self.shared_forecast = SharedForecast()
        # How often changes of crash records were sent.
        self.crashes_number = 0
        self.evidence_acks = EvidenceAcks()
        # The addresses of entries as last sent.
        self.sent_addresses: dict[str, EntryAddress] = {}
        self.last_sent_ms = 0
        # When the totals of work are next computed and sent.
        self.work_due_ms = 0

    def send_updates(self, controllers: Collection[EngineController], lease: OrderLease) -> None:
        """Send each member what has changed, or a heartbeat if one is due."""
        now_ms = self.state.clock.now_ms()
        work_due = now_ms >= self.work_due_ms
        totals = self._sum_work() if work_due else None
        changed = self.fleet_changes.update(totals, controllers, now_ms=now_ms)
        paces = self._due_paces(now_ms)
        quotas = self.members.quotas.changed_remaining(len(self.members.members))
        crashes = self._take_crashes()
        limits = self.state.notices.take_updates()
        loads = load_messages(self.state.outstanding_loads.take_unreported())
        leaving = self.state.notices.leaving.take_unreported()
        queues_changed = self.members.permits.update_queues()
        joined, left = self._take_entry_changes()
        forecast = self.shared_forecast.update(self.forecast)
        if forecast:
            self.state.log.write("load_forecast", changes=forecast)
        speeds = self._due_speeds(now_ms)
        shares = self._due_shares()
        base = replace(
            self._base_report(lease, paces, quotas, crashes, limits),
            loads=loads,
            leaving_targets=leaving,
            entries_joined=joined,
            entries_left=left,
            gives_turns=True,
            load_forecast=forecast,
            speeds=speeds,
            shares=shares,
        )
        reports = ReportBuilder(
            base,
            self.fleet_changes,
            self._shareable_store_changes(),
            self.members.quotas.all_remaining(),
            self._crashes_for_new_members(),
            self.state.notices.all_updates(),
            load_messages(self.state.outstanding_loads.all()),
            sorted(self.state.notices.leaving.noted_ms),
            list(self.sent_addresses.values()),
            self.shared_forecast.sent,
            self._speeds_for_new_members(),
            (
                share_messages(self.members.shares.issued)
                if self.state.uses(Mechanism.FAIR_SHARES)
                else None
            ),
        )
        heartbeat_due = now_ms - self.last_sent_ms >= HEARTBEAT_INTERVAL_MS
        news = (
            changed
            or paces
            or quotas
            or crashes
            or limits
            or loads
            or leaving
            or queues_changed
            or joined
            or left
            or forecast
            or speeds
            or shares is not None
        )
        if news or heartbeat_due:
            self.last_sent_ms = now_ms
            recipients = list(self.members.members.values())
        else:
            recipients = [
                each for each in self.members.members.values() if self._needs_update(each, reports)
            ]
        sent_bytes = sum(self._send_update(member, reports) for member in recipients)
        if work_due:
            pause_s = update_pause_s(
                self.state.settings, sent_bytes=sent_bytes, recipients=len(recipients)
            )
            self.work_due_ms = now_ms + round(pause_s * 1000)

    def send_turns(self) -> None:
        """Send the turns for suspected requests that are free now."""
        for instance, turns in self.members.turns.issue(self.crashes_number).items():
            names = [[trait_name(trait) for trait in traits] for traits in turns.traits]
            self.state.log.write("turns_issued", to=instance, traits=names)
            message = IssuedTurns(turns.number, turns.asked_ms, list(turns.traits))
            link = self.members.members[instance].link
            if link is None:
                self.state.quarantine.turns.apply(message)
                continue
            with contextlib.suppress(PeerLost):
                link.send(message)

    def send_permits(self) -> None:
        """Send the permits that the limits of targets allow now."""
        for instance, permits in self.members.permits.issue().items():
            self._send_permits(instance, permits)

    def send_expected_waits(self, instance: str) -> None:
        """Tell an entry how long its requests will wait for permits."""
        permits = self.members.permits.expected_waits(instance)
        if permits:
            self._send_permits(instance, permits)

    def _send_permits(self, instance: str, permits: IssuedPermits) -> None:
        link = self.members.members[instance].link
        if link is None:
            self.state.notices.apply_permits(permits)
            return
        with contextlib.suppress(PeerLost):
            link.send(permits)

    def _take_crashes(self) -> list[CrashReport]:
        """Return the changes of crash records, and number the update that tells of them."""
        ledger = self.state.quarantine.ledger
        members = self.members.members.values()
        covered_ms = self.members.missing.covered_ms(reporting=len(members))
        for target in self.evidence_acks.acknowledged([each.evidence_number for each in members]):
            ledger.acknowledge(target, covered_ms=covered_ms)
        crashes = self.state.quarantine.take_reports()
        # The first update of a coordinator that knows of crashes tells of them.
        self.crashes_number += bool(crashes or (ledger.crashes and not self.crashes_number))
        self.evidence_acks.on_update(self.crashes_number, ledger.unacknowledged())
        return crashes

    def _take_entry_changes(self) -> tuple[list[EntryAddress], list[str]]:
        """Return the entries that have joined, or moved, and left since the last call."""
        addresses = {
            instance: EntryAddress(instance, member.stream_address)
            for instance, member in self.members.members.items()
            if member.stream_address
        }
        joined = [each for name, each in addresses.items() if self.sent_addresses.get(name) != each]
        left = [name for name in self.sent_addresses if name not in addresses]
        self.sent_addresses = addresses
        return joined, left

    def _sum_work(self) -> dict[str, TargetWork]:
        """Return the totals of the work that the entries last reported."""
        for member in self.members.members.values():
            member.summed_number = member.report_number
        work = (member.work for member in self.members.members.values())
        return total_work(work, self.state.fleet.targets)

    def _base_report(
        self,
        lease: OrderLease,
        paces: list[ModelPaceUpdate],
        quotas: list[QuotaRemaining],
        crashes: list[CrashReport],
        limits: list[LimitUpdate],
    ) -> FleetReport:
        return FleetReport(
            token=lease.record.token if lease.record else 0,
            can_issue_orders=lease.is_confirmed(),
            entry_count=len(self.members.members),
            work=[],
            residents=[],
            model_ready_in_ms={},
            paces=paces,
            staying_count=sum(not each.leaving for each in self.members.members.values()),
            configuration_version=self.state.version(),
            quotas=quotas,
            sharer_count=self.members.sharers.sharer_count() if lease.is_confirmed() else 0,
            crashes=crashes,
            evidence_age_ms=self.members.missing.covered_ms(reporting=len(self.members.members)),
            limits=limits,
            permit_queues=self.members.permits.queues,
            failure_domain=self.state.settings.failure_domain,
            crashes_number=self.crashes_number,
        )

    def _crashes_for_new_members(self) -> list[CrashReport]:
        if all(member.sent_state.fleet_sent for member in self.members.members.values()):
            return []
        return self.state.quarantine.all_reports()

    def _speeds_for_new_members(self) -> list[EngineSpeedUpdate]:
        if all(member.sent_state.fleet_sent for member in self.members.members.values()):
            return []
        return speed_messages(self.members.speeds.all())

    def _shareable_store_changes(self) -> StoreChanges | None:
        self.store_changes.update()
        return self.store_changes if self.store_changes.shareable() else None

    def _needs_update(self, member: Member, reports: ReportBuilder) -> bool:
        """Return whether a member lacks something that the others were sent before."""
        if not member.sent_state.fleet_sent:
            return True
        changes = reports.store_changes_for(member.sent_state)
        return bool(
            member.link and changes and member.sent_state.store_number != changes.change_number
        )

    def _due_paces(self, now_ms: int) -> list[ModelPaceUpdate]:
        if now_ms - self.paces_sent_ms < PACES_INTERVAL_MS:
            return []
        self.paces_sent_ms = now_ms
        changed = self.members.paces.take_changes()
        if changed:
            factors = {model: round(pace.factor, 2) for model, pace in changed.items()}
            self.state.log.write("paces", factors=factors)
        return pace_messages(changed)

    def _due_speeds(self, now_ms: int) -> list[EngineSpeedUpdate]:
        if now_ms - self.speeds_sent_ms < SPEEDS_INTERVAL_MS:
            return []
        self.speeds_sent_ms = now_ms
        changed = self.members.speeds.take_changes()
        if changed:
            factors = {
                each.target: [round(each.prefill, 2), round(each.decode, 2)] for each in changed
            }
            self.state.log.write("engine_speeds", factors=factors)
        return speed_messages(changed)

    def _due_shares(self) -> list[ServiceShares] | None:
        """Return all shares if they have changed, None otherwise or if they are switched off."""
        if not self.state.uses(Mechanism.FAIR_SHARES):
            return None
        changed = self.members.shares.take_changes(self.state.shares.weights)
        if changed is None:
            return None
        services = {
            service: {
                name: (round(each.per_s, 3), round(each.asked_per_s, 3))
                for name, each in shared.items()
            }
            for service, shared in changed.items()
        }
        self.state.log.write("shares", services=services)
        return share_messages(changed)

    def _send_update(self, member: Member, reports: ReportBuilder) -> int:
        """Send one member its update; return the bytes sent on a link."""
        if member.link is None:
            # This instance reads the store itself.
            self.state.reported_work.set_included(member.summed_number)
            self.state.quotas.acknowledge(member.report_number)
            self.state.load_outlook.on_answered(member.report_number)
            self.state.report_times.on_answered(member.report_number)
            apply_report(self.state, replace(reports.report(member.sent_state), store=None))
            member.sent_state = reports.state_after(member.sent_state)
            return 0
        frames = encode_peer(ReportAck(member.summed_number, member.report_number)) + reports.frame(
            member.sent_state
        )
        try:
            member.link.send_encoded(frames)
        except PeerLost:
            member.link.close()
            return 0
        member.sent_state = reports.state_after(member.sent_state)
        return len(frames)
