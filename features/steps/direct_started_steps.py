"""Steps for what an entry that has just started is told of crashes."""

import asyncio

from behave import given
from behave import then
from behave import when
from behave.runner import Context

from harness.direct_entry import DirectEntry
from harness.direct_entry import ReceivedResponse
from harness.direct_target import ScriptedTarget
from harness.loop import run
from mimosaspur_coordination.quarantine.crashledger import Stage
from mimosaspur_protocol.peermessages import CrashReport


@given("an entry that has just started, before a target")
def start_entry(context: Context) -> None:
    async def start() -> None:
        context.entry = DirectEntry()
        context.first = ScriptedTarget("first")
        await context.entry.start(context.first)
        context.entry.state.quarantine.on_started()

    run(context, start())


@when("a request comes")
def send_request(context: Context) -> None:
    async def send() -> None:
        context.answer_task = asyncio.create_task(context.entry.call("safe"))
        quarantine = context.entry.state.quarantine
        while not quarantine.handlers:
            await asyncio.sleep(0)
        (context.digest,) = (each.traits.digest for each in quarantine.handlers)

    run(context, send())


@then("it isn't sent within {ms:d} ms, and is rejected once another entry tells of its verdict")
def check_told(context: Context, ms: int) -> None:
    async def tell() -> ReceivedResponse:
        await asyncio.sleep(ms / 1000)
        assert not context.first.seen
        quarantine = context.entry.state.quarantine
        stages = [(context.digest, Stage.BLAMED)]
        crashes = [CrashReport(f"i-{number}", 0, stages) for number in range(3)]
        quarantine.apply_reports(crashes, relay=False)
        quarantine.on_told()
        answer: ReceivedResponse = await context.answer_task
        return answer

    answer = run(context, tell())
    assert answer.status == 502, answer
    assert answer.body.startswith(b"3007"), answer
    assert not context.first.seen


@then("it is served within {ms:d} ms if nobody tells of crashes")
def check_served(context: Context, ms: int) -> None:
    async def wait() -> ReceivedResponse:
        async with asyncio.timeout(ms / 1000):
            answer: ReceivedResponse = await context.answer_task
        return answer

    answer = run(context, wait())
    assert answer.status == 200, answer
