"""Steps for the blame that requests get for crashes."""

from behave import given
from behave import then
from behave import when
from behave.runner import Context

from harness.direct_fleet import ManualClock
from harness.quarantine_plays import MAX_EXAMPLES
from harness.quarantine_plays import play_any
from harness.quarantine_simulation import QuarantineSimulation
from mimosaspur_coordination.quarantine.crashledger import MAX_CRASHES
from mimosaspur_coordination.quarantine.crashledger import MAX_REQUESTS_PER_CRASH
from mimosaspur_coordination.quarantine.crashledger import RETENTION_MS
from mimosaspur_coordination.quarantine.crashledger import SETTLE_MS
from mimosaspur_coordination.quarantine.crashledger import CrashLedger
from mimosaspur_coordination.quarantine.crashledger import Stage

CRASH_INTERVAL_MS = 100
ORDINALS = {"third": 3, "fifth": 5}


@given("the crashes {crashes}")
def record_crashes(context: Context, crashes: str) -> None:
    verdict = crashes.endswith(", and a verdict")
    context.clock = ManualClock(1_000)
    context.ledger = CrashLedger(clock=context.clock)
    context.ledger.set_covered(-1 if crashes.startswith("of some entries ") else 0)
    crashes = crashes.removeprefix("of some entries ")
    context.numbers = iter(range(1, 10_000))
    _record(context, crashes.removesuffix(", and a verdict"))
    if verdict:
        context.clock.ms += SETTLE_MS
        context.ledger.assign_blame()
        assert context.ledger.is_quarantined(b"A")


def _record(context: Context, crashes: str) -> None:
    for requests in crashes.split(", "):
        context.clock.ms += CRASH_INTERVAL_MS
        stages = {
            each.upper().encode(): Stage.RUNNING if each.isupper() else Stage.QUEUED
            for each in requests
        }
        context.ledger.record(f"i-{next(context.numbers)}", stages)


@when("{name} completes and then come the crashes {crashes}")
def complete(context: Context, name: str, crashes: str) -> None:
    context.ledger.clear(name.encode())
    _record(context, crashes)


@then("{blamed} is blamed for them")
def check_blamed(context: Context, blamed: str) -> None:
    context.clock.ms += SETTLE_MS
    context.ledger.assign_blame()
    expected = set() if blamed == "nobody" else set(blamed.split(" and "))
    assert {each.decode() for each in context.ledger.quarantined()} == expected


@then("nobody is blamed {early:d} ms after the last one became known, and A {late:d} ms after")
def check_settled(context: Context, early: int, late: int) -> None:
    began_ms = context.clock.ms
    context.clock.ms = began_ms + early
    context.ledger.assign_blame()
    assert not context.ledger.quarantined()
    assert context.ledger.settles_in_ms(b"A") == SETTLE_MS - early
    context.clock.ms = began_ms + late
    context.ledger.assign_blame()
    assert context.ledger.is_quarantined(b"A")


@when("{seconds:d} s go by for the verdict")
def let_time_pass(context: Context, seconds: int) -> None:
    context.clock.ms += seconds * 1_000


@when("one of its crashes lapses and another comes")
def lapse_one(context: Context) -> None:
    first_ms = min(crash.known_since_ms for crash in context.ledger.crashes.values())
    context.clock.ms = first_ms + RETENTION_MS + 1
    assert not context.ledger.is_quarantined(b"A")
    assert context.ledger.crash_count(b"A") == 2
    context.ledger.record("i-new", {b"A": Stage.RUNNING})
    context.ledger.assign_blame()


@when("A is cleared")
def clear(context: Context) -> None:
    assert context.ledger.clear(b"A")


@when("{count:d} other requests crash a target each")
@when("{count:d} other requests crash a target each, with {beside:d} beside")
def flood(context: Context, count: int, beside: int = 0) -> None:
    for number in range(count):
        others = {b"%d beside %d" % (each, number): Stage.QUEUED for each in range(beside)}
        own = {b"other %d" % number: Stage.RUNNING}
        context.ledger.record(f"flood-{number}", others | own)
    crashes = context.ledger.crashes
    assert len(crashes) == MAX_CRASHES
    assert max(len(crash.traits) for crash in crashes.values()) <= MAX_REQUESTS_PER_CRASH
    newest = crashes[f"flood-{count - 1}"].traits
    assert b"other %d" % (count - 1) in newest, "a running request was dropped for queued ones"


@when("another entry is told of it backwards, twice")
def merge_backwards(context: Context) -> None:
    told = CrashLedger(clock=context.clock)
    for _ in range(2):
        for crash in reversed(list(context.ledger.crashes.values())):
            for digest, stage in crash.traits.items():
                told.record(crash.target, {digest: Stage.QUEUED})
                told.record(crash.target, {digest: stage}, report=False)
    context.ledger = told


@then("A is {state}")
def check_state(context: Context, state: str) -> None:
    assert context.ledger.is_quarantined(b"A") == (state == "quarantined")


@then(
    "in any play of {entries:d} entries with one request that crashes targets no sound one is"
    " rejected"
)
def check_any_play(context: Context, entries: int) -> None:
    context.results = play_any(entries, QuarantineSimulation)


@then(
    "it ran at most {most:d} times later than the {nth} crash and the window, unless evidence was"
    " lost"
)
def check_late_runs(context: Context, most: int, nth: str) -> None:
    results = context.results
    assert results.due_after == ORDINALS[nth], results
    assert len(results.late) > MAX_EXAMPLES / 4
    assert max(results.late) <= most, max(results.late)
