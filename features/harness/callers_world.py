"""Stand in for the dispatcher and the callers of an entry."""

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

BOUND_S = 5.0
POLL_S = 0.005
WORKERS = 6
MAX_IN_FLIGHT = 3
MAX_BODY = 200_000
CALLER_TIMEOUT_MS = 1000
CHAT = "/v1/chat/completions"
GOOD = {"model": "m", "messages": [{"role": "user", "content": "x"}]}
GOOD_BODY = json.dumps(GOOD).encode()
LAST = b"data: [DONE]\n\n"
NONE = "(none)"
LATE = "the condition did not come true in time"

wait_for = partial(control.wait_for, what=LATE, timeout_s=BOUND_S, poll_interval_s=POLL_S)


@dataclass(slots=True)
class FakeDispatcher:
    """Record what it is handed and answer as told."""

    chunks: int = 1
    failure: MimosaspurError | Exception | None = None
    refusal: MimosaspurError | None = None
    replayed: bool = False
    endless: bool = False
    waits_gone: bool = False
    is_ready: bool = True
    free: threading.Event = field(default_factory=threading.Event)
    seen: list[tuple[Work, int]] = field(default_factory=list)
    begun: int = 0
    closed: int = 0

    def dispatch(self, work: Work, deadline_ms: int, gone: Callable[[], bool]) -> Answer:
        """Record the work, and begin an answer or refuse."""
        self.seen.append((work, deadline_ms))
        if self.refusal:
            raise self.refusal
        kind = "text/event-stream" if work.stream else "application/json"
        return Answer(200, kind, self.replayed, self._run(gone))

    def models(self) -> list[ModelCard]:
        """Return two models."""
        return [ModelCard("llama", "1", ""), ModelCard("llama-es", "2", "llama")]

    def generation(self) -> int:
        """Return the generation in force."""
        return 1

    def ready(self) -> bool:
        """Tell what the test set."""
        return self.is_ready

    def _run(self, gone: Callable[[], bool]) -> Iterator[bytes]:
        self.begun += 1
        try:
            yield from self._chunks(gone)
        finally:
            self.closed += 1

    def _chunks(self, gone: Callable[[], bool]) -> Iterator[bytes]:
        for number in range(self.chunks):
            yield chunk(number)
        if self.waits_gone:
            wait_for(gone)
            raise MimosaspurError(ResultCode.CANCELLED, outcome=Outcome.UNKNOWN)
        while self.endless:
            yield b"x" * 1000
        if not self.free.wait(BOUND_S):
            raise AssertionError("the test never let the answer go")
        if self.failure:
            raise self.failure
        yield LAST


def chunk(number: int) -> bytes:
    return f"data: {number}\n\n".encode()


def expected(chunks: int) -> bytes:
    return b"".join(chunk(number) for number in range(chunks))


def dial(context: Context) -> socket.socket:
    host, port = context.callers.address.split(":")
    sock = socket.create_connection((host, int(port)), timeout=BOUND_S)
    context.add_cleanup(sock.close)
    return sock


def ask(
    context: Context,
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
) -> None:
    connection = http.client.HTTPConnection(context.callers.address, timeout=BOUND_S)
    context.add_cleanup(connection.close)
    connection.request(method, path, body or None, headers or {})
    context.response = connection.getresponse()
    try:
        context.body = context.response.read()
        context.complete = True
    except http.client.IncompleteRead as error:
        context.body = error.partial
        context.complete = False


def ask_raw(context: Context, head: str, body: bytes, *, finish: bool = False) -> None:
    sock = dial(context)
    sock.sendall(head.encode() + b"\r\n\r\n" + body)
    if finish:
        sock.shutdown(socket.SHUT_WR)
    context.response = http.client.HTTPResponse(sock)
    context.response.begin()
    context.body = context.response.read()


def chat_body(*, stream: bool) -> bytes:
    return json.dumps({**GOOD, "stream": stream}).encode()


def open_chat(context: Context, *, stream: bool) -> socket.socket:
    sock = dial(context)
    body = chat_body(stream=stream)
    head = f"POST {CHAT} HTTP/1.1\r\nHost: e\r\nContent-Length: {len(body)}\r\n\r\n"
    sock.sendall(head.encode() + body)
    return sock


def error_of(context: Context) -> dict[str, Any]:
    error: dict[str, Any] = json.loads(context.body)["error"]
    return error


def parse_headers(text: str) -> dict[str, str]:
    if text == NONE:
        return {}
    pairs = (item.partition(":") for item in text.split(";"))
    return {name.strip(): value.strip() for name, _, value in pairs}


def stop_quietly(server: CallerServer, dispatcher: FakeDispatcher) -> None:
    dispatcher.free.set()
    server.stop(0)


def read_answer(context: Context) -> None:
    # Read unbuffered, so that one answer leaves the next one on the connection.
    head = b""
    while not head.endswith(b"\r\n\r\n"):
        byte = context.sock.recv(1)
        assert byte, "the connection closed within an answer's head"
        head += byte
    lines = head.decode().lower().split("\r\n")
    length = next(int(line.split(":")[1]) for line in lines if line.startswith("content-length"))
    body = b""
    while len(body) < length:
        body += context.sock.recv(length - len(body))
    context.answers.append((lines[0], body))
