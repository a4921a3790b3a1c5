"""Name the headers and paths by which callers and targets are spoken to."""

from dataclasses import dataclass
from dataclasses import field

# Headers that concern one connection only, and those that the codec sets itself.
HOP_BY_HOP_HEADERS = frozenset(
    (
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)

Headers = list[tuple[bytes, bytes]]


@dataclass(slots=True, frozen=True)
class Dialect:
    """Hold header names in lower case; the defaults are the product's own."""

    request_id: bytes = b"x-request-id"
    deadline_ms: bytes = b"x-deadline-ms"
    last_event_id: bytes = b"last-event-id"
    # A model, or a model and an adapter with a slash between them.
    model: bytes = b"x-model"
    # Prompt tokens and the bound on output tokens, with a comma between them.
    token_counts: bytes = b"x-token-counts"
    # The parts of a prompt in order, each ID:TOKENS, with commas between them.
    prompt_prefix: bytes = b"x-prompt-prefix"
    # A target with another identity refuses the request as not run.
    expected_identity: bytes = b"x-expected-identity"
    # 0 to 9, 0 goes first.
    priority: bytes = b"x-priority"
    # Where the memory lies from which a stopped run goes on: IP:PORT/HANDLE.
    continued_from: bytes = b"x-continued-from"
    # A target's word that a request has not run.
    not_run: bytes = b"x-not-run"
    # A success without the target's proof is not the target's.
    proof: bytes = b""
    # A caller's API key, which is not passed on.
    credential: bytes = b"authorization"
    # The name of the workspace that holds it; only the system sets it.
    workspace: bytes = b"x-workspace"
    # Callers may not set these.
    reserved: frozenset[bytes] = field(default_factory=frozenset)
    ready_path: bytes = b"/ready"


def end_to_end_headers(headers: Headers, reserved: frozenset[bytes] = frozenset()) -> Headers:
    """Return the headers that are passed on."""
    dropped = set(HOP_BY_HOP_HEADERS) | reserved
    for name, value in headers:
        if name.lower() == b"connection":
            dropped.update(token.strip().lower() for token in value.split(b","))
    return [(name, value) for name, value in headers if name.lower() not in dropped]


def header_values(headers: Headers, name: bytes) -> list[bytes]:
    """Return the values of all headers of a name; names are compared in lower case."""
    return [value for key, value in headers if key.lower() == name]


def header(headers: Headers, name: bytes) -> bytes | None:
    """Return a header's value, None if it is absent; names are compared in lower case."""
    for key, value in headers:
        if key.lower() == name:
            return value
    return None
