"""Hold what the coordinator heard from the entries, and tell them of the fleet."""

import contextlib
import random
from collections.abc import Collection
from dataclasses import dataclass
from dataclasses import field

from msgspec.structs import replace

from mimosaspur_coordination.coordinatorcapacity import update_pause_s
from mimosaspur_coordination.limits.sharelease import SharerCount
from mimosaspur_coordination.modelpace import Pace
from mimosaspur_coordination.modelpace import SharedPaces
from mimosaspur_coordination.orderlease import OrderLease
from mimosaspur_daemon.direct.enginedesk import EngineDesk
from mimosaspur_daemon.direct.entrystate import EntryState
from mimosaspur_daemon.direct.fleetreport import apply_report
from mimosaspur_daemon.direct.fleetreport import paces_told
from mimosaspur_daemon.direct.fleetreport import total_work
from mimosaspur_daemon.direct.fleetteller import FleetTeller
from mimosaspur_daemon.direct.fleetteller import Informed
from mimosaspur_daemon.direct.fleetteller import News
from mimosaspur_daemon.direct.quotateller import QuotaTeller
from mimosaspur_daemon.direct.storenews import StoreTeller
from mimosaspur_protocol.peermessages import EntryReport
from mimosaspur_protocol.peermessages import FleetReport
from mimosaspur_protocol.peermessages import PaceOf
from mimosaspur_protocol.peermessages import ProofRequest
from mimosaspur_protocol.peermessages import RemainingOf
from mimosaspur_protocol.peermessages import ReportCounted
from mimosaspur_protocol.peermessages import StepDown
from mimosaspur_protocol.peermessages import WorkAt
from mimosaspur_protocol.peermessages import encode_peer
from mimosaspur_transport.peerlink import PeerLink
from mimosaspur_transport.peerlink import PeerLost

# Entries hear at least so often, so that they notice when the coordinator is gone.
HEARTBEAT_MS = 250
# Paces change slowly once they are known.
PACES_EVERY_MS = 1_000


@dataclass(slots=True)
class Member:
    """Hold what one entry last told, and what it was last told."""

    # The number of its last report, and of the one that the sums of work count in.
    number: int = 0
    summed: int = 0
    work: dict[str, WorkAt] = field(default_factory=dict)
    waiting: dict[str, int] = field(default_factory=dict)
    adapters: list[tuple[str, str]] = field(default_factory=list)
    heard_ms: int = 0
    leaving: bool = False
    link: PeerLink | None = None
    informed: Informed = field(default_factory=Informed)


