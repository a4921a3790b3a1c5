"""Steps for requests that are quarantined at an entry."""

import asyncio

from behave import given
from behave import then
from behave import when
from behave.runner import Context

from harness.direct_entry import REQUEST_KINDS
from harness.direct_entry import DirectEntry
from harness.direct_entry import ReceivedResponse
from harness.direct_entry import read_response
from harness.direct_entry import request_bytes
from harness.direct_target import ScriptedTarget
from harness.loop import run
from harness.route_digest import route_digest
from mimosaspur_coordination.quarantine.crashledger import Stage
from mimosaspur_daemon.direct.statusserver import StatusServer
from mimosaspur_protocol.peermessages import CrashReport
from mimosaspur_transport.callerconnection import CallerRequest


@given("an entry with a quarantined request")
def start_quarantined(context: Context) -> None:
    async def start() -> None:
        context.entry = DirectEntry()
        context.first = ScriptedTarget("first")
        await context.entry.start(context.first)
        for route, _, _ in REQUEST_KINDS.values():
            _quarantine(context.entry, route)

    run(context, start())


def _quarantine(entry: DirectEntry, route: str) -> None:
    digest = route_digest(route)
    crashes = [CrashReport(f"i-{number}", 0, [(digest, Stage.BLAMED)]) for number in range(3)]
    entry.state.quarantine.apply_reports(crashes, relay=False)


@when("it comes as {kind}")
def send_kind(context: Context, kind: str) -> None:
    async def send() -> None:
        began_s = asyncio.get_running_loop().time()
        context.answer = await context.entry.call(REQUEST_KINDS[kind][0])
        context.lasted_s = asyncio.get_running_loop().time() - began_s

    run(context, send())


@then(
    "it is answered 502 with code {code} within {ms:d} ms, without Retry-After and without a target"
)
def check_rejected(context: Context, code: str, ms: int) -> None:
    _check_code(context.answer, code)
    assert "retry-after" not in {name.lower() for name in context.answer.headers}
    assert context.lasted_s <= ms / 1000, context.lasted_s
    assert not context.first.seen


def _check_code(answer: ReceivedResponse, code: str) -> None:
    assert answer.status == 502, answer
    assert answer.body.startswith(code.encode()), answer


@given("an entry with a request at a target that says nothing")
def start_silent(context: Context) -> None:
    async def start() -> None:
        context.entry = DirectEntry()
        context.first = ScriptedTarget("first", "says nothing")
        await context.entry.start(context.first)
        # The writer is kept, since a connection without one is closed.
        reader, context.writer = await context.entry.connect()
        context.writer.write(request_bytes("safe"))
        context.answer_task = asyncio.create_task(read_response(reader))
        while not context.first.seen:
            await asyncio.sleep(0.01)

    run(context, start())


@when("it is quarantined on another entry's evidence")
def quarantine_running(context: Context) -> None:
    async def apply() -> None:
        context.began_s = asyncio.get_running_loop().time()
        _quarantine(context.entry, "safe")

    run(context, apply())


@then("the caller gets 502 with code {code} within {ms:d} ms and the target's connection is closed")
def check_ended(context: Context, code: str, ms: int) -> None:
    async def wait() -> ReceivedResponse:
        async with asyncio.timeout_at(context.began_s + ms / 1000):
            answer: ReceivedResponse = await context.answer_task
            await context.first.closed.wait()
        return answer

    _check_code(run(context, wait()), code)


@when("an operator lifts its quarantine on the metrics address")
def lift_quarantine(context: Context) -> None:
    status = StatusServer(context.entry.state)
    digest = route_digest("safe")

    def ask(method: bytes, path: str) -> tuple[int, bytes]:
        request = CallerRequest(method, path.encode(), [], b"", 0.0)
        return status._answer(request, for_operators=True)

    async def lift() -> None:
        code, listing = ask(b"GET", "/quarantine")
        assert code == 200, code
        assert digest.hex().encode() in listing, listing
        assert ask(b"DELETE", "/quarantine/no-digest")[0] == 400
        assert ask(b"DELETE", f"/quarantine/{'00' * 16}")[0] == 404
        for route, _, _ in REQUEST_KINDS.values():
            assert ask(b"DELETE", f"/quarantine/{route_digest(route).hex()}")[0] == 200
        context.listing = ask(b"GET", "/quarantine")[1]
        hidden = CallerRequest(b"GET", b"/quarantine", [], b"", 0.0)
        assert status._answer(hidden, for_operators=False)[0] == 404

    run(context, lift())


@then("the request is served, and the list is empty")
def check_lifted(context: Context) -> None:
    answer = run(context, context.entry.call("safe"))
    assert answer.status == 200, answer
    assert context.listing == b"[]", context.listing
