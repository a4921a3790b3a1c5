"""Steps for the order in which a coordinator gives turns."""

import asyncio
from collections.abc import Iterable

from behave import given
from behave import then
from behave import when
from behave.runner import Context

from harness.direct_fleet import ManualClock
from harness.loop import run
from mimosaspur_coordination.quarantine.crashledger import Stage
from mimosaspur_coordination.quarantine.turnissuer import ISOLATION
from mimosaspur_coordination.quarantine.turnissuer import Traits
from mimosaspur_coordination.quarantine.turnissuer import TurnDemand
from mimosaspur_coordination.quarantine.turnissuer import TurnIssuer
from mimosaspur_daemon.direct.entryreport import build_entry_report
from mimosaspur_daemon.direct.fleetreport import apply_report
from mimosaspur_protocol.peermessages import CrashReport
from mimosaspur_protocol.peermessages import FleetReport

STEP_MS = 10
CRASH_NOTICE_S = 1.0
ROUND_MS = 20
START_MS = 10_000
LONGEST_MS = 2_000
COPIED = (b"copied",)


class TurnCoordinator:
    """Give turns to entries that take them at once."""

    def __init__(self, count: int) -> None:
        self.clock = ManualClock(START_MS)
        self.issuer = TurnIssuer(clock=self.clock, first=True)
        # By entry, the turns that it has.
        self.taken: dict[str, set[Traits]] = {f"entry-{number}": set() for number in range(count)}
        # The number of the last update with crashes, and by entry the last one that it answered.
        self.sent_number = 0
        self.answered: dict[str, int] = dict.fromkeys(self.taken, 0)
        for name in self.taken:
            self.issuer.on_connect(name)

    def report(self, name: str, waiting: Iterable[Traits] = ()) -> None:
        """Apply the report of an entry that waits for turns beside those that it has."""
        sent = frozenset(trait for traits in self.taken[name] for trait in traits)
        number = self.issuer.entries[name].number
        demand = TurnDemand(list(waiting), sent)
        self.issuer.apply_demand(
            name,
            demand,
            asked_ms=self.clock.now_ms(),
            received_number=number,
            crashes_number=self.answered[name],
        )

    def issue(self) -> None:
        """Give the turns that are free."""
        for name, turns in self.issuer.issue(self.sent_number).items():
            self.taken[name].update(turns.traits)
            self.report(name)


def _traits(digest: bytes, crashes: str) -> Traits:
    return {"one crash": (digest,), "two crashes": (ISOLATION, digest)}[crashes]


@given("a coordinator that gives turns to {count:d} entries")
def start_turn_coordinator(context: Context, count: int) -> None:
    context.turn_coordinator = TurnCoordinator(count)


@when("an entry has the turn of a request that was at {crashes} for {lasts:d} ms")
def give_first_turn(context: Context, crashes: str, lasts: int) -> None:
    coordinator = context.turn_coordinator
    coordinator.report("entry-0", [_traits(b"first", crashes)])
    coordinator.issue()
    assert coordinator.taken["entry-0"], coordinator.taken
    context.first_ends_ms = START_MS + lasts


@when(
    "another one asks for that of a request that was at {crashes} {ms:d} ms after the first one"
    " got it"
)
def ask_for_second_turn(context: Context, crashes: str, ms: int) -> None:
    coordinator = context.turn_coordinator
    coordinator.clock.ms = START_MS + ms
    coordinator.report("entry-1", [_traits(b"second", crashes)])
    coordinator.issue()


@then("it gets its turn {ms:d} ms after the first one got it")
def check_second_turn(context: Context, ms: int) -> None:
    coordinator = context.turn_coordinator
    while not coordinator.taken["entry-1"] and coordinator.clock.ms <= START_MS + LONGEST_MS:
        coordinator.clock.ms += ROUND_MS
        if coordinator.clock.ms >= context.first_ends_ms and coordinator.taken["entry-0"]:
            coordinator.taken["entry-0"].clear()
            coordinator.report("entry-0")
        coordinator.issue()
    assert coordinator.clock.ms - START_MS == ms, (coordinator.clock.ms, coordinator.taken)


@when(
    "an entry has a request that was at one crash every {ms:d} ms, each at a target for"
    " {lasts:d} ms"
)
def start_flow(context: Context, ms: int, lasts: int) -> None:
    context.flow_interval_ms = ms
    context.flow_lasts_ms = lasts
    # By turn, when it ends.
    context.flow_ends_ms = {}
    context.flow_waits = []
    context.flow_given = 0
    _play_flow(context, lasts)


def _play_flow(context: Context, duration_ms: int) -> None:
    """Let the requests of the first entry come, get their turns and end."""
    coordinator = context.turn_coordinator
    taken = coordinator.taken["entry-0"]
    end_ms = coordinator.clock.ms + duration_ms
    while coordinator.clock.ms < end_ms:
        now_ms = coordinator.clock.ms = coordinator.clock.ms + STEP_MS
        if now_ms % context.flow_interval_ms == 0:
            context.flow_waits.append(_traits(b"flow %d" % now_ms, "one crash"))
        ended = {traits for traits in taken if context.flow_ends_ms[traits] <= now_ms}
        taken -= ended
        coordinator.report("entry-0", context.flow_waits)
        coordinator.issue()
        for traits in taken - context.flow_ends_ms.keys():
            context.flow_waits.remove(traits)
            context.flow_ends_ms[traits] = now_ms + context.flow_lasts_ms
            context.flow_given += 1
        if coordinator.taken["entry-1"]:
            return


