"""Track the entries that follow the coordinator, and send them changes of the fleet."""

import contextlib
import random
from collections.abc import Collection
from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field

from msgspec.structs import replace

from mimosaspur_coordination.coordinatorcapacity import update_pause_s
from mimosaspur_coordination.enginespeed.shared import SharedEngineSpeeds
from mimosaspur_coordination.limits.sharelease import SharerCount
from mimosaspur_coordination.loadforecast import SharedForecast
from mimosaspur_coordination.modelpace import Pace
from mimosaspur_coordination.modelpace import SharedPaces
from mimosaspur_coordination.orderlease import OrderLease
from mimosaspur_coordination.quarantine.evidenceacks import EvidenceAcks
from mimosaspur_coordination.quarantine.traits import trait_name
from mimosaspur_coordination.quarantine.turnissuer import TurnDemand
from mimosaspur_coordination.quarantine.turnissuer import TurnIssuer
from mimosaspur_coordination.shares.issuer import ShareIssuer
from mimosaspur_daemon.direct.enginecontroller import EngineController
from mimosaspur_daemon.direct.entrystate import EntryState
from mimosaspur_daemon.direct.fleetchanges import FleetChanges
from mimosaspur_daemon.direct.fleetchanges import ReportBuilder
from mimosaspur_daemon.direct.fleetchanges import SentState
from mimosaspur_daemon.direct.fleetreport import apply_report
from mimosaspur_daemon.direct.fleetreport import pace_messages
from mimosaspur_daemon.direct.fleetreport import total_work
from mimosaspur_daemon.direct.loadmessages import load_messages
from mimosaspur_daemon.direct.missingentries import MissingEntries
from mimosaspur_daemon.direct.permitgrants import PermitGrants
from mimosaspur_daemon.direct.quotaaccounting import QuotaAccounting
from mimosaspur_daemon.direct.sharemessages import share_messages
from mimosaspur_daemon.direct.sharemessages import uses_of
from mimosaspur_daemon.direct.speedmessages import speed_messages
from mimosaspur_daemon.direct.speedmessages import speeds_of
from mimosaspur_daemon.direct.storechanges import StoreChanges
from mimosaspur_protocol.peermessages import CrashReport
from mimosaspur_protocol.peermessages import EngineSpeedUpdate
from mimosaspur_protocol.peermessages import EntryAddress
from mimosaspur_protocol.peermessages import EntryReport
from mimosaspur_protocol.peermessages import FleetReport
from mimosaspur_protocol.peermessages import IssuedPermits
from mimosaspur_protocol.peermessages import IssuedTurns
from mimosaspur_protocol.peermessages import LeaseReadRequest
from mimosaspur_protocol.peermessages import LimitUpdate
from mimosaspur_protocol.peermessages import ModelPaceUpdate
from mimosaspur_protocol.peermessages import QuotaRemaining
from mimosaspur_protocol.peermessages import ReportAck
from mimosaspur_protocol.peermessages import ServiceShares
from mimosaspur_protocol.peermessages import StepDown
from mimosaspur_protocol.peermessages import TargetWork
from mimosaspur_protocol.peermessages import encode_peer
from mimosaspur_state.policy import Mechanism
from mimosaspur_transport.peerlink import PeerLink
from mimosaspur_transport.peerlink import PeerLost

# Entries are sent something at least this often, so that they notice a lost coordinator.
HEARTBEAT_INTERVAL_MS = 250
# Paces change slowly once they are known.
PACES_INTERVAL_MS = 1_000
# So do the speeds of engines, but for the first few measurements.
SPEEDS_INTERVAL_MS = 1_000


@dataclass(slots=True)
class Member:
    """Hold what one entry last reported, and what it was last sent."""

    # The number of its last report, and of the last one that the totals of work include.
    report_number: int = 0
    summed_number: int = 0
    work: dict[str, TargetWork] = field(default_factory=dict)
    waiting: dict[str, int] = field(default_factory=dict)
    urgent_waiting: dict[str, int] = field(default_factory=dict)
    waiting_adapters: list[tuple[str, str]] = field(default_factory=list)
    last_report_ms: int = 0
    # The number of the last update on whose crashes it has reported all that it had there.
    evidence_number: int = 0
    leaving: bool = False
    # Where it takes datagrams about streams; None if unknown.
    stream_address: tuple[str, int] | None = None
    link: PeerLink | None = None
    sent_state: SentState = field(default_factory=SentState)


