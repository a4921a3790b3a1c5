"""Steps that send requests to the caller server in front of a fake dispatcher."""

import http.client
import json
import threading

from behave import given
from behave import when
from behave.runner import Context

from harness.callers_world import CALLER_TIMEOUT_MS
from harness.callers_world import CHAT
from harness.callers_world import MAX_BODY_BYTES
from harness.callers_world import MAX_IN_FLIGHT
from harness.callers_world import VALID_BODY
from harness.callers_world import VALID_REQUEST
from harness.callers_world import WORKERS
from harness.callers_world import FakeDispatcher
from harness.callers_world import chat_body
from harness.callers_world import chunk
from harness.callers_world import connect
from harness.callers_world import open_chat
from harness.callers_world import parse_headers
from harness.callers_world import read_response
from harness.callers_world import release_and_stop
from harness.callers_world import send_raw_request
from harness.callers_world import send_request
from harness.callers_world import wait_for
from mimosaspur_state.clock import SystemClock
from mimosaspur_state.codes import Outcome
from mimosaspur_state.codes import ResultCode
from mimosaspur_state.errors import MimosaspurError
from mimosaspur_state.metrics import Metrics
from mimosaspur_state.settings import EntrySettings
from mimosaspur_transport.callers import CallerServer


@given("a caller server")
def given_server(context: Context) -> None:
    settings = EntrySettings(
        listen="127.0.0.1:0",
        workers=WORKERS,
        max_in_flight=MAX_IN_FLIGHT,
        max_body_bytes=MAX_BODY_BYTES,
        default_deadline_ms=2000,
        max_deadline_ms=5000,
        caller_timeout_ms=CALLER_TIMEOUT_MS,
    )
    dispatcher = FakeDispatcher()
    dispatcher.release.set()
    context.dispatcher = dispatcher
    before = set(threading.enumerate())
    context.callers = CallerServer(settings, dispatcher, SystemClock(), Metrics())
    context.callers.start()
    context.server_threads = set(threading.enumerate()) - before
    context.add_cleanup(release_and_stop, context.callers, dispatcher)


@given("the caller server's dispatcher answers {chunks:d} chunks")
def given_chunks(context: Context, chunks: int) -> None:
    context.dispatcher.chunks = chunks


@given("the caller server's dispatcher replays its answer")
def given_replay(context: Context) -> None:
    context.dispatcher.replayed = True


@given("the caller server's dispatcher fails with {name} after {chunks:d} chunks")
def given_failure(context: Context, name: str, chunks: int) -> None:
    context.dispatcher.chunks = chunks
    context.dispatcher.failure = MimosaspurError(ResultCode[name], outcome=Outcome.UNKNOWN)
    if name == "INTERNAL":
        context.dispatcher.failure = KeyError("a fault in the dispatcher")
    if name == "QUEUE_FULL":
        context.dispatcher.failure = MimosaspurError(ResultCode.QUEUE_FULL)


@given("the caller server's dispatcher refuses with {name} and {retry} ms")
def given_refusal(context: Context, name: str, retry: str) -> None:
    retry_ms = None if retry == "no" else int(retry)
    context.dispatcher.refusal = MimosaspurError(ResultCode[name], retry_after_ms=retry_ms)


@given("the caller server's dispatcher never ends")
def given_endless(context: Context) -> None:
    context.dispatcher.endless = True


@given("the caller server's dispatcher waits for `gone`")
def given_waits(context: Context) -> None:
    context.dispatcher.waits_for_disconnect = True


@given("the caller server's dispatcher holds its answers")
def given_holds(context: Context) -> None:
    context.dispatcher.release.clear()


@given("the caller server's dispatcher is not ready")
def given_not_ready(context: Context) -> None:
    context.dispatcher.is_ready = False


@given("callers fill the caller server")
def given_full(context: Context) -> None:
    for _ in range(MAX_IN_FLIGHT):
        open_chat(context, stream=True)
    wait_for(lambda: context.callers.in_flight == MAX_IN_FLIGHT)


@given("callers open {count:d} connections and stay silent")
def given_silent(context: Context, count: int) -> None:
    context.silent = [connect(context) for _ in range(count)]


@given("callers stop within a body on as many connections as may be in flight")
def given_half_bodies(context: Context) -> None:
    for _ in range(MAX_IN_FLIGHT):
        head = f"POST {CHAT} HTTP/1.1\r\nHost: e\r\nContent-Length: 100\r\n\r\nhalf"
        connect(context).sendall(head.encode())
    wait_for(lambda: context.callers.in_flight == MAX_IN_FLIGHT)