class Members:
    """Keep the entries that follow a coordinator, its own one among them."""

    def __init__(self, state: EntryState, sharers: SharerCount) -> None:
        self.state = state
        self.members: dict[str, Member] = {}
        self.sharers = sharers
        self.paces = SharedPaces()
        self.paces_told_ms = 0
        self.store = StoreTeller(state)
        self.fleet = FleetTeller()
        self.quotas = QuotaTeller(state)
        self.told_ms = 0
        # When the entries' work is summed up and told again.
        self.work_due_ms = 0

    def hear(self, report: EntryReport, member: Member) -> None:
        """Take an entry's work, what waits there, and what it has learnt."""
        member.heard_ms = self.state.clock.now_ms()
        first = not member.number
        member.number = report.number
        member.work = {work.target: work for work in report.work}
        member.waiting = {asked.model: asked.waiting for asked in report.asked if asked.waiting}
        member.adapters = [(model, adapter) for model, adapter in report.adapters]
        member.leaving = report.leaving
        self.quotas.hear(report, first=first)
        for told in report.paces:
            self.paces.add_report(told.model, Pace(told.factor, told.measurements))

    def own(self, instance: str) -> Member:
        """Return the member that stands for this instance's own entry."""
        member = self.members.get(instance)
        if member is None or member.link:
            member = self.add(instance, Member())
        return member

    def add(self, instance: str, member: Member) -> Member:
        """Take in an entry that follows from now on."""
        self.members[instance] = member
        self.sharers.on_connect(instance)
        return member

    def forget(self, member: Member) -> None:
        """Drop an entry whose link has ended."""
        for instance, known in list(self.members.items()):
            if known is member:
                entries = len(self.members)
                del self.members[instance]
                self.sharers.on_disconnect(instance)
                if not member.leaving:
                    self.quotas.lose(instance, entries=entries, heard_ms=member.heard_ms)

    def linked(self) -> set[str]:
        """Return the other entries."""
        return {instance for instance, member in self.members.items() if member.link}

    def close(self) -> None:
        """Close the links to the other entries."""
        for member in self.members.values():
            if member.link:
                member.link.close()

    def waiting(self) -> dict[str, int]:
        """Return the requests that wait for each model."""
        waiting: dict[str, int] = {}
        for member in self.members.values():
            for model, requests in member.waiting.items():
                waiting[model] = waiting.get(model, 0) + requests
        return waiting

    def waiting_adapters(self) -> set[tuple[str, str]]:
        """Return the adapters that requests wait for, with their models."""
        return {pair for member in self.members.values() for pair in member.adapters}

    def running(self) -> dict[str, dict[str, int]]:
        """Return the requests that run at each target, by model, over all entries."""
        running: dict[str, dict[str, int]] = {}
        for member in self.members.values():
            for target, work in member.work.items():
                counts = running.setdefault(target, {})
                for model, count in work.by_model.items():
                    counts[model] = counts.get(model, 0) + count
        return running

    def send(self, message: StepDown | ProofRequest, *, most: int | None = None) -> None:
        """Send a message to the other entries, or to some that are drawn."""
        links = [member.link for member in self.members.values() if member.link]
        if most is not None and most < len(links):
            links = random.sample(links, most)
        for link in links:
            with contextlib.suppress(PeerLost):
                link.send(message)

    def tell(self, desks: Collection[EngineDesk], lease: OrderLease) -> None:
        """Tell each member what has changed, and that the coordinator is there."""
        now_ms = self.state.clock.now_ms()
        work_due = now_ms >= self.work_due_ms
        changed = self.fleet.look(self._sums() if work_due else None, desks)
        paces = self._paces_to_tell(now_ms)
        quotas = self.quotas.news(len(self.members))
        head = self._head(lease, paces, quotas)
        news = News(head, self.fleet, self._store_to_tell(), self.quotas.all())
        if changed or paces or quotas or now_ms - self.told_ms >= HEARTBEAT_MS:
            self.told_ms = now_ms
            hearers = list(self.members.values())
        else:
            hearers = [each for each in self.members.values() if self._lacks(each, news)]
        sent_bytes = sum(self._tell_member(member, news) for member in hearers)
        if work_due:
            pause_s = update_pause_s(
                self.state.settings, sent_bytes=sent_bytes, recipients=len(hearers)
            )
            self.work_due_ms = now_ms + round(pause_s * 1000)

    def _sums(self) -> dict[str, WorkAt]:
        """Sum up the entries' work as they last reported it."""
        for member in self.members.values():
            member.summed = member.number
        work = (member.work for member in self.members.values())
        return total_work(work, self.state.fleet.targets)

    def _head(
        self, lease: OrderLease, paces: list[PaceOf], quotas: list[RemainingOf]
    ) -> FleetReport:
        return FleetReport(
            token=lease.record.token if lease.record else 0,
            ordering=lease.is_confirmed(),
            entries=len(self.members),
            work=[],
            residents=[],
            expected=self.fleet.expected,
            paces=paces,
            staying=sum(not each.leaving for each in self.members.values()),
            version=self.state.version(),
            quotas=quotas,
            sharers=self.sharers.sharer_count() if lease.is_confirmed() else 0,
        )

    def _store_to_tell(self) -> StoreTeller | None:
        self.store.look()
        return self.store if self.store.fresh() else None

    def _lacks(self, member: Member, news: News) -> bool:
        """Tell whether a member doesn't know yet what the others have been told before."""
        if not member.informed.fleet:
            return True
        return bool(member.link and news.store and member.informed.store != news.store.number)

    def _paces_to_tell(self, now_ms: int) -> list[PaceOf]:
        if now_ms - self.paces_told_ms < PACES_EVERY_MS:
            return []
        self.paces_told_ms = now_ms
        news = self.paces.take_changes()
        if news:
            factors = {model: round(pace.factor, 2) for model, pace in news.items()}
            self.state.log.write("paces", factors=factors)
        return paces_told(news)

    def _tell_member(self, member: Member, news: News) -> int:
        """Tell one member; return the bytes that it took on a link."""
        if member.link is None:
            # This instance reads the store for itself.
            self.state.reported_work.set_included(member.summed)
            self.state.quotas.acknowledge(member.number)
            apply_report(self.state, replace(news.report(member.informed), store=None))
            member.informed = news.after(member.informed)
            return 0
        frames = encode_peer(ReportCounted(member.summed, member.number)) + news.frame(
            member.informed
        )
        try:
            member.link.send_encoded(frames)
        except PeerLost:
            member.link.close()
            return 0
        member.informed = news.after(member.informed)
        return len(frames)
