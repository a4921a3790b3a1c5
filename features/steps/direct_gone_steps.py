"""Steps for targets that are silent for a moment."""

import asyncio

from behave import given
from behave import then
from behave import when
from behave.runner import Context

from harness.direct_entry import DirectEntry
from harness.direct_entry import engine_spec
from harness.direct_entry import model_spec
from harness.direct_fleet import ManualClock
from harness.direct_target import EVENT_NUMBERS
from harness.loop import run
from harness.unaccepting_target import UnacceptingTarget
from mimosaspur_coordination.targethealth import TargetHealth

HEADERS = {"X-Model": "notes", "X-Token-Counts": "10,6"}
ALL_EVENTS = b"".join(b"id: %d\ndata: event %d\n\n" % (n, n) for n in EVENT_NUMBERS)


@given("a direct entry before only an engine that accepts no connections for {silent_ms:d} ms")
def start_entry(context: Context, silent_ms: int) -> None:
    async def start() -> None:
        context.entry = DirectEntry(engine=engine_spec([model_spec("notes")]))
        await context.entry.start(UnacceptingTarget("first", silent_s=silent_ms / 1000))
        context.entry.state.fleet.targets["first"].residents = {"notes": frozenset()}

    run(context, start())


@when("{count:d} callers send it a resumable stream at once")
def send_at_once(context: Context, count: int) -> None:
    async def send() -> None:
        calls = [
            context.entry.call("resumable-stream", headers={**HEADERS, "X-Request-Id": f"r-{n}"})
            for n in range(count)
        ]
        context.answers = await asyncio.gather(*calls)

    run(context, send())


@then("each of them gets all its events")
def check_answers(context: Context) -> None:
    for answer in context.answers:
        assert answer.status == 200, (answer.status, answer.body)
        assert answer.whole and answer.body == ALL_EVENTS, answer.body


@given("a target to which {count:d} connections at once fail whenever it is tried")
def fail_connections(context: Context, count: int) -> None:
    context.clock = ManualClock(1_000)
    context.health = TargetHealth(clock=context.clock)
    context.failures_at_once = count


@then("it is left alone for {first:d}, {second:d}, {third:d} and {last:d} ms")
def check_pauses(context: Context, first: int, second: int, third: int, last: int) -> None:
    pauses_ms = []
    for _ in range(4):
        for _ in range(context.failures_at_once):
            context.health.record_unreachable()
        failed_ms = context.clock.ms
        while context.health.is_cooling_down():
            context.clock.ms += 1
        pauses_ms.append(context.clock.ms - failed_ms)
    assert pauses_ms == [first, second, third, last], pauses_ms