@given("a caller has begun a streamed answer")
def given_begun(context: Context) -> None:
    context.stream = http.client.HTTPResponse(open_chat(context, stream=True))
    context.stream.begin()
    assert context.stream.readline() == chunk(0).splitlines(keepends=True)[0]


@when("a caller posts chat body {body}")
def when_posts(context: Context, body: str) -> None:
    special = {
        "(nothing)": b"",
        "(invalid UTF-8)": b'{"model": "\xff\xfe"}',
        "(lone surrogate)": VALID_BODY.replace(b'"x"', b'"\\udc00"'),
        "(100000 open brackets)": b"[" * 100_000,
        "(over the limit)": b" " * (MAX_BODY_BYTES + 1),
    }
    if body in special or not body.startswith("("):
        send_request(context, "POST", CHAT, special.get(body, body.encode()))
        return
    post_head = f"POST {CHAT} HTTP/1.1\r\nHost: e\r\n"
    chunked = post_head + "Transfer-Encoding: chunked"
    size = 2 * MAX_BODY_BYTES
    match body:
        case "(over the limit, chunked)":
            send_raw_request(context, chunked, f"{size:x}\r\n".encode() + b" " * size)
        case "(bad chunk size)":
            send_raw_request(context, chunked, b"zz\r\n")
        case "(shorter than its length)":
            send_raw_request(context, post_head + "Content-Length: 1000", VALID_BODY, finish=True)
        case "(length and chunked)":
            send_raw_request(context, chunked + "\r\nContent-Length: 5", b"0\r\n\r\n")
        case "(negative length)":
            send_raw_request(context, post_head + "Content-Length: -5", b"")
        case _:
            raise AssertionError(f"no such body: {body}")


@when("a caller sends a good chat request with header {header}")
def when_header(context: Context, header: str) -> None:
    text = header.replace("(256 letters)", "k" * 256)
    name, _, value = text.partition(":")
    send_request(context, "POST", CHAT, VALID_BODY, {name: value.strip()})


@when("a caller sends {method} {path} with headers {headers}")
def when_headers(context: Context, method: str, path: str, headers: str) -> None:
    body = VALID_BODY if path == CHAT else b""
    send_request(context, method, path, body, parse_headers(headers))
    assert context.response.status == 200, context.body


@when("a caller asks {method:w} {path:S}")
def when_asks(context: Context, method: str, path: str) -> None:
    send_request(context, method, path)


@when("a caller asks with content {content}")
def when_content(context: Context, content: str) -> None:
    value = "a" * 100 if content == "(100 letters)" else json.loads(content)
    body = {**VALID_REQUEST, "messages": [{"role": "user", "content": value}]}
    send_request(context, "POST", CHAT, json.dumps(body).encode())


@when("a caller asks for a {way:w} answer")
def when_way(context: Context, way: str) -> None:
    send_request(context, "POST", CHAT, chat_body(stream=way == "streamed"))


@when("a caller leaves in the middle of a {way:w} answer")
def when_leaves(context: Context, way: str) -> None:
    sock = open_chat(context, stream=way == "streamed")
    wait_for(lambda: context.dispatcher.started_count == 1)
    sock.close()


@when("a caller sends a chunked request and a second one on the same connection")
def when_chunked_twice(context: Context) -> None:
    head = f"POST {CHAT} HTTP/1.1\r\nHost: e\r\nTransfer-Encoding: chunked\r\n\r\n".encode()
    request = (
        head + f"{len(VALID_BODY):x}\r\n".encode() + VALID_BODY + b"\r\n0\r\nTrailer: x\r\n\r\n"
    )
    context.sock = connect(context)
    context.answers = []
    for _ in range(2):
        context.sock.sendall(request)
        read_response(context)


@when("a caller sends two requests at once")
def when_pipelined(context: Context) -> None:
    head = f"POST {CHAT} HTTP/1.1\r\nHost: e\r\nContent-Length: {len(VALID_BODY)}\r\n\r\n".encode()
    context.sock = connect(context)
    context.sock.sendall((head + VALID_BODY) * 2)
    context.answers = []
    for _ in range(2):
        read_response(context)


@when("the caller server is told to stop with {grace:d} ms of grace")
def when_stop(context: Context, grace: int) -> None:
    context.stopper = threading.Thread(target=context.callers.stop, args=(grace,))
    context.stopper.start()