class Members:
    """Track the entries that follow a coordinator, including its own one."""

    def __init__(self, state: EntryState, sharers: SharerCount, permits: PermitGrants) -> None:
        self.state = state
        self.permits = permits
        self.members: dict[str, Member] = {}
        self.sharers = sharers
        self.paces = SharedPaces()
        self.paces_sent_ms = 0
        self.speeds = SharedEngineSpeeds(state.fleet.started_ms)
        self.speeds_sent_ms = 0
        self.store_changes = StoreChanges(state)
        self.fleet_changes = FleetChanges()
        # The time until models would be loaded, as last computed and as sent.
        self.forecast: dict[str, int] = {}
        self.shared_forecast = SharedForecast()
        self.quotas = QuotaAccounting(state)
        self.shares = ShareIssuer(clock=state.clock)
        self.missing = MissingEntries(
            expected=state.staying_entries,
            complete_since_ms=state.quarantine.ledger.covered_since_ms,
            clock=state.clock,
        )
        self.turns = TurnIssuer(clock=sharers.clock, first=not state.staying_entries)
        # How often changes of crash records were sent.
        self.crashes_number = 0
        self.evidence_acks = EvidenceAcks()
        # The addresses of entries as last sent.
        self.sent_addresses: dict[str, EntryAddress] = {}
        self.last_sent_ms = 0
        # When the totals of work are next computed and sent.
        self.work_due_ms = 0

    def apply_report(self, report: EntryReport, member: Member) -> None:
        """Apply an entry's report: its work, waiting requests, spending and paces."""
        member.last_report_ms = self.state.clock.now_ms()
        first = not member.report_number
        if first:
            self.missing.on_connect(report.instance, new_process=report.number == 1)
        member.report_number = report.number
        member.work = {work.target: work for work in report.work}
        member.waiting = {
            asked.model: asked.waiting for asked in report.model_demand if asked.waiting
        }
        member.urgent_waiting = {
            asked.model: asked.waiting if asked.urgent_waiting < 0 else asked.urgent_waiting
            for asked in report.model_demand
            if asked.urgent_waiting
        }
        member.waiting_adapters = [(model, adapter) for model, adapter in report.waiting_adapters]
        member.evidence_number = report.evidence_number
        member.leaving = report.leaving
        member.stream_address = report.stream_address
        self.quotas.apply_report(report, first=first)
        for message in report.paces:
            self.paces.add_report(message.model, Pace(message.factor, message.measurements))
        self._apply_speeds(report)
        if report.uses is not None:
            self.shares.apply_use(report.instance, uses_of(report.uses))

    def _apply_speeds(self, report: EntryReport) -> None:
        if not self.state.uses(Mechanism.ENGINE_SPEED):
            return
        ignored = self.speeds.add_report(report.instance, report.number, speeds_of(report.speeds))
        for _ in range(ignored):
            self.state.log.counters.count("engine_speed_ignored", "entry")

    def apply_suspects(self, report: EntryReport) -> bool:
        """Apply what an entry reports of suspected requests; return whether one waits."""
        self.turns.apply_demand(
            report.instance,
            TurnDemand(report.suspects_waiting, frozenset(report.suspects_sent)),
            asked_ms=report.asked_ms,
            received_number=report.turns_number,
            crashes_number=report.crashes_number,
        )
        return bool(self.turns.queue)

    def send_turns(self) -> None:
        """Send the turns for suspected requests that are free now."""
        for instance, turns in self.turns.issue(self.crashes_number).items():
            names = [[trait_name(trait) for trait in traits] for traits in turns.traits]
            self.state.log.write("turns_issued", to=instance, traits=names)
            message = IssuedTurns(turns.number, turns.asked_ms, list(turns.traits))
            link = self.members[instance].link
            if link is None:
                self.state.quarantine.turns.apply(message)
                continue
            with contextlib.suppress(PeerLost):
                link.send(message)

    def send_permits(self) -> None:
        """Send the permits that the limits of targets allow now."""
        for instance, permits in self.permits.issue().items():
            self._send_permits(instance, permits)

    def send_expected_waits(self, instance: str) -> None:
        """Tell an entry how long its requests will wait for permits."""
        permits = self.permits.expected_waits(instance)
        if permits:
            self._send_permits(instance, permits)

    def _send_permits(self, instance: str, permits: IssuedPermits) -> None:
        link = self.members[instance].link
        if link is None:
            self.state.notices.apply_permits(permits)
            return
        with contextlib.suppress(PeerLost):
            link.send(permits)

    def local_member(self, instance: str) -> Member:
        """Return the member for this instance's own entry."""
        member = self.members.get(instance)
        if member is None or member.link:
            member = self.add(instance, Member())
        return member

    def add(self, instance: str, member: Member) -> Member:
        """Add an entry that follows from now on."""
        if instance in self.members:
            # Its machine lost power, or its link is silent: the old link hasn't ended yet.
            self.missing.on_lost(instance)
        self.members[instance] = member
        self.sharers.on_connect(instance)
        self.permits.issuer.on_connect(instance)
        self.speeds.on_link_changed(instance)
        self.shares.on_link_changed(instance)
        self.turns.on_connect(instance)
        return member

    def remove(self, member: Member) -> None:
        """Remove an entry whose link has ended."""
        for instance, known in list(self.members.items()):
            if known is member:
                entries = len(self.members)
                del self.members[instance]
                self.sharers.on_disconnect(instance)
                self.permits.issuer.on_disconnect(instance)
                self.speeds.on_link_changed(instance)
                self.shares.on_link_changed(instance)
                self.turns.on_disconnect(instance)
                if not member.leaving:
                    self.missing.on_lost(instance)
                    self.quotas.on_entry_lost(
                        instance, entries=entries, last_report_ms=member.last_report_ms
                    )

    def linked_instances(self) -> set[str]:
        """Return the names of the other entries."""
        return {instance for instance, member in self.members.items() if member.link}

    def close(self) -> None:
        """Close the links to the other entries."""
        for member in self.members.values():
            if member.link:
                member.link.close()

    def waiting(self) -> dict[str, int]:
        """Return the number of requests that wait for each model."""
        return _sum_counts(member.waiting for member in self.members.values())

    def urgent_waiting(self) -> dict[str, int]:
        """Return the number of requests that wait for each model and can't wait for its load."""
        return _sum_counts(member.urgent_waiting for member in self.members.values())

    def waiting_adapters(self) -> set[tuple[str, str]]:
        """Return the adapters that requests wait for, with their models."""
        return {pair for member in self.members.values() for pair in member.waiting_adapters}

    def running(self) -> dict[str, dict[str, int]]:
        """Return the number of requests that run at each target, by model, over all entries."""
        running: dict[str, dict[str, int]] = {}
        for member in self.members.values():
            for target, work in member.work.items():
                counts = running.setdefault(target, {})
                for model, count in work.by_model.items():
                    counts[model] = counts.get(model, 0) + count
        return running

    def send(self, message: StepDown | LeaseReadRequest, *, limit: int | None = None) -> None:
        """Send a message to the other entries, or to a random sample of them."""
        links = [member.link for member in self.members.values() if member.link]
        if limit is not None and limit < len(links):
            links = random.sample(links, limit)
        for link in links:
            with contextlib.suppress(PeerLost):
                link.send(message)

    def send_updates(self, controllers: Collection[EngineController], lease: OrderLease) -> None:
        """Send each member what has changed, or a heartbeat if one is due."""
        now_ms = self.state.clock.now_ms()
        work_due = now_ms >= self.work_due_ms
        totals = self._sum_work() if work_due else None
        changed = self.fleet_changes.update(totals, controllers, now_ms=now_ms)
        paces = self._due_paces(now_ms)
        quotas = self.quotas.changed_remaining(len(self.members))
        crashes = self._take_crashes()
        limits = self.state.notices.take_updates()
        loads = load_messages(self.state.outstanding_loads.take_unreported())
        leaving = self.state.notices.leaving.take_unreported()
        queues_changed = self.permits.update_queues()
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
            self.quotas.all_remaining(),
            self._crashes_for_new_members(),
            self.state.notices.all_updates(),
            load_messages(self.state.outstanding_loads.all()),
            sorted(self.state.notices.leaving.noted_ms),
            list(self.sent_addresses.values()),
            self.shared_forecast.sent,
            self._speeds_for_new_members(),
            share_messages(self.shares.issued) if self.state.uses(Mechanism.FAIR_SHARES) else None,
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
            recipients = list(self.members.values())
        else:
            recipients = [
                each for each in self.members.values() if self._needs_update(each, reports)
            ]
        sent_bytes = sum(self._send_update(member, reports) for member in recipients)
        if work_due:
            pause_s = update_pause_s(
                self.state.settings, sent_bytes=sent_bytes, recipients=len(recipients)
            )
            self.work_due_ms = now_ms + round(pause_s * 1000)

    def _take_crashes(self) -> list[CrashReport]:
        """Return the changes of crash records, and number the update that tells of them."""
        ledger = self.state.quarantine.ledger
        covered_ms = self.missing.covered_ms(reporting=len(self.members))
        answers = [member.evidence_number for member in self.members.values()]
        for target in self.evidence_acks.acknowledged(answers):
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
            for instance, member in self.members.items()
            if member.stream_address
        }
        joined = [each for name, each in addresses.items() if self.sent_addresses.get(name) != each]
        left = [name for name in self.sent_addresses if name not in addresses]
        self.sent_addresses = addresses
        return joined, left

    def _sum_work(self) -> dict[str, TargetWork]:
        """Return the totals of the work that the entries last reported."""
        for member in self.members.values():
            member.summed_number = member.report_number
        work = (member.work for member in self.members.values())
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
            entry_count=len(self.members),
            work=[],
            residents=[],
            model_ready_in_ms={},
            paces=paces,
            staying_count=sum(not each.leaving for each in self.members.values()),
            configuration_version=self.state.version(),
            quotas=quotas,
            sharer_count=self.sharers.sharer_count() if lease.is_confirmed() else 0,
            crashes=crashes,
            evidence_age_ms=self.missing.covered_ms(reporting=len(self.members)),
            limits=limits,
            permit_queues=self.permits.queues,
            failure_domain=self.state.settings.failure_domain,
            crashes_number=self.crashes_number,
        )

    def _crashes_for_new_members(self) -> list[CrashReport]:
        if all(member.sent_state.fleet_sent for member in self.members.values()):
            return []
        return self.state.quarantine.all_reports()

    def _shareable_store_changes(self) -> StoreChanges | None:
        self.store_changes.update()
        return self.store_changes if self.store_changes.shareable() else None

    def _needs_update(self, member: Member, reports: ReportBuilder) -> bool:
        """Return whether a member lacks something that the others were sent before."""
        if not member.sent_state.fleet_sent:
            return True
        return bool(
            member.link
            and reports.store_changes
            and member.sent_state.store_number != reports.store_changes.change_number
        )

    def _due_paces(self, now_ms: int) -> list[ModelPaceUpdate]:
        if now_ms - self.paces_sent_ms < PACES_INTERVAL_MS:
            return []
        self.paces_sent_ms = now_ms
        changed = self.paces.take_changes()
        if changed:
            factors = {model: round(pace.factor, 2) for model, pace in changed.items()}
            self.state.log.write("paces", factors=factors)
        return pace_messages(changed)

    def _due_speeds(self, now_ms: int) -> list[EngineSpeedUpdate]:
        if now_ms - self.speeds_sent_ms < SPEEDS_INTERVAL_MS:
            return []
        self.speeds_sent_ms = now_ms
        changed = self.speeds.take_changes()
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
        changed = self.shares.take_changes(self.state.shares.weights)
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

    def _speeds_for_new_members(self) -> list[EngineSpeedUpdate]:
        if all(member.sent_state.fleet_sent for member in self.members.values()):
            return []
        return speed_messages(self.speeds.all())

    def _send_update(self, member: Member, reports: ReportBuilder) -> int:
        """Send one member its update; return the bytes sent on a link."""
        if member.link is None:
            # This instance reads the store itself.
            self.state.reported_work.set_included(member.summed_number)
            self.state.quotas.acknowledge(member.report_number)
            self.state.load_outlook.on_answered(member.report_number)
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


def _sum_counts(counts: Iterable[dict[str, int]]) -> dict[str, int]:
    total: dict[str, int] = {}
    for each in counts:
        for model, requests in each.items():
            total[model] = total.get(model, 0) + requests
    return total
