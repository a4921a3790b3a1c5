"""Steps for unexpected errors in an entry while it serves a caller."""

import asyncio
from collections.abc import Callable
from typing import Any
from unittest.mock import patch

import h11
from behave import given
from behave import then
from behave import when
from behave.runner import Context

from harness.direct_entry import REQUEST_KINDS
from harness.direct_entry import ReceivedResponse
from harness.direct_entry import read_response
from harness.direct_entry import request_bytes
from harness.direct_target import PLAIN_BODY
from harness.direct_workspaces import WorkspaceEntry
from harness.loop import run
from harness.recorded_log import RecordedLog
from mimosaspur_coordination.durations import DurationEstimator
from mimosaspur_daemon.direct.entryreport import build_entry_report
from mimosaspur_daemon.direct.entrystate import EntryState
from mimosaspur_daemon.direct.quarantine import Quarantine
from mimosaspur_daemon.direct.streamcontinuation import StreamContinuation
from mimosaspur_daemon.direct.targetnotices import TargetNotices
from mimosaspur_protocol.peermessages import encode_peer
from mimosaspur_state.codes import ResultCode
from mimosaspur_state.workspaces import Quota
from mimosaspur_state.workspaces import QuotaUnit
from mimosaspur_transport.callerconnection import CallerConnection

PLENTY = Quota(unit=QuotaUnit.REQUESTS, per_s=100.0, burst=100.0)
KEY = {"Authorization": "Bearer n-1"}
NUMBER_HEADERS = {
    "the prompt's tokens": ("X-Token-Counts", "{number},1"),
    "the output's tokens": ("X-Token-Counts", "1,{number}"),
    "the tokens of a prompt's part": ("X-Prompt-Prefix", "a:{number},b:1"),
    "its time limit": ("X-Deadline-Ms", "{number}"),
    "the last event that it has": ("Last-Event-Id", "{number}"),
}
MESSAGE = "nobody expected this"


class UnexpectedError(Exception):
    """An error that the entry doesn't know."""


def _failing(
    function: Callable[..., Any], *, call: int = 1, error: BaseException | None = None
) -> Callable[..., Any]:
    """Return a function that raises an error at one of its calls."""
    calls = 0

    def replacement(*arguments: Any, **named: Any) -> Any:
        nonlocal calls
        calls += 1
        if calls == call:
            raise error or UnexpectedError(MESSAGE)
        return function(*arguments, **named)

    return replacement


def _start_entry(context: Context, place: type, name: str, replacement: Any) -> None:
    """Start an entry, with an attribute replaced."""
    entry = context.entry = WorkspaceEntry(quota=PLENTY)
    entry.state.log = context.log = RecordedLog("entry-0")
    entry.state.quotas.apply_update([], entries=1)
    context.first = entry.target
    replaced = patch.object(place, name, replacement)
    replaced.start()
    context.add_cleanup(replaced.stop)
    run(context, entry.begin())


@given("a direct entry before a sound target, and an unexpected error {when_it_occurs}")
def start_entry(context: Context, when_it_occurs: str) -> None:
    places: dict[str, tuple[type, str, int]] = {
        "while a request is read": (CallerConnection, "_read_body", 1),
        "as it is admitted": (Quarantine, "check", 1),
        "before it is sent": (EntryState, "pool", 1),
        "once its target has run it": (TargetNotices, "on_head", 1),
        "in the middle of a stream": (StreamContinuation, "on_event", 3),
        "after an answer": (DurationEstimator, "record", 1),
    }
    place, name, call = places[when_it_occurs]
    _start_entry(context, place, name, _failing(getattr(place, name), call=call))


@given("a direct entry before a sound target, and a cancelled wait")
def start_entry_with_cancelled_wait(context: Context) -> None:
    failing = _failing(EntryState.pool, error=asyncio.CancelledError())
    _start_entry(context, EntryState, "pool", failing)


@given("a direct entry before a sound target, and a codec that rejects a body")
def start_entry_with_codec(context: Context) -> None:
    send = h11.Connection.send

    def replacement(codec: h11.Connection, event: h11.Event) -> bytes | None:
        connections = context.entry.callers.connections
        if isinstance(event, h11.Data) and any(each.codec is codec for each in connections):
            raise h11.LocalProtocolError("rejected")
        return send(codec, event)

    _start_entry(context, h11.Connection, "send", replacement)


@when("a caller sends {request}, and another one on the same connection")
def send_two(context: Context, request: str) -> None:
    async def send() -> list[ReceivedResponse]:
        reader, writer = await context.entry.connect()
        answers = []
        for identity in ("r-1", "r-2"):
            headers = KEY | {"X-Request-Id": identity}
            writer.write(request_bytes(REQUEST_KINDS[request][0], headers))
            answers.append(await read_response(reader))
        writer.close()
        return answers

    context.answers = run(context, send())


