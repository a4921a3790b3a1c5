"""Steps that check what the caller server sent to callers and to the dispatcher."""

import http.client
import json
import time

from behave import then
from behave.runner import Context

from harness.callers_world import CALLER_TIMEOUT_MS
from harness.callers_world import FINAL_EVENT
from harness.callers_world import NONE
from harness.callers_world import TIMEOUT_S
from harness.callers_world import connect
from harness.callers_world import expected_chunks
from harness.callers_world import response_error
from harness.callers_world import send_request
from harness.callers_world import wait_for
from mimosaspur_state.codes import ResultCode


@then("the caller server answers {status:d} with error {name:w} and outcome {outcome:w}")
def then_error(context: Context, status: int, name: str, outcome: str) -> None:
    error = response_error(context)
    assert context.response.status == status, (context.response.status, error)
    assert error["name"] == name, error
    assert error["code"] == ResultCode[name], error
    assert error["outcome"] == outcome, error
    assert error["message"] and error["type"], error
    assert error["request_id"] == context.response.headers["X-Request-Id"], error


@then("the caller server handed nothing to the dispatcher")
def then_nothing(context: Context) -> None:
    assert context.dispatcher.dispatched == [], context.dispatcher.dispatched


@then(
    "the caller server handed over idempotent {idempotent:w}, key {key}, "
    "priority {priority:d} and deadline {deadline:d}"
)
def then_handed(context: Context, idempotent: str, key: str, priority: int, deadline: int) -> None:
    work, deadline_ms = context.dispatcher.dispatched[0]
    assert work.idempotent is (idempotent == "true"), work
    assert work.idempotency_key == ("" if key == NONE else key), work
    assert work.priority == priority, work
    assert deadline_ms == deadline, deadline_ms
    assert work.request_id == context.response.headers["X-Request-Id"], work


@then("the caller server handed over prefix {prefix}")
def then_prefix(context: Context, prefix: str) -> None:
    special = {NONE: "", "(64 letters)": "a" * 64}
    work, _ = context.dispatcher.dispatched[0]
    assert work.prefix == special.get(prefix, prefix), work


@then("the caller server handed over service {name} with path {path}")
def then_service(context: Context, name: str, path: str) -> None:
    work, _ = context.dispatcher.dispatched[0]
    assert (work.name, work.path) == (name, path), work


@then("the caller gets all {chunks:d} chunks by {framing}")
def then_all(context: Context, chunks: int, framing: str) -> None:
    complete_body = expected_chunks(chunks) + FINAL_EVENT
    assert context.response.status == 200
    assert context.complete and context.body == complete_body, context.body
    length = context.response.headers["Content-Length"]
    assert length == (str(len(complete_body)) if framing == "Content-Length" else None), length


@then("the caller gets two whole answers")
def then_two(context: Context) -> None:
    complete_body = expected_chunks(context.dispatcher.chunks) + FINAL_EVENT
    assert context.answers == [("http/1.1 200 ok", complete_body)] * 2, context.answers


@then("the caller sees header {name}: {value}")
def then_header(context: Context, name: str, value: str) -> None:
    assert context.response.headers[name] == value, context.response.headers


@then("the caller gets {chunks:d} chunks, then error {name:w}, and no end of the stream")
def then_cut(context: Context, chunks: int, name: str) -> None:
    start = expected_chunks(chunks)
    assert context.body.startswith(start), context.body
    event = context.body.removeprefix(start)
    assert event.startswith(b"data: ") and event.endswith(b"\n\n"), event
    error = json.loads(event.removeprefix(b"data: "))["error"]
    assert error["name"] == name, error
    assert b"[DONE]" not in context.body
    assert not context.complete, "the chunked encoding was terminated as if complete"


@then("the caller sees Retry-After {header} and retry_after_ms {body}")
def then_retry(context: Context, header: str, body: str) -> None:
    retry_after = context.response.headers.get("Retry-After", NONE)
    assert retry_after == header, retry_after
    retry_after_ms = str(response_error(context).get("retry_after_ms", NONE))
    assert retry_after_ms == body, retry_after_ms


@then("the caller sees the models {names}")
def then_models(context: Context, names: str) -> None:
    listed = json.loads(context.body)
    assert listed["object"] == "list", listed
    assert [model["id"] for model in listed["data"]] == names.split(", "), listed


@then("the caller server closed the answer's chunks")
def then_closed(context: Context) -> None:
    wait_for(lambda: context.dispatcher.closed_count == 1)


@then("the caller server has nothing in flight")
def then_none_in_flight(context: Context) -> None:
    wait_for(lambda: context.callers.in_flight == 0)


@then("the caller server answers {status:d} at {path}")
def then_state(context: Context, status: int, path: str) -> None:
    started_at = time.monotonic()
    saved = (context.response, context.body) if "response" in context else None
    send_request(context, "GET", path)
    assert context.response.status == status, context.response.status
    assert time.monotonic() - started_at < CALLER_TIMEOUT_MS / 1000
    if saved:
        context.response, context.body = saved


@then("the caller server closes the silent connections")
def then_silent_closed(context: Context) -> None:
    for sock in context.silent:
        assert sock.recv(1) == b"", "a silent connection received data"


@then("the caller server refuses new connections")
def then_refuses(context: Context) -> None:
    def refused() -> bool:
        try:
            connect(context)
        except ConnectionRefusedError:
            return True
        return False

    wait_for(refused)


@then("the caller that had begun gets its whole stream once it is let go")
def then_let_go(context: Context) -> None:
    assert context.stopper.is_alive(), "the stop did not wait for the stream"
    context.dispatcher.release.set()
    remainder = context.stream.read()
    assert remainder == b"\n" + FINAL_EVENT, remainder


@then("the caller that had begun sees no end of the stream")
def then_given_up(context: Context) -> None:
    try:
        remainder = context.stream.read()
    except http.client.IncompleteRead as error:
        assert FINAL_EVENT not in error.partial, error.partial
    else:
        raise AssertionError(f"the stream ended as if complete: {remainder!r}")


@then("the caller server's threads end")
def then_threads_end(context: Context) -> None:
    context.stopper.join(TIMEOUT_S)
    assert not context.stopper.is_alive(), "the stop did not end"
    wait_for(lambda: not any(thread.is_alive() for thread in context.server_threads))
