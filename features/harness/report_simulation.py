"""Simulate entries' reports to a coordinator, and its updates on one another's work."""

from collections.abc import Mapping
from collections.abc import Sequence
from unittest import mock

from harness.direct_entry import entry_dependencies
from harness.direct_entry import null_log
from harness.direct_entry import settings_for
from mimosaspur_coordination.limits.sharelease import SharerCount
from mimosaspur_coordination.orderlease import OrderLease
from mimosaspur_daemon.direct.entrystate import EntryState
from mimosaspur_daemon.direct.fleetreport import total_work
from mimosaspur_daemon.direct.members import Member
from mimosaspur_daemon.direct.members import Members
from mimosaspur_daemon.direct.memberupdates import MemberUpdates
from mimosaspur_daemon.direct.permitgrants import PermitGrants
from mimosaspur_daemon.direct.reportedwork import ReportedWork
from mimosaspur_protocol.peermessages import EntryReport
from mimosaspur_protocol.peermessages import TargetWork
from mimosaspur_protocol.peermessages import encode_peer
from mimosaspur_state.clock import SystemClock
from mimosaspur_state.fleet import OutstandingWork

TOKENS_PER_REQUEST = 100
RANK = 3
ENCODER = "mimosaspur_daemon.direct.fleetchanges.encode_peer"


class ReportSimulation:
    """Deliver reports and updates in any order, and check each entry's view of others' work."""

    def __init__(self, entries: int, targets: Sequence[str]) -> None:
        self.targets = targets
        self.entries = [ReportedWork() for _ in range(entries)]
        # Reports in transit, and the last one received, with their numbers.
        self.in_transit: list[list[tuple[int, dict[str, TargetWork]]]] = [
            [] for _ in range(entries)
        ]
        self.received: list[tuple[int, dict[str, TargetWork]]] = [(0, {}) for _ in range(entries)]
        self.last_sent: dict[str, TargetWork] = {}
        # Each entry's view of the others' work, from the updates that it received.
        self.views: list[dict[str, OutstandingWork]] = [{} for _ in range(entries)]

    def step(self, name: str, entry: int = 0, requests: Mapping[str, int] | None = None) -> None:
        """Perform one step by its name."""
        if name == "report":
            work = [
                TargetWork(target, count, {RANK: count * TOKENS_PER_REQUEST}, count, {})
                for target, count in (requests or {}).items()
            ]
            number = self.entries[entry].add_report(work)
            self.in_transit[entry].append((number, {each.target: each for each in work}))
        elif name == "hear" and self.in_transit[entry]:
            self.received[entry] = self.in_transit[entry].pop(0)
        elif name == "tell":
            self._send_updates()
        elif name == "new coordinator":
            self.__init__(len(self.entries), self.targets)  # type: ignore[misc]

    def _send_updates(self) -> None:
        totals = total_work((work for _, work in self.received), self.targets)
        changed = [each for key, each in totals.items() if self.last_sent.get(key) != each]
        self.last_sent = totals
        for index, entry in enumerate(self.entries):
            entry.set_included(self.received[index][0])
            self.views[index].update(entry.apply_totals(changed))
            others = [work for number, (_, work) in enumerate(self.received) if number != index]
            for target, expected in total_work(others, self.targets).items():
                actual = self.views[index].get(target, OutstandingWork())
                assert actual.requests == expected.requests, (target, actual, expected)
                assert actual.held_tokens == expected.held_tokens
                assert sum(actual.prefill_tokens.values()) == sum(expected.prefill_tokens.values())


class CountingLink:
    """A fake link to an entry that counts sent frames."""

    def __init__(self) -> None:
        self.frames = 0

    def send_encoded(self, frames: bytes) -> None:
        """Count a non-empty send."""
        self.frames += bool(frames)


class CoordinatorWithMembers:
    """Run a coordinator's member list, and count the messages encoded for it."""

    def __init__(self, entries: int) -> None:
        log = null_log("coordinator")
        self.state = EntryState(
            settings_for("coordinator"), entry_dependencies("coordinator", log=log)
        )
        clock = SystemClock()
        sharers = SharerCount(window_ms=0, predecessor_ended_ms=0, clock=clock)
        self.lease = OrderLease("coordinator", handover_ms=0, clock=clock)
        permits = PermitGrants(self.state.notices, may_issue=self.lease.may_order, clock=clock)
        self.members = Members(self.state, sharers, permits)
        self.updates = MemberUpdates(self.members)
        self.links: dict[str, CountingLink] = {}
        self.encoded = 0
        for _ in range(entries):
            self.add_entry()

    def add_entry(self) -> None:
        """Connect one more entry."""
        name = f"entry-{len(self.links)}"
        self.links[name] = CountingLink()
        link = self.links[name]
        self.members.add(name, Member(link=link))  # type: ignore[arg-type]

    def send_updates(self, *, work_at: int) -> None:
        """Report work of the first entry at work_at targets, and send updates to all entries."""
        work = [TargetWork(f"t{n}", 1, {}, 1, {}) for n in range(work_at)]
        report = EntryReport("entry-0", 1, work, [], [], [])
        self.members.apply_report(report, self.members.members["entry-0"])
        for link in self.links.values():
            link.frames = 0
        # Skips the pause after the previous update.
        self.updates.work_due_ms = 0
        with mock.patch(ENCODER, side_effect=encode_peer) as encode:
            self.updates.send_updates([], self.lease)
        self.encoded = encode.call_count

    def frame_counts(self) -> dict[str, int]:
        """Return the number of sends to each entry in the last update."""
        return {name: link.frames for name, link in self.links.items()}