@when("another one asks for the turn of a request that was at {crashes}")
def ask_beside_flow(context: Context, crashes: str) -> None:
    context.turn_coordinator.report("entry-1", [_traits(b"other", crashes)])


@then("it gets its turn within {ms:d} ms, and the others go on to get theirs")
def check_flow(context: Context, ms: int) -> None:
    coordinator = context.turn_coordinator
    began_ms = coordinator.clock.ms
    _play_flow(context, ms)
    assert coordinator.taken["entry-1"], coordinator.taken
    print(f"MEASURED its turn came after {coordinator.clock.ms - began_ms} ms")
    coordinator.taken["entry-1"].clear()
    # Another request of the kind waits all the time.
    coordinator.report("entry-1", [_traits(b"other", "two crashes")])
    given = context.flow_given
    _play_flow(context, ms)
    assert context.flow_given > given, coordinator.taken


@when("both ask for the turns of {count:d} requests that were at one crash")
def ask_for_many(context: Context, count: int) -> None:
    coordinator = context.turn_coordinator
    context.asked_count = count
    for name in coordinator.taken:
        digests = (f"{name} {number}".encode() for number in range(count))
        coordinator.report(name, [_traits(digest, "one crash") for digest in digests])
    coordinator.issue()


@then("all of them get their turns at once")
def check_many(context: Context) -> None:
    taken = context.turn_coordinator.taken
    assert [len(each) for each in taken.values()] == [context.asked_count] * len(taken), taken


@given("it has sent an update with a crash")
def send_crash(context: Context) -> None:
    context.turn_coordinator.sent_number += 1


@when("an entry that knows of the crash asks for the turn of a request that was there")
def ask_after_crash(context: Context) -> None:
    coordinator = context.turn_coordinator
    for name in ("entry-0", "entry-2"):
        coordinator.answered[name] = coordinator.sent_number
        coordinator.report(name, [COPIED] if name == "entry-0" else [])
    coordinator.issue()


@then("none is given while another entry hasn't answered the update")
def check_not_given(context: Context) -> None:
    coordinator = context.turn_coordinator
    coordinator.clock.ms += ROUND_MS
    coordinator.issue()
    assert not any(coordinator.taken.values()), coordinator.taken


@then("none is given once that has answered with a copy that is under way")
def check_under_way(context: Context) -> None:
    coordinator = context.turn_coordinator
    coordinator.answered["entry-1"] = coordinator.sent_number
    coordinator.taken["entry-1"].add(COPIED)
    coordinator.report("entry-1")
    coordinator.issue()
    assert not coordinator.taken["entry-0"], coordinator.taken


@then("it is given once that copy has ended")
def check_given(context: Context) -> None:
    coordinator = context.turn_coordinator
    coordinator.taken["entry-1"].clear()
    coordinator.report("entry-1")
    coordinator.issue()
    assert coordinator.taken["entry-0"] == {COPIED}, coordinator.taken


@then("it is given {ms:d} ms later if another entry never answers")
def check_overdue(context: Context, ms: int) -> None:
    coordinator = context.turn_coordinator
    while not coordinator.taken["entry-0"] and coordinator.clock.ms <= START_MS + LONGEST_MS:
        coordinator.clock.ms += STEP_MS
        coordinator.issue()
    assert coordinator.clock.ms - START_MS == ms, (coordinator.clock.ms, coordinator.taken)


@when("its coordinator tells of a crash of another target with the same request")
def tell_of_crash(context: Context) -> None:
    state = context.entry.state
    (digest,) = state.quarantine.at_targets
    state.report_requested.clear()
    report = FleetReport(
        token=1,
        can_issue_orders=True,
        entry_count=2,
        work=[],
        residents=[],
        model_ready_in_ms={},
        crashes=[CrashReport("i-0", 0, [(digest, Stage.RUNNING)])],
        gives_turns=True,
        crashes_number=1,
    )

    async def tell() -> None:
        apply_report(state, report)

    run(context, tell())
    context.suspected = digest


@then("it is to report at once that the request is under way, and the number of the update")
def check_answers_update(context: Context) -> None:
    state = context.entry.state
    assert state.report_requested.is_set()
    report = build_entry_report(state)
    assert report.suspects_sent == [context.suspected], report
    assert report.crashes_number == 1, report


@when("that target crashes")
def crash_target(context: Context) -> None:
    async def crash() -> None:
        quarantine = context.entry.state.quarantine
        context.first.server.close()
        context.first.stop_streams()
        context.missed = False
        async with asyncio.timeout(CRASH_NOTICE_S):
            while quarantine.at_targets or not quarantine.ledger.crashes:
                context.missed |= not quarantine.at_targets
                await asyncio.sleep(0)

    run(context, crash())


@then("the request counts as under way until the crash is known, and no longer")
def check_under_way_until_known(context: Context) -> None:
    assert not context.missed
