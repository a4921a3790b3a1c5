"""Read an operator's question as the request that a caller would send."""

import re

import msgspec

from mimosaspur_daemon.direct.entrystate import EntryState
from mimosaspur_daemon.direct.workspacequota import authenticate
from mimosaspur_protocol.explanations import ExplainRequest
from mimosaspur_state.routes import Route
from mimosaspur_state.workspaces import Workspace
from mimosaspur_transport.callerconnection import CallerRequest
from mimosaspur_transport.dialect import Dialect
from mimosaspur_transport.dialect import Headers

# msgspec ends its messages with the place of the error.
_PLACE = re.compile(r"^(?P<detail>.*?)(?: - at `\$\.?(?P<field>[^`]*)`)?$", re.DOTALL)
_NAMED = re.compile(r"field `(?P<field>[^`]+)`")


class BadQuestion(Exception):
    """Report a wrong field of a question."""

    def __init__(self, field: str, detail: str) -> None:
        super().__init__(f"{field}: {detail}")
        self.field = field
        self.detail = detail


def decode_question(body: bytes) -> ExplainRequest:
    """Return the question in a body; raise BadQuestion."""
    try:
        return msgspec.json.decode(body, type=ExplainRequest)
    except msgspec.ValidationError as error:
        text = str(error)
        place = _PLACE.match(text)
        named = _NAMED.search(text)
        field = (place and place["field"]) or (named and named["field"]) or "question"
        raise BadQuestion(field, place["detail"] if place else text) from error
    except msgspec.DecodeError as error:
        raise BadQuestion("question", str(error)) from error


def as_request(question: ExplainRequest, dialect: Dialect, *, arrived_s: float) -> CallerRequest:
    """Return the request that a question describes; raise BadQuestion."""
    described: dict[bytes, tuple[str, str]] = {b"host": ("host", question.host)}
    if question.model:
        described[dialect.model] = ("model", question.model)
    if question.prompt_tokens or question.output_tokens:
        counts = f"{question.prompt_tokens},{question.output_tokens}"
        described[dialect.token_counts] = ("prompt_tokens", counts)
    if question.parts:
        described[dialect.prompt_prefix] = ("parts", ",".join(question.parts))
    if question.time_limit_ms:
        described[dialect.deadline_ms] = ("time_limit_ms", str(question.time_limit_ms))
    headers: Headers = []
    for name, value in question.headers:
        encoded = _encode("headers", name).lower()
        if encoded not in described:
            headers.append((encoded, _encode("headers", value)))
    headers += [(name, _encode(field, value)) for name, (field, value) in described.items()]
    target = _encode("path", question.path)
    return CallerRequest(question.method.encode(), target, headers, b"", arrived_s)


def _encode(field: str, value: str) -> bytes:
    try:
        encoded = value.encode("latin-1")
    except UnicodeEncodeError as error:
        raise BadQuestion(field, "a header or path has only Latin-1 characters") from error
    if any(character in encoded for character in b"\r\n\0"):
        raise BadQuestion(field, "a header or path has no line breaks")
    return encoded


def workspace_of(
    state: EntryState, question: ExplainRequest, route: Route, request: CallerRequest
) -> Workspace | None:
    """Return the workspace that is named, or that the headers' key belongs to.

    Raise BadQuestion if there is none of that name, RequestFailed if the key isn't valid.
    """
    if not question.workspace:
        return authenticate(state, route, request)
    workspaces = (state.configuration and state.configuration.workspaces) or ()
    for workspace in workspaces:
        if workspace.name == question.workspace:
            return workspace
    raise BadQuestion("workspace", f"the configuration names no workspace {question.workspace!r}")
