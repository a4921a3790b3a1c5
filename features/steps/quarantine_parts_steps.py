"""Steps for the blame that parts of prompts get for crashes."""

import itertools
import random
import time

import msgspec
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
from mimosaspur_protocol.peermessages import MAX_MESSAGE_BYTES
from mimosaspur_protocol.peermessages import CrashReport

CRASH_INTERVAL_MS = 100
SESSIONS = 1_000


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


@when("{crashes:d} targets crash under {requests:d} requests of {parts:d} parts, {what}")
def crash_under_long_prompts(
    context: Context, crashes: int, requests: int, parts: int, what: str
) -> None:
    chooser = random.Random(1)
    numbers = itertools.count()
    shared = [_part(f"{next(numbers):08x}") for _ in range(parts - 1)]
    began_s = time.process_time()
    for crash in range(crashes):
        context.clock.ms += CRASH_INTERVAL_MS
        prompts = {}
        for number in range(requests):
            if what == "all parts but one different":
                own = [_part(f"{next(numbers):08x}") for _ in range(parts - 1)]
            elif what == "all parts but one of a session's":
                session = chooser.randrange(SESSIONS)
                own = [_part(f"{session}-{place}") for place in range(parts - 1)]
            else:
                own = shared.copy()
                chooser.shuffle(own)
            own.insert(chooser.randrange(parts), _part("guilty"))
            prompts[b"%d-%d" % (crash, number)] = own
        if what == "all parts but one shared by sound ones":
            context.ledger.on_served(shared)
        stages = dict.fromkeys(prompts, Stage.RUNNING)
        context.ledger.record(f"i-{next(context.numbers)}", stages, parts=prompts)
    context.recorded_ms = (time.process_time() - began_s) * 1000


@then("a part that all of them hold is blamed after at most {ms:d} ms of processor time")
def check_review_time(context: Context, ms: int) -> None:
    context.clock.ms += SETTLE_MS
    began_s = time.process_time()
    context.ledger.assign_blame()
    (blamed,) = context.ledger.quarantined()
    took_ms = (time.process_time() - began_s) * 1000
    print(f"MEASURED {took_ms:.1f} ms for the review, {context.recorded_ms:.1f} ms to record")
    holders = [set(crash.parts.values()) for crash in context.ledger.crashes.values()]
    assert all(blamed in own for prompts in holders for own in prompts), blamed
    assert took_ms <= ms, took_ms


@then("what is known of the crashes fits into one message between entries")
def check_report_size(context: Context) -> None:
    reports = [
        CrashReport(crash.target, 0, list(crash.traits.items()), crash.parts, list(crash.served))
        for crash in context.ledger.crashes.values()
    ]
    size = len(msgspec.msgpack.encode(reports))
    print(f"MEASURED {size} bytes for {len(reports)} crashes")
    assert size < MAX_MESSAGE_BYTES, size


@then(
    "in any play of {entries:d} entries with one part that crashes targets no sound part is"
    " rejected"
)
def check_any_part_play(context: Context, entries: int) -> None:
    context.results = play_any(entries, PartSimulation)
