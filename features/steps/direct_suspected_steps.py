"""Steps for suspected requests that wait at an entry."""

import asyncio

from behave import given
from behave import then
from behave import when
from behave.runner import Context

from harness.direct_entry import DOMAIN
from harness.direct_entry import DirectEntry
from harness.direct_target import ScriptedTarget
from harness.loop import run
from harness.route_digest import route_digest
from mimosaspur_coordination.quarantine.crashledger import SETTLE_MS
from mimosaspur_coordination.quarantine.crashledger import CrashLedger
from mimosaspur_coordination.quarantine.crashledger import Stage
from mimosaspur_protocol.peermessages import CrashReport
from mimosaspur_state.clock import Clock
from mimosaspur_state.fleet import TargetRecord


@given("an entry with a request that was at two crashes, before two targets")
def start_suspected(context: Context) -> None:
    async def start() -> None:
        context.entry = DirectEntry()
        context.targets = [ScriptedTarget("first"), ScriptedTarget("second")]
        await context.entry.start(*context.targets)
        digest = route_digest("resumable-stream")
        reports = [CrashReport(f"i-{each}", 0, [(digest, Stage.RUNNING)]) for each in range(2)]
        context.entry.state.quarantine.apply_reports(reports, relay=False)

    run(context, start())


@when("{count:d} copies of it come at once")
def send_copies(context: Context, count: int) -> None:
    async def send() -> None:
        quarantine = context.entry.state.quarantine
        context.most = 0
        calls = [asyncio.create_task(context.entry.call("resumable-stream")) for _ in range(count)]
        while not all(call.done() for call in calls):
            if quarantine.ledger.crash_count(route_digest("resumable-stream")):
                context.most = max(context.most, *quarantine.at_targets.values(), 0)
            await asyncio.sleep(0)
        context.answers = [call.result() for call in calls]

    run(context, send())


@then("no two of them were at targets at the same time, and all are served")
def check_copies(context: Context) -> None:
    assert context.most == 1, context.most
    assert all(answer.status == 200 and answer.whole for answer in context.answers)


@when("another entry tells of a crash of the first target, and the request comes")
def send_after_crash(context: Context) -> None:
    async def send() -> None:
        state = context.entry.state
        record = state.fleet.targets["first"].record
        report = CrashReport(record.incarnation, 0, [(b"other", Stage.RUNNING)])
        state.quarantine.apply_reports([report], relay=False)
        await context.entry.call("resumable-stream")

    run(context, send())


@then("it was sent to the second target only")
def check_sent_to_second(context: Context) -> None:
    first, second = context.targets
    assert (len(first.seen), len(second.seen)) == (0, 1), (first.seen, second.seen)


class CountingLedger(CrashLedger):
    """Count the reviews of the evidence."""

    __slots__ = ("reviews",)

    def __init__(self, *, clock: Clock) -> None:
        super().__init__(clock=clock)
        self.reviews = 0

    def assign_blame(self) -> None:
        """Count a review and do it."""
        self.reviews += 1
        super().assign_blame()


@given(
    "an entry with a request that was at three crashes beside another one, before a silent target"
)
def start_suspected_pair(context: Context) -> None:
    async def start() -> None:
        context.entry = DirectEntry()
        await context.entry.start(ScriptedTarget("target", "says nothing"))
        state = context.entry.state
        context.ledger = state.quarantine.ledger = CountingLedger(clock=state.clock)
        requests = [(route_digest("safe"), Stage.RUNNING), (b"other", Stage.RUNNING)]
        reports = [CrashReport(f"i-{each}", SETTLE_MS, requests) for each in range(3)]
        state.quarantine.apply_reports(reports, relay=False)

    run(context, start())


@when("{count:d} copies of it wait for {ms:d} ms")
def let_copies_wait(context: Context, count: int, ms: int) -> None:
    async def wait() -> None:
        context.ledger.reviews = 0
        calls = [asyncio.create_task(context.entry.call("safe")) for _ in range(count)]
        await asyncio.sleep(ms / 1000)
        for call in calls:
            call.cancel()

    run(context, wait())


@then("the evidence was reviewed at most {most:d} times")
def check_reviews(context: Context, most: int) -> None:
    assert 0 < context.ledger.reviews <= most, context.ledger.reviews


@given("an entry with a request that waits for a target")
def start_waiting(context: Context) -> None:
    async def start() -> None:
        context.entry = DirectEntry()
        context.target = ScriptedTarget("target")
        unreachable = TargetRecord("unreachable", "service", ("127.0.0.1", 1), DOMAIN)
        context.entry.state.fleet.update([unreachable], [])
        await context.entry.callers.listen()
        context.entry.port = context.entry.callers.server.sockets[0].getsockname()[1]
        context.answer_task = asyncio.create_task(context.entry.call("safe"))
        await asyncio.sleep(0.05)

    run(context, start())


@when("it was at three crashes by the time a target is there")
def suspect_and_add_target(context: Context) -> None:
    async def add() -> None:
        digest = route_digest("safe")
        reports = [CrashReport(f"i-{each}", 0, [(digest, Stage.RUNNING)]) for each in range(3)]
        context.entry.state.quarantine.apply_reports(reports, relay=False)
        context.began_s = asyncio.get_running_loop().time()
        address = await context.target.start()
        context.entry.add("target", address)
        context.entry.state.changes.notify()

    run(context, add())


@then("it reaches the target no sooner than {ms:d} ms later")
def check_held(context: Context, ms: int) -> None:
    async def wait() -> float:
        while not context.target.seen:
            await asyncio.sleep(0.01)
        return asyncio.get_running_loop().time() - float(context.began_s)

    assert run(context, wait()) >= ms / 1000
