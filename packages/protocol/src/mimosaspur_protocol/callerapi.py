"""Parse callers' HTTP requests and build their error responses."""

import re
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any
from urllib.parse import unquote

import msgspec

from mimosaspur_state.codes import CODE_TABLE
from mimosaspur_state.codes import ResultCode
from mimosaspur_state.errors import MimosaspurError
from mimosaspur_state.requests import RequestKind
from mimosaspur_state.requests import Work

CHAT_PATH = "/v1/chat/completions"
SERVICES_PREFIX = "/services/"

IDEMPOTENCY_KEY_HEADER = "idempotency-key"
IDEMPOTENT_HEADER = "x-mimosaspur-idempotent"
DEADLINE_HEADER = "x-deadline-ms"
PRIORITY_HEADER = "x-priority"

SAFE_METHODS = frozenset({"GET", "HEAD"})
DEFAULT_PRIORITY = 5
LOWEST_PRIORITY = 9
MAX_PREFIX_LENGTH = 64
DEFAULT_RETRY_AFTER_MS = 1000
MS_PER_SECOND = 1000

_KEY_PATTERN = re.compile(r"[\x21-\x7e]{1,255}")
_NUMBER_PATTERN = re.compile(r"[0-9]{1,9}")
_BOOLEANS = {"true": True, "false": False}


@dataclass(slots=True, frozen=True)
class CallerRequest:
    """Hold a caller's request; target is as sent, header names are lower-case."""

    request_id: str
    method: str
    target: str
    headers: Mapping[str, str]
    body: bytes


@dataclass(slots=True, frozen=True)
class Deadlines:
    """Limit the deadlines that callers may request."""

    default_ms: int
    max_ms: int


@dataclass(slots=True, frozen=True)
class ParsedWork:
    """Hold work ready for dispatch and the caller's deadline."""

    work: Work
    deadline_ms: int


def is_work(method: str, target: str) -> bool:
    """Return whether a request is for a target rather than for the entry itself."""
    path = target.partition("?")[0]
    if path == CHAT_PATH:
        return method == "POST"
    name, slash, _ = path.removeprefix(SERVICES_PREFIX).partition("/")
    return path.startswith(SERVICES_PREFIX) and bool(name and slash)


def parse_work(request: CallerRequest, deadlines: Deadlines) -> ParsedWork:
    """Validate and parse a request that is_work accepts; raise MimosaspurError."""
    deadline_ms = _parse_deadline_ms(request.headers, deadlines)
    if request.target.partition("?")[0] == CHAT_PATH:
        return ParsedWork(_parse_chat(request), deadline_ms)
    return ParsedWork(_parse_service(request), deadline_ms)


def error_body(error: MimosaspurError, request_id: str) -> dict[str, Any]:
    """Return the response body for an error."""
    body: dict[str, Any] = {
        "message": str(error),
        "type": _error_type(error.code),
        "code": int(error.code),
        "name": error.code.name,
        "outcome": error.outcome.value,
        "request_id": request_id,
    }
    retry_ms = retry_after_ms(error)
    if retry_ms is not None:
        body["retry_after_ms"] = retry_ms
    return {"error": body}


def retry_after_ms(error: MimosaspurError) -> int | None:
    """Return the delay before a retry, or None if a retry is not useful."""
    if error.retry_after_ms is not None:
        return error.retry_after_ms
    if CODE_TABLE[error.code].next_step.startswith("Try"):
        return DEFAULT_RETRY_AFTER_MS
    return None


def decimal_s(seconds: float) -> str:
    """Return a time as a decimal number with up to three decimal places, without an exponent."""
    return f"{seconds:.3f}".rstrip("0").rstrip(".")