@when("a caller sends a stream")
def send_stream(context: Context) -> None:
    context.answer = run(context, context.entry.call("stream", headers=KEY))


@when("a caller sends an idempotent request")
def send_one(context: Context) -> None:
    context.answer = run(context, context.entry.call("safe", headers=KEY))


@then("the log tells once why the connection has failed")
def check_connection_log(context: Context) -> None:
    lines = context.log.of_kind("connection_failed")
    assert [line["code"] for line in lines] == [ResultCode.INTERNAL], lines
    assert f"UnexpectedError('{MESSAGE}')" in str(lines[0]["detail"]), lines


@when("a caller sends {digits:d} digits as {header}")
def send_number(context: Context, digits: int, header: str) -> None:
    name, value = NUMBER_HEADERS[header]
    headers = {"X-Model": "notes", name: value.format(number="9" * digits)}
    context.answer = run(context, context.entry.call("safe", headers=headers))


@then("the entry can report to its coordinator")
def check_report(context: Context) -> None:
    report = build_entry_report(context.entry.state)
    assert report.model_demand, report
    encode_peer(report)


@then("the first answer has status 500 and code 3999, and the second one is the target's")
def check_answers(context: Context) -> None:
    first, second = context.answers
    assert first.status == 500 and first.whole, first
    assert first.body.startswith(b"3999 "), first
    assert first.headers["x-request-id"] == "r-1", first
    _check_own(second, "r-2")


@then("both answers are the target's")
def check_both(context: Context) -> None:
    for answer, identity in zip(context.answers, ("r-1", "r-2"), strict=True):
        _check_own(answer, identity)


def _check_own(answer: ReceivedResponse, identity: str) -> None:
    assert (answer.status, answer.whole) == (200, True), answer
    assert answer.body == PLAIN_BODY or answer.body.count(b"\n\n"), answer
    assert answer.headers["x-request-id"] == identity, answer


@then("the sound target ran the first request {runs:d} times")
def check_runs(context: Context, runs: int) -> None:
    assert sum(each.identity == "r-1" for each in context.first.seen) == runs, context.first.seen


@then("the stream is broken off after whole events")
def check_broken_off(context: Context) -> None:
    answer = context.answer
    assert (answer.status, answer.whole) == (200, False), answer
    assert answer.body == b"id: 1\ndata: event 1\n\nid: 2\ndata: event 2\n\n", answer


@then("the stream is broken off before its first event")
def check_empty(context: Context) -> None:
    answer = context.answer
    assert (answer.status, answer.body, answer.whole) == (200, b"", False), answer


@then("the log has one line of code 3999 for it that names LocalProtocolError")
def check_codec_log(context: Context) -> None:
    lines = context.log.of_kind("given_up")
    assert [line["code"] for line in lines] == [ResultCode.INTERNAL], lines
    assert "LocalProtocolError('rejected')" in str(lines[0]["detail"]), lines


@then("the log names the first request, the error and its place")
def check_log(context: Context) -> None:
    lines = context.log.of_kind("given_up")
    assert len(lines) == 1, lines
    assert lines[0]["request"] == "r-1", lines
    assert lines[0]["code"] == ResultCode.INTERNAL, lines
    detail = lines[0]["detail"]
    assert f"UnexpectedError('{MESSAGE}')" in detail, detail
    assert "direct_errors_steps.py" in detail and "replacement" in detail, detail


@then("the entry has returned what the first request had taken, and spent {spent:d} of the quota")
def check_returned(context: Context, spent: int) -> None:
    # The second request, where there is one, was answered.
    others = len(getattr(context, "answers", [None])) - 1
    state = context.entry.state
    assert state.quotas.accounts["north"].spent == spent + others
    assert not context.entry.callers.handlers
    assert not state.quarantine.handlers and not state.quarantine.at_targets
    view = state.fleet.targets["first"]
    assert view.own_work.requests == 0, view.own_work
    for window in state.retry_windows.values():
        assert window.state().repeats == 0, window.state()


@given("the end of a suspected request's turn takes {took_ms:d} ms")
def slow_turns(context: Context, took_ms: int) -> None:
    async def end_turn(*_: object) -> None:
        await asyncio.sleep(took_ms / 1000)

    replaced = patch.object(Quarantine, "end_turn", end_turn)
    replaced.start()
    context.add_cleanup(replaced.stop)


@when("a caller sends a request that may run once, and in that time {ended}")
def send_and_end(context: Context, ended: str) -> None:
    headers = {"X-Deadline-Ms": "150"} if ended == "its time limit passes" else {}

    async def send() -> None:
        calling = asyncio.create_task(context.entry.call("once", headers=headers))
        await asyncio.sleep(0.15)
        if ended == "its entry ends":
            context.entry.callers.end_requests()
        context.answer = await calling

    run(context, send())
