"""Steps with rejections that belong to no send of the request."""

import asyncio

from behave import given
from behave import then
from behave import when
from behave.runner import Context

from harness.direct_entry import REQUEST_KINDS
from harness.direct_entry import DirectEntry
from harness.direct_target import ScriptedTarget
from harness.loop import run
from harness.promise_play import NOT_RUN_STATUSES
from harness.stray_target import StrayTarget

LIMIT_MS = 2_000
# A request may begin to run after its answer.
SETTLE_S = 0.3


@given(
    "a direct entry before a target that rejects the first request on a connection, and rejects it"
    " once more before it runs the next"
)
def start_repeating(context: Context) -> None:
    _start(context, StrayTarget(rejects_first=True))


@given(
    "a direct entry before a target that sends a rejection without an ID before it runs a request"
)
def start_unnamed(context: Context) -> None:
    _start(context, StrayTarget(rejects_first=False))


@given("a direct entry before a target that answers with {status:d} and has run the request")
def start_unproven(context: Context, status: int) -> None:
    _start(context, ScriptedTarget("t-0", f"answers with {status}"))


@then("its caller is answered {status:d}")
def check_status(context: Context, status: int) -> None:
    assert context.answer.status == status, context.answer
    assert context.target.runs() == 1, context.target.seen


def _start(context: Context, target: StrayTarget | ScriptedTarget) -> None:
    async def start() -> None:
        context.target = target
        context.entry = DirectEntry()
        context.entry.add("t-0", await target.start())
        await context.entry.start()

    run(context, start())


@when("the target gets {request} from a caller")
def send(context: Context, request: str) -> None:
    async def call() -> None:
        headers = {"X-Deadline-Ms": str(LIMIT_MS)}
        context.answer = await context.entry.call(REQUEST_KINDS[request][0], headers=headers)
        await asyncio.sleep(SETTLE_S)

    run(context, call())


@then("the request has run once at most, and never if its caller was told that it has not run")
def check_runs(context: Context) -> None:
    most = 0 if context.answer.status in NOT_RUN_STATUSES else 1
    assert len(context.target.ran) <= most, (context.answer.status, context.target.ran)
