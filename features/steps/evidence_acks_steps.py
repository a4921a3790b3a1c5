"""Steps for crashes on which all entries have reported."""

from behave import given
from behave import then
from behave import when
from behave.runner import Context

from harness.direct_fleet import ManualClock
from harness.loop import run
from mimosaspur_coordination.quarantine.crashledger import CrashLedger
from mimosaspur_coordination.quarantine.crashledger import Stage
from mimosaspur_coordination.quarantine.evidenceacks import EvidenceAcks
from mimosaspur_daemon.direct.entryreport import build_entry_report
from mimosaspur_daemon.direct.fleetreport import apply_report
from mimosaspur_daemon.direct.missingentries import MISSING
from mimosaspur_protocol.peermessages import CrashReport
from mimosaspur_protocol.peermessages import FleetReport

START_MS = 1_000
CRASH_INTERVAL_MS = 50
RETURN_MS = 1_200
UPDATE_NUMBER = 1
# By case, the update that each of two entries has answered.
ANSWERS = {
    "all entries have": (UPDATE_NUMBER, UPDATE_NUMBER),
    "all entries but one have": (UPDATE_NUMBER, 0),
}


@given("the crashes A, A, on which {who} reported")
def record_reported(context: Context, who: str) -> None:
    context.clock = ManualClock(START_MS)
    ledger = context.ledger = CrashLedger(clock=context.clock)
    ledger.set_covered(0)
    for number in range(2):
        context.clock.ms += CRASH_INTERVAL_MS
        ledger.record(f"i-{number}", {b"A": Stage.RUNNING})
    acks = EvidenceAcks()
    acks.on_update(UPDATE_NUMBER, ledger.unacknowledged())
    for target in acks.acknowledged(ANSWERS[who]):
        ledger.acknowledge(target, covered_ms=context.clock.ms - START_MS)


@when("the coordinator ends with the evidence of a crash, and A comes after its return")
def lose_coordinator(context: Context) -> None:
    known = context.ledger
    known.set_covered(MISSING)
    context.clock.ms += RETURN_MS
    # The process that comes back is told by the others.
    returned = context.ledger = CrashLedger(clock=context.clock)
    known.report_all()
    for crash in known.take_unreported():
        age_ms = context.clock.ms - crash.known_since_ms
        returned.record(crash.target, crash.traits, age_ms=age_ms, acknowledged=crash.acknowledged)
    returned.set_covered(0)
    context.clock.ms += CRASH_INTERVAL_MS
    returned.record("i-2", {b"A": Stage.RUNNING})


@when("its coordinator tells of the crash of that target")
def tell_of_crash(context: Context) -> None:
    state = context.entry.state
    (view,) = state.fleet.targets.values()
    context.crashed = view.record.incarnation
    report = FleetReport(
        token=1,
        can_issue_orders=True,
        entry_count=2,
        work=[],
        residents=[],
        model_ready_in_ms={},
        crashes=[CrashReport(context.crashed, 0, [(b"other", Stage.RUNNING)])],
        gives_turns=True,
        crashes_number=UPDATE_NUMBER,
    )

    async def tell() -> None:
        apply_report(state, report)

    run(context, tell())


@then("it doesn't say yet that it has reported on the crash")
def check_not_reported(context: Context) -> None:
    report = build_entry_report(context.entry.state)
    assert report.crashes_number == UPDATE_NUMBER, report
    assert report.evidence_number == 0, report


@then("the report in which it says so, or one before, lists its request")
def check_reported(context: Context) -> None:
    report = build_entry_report(context.entry.state)
    assert report.evidence_number == UPDATE_NUMBER, report
    assert [each.target for each in report.crashes] == [context.crashed], report
    assert [trait for trait, _ in report.crashes[0].traits] != [b"other"], report
