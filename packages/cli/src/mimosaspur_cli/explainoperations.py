"""Ask an entry to explain a choice."""

from collections.abc import Sequence
from pathlib import Path

import msgspec

from mimosaspur_cli.platform import CALLER_NAME
from mimosaspur_protocol.explanations import EXPLAIN_PATH
from mimosaspur_protocol.explanations import ExplainError
from mimosaspur_protocol.explanations import ExplainRequest
from mimosaspur_protocol.explanations import Explanation
from mimosaspur_state.clock import SystemClock
from mimosaspur_state.codes import ResultCode
from mimosaspur_state.errors import MimosaspurError
from mimosaspur_state.errors import StoreUnavailable
from mimosaspur_transport.jsonhttp import JsonHttpClient

TIMEOUT_MS = 2_000
OK = 200
BAD_REQUEST = 400


def ask(entry: str, question: ExplainRequest) -> Explanation:
    """Return an entry's explanation; raise MimosaspurError."""
    try:
        client = JsonHttpClient(
            entry, caller=CALLER_NAME, timeout_ms=TIMEOUT_MS, clock=SystemClock()
        )
    except ValueError as error:
        raise MimosaspurError(ResultCode.BAD_REQUEST, f"entry: {error}; give ip:port.") from error
    try:
        answer = client.call("POST", EXPLAIN_PATH, value=msgspec.to_builtins(question))
        if answer.status == BAD_REQUEST:
            wrong = msgspec.convert(answer.value, ExplainError)
            raise MimosaspurError(ResultCode(wrong.code), f"{wrong.field}: {wrong.detail}.")
        if answer.status == OK:
            return msgspec.convert(answer.value, Explanation)
    except (StoreUnavailable, msgspec.ValidationError) as error:
        raise MimosaspurError(ResultCode.ENTRY_UNAVAILABLE, f"{error}.") from error
    raise MimosaspurError(ResultCode.ENTRY_UNAVAILABLE, f"{entry} answered {answer.status}.")


def read_headers(file: Path) -> list[tuple[str, str]]:
    """Return the headers in a file, one NAME: VALUE in a line; raise MimosaspurError."""
    try:
        lines = file.read_text(encoding="latin-1").splitlines()
    except OSError as error:
        detail = f"headers: {error.strerror}: {file}."
        raise MimosaspurError(ResultCode.BAD_REQUEST, detail) from error
    return _parse_headers(lines)


def host_of(headers: Sequence[tuple[str, str]]) -> str:
    """Return the host that headers name, empty if they name none."""
    return next((value for name, value in headers if name.lower() == "host"), "")


def _parse_headers(lines: Sequence[str]) -> list[tuple[str, str]]:
    headers = []
    for number, line in enumerate(lines, 1):
        if not line.strip():
            continue
        name, colon, value = line.partition(":")
        if not colon or not name.strip():
            detail = f"headers: line {number} is no NAME: VALUE."
            raise MimosaspurError(ResultCode.BAD_REQUEST, detail)
        headers.append((name.strip(), value.strip()))
    return headers