def retry_after_s(error: MimosaspurError) -> int | None:
    """Return retry_after_ms in whole seconds, rounded up, at least 1."""
    retry_ms = retry_after_ms(error)
    if retry_ms is None:
        return None
    return max(1, -(-retry_ms // MS_PER_SECOND))


def _parse_chat(request: CallerRequest) -> Work:
    body = _json_object(request.body)
    model = body.get("model")
    if not isinstance(model, str) or not model:
        raise _bad_request('"model" must be a non-empty string.')
    messages = _parse_messages(body.get("messages"))
    _check_max_tokens(body.get("max_tokens"))
    return Work(
        request_id=request.request_id,
        kind=RequestKind.CHAT,
        name=model,
        method=request.method,
        path=CHAT_PATH,
        content_type=request.headers.get("content-type", "application/json"),
        body=request.body,
        stream=_parse_stream(body.get("stream")),
        priority=_parse_priority(request.headers),
        idempotent=_parse_idempotent(request.headers, default=True),
        idempotency_key=_parse_idempotency_key(request.headers),
        prefix=_prompt_prefix(messages[0]),
    )


def _parse_service(request: CallerRequest) -> Work:
    if not request.target.isascii():
        raise _bad_request("The path must be percent-encoded ASCII.")
    rest = request.target.removeprefix(SERVICES_PREFIX)
    name, _, path = rest.partition("/")
    return Work(
        request_id=request.request_id,
        kind=RequestKind.SERVICE,
        name=unquote(name),
        method=request.method,
        path=f"/{path}",
        content_type=request.headers.get("content-type", ""),
        body=request.body,
        stream=False,
        priority=_parse_priority(request.headers),
        idempotent=_parse_idempotent(request.headers, default=request.method in SAFE_METHODS),
        idempotency_key=_parse_idempotency_key(request.headers),
        prefix="",
    )


def _json_object(body: bytes) -> dict[str, Any]:
    try:
        value = msgspec.json.decode(body)
    except (msgspec.DecodeError, UnicodeError, RecursionError) as error:
        raise MimosaspurError(ResultCode.MALFORMED_JSON, f"{error}.") from error
    if not isinstance(value, dict):
        raise MimosaspurError(ResultCode.MALFORMED_JSON, "The body must be a JSON object.")
    return value


def _parse_messages(value: object) -> list[dict[str, Any]]:
    if not isinstance(value, list) or not value:
        raise _bad_request('"messages" must be a non-empty list.')
    for number, message in enumerate(value):
        if not isinstance(message, dict):
            raise _bad_request(f'"messages[{number}]" must be an object.')
        if not isinstance(message.get("role"), str):
            raise _bad_request(f'"messages[{number}].role" must be a string.')
        if not isinstance(message.get("content"), str | list):
            raise _bad_request(f'"messages[{number}].content" must be a string or a list.')
    return value


def _parse_stream(value: object) -> bool:
    if value is None:
        return False
    if not isinstance(value, bool):
        raise _bad_request('"stream" must be true or false.')
    return value


def _check_max_tokens(value: object) -> None:
    if value is None:
        return
    # bool is a subclass of int.
    if isinstance(value, bool) or not isinstance(value, int) or value < 1:
        raise _bad_request('"max_tokens" must be a whole number above 0.')


def _prompt_prefix(message: dict[str, Any]) -> str:
    content = message["content"]
    if isinstance(content, str):
        return content[:MAX_PREFIX_LENGTH]
    for part in content:
        if isinstance(part, dict) and isinstance(part.get("text"), str):
            return str(part["text"][:MAX_PREFIX_LENGTH])
    return ""


def _parse_idempotency_key(headers: Mapping[str, str]) -> str:
    key = headers.get(IDEMPOTENCY_KEY_HEADER)
    if key is None:
        return ""
    if not _KEY_PATTERN.fullmatch(key):
        raise _bad_header("Idempotency-Key must be 1 to 255 visible ASCII characters.")
    return key


def _parse_idempotent(headers: Mapping[str, str], *, default: bool) -> bool:
    text = headers.get(IDEMPOTENT_HEADER)
    if text is not None and text not in _BOOLEANS:
        raise _bad_header("X-Mimosaspur-Idempotent must be true or false.")
    # A key requires at most one run and overrides the header.
    if IDEMPOTENCY_KEY_HEADER in headers:
        return False
    return default if text is None else _BOOLEANS[text]


def _parse_deadline_ms(headers: Mapping[str, str], deadlines: Deadlines) -> int:
    text = headers.get(DEADLINE_HEADER)
    if text is None:
        return min(deadlines.default_ms, deadlines.max_ms)
    if not _NUMBER_PATTERN.fullmatch(text) or not 1 <= int(text) <= deadlines.max_ms:
        raise _bad_header(f"X-Deadline-Ms must be a whole number from 1 to {deadlines.max_ms}.")
    return int(text)


def _parse_priority(headers: Mapping[str, str]) -> int:
    text = headers.get(PRIORITY_HEADER)
    if text is None:
        return DEFAULT_PRIORITY
    if not _NUMBER_PATTERN.fullmatch(text) or int(text) > LOWEST_PRIORITY:
        raise _bad_header(f"X-Priority must be a whole number from 0 to {LOWEST_PRIORITY}.")
    return int(text)


def _bad_request(detail: str) -> MimosaspurError:
    return MimosaspurError(ResultCode.BAD_REQUEST, detail)


def _bad_header(detail: str) -> MimosaspurError:
    return MimosaspurError(ResultCode.BAD_HEADER, detail)


def _error_type(code: ResultCode) -> str:
    if code < ResultCode.QUEUE_FULL:
        return "invalid_request_error"
    if code < ResultCode.OUTCOME_UNKNOWN:
        return "unavailable_error"
    return "server_error"
