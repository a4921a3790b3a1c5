"""Steps for the budget of memory for callers."""

import asyncio

from behave import given
from behave import then
from behave import when
from behave.runner import Context

from harness.direct_entry import HOST
from harness.direct_entry import DirectEntry
from harness.direct_entry import read_response
from harness.direct_target import ScriptedTarget
from harness.loop import run
from mimosaspur_coordination.limits.memorybudget import MemoryBudget

HELD_BYTES = 10_000_000
READ_TIMEOUT_S = 3.0


class SetClock:
    """Tell the time that is set."""

    __slots__ = ("ms",)

    def __init__(self) -> None:
        self.ms = 0

    def now_ms(self) -> int:
        """Return the time."""
        return self.ms

    def wall_ms(self) -> int:
        """Return the time."""
        return self.ms


@given("a memory budget of {limit_mb:d} MB with {count:d} holdings of 10 MB")
def make_budget(context: Context, limit_mb: int, count: int) -> None:
    context.clock = SetClock()
    context.budget = MemoryBudget(limit_mb * 1_000_000, clock=context.clock)
    context.gone = []
    context.holdings = []
    for number in range(count):
        holding = context.budget.open(lambda number=number: context.gone.append(number))
        assert holding.add(HELD_BYTES)
        context.holdings.append(holding)


@given("{count:d} of them have waited for their callers for {ms:d} ms")
def stall(context: Context, count: int, ms: int) -> None:
    for number, holding in enumerate(context.holdings[:count]):
        # The last one has waited the longest.
        context.clock.ms = -number
        holding.wait_for_caller()
    context.clock.ms = ms


@when("another holding wants {wanted:d} bytes")
def want(context: Context, wanted: int) -> None:
    context.got = context.budget.open(lambda: None).add(wanted)


@then("it {gets} them, and {count:d} holdings gave way, the longest wait first")
def check_budget(context: Context, gets: str, count: int) -> None:
    stalled = [n for n, each in enumerate(context.holdings) if each.stalled_since_ms is not None]
    assert context.got == (gets == "gets"), context.budget.used_bytes
    assert context.gone == stalled[::-1][:count], context.gone
    assert context.budget.used_bytes <= context.budget.limit_bytes


@given("a direct entry with memory for {count:d} bytes before a sound target")
def start_entry(context: Context, count: int) -> None:
    context.entry = DirectEntry()
    context.entry.state.memory.limit_bytes = count
    context.target = ScriptedTarget("first")
    run(context, context.entry.start(context.target))


@when(
    "a caller announces a body of {length:d} bytes with a time limit of {ms:d} ms,"
    " and sends {sent:d} of them"
)
def send_body(context: Context, length: int, ms: int, sent: int) -> None:
    head = (
        f"POST /once/x HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: r-1\r\n"
        f"X-Deadline-Ms: {ms}\r\nContent-Length: {length}\r\n\r\n"
    )

    async def send() -> None:
        reader, writer = await context.entry.connect()
        writer.write(head.encode())
        await asyncio.sleep(0.05)
        writer.write(b"x" * sent)
        # What is read is only looked at once all has been sent.
        await writer.drain()
        async with asyncio.timeout(READ_TIMEOUT_S):
            context.answer = await read_response(reader)
        writer.close()

    run(context, send())


@then("it reads status {status:d} and code {code:d}, {retry} Retry-After")
def check_refusal(context: Context, status: int, code: int, retry: str) -> None:
    answer = context.answer
    assert (answer.status, answer.whole) == (status, True), answer
    assert answer.body.startswith(b"%d " % code), answer.body
    assert ("retry-after" in answer.headers) == (retry == "with a"), answer.headers


@then("the target got no request")
def check_unsent(context: Context) -> None:
    assert not context.target.seen, context.target.seen
