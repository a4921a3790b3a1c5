"""Hold what the coordinator heard from the entries, and tell them of the fleet."""

import contextlib
from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field

from mimosaspur_coordination.modelpace import Pace
from mimosaspur_coordination.modelpace import SharedPaces
from mimosaspur_coordination.orderlease import OrderLease
from mimosaspur_daemon.direct.enginedesk import EngineDesk
from mimosaspur_daemon.direct.entrystate import EntryState
from mimosaspur_daemon.direct.fleetreport import apply_report
from mimosaspur_daemon.direct.fleetreport import paces_told
from mimosaspur_daemon.direct.fleetreport import residents_of
from mimosaspur_daemon.direct.fleetreport import total_work
from mimosaspur_daemon.direct.fleetreport import work_of_others
from mimosaspur_daemon.direct.storenews import StoreTeller
from mimosaspur_protocol.peermessages import EntryReport
from mimosaspur_protocol.peermessages import FleetReport
from mimosaspur_protocol.peermessages import PaceOf
from mimosaspur_protocol.peermessages import ProofRequest
from mimosaspur_protocol.peermessages import Residents
from mimosaspur_protocol.peermessages import StepDown
from mimosaspur_protocol.peermessages import WorkAt
from mimosaspur_transport.peerlink import PeerLink
from mimosaspur_transport.peerlink import PeerLost

# Entries hear at least so often, so that they notice when the coordinator is gone.
HEARTBEAT_MS = 250
# Paces change slowly once they are known.
PACES_EVERY_MS = 1_000


NOT_TOLD = -1


@dataclass(slots=True)
class Member:
    """Hold what one entry last told, and what it was last told."""

    work: dict[str, WorkAt] = field(default_factory=dict)
    waiting: dict[str, int] = field(default_factory=dict)
    adapters: list[tuple[str, str]] = field(default_factory=list)
    heard_ms: int = 0
    leaving: bool = False
    link: PeerLink | None = None
    told_ms: int = 0
    told_work: Mapping[str, WorkAt] = field(default_factory=dict)
    told_residents: dict[str, Residents] = field(default_factory=dict)
    told_expected: frozenset[str] = frozenset()
    # The number of changes in the store up to which it was told.
    told_store: int = NOT_TOLD


class Members:
    """Keep the entries that follow a coordinator, its own one among them."""

    def __init__(self, state: EntryState) -> None:
        self.state = state
        self.members: dict[str, Member] = {}
        self.paces = SharedPaces()
        self.paces_told_ms = 0
        self.store = StoreTeller(state)

    def hear(self, report: EntryReport, member: Member) -> None:
        """Take an entry's work, what waits there, and what it has learnt."""
        member.heard_ms = self.state.clock.now_ms()
        member.work = {work.target: work for work in report.work}
        member.waiting = {asked.model: asked.waiting for asked in report.asked if asked.waiting}
        member.adapters = [(model, adapter) for model, adapter in report.adapters]
        member.leaving = report.leaving
        for told in report.paces:
            self.paces.hear(told.model, Pace(told.factor, told.measurements))

    def own(self, instance: str) -> Member:
        """Return the member that stands for this instance's own entry."""
        member = self.members.get(instance)
        if member is None or member.link:
            member = self.members[instance] = Member()
        return member

    def forget(self, member: Member) -> None:
        """Drop an entry whose link has ended."""
        for instance, known in list(self.members.items()):
            if known is member:
                del self.members[instance]

    def linked(self) -> set[str]:
        """Return the other entries."""
        return {instance for instance, member in self.members.items() if member.link}

    def close(self) -> None:
        """Close the links to the other entries."""
        for member in self.members.values():
            if member.link:
                member.link.close()

    def waiting(self, model: str) -> int:
        """Return the requests that wait for a model."""
        return sum(member.waiting.get(model, 0) for member in self.members.values())

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

    def send_all(self, message: StepDown | ProofRequest) -> None:
        """Send a message to all other entries."""
        for member in self.members.values():
            if member.link:
                with contextlib.suppress(PeerLost):
                    member.link.send(message)

    def tell(self, desks: Iterable[EngineDesk], lease: OrderLease) -> None:
        """Tell each member what has changed for it, and that the coordinator is there."""
        now_ms = self.state.clock.now_ms()
        desks = list(desks)
        residents = {
            desk.record.identity: residents_of(desk) for desk in desks if desk.sequence is not None
        }
        expected = {desk.loading: desk.expected_in_ms() for desk in desks if desk.loading}
        targets = self.state.fleet.targets
        paces = self._paces_to_tell(now_ms)
        self.store.look()
        fresh = self.store.fresh()
        totals = total_work((member.work for member in self.members.values()), targets)
        for member in self.members.values():
            news = FleetReport(
                token=lease.record.token if lease.record else 0,
                ordering=lease.proved(),
                entries=len(self.members),
                work=[],
                residents=[],
                expected=expected,
                paces=paces,
                staying=sum(not each.leaving for each in self.members.values()),
                store=self.store.news(member.told_store) if fresh and member.link else None,
            )
            self._tell_member(member, news, totals, residents, now_ms)

    def _paces_to_tell(self, now_ms: int) -> list[PaceOf]:
        if now_ms - self.paces_told_ms < PACES_EVERY_MS:
            return []
        self.paces_told_ms = now_ms
        news = self.paces.news()
        if news:
            factors = {model: round(pace.factor, 2) for model, pace in news.items()}
            self.state.log.write("paces", factors=factors)
        return paces_told(news)

    def _tell_member(
        self,
        member: Member,
        news: FleetReport,
        totals: Mapping[str, WorkAt],
        residents: dict[str, Residents],
        now_ms: int,
    ) -> None:
        work = work_of_others(totals, member.work)
        news.work = [each for target, each in work.items() if member.told_work.get(target) != each]
        news.residents = [
            each for target, each in residents.items() if member.told_residents.get(target) != each
        ]
        expected = frozenset(news.expected)
        news_there = (
            news.work,
            news.residents,
            news.paces,
            member.told_expected != expected,
            news.store and member.told_store != self.store.number,
        )
        if not any(news_there) and now_ms - member.told_ms < HEARTBEAT_MS:
            return
        member.told_ms = now_ms
        member.told_work = work
        member.told_residents = residents
        member.told_expected = expected
        if news.store:
            member.told_store = self.store.number
        if member.link is None:
            apply_report(self.state, news)
            return
        try:
            member.link.send(news)
        except PeerLost:
            member.link.close()
