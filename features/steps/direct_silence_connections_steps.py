"""Steps for sound targets that accept no connections for a time."""

import asyncio
from dataclasses import replace

from behave import given
from behave import then
from behave import when
from behave.runner import Context

from harness.direct_entry import DirectEntry
from harness.direct_entry import configuration
from harness.direct_entry import engine_spec
from harness.direct_entry import model_spec
from harness.loop import run
from harness.silence_play import MODEL_HEADERS
from harness.silence_play import record_of
from harness.silence_play import slower
from harness.silent_target import MODEL
from harness.still_target import StillTarget
from mimosaspur_platform.names import DIALECT

EVENT_COUNT = 3
COMING_S = 0.1
MAX_ATTEMPTS = 3


@given("an entry whose only engine accepts no connections for {silent} s")
def start_entry(context: Context, silent: str) -> None:
    async def start() -> None:
        engine = engine_spec([model_spec(MODEL)])
        held = configuration(engine)
        context.entry = DirectEntry(engine=engine, dialect=DIALECT)
        routes = tuple(slower(route, MAX_ATTEMPTS) for route in held.routes)
        context.entry.state.configuration = replace(held, routes=routes)
        engine_target = StillTarget("i-1", event_count=EVENT_COUNT)
        context.add_cleanup(engine_target.stop)
        await engine_target.start()
        context.entry.state.fleet.update([record_of(engine_target)], [])
        await context.entry.start()
        engine_target.fall_silent(float(silent))

    run(context, start())


@when("{count:d} streams come at once")
def send_streams(context: Context, count: int) -> None:
    async def send(number: int) -> object:
        headers = MODEL_HEADERS | {"X-Attempt-Id": f"r-{number}"}
        return await context.entry.call("resumable-stream", headers=headers)

    async def send_all() -> list[object]:
        await asyncio.sleep(COMING_S)
        return await asyncio.gather(*map(send, range(count)))

    context.answers = run(context, send_all())


@then("each stream is served")
def check_served(context: Context) -> None:
    statuses = [answer.status for answer in context.answers]
    assert statuses == [200] * len(statuses), [
        (answer.status, answer.body[:60]) for answer in context.answers
    ]
