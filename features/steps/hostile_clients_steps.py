"""Steps for callers that misbehave."""

from behave import given
from behave import then
from behave import when
from behave.runner import Context

from harness.direct_store import StoreStandIn
from harness.entry_processes import EntryProcesses
from harness.hostile_site import BEHAVIOURS
from harness.hostile_site import BODY_BYTES
from harness.hostile_site import OVER_BYTES
from harness.hostile_site import HostileSite
from harness.loop import run
from harness.process_usage import MB

ANSWER_BYTES = 7_900_000


@given("an entry process with at most {memory:d} MB and {descriptors:d} descriptors")
def start_entry(context: Context, memory: int, descriptors: int) -> None:
    context.memory_mb, context.descriptors = memory, descriptors
    fields = {"limits.memory_mb": str(memory), "limits.file_descriptors": str(descriptors)}
    entries = EntryProcesses(context.processes, 1, fields=fields)
    context.site = HostileSite(entries, store=StoreStandIn())
    context.add_cleanup(context.site.stop)
    run(context, context.site.start())


@when("{count:d} callers {behaviour}")
def play_crowd(context: Context, count: int, behaviour: str) -> None:
    context.beside = run(context, context.site.play(count, BEHAVIOURS[behaviour]))


@then("the process lives, within its memory and its descriptors")
def check_process(context: Context) -> None:
    usage = context.site.usage
    assert context.site.entry.runs(), usage
    assert usage.memory_bytes <= context.memory_mb * MB, usage
    assert usage.descriptors <= context.descriptors, usage


@then("an ordinary caller got its answer beside them, and gets one afterwards")
def check_ordinary(context: Context) -> None:
    after = run(context, context.site.ask())
    assert context.beside == 200, context.beside
    assert (after.status, after.body) == (200, b"xx"), after


@when("a caller sends a body of 1 MB and asks for 8 MB")
def send_single(context: Context) -> None:
    body = b"x" * BODY_BYTES
    context.answer = run(context, context.site.ask(body, answer_bytes=ANSWER_BYTES))


@then("it gets its whole answer")
def check_single(context: Context) -> None:
    answer = context.answer
    assert (answer.status, answer.whole, len(answer.body)) == (200, True, ANSWER_BYTES), answer
    bodies = [size for target in context.site.targets for size in target.bodies]
    assert bodies.count(BODY_BYTES) == 1, bodies


@when("bodies of 8 MB are announced and sent by {count:d} callers one after the other")
def send_over(context: Context, count: int) -> None:
    async def send() -> list[bytes]:
        return [await context.site.send_over(OVER_BYTES) for _ in range(count)]

    context.received = run(context, send())


@then("each of them reads status {status:d}")
def check_statuses(context: Context, status: int) -> None:
    statuses = [received.split(b" ")[1:2] for received in context.received]
    assert statuses == [[b"%d" % status]] * len(statuses), statuses
