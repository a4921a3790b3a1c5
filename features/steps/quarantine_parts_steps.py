"""Steps for the blame that parts of prompts get for crashes."""

from behave import given
from behave import then
from behave import when
from behave.runner import Context

from harness.direct_fleet import ManualClock
from harness.quarantine_plays import play_any
from harness.quarantine_simulation import PartSimulation
from mimosaspur_coordination.quarantine.crashledger import SETTLE_MS
from mimosaspur_coordination.quarantine.crashledger import CrashLedger
from mimosaspur_coordination.quarantine.crashledger import Stage
from mimosaspur_coordination.quarantine.traits import PART_PREFIX

CRASH_INTERVAL_MS = 100


@given("targets that crashed under {crashes}")
def record_prompt_crashes(context: Context, crashes: str) -> None:
    start_ledger(context)
    record_more_crashes(context, crashes)


@given("a ledger")
def start_ledger(context: Context) -> None:
    context.clock = ManualClock(100_000)
    context.ledger = CrashLedger(clock=context.clock)
    context.ledger.set_covered(0)
    context.numbers = iter(range(1, 10_000))


@given("the parts {parts} were served {ms:d} ms before")
def serve_parts(context: Context, parts: str, ms: int) -> None:
    context.ledger.on_served([_part(name) for name in parts.split(" and ")])
    context.clock.ms += ms - CRASH_INTERVAL_MS


@when("targets crash under {crashes}")
def record_more_crashes(context: Context, crashes: str) -> None:
    for requests in crashes.split(", "):
        context.clock.ms += CRASH_INTERVAL_MS
        _record_prompts(context, requests)


@when("targets crash at the same moment under {crashes}")
def record_crashes_at_once(context: Context, crashes: str) -> None:
    for requests in crashes.split(", "):
        _record_prompts(context, requests)


@when("it hears of a crash under {requests}")
def hear_of_crash(context: Context, requests: str) -> None:
    context.clock.ms += CRASH_INTERVAL_MS
    _record_prompts(context, requests, report=False)


@then("it reports {part} as {what}")
def check_reported(context: Context, part: str, what: str) -> None:
    (crash,) = context.ledger.take_unreported()
    if what == "served":
        assert _part(part) in crash.served, crash
    else:
        assert crash.traits == {_part(part): Stage.CLEARED}, crash


def _record_prompts(context: Context, requests: str, *, report: bool = True) -> None:
    """Record a crash under requests such as A:fg: a request and the parts of its prompt."""
    stages, parts = {}, {}
    for each in requests.split():
        name, _, own = each.partition(":")
        stages[name.encode()] = Stage.RUNNING
        parts[name.encode()] = [_part(part) for part in own]
    context.ledger.record(f"i-{next(context.numbers)}", stages, parts=parts, report=report)


def _part(name: str) -> bytes:
    return PART_PREFIX + name.encode()


@when("a request with {parts} is served")
def serve_request(context: Context, parts: str) -> None:
    context.ledger.on_served([_part(name) for name in parts.split(" and ")])


@then("what is blamed is {blamed}")
def check_blamed_traits(context: Context, blamed: str) -> None:
    context.clock.ms += SETTLE_MS
    context.ledger.assign_blame()
    names = {each.removeprefix(PART_PREFIX).decode() for each in context.ledger.quarantined()}
    assert names == (set() if blamed == "nothing" else set(blamed.split(" and "))), names


@then("{seconds:d} s later what is blamed is {blamed}")
def check_blamed_later(context: Context, seconds: int, blamed: str) -> None:
    context.clock.ms += seconds * 1_000 - SETTLE_MS
    check_blamed_traits(context, blamed)


@then(
    "in any play of {entries:d} entries with one part that crashes targets no sound part is"
    " rejected"
)
def check_any_part_play(context: Context, entries: int) -> None:
    context.results = play_any(entries, PartSimulation)
