"""Track the entries that follow the coordinator, and what they report."""

import contextlib
import random
from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field

from mimosaspur_coordination.enginespeed.shared import SharedEngineSpeeds
from mimosaspur_coordination.limits.sharelease import SharerCount
from mimosaspur_coordination.modelpace import Pace
from mimosaspur_coordination.modelpace import SharedPaces
from mimosaspur_coordination.quarantine.turnissuer import TurnDemand
from mimosaspur_coordination.quarantine.turnissuer import TurnIssuer
from mimosaspur_coordination.shares.issuer import ShareIssuer
from mimosaspur_daemon.direct.entrystate import EntryState
from mimosaspur_daemon.direct.fleetchanges import SentState
from mimosaspur_daemon.direct.missingentries import MissingEntries
from mimosaspur_daemon.direct.permitgrants import PermitGrants
from mimosaspur_daemon.direct.quotaaccounting import QuotaAccounting
from mimosaspur_daemon.direct.sharemessages import uses_of
from mimosaspur_daemon.direct.speedmessages import speeds_of
from mimosaspur_protocol.peermessages import EntryReport
from mimosaspur_protocol.peermessages import LeaseReadRequest
from mimosaspur_protocol.peermessages import StepDown
from mimosaspur_protocol.peermessages import TargetWork
from mimosaspur_state.policy import Mechanism
from mimosaspur_transport.peerlink import PeerLink
from mimosaspur_transport.peerlink import PeerLost


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
        self.speeds = SharedEngineSpeeds(state.fleet.started_ms)
        self.quotas = QuotaAccounting(state)
        self.shares = ShareIssuer(clock=state.clock)
        self.missing = MissingEntries(
            expected=state.staying_entries,
            complete_since_ms=state.quarantine.ledger.covered_since_ms,
            clock=state.clock,
        )
        self.turns = TurnIssuer(clock=sharers.clock, first=not state.staying_entries)

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


def _sum_counts(counts: Iterable[dict[str, int]]) -> dict[str, int]:
    total: dict[str, int] = {}
    for each in counts:
        for model, requests in each.items():
            total[model] = total.get(model, 0) + requests
    return total
