"""Provide a fake dispatcher and raw HTTP callers for tests of the caller server."""

import http.client
import json
import socket
import threading
from collections.abc import Callable
from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import field
from functools import partial
from typing import Any

from behave.runner import Context

from harness import control
from mimosaspur_coordination.ports import Answer
from mimosaspur_coordination.ports import ModelCard
from mimosaspur_state.codes import Outcome
from mimosaspur_state.codes import ResultCode
from mimosaspur_state.errors import MimosaspurError
from mimosaspur_state.requests import Work
from mimosaspur_transport.callers import CallerServer

TIMEOUT_S = 5.0
POLL_INTERVAL_S = 0.005
WORKERS = 6
MAX_IN_FLIGHT = 3
MAX_BODY_BYTES = 200_000
CALLER_TIMEOUT_MS = 1000
CHAT = "/v1/chat/completions"
VALID_REQUEST = {"model": "m", "messages": [{"role": "user", "content": "x"}]}
VALID_BODY = json.dumps(VALID_REQUEST).encode()
FINAL_EVENT = b"data: [DONE]\n\n"
NONE = "(none)"
TIMEOUT_MESSAGE = "the condition was not met within the timeout"

wait_for = partial(
    control.wait_for, what=TIMEOUT_MESSAGE, timeout_s=TIMEOUT_S, poll_interval_s=POLL_INTERVAL_S
)


@dataclass(slots=True)
class FakeDispatcher:
    """Record dispatched work and answer as configured by the test."""

    chunks: int = 1
    failure: MimosaspurError | Exception | None = None
    refusal: MimosaspurError | None = None
    replayed: bool = False
    endless: bool = False
    waits_for_disconnect: bool = False
    is_ready: bool = True
    release: threading.Event = field(default_factory=threading.Event)
    dispatched: list[tuple[Work, int]] = field(default_factory=list)
    started_count: int = 0
    closed_count: int = 0

    def dispatch(self, work: Work, deadline_ms: int, gone: Callable[[], bool]) -> Answer:
        """Record the work, then start an answer or raise the refusal."""
        self.dispatched.append((work, deadline_ms))
        if self.refusal:
            raise self.refusal
        kind = "text/event-stream" if work.stream else "application/json"
        return Answer(200, kind, self.replayed, self._run(gone))

    def models(self) -> list[ModelCard]:
        """Return a model and an adapter of it."""
        return [ModelCard("llama", "1", ""), ModelCard("llama-es", "2", "llama")]

    def generation(self) -> int:
        """Return the current generation."""
        return 1

    def ready(self) -> bool:
        """Return the readiness set by the test."""
        return self.is_ready

    def _run(self, gone: Callable[[], bool]) -> Iterator[bytes]:
        self.started_count += 1
        try:
            yield from self._chunks(gone)
        finally:
            self.closed_count += 1

    def _chunks(self, gone: Callable[[], bool]) -> Iterator[bytes]:
        for number in range(self.chunks):
            yield chunk(number)
        if self.waits_for_disconnect:
            wait_for(gone)
            raise MimosaspurError(ResultCode.CANCELLED, outcome=Outcome.UNKNOWN)
        while self.endless:
            yield b"x" * 1000
        if not self.release.wait(TIMEOUT_S):
            raise AssertionError("the test did not release the answer")
        if self.failure:
            raise self.failure
        yield FINAL_EVENT


def chunk(number: int) -> bytes:
    return f"data: {number}\n\n".encode()


def expected_chunks(chunks: int) -> bytes:
    return b"".join(chunk(number) for number in range(chunks))


def connect(context: Context) -> socket.socket:
    host, port = context.callers.address.split(":")
    sock = socket.create_connection((host, int(port)), timeout=TIMEOUT_S)
    context.add_cleanup(sock.close)
    return sock


def send_request(
    context: Context,
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
) -> None:
    connection = http.client.HTTPConnection(context.callers.address, timeout=TIMEOUT_S)
    context.add_cleanup(connection.close)
    connection.request(method, path, body or None, headers or {})
    context.response = connection.getresponse()
    try:
        context.body = context.response.read()
        context.complete = True
    except http.client.IncompleteRead as error:
        context.body = error.partial
        context.complete = False


def send_raw_request(context: Context, head: str, body: bytes, *, finish: bool = False) -> None:
    sock = connect(context)
    sock.sendall(head.encode() + b"\r\n\r\n" + body)
    if finish:
        sock.shutdown(socket.SHUT_WR)
    context.response = http.client.HTTPResponse(sock)
    context.response.begin()
    context.body = context.response.read()


def chat_body(*, stream: bool) -> bytes:
    return json.dumps({**VALID_REQUEST, "stream": stream}).encode()


def open_chat(context: Context, *, stream: bool) -> socket.socket:
    sock = connect(context)
    body = chat_body(stream=stream)
    head = f"POST {CHAT} HTTP/1.1\r\nHost: e\r\nContent-Length: {len(body)}\r\n\r\n"
    sock.sendall(head.encode() + body)
    return sock


def response_error(context: Context) -> dict[str, Any]:
    error: dict[str, Any] = json.loads(context.body)["error"]
    return error


def parse_headers(text: str) -> dict[str, str]:
    if text == NONE:
        return {}
    pairs = (item.partition(":") for item in text.split(";"))
    return {name.strip(): value.strip() for name, _, value in pairs}


def release_and_stop(server: CallerServer, dispatcher: FakeDispatcher) -> None:
    dispatcher.release.set()
    server.stop(0)


def read_response(context: Context) -> None:
    # Read unbuffered so that the next answer's bytes stay on the connection.
    head = b""
    while not head.endswith(b"\r\n\r\n"):
        byte = context.sock.recv(1)
        assert byte, "the connection closed before the end of an answer's headers"
        head += byte
    lines = head.decode().lower().split("\r\n")
    length = next(int(line.split(":")[1]) for line in lines if line.startswith("content-length"))
    body = b""
    while len(body) < length:
        body += context.sock.recv(length - len(body))
    context.answers.append((lines[0], body))
