"""Read one request of a caller and send its response."""

import uuid
from collections.abc import Iterable
from collections.abc import Iterator
from http.client import responses
from wsgiref.types import StartResponse
from wsgiref.types import WSGIEnvironment

import msgspec

from mimosaspur_coordination.ports import Answer
from mimosaspur_protocol.callerapi import CallerRequest
from mimosaspur_protocol.callerapi import error_body
from mimosaspur_protocol.callerapi import retry_after_s
from mimosaspur_state.clock import Deadline
from mimosaspur_state.codes import CODE_TABLE
from mimosaspur_state.codes import Outcome
from mimosaspur_state.codes import ResultCode
from mimosaspur_state.errors import MimosaspurError
from mimosaspur_transport.gateway import CALLER_KEY
from mimosaspur_transport.gateway import CallerConnection

JSON_CONTENT_TYPE = "application/json"
BODILESS_STATUSES = frozenset({204, 304})

Headers = list[tuple[str, str]]


class Exchange:
    """Handle one request of a caller."""

    __slots__ = ("caller", "environ", "method", "request_id", "start_response", "target")

    def __init__(self, environ: WSGIEnvironment, start: StartResponse) -> None:
        self.environ = environ
        self.start_response = start
        self.caller: CallerConnection = environ[CALLER_KEY]
        self.method: str = environ["REQUEST_METHOD"]
        self.target: str = environ["REQUEST_URI"]
        self.request_id = uuid.uuid4().hex

    def read_request(self, max_bytes: int, deadline: Deadline) -> CallerRequest:
        """Return the request with its body; raise MimosaspurError."""
        headers = {
            name.removeprefix("HTTP_").replace("_", "-").lower(): value
            for name, value in self.environ.items()
            if name.startswith("HTTP_") or name == "CONTENT_TYPE"
        }
        body = self.caller.read_body(max_bytes, deadline)
        return CallerRequest(self.request_id, self.method, self.target, headers, body)

    def send_head(self, status: int, headers: Headers) -> None:
        """Start the response with its status and headers."""
        self.caller.skip_body()
        phrase = responses.get(status, "Unnamed")
        self.start_response(f"{status} {phrase}", [("X-Request-Id", self.request_id), *headers])

    def send(self, status: int, headers: Headers, body: bytes) -> Iterable[bytes]:
        """Send a response with a body of known length."""
        if status not in BODILESS_STATUSES:
            headers = [*headers, ("Content-Length", str(len(body)))]
        self.send_head(status, headers)
        if status in BODILESS_STATUSES or self.method == "HEAD":
            return []
        return [body]

    def send_json(
        self, status: int, value: object, headers: Headers | None = None
    ) -> Iterable[bytes]:
        """Send a JSON response."""
        body = msgspec.json.encode(value)
        return self.send(status, [("Content-Type", JSON_CONTENT_TYPE), *(headers or [])], body)

    def send_error(self, error: MimosaspurError) -> Iterable[bytes]:
        """Send an error response."""
        headers = []
        retry_s = retry_after_s(error)
        if retry_s is not None:
            headers.append(("Retry-After", str(retry_s)))
        status = CODE_TABLE[error.code].http_status
        return self.send_json(status, error_body(error, self.request_id), headers)

    def send_collected(self, answer: Answer) -> Iterable[bytes]:
        """Send an answer in one response; raise MimosaspurError when it can't be completed."""
        pieces = []
        try:
            for chunk in answer.chunks:
                if self.caller.is_disconnected():
                    raise MimosaspurError(ResultCode.CANCELLED, outcome=Outcome.UNKNOWN)
                pieces.append(chunk)
        finally:
            close_chunks(answer.chunks)
        return self.send(answer.status, answer_headers(answer), b"".join(pieces))


def answer_headers(answer: Answer) -> Headers:
    """Return the response headers of an answer."""
    headers = [("Content-Type", answer.content_type)] if answer.content_type else []
    if answer.replayed:
        headers.append(("Idempotent-Replayed", "true"))
    return headers


def close_chunks(chunks: Iterator[bytes]) -> None:
    """Close an answer's chunks if the iterator supports it."""
    close = getattr(chunks, "close", None)
    if close is not None:
        close()


def internal_error() -> MimosaspurError:
    """Return the error for an unexpected exception in this process."""
    return MimosaspurError(ResultCode.INTERNAL, outcome=Outcome.UNKNOWN)
