"""Define the HTTP header names and paths used with callers and targets."""

from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field

# Hop-by-hop headers, and those that the HTTP codec sets itself.
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

RETRY_AFTER = b"retry-after"

Headers = list[tuple[bytes, bytes]]


@dataclass(slots=True, frozen=True)
class Dialect:
    """Hold header names in lower case, with this project's names as defaults."""

    request_id: bytes = b"x-request-id"
    deadline_ms: bytes = b"x-deadline-ms"
    last_event_id: bytes = b"last-event-id"
    # On a caller's resumption: the ID of the request that brought the stream's first event.
    resumes: bytes = b"x-resumes"
    # A model, or a model and an adapter with a slash between them.
    model: bytes = b"x-model"
    # Prompt tokens and the maximum of output tokens, separated by a comma.
    token_counts: bytes = b"x-token-counts"
    # The parts of a prompt in order, each ID:TOKENS, separated by commas.
    prompt_prefix: bytes = b"x-prompt-prefix"
    # A target with a different identity refuses the request without running it.
    expected_identity: bytes = b"x-expected-identity"
    # 0 (highest) to 9 (lowest).
    priority: bytes = b"x-priority"
    # Location of the memory from which an interrupted run continues: IP:PORT/HANDLE.
    continued_from: bytes = b"x-continued-from"
    # Set by a target that has not run the request.
    not_run: bytes = b"x-not-run"
    # The requests a second that a target takes from all entries together, a decimal number.
    request_limit: bytes = b"x-request-limit"
    # Any value but 0 in any answer of a target that is about to leave.
    leaving: bytes = b"x-leaving"
    # A successful response without this header is not accepted as the target's.
    proof: bytes = b""
    # A caller's API key; it is not forwarded.
    credential: bytes = b"authorization"
    # The workspace that owns the API key; callers can't set it.
    workspace: bytes = b"x-workspace"
    # Headers that callers may not set.
    reserved: frozenset[bytes] = field(default_factory=frozenset)
    ready_path: bytes = b"/ready"

    @property
    def request_headers(self) -> frozenset[bytes]:
        """Return the names of the headers that tell targets which request it is."""
        names = (self.request_id, self.last_event_id, self.resumes)
        described = (self.model, self.token_counts, self.prompt_prefix)
        return frozenset((b"host", *names, *described))


def end_to_end_headers(
    headers: Headers,
    reserved: frozenset[bytes] = frozenset(),
    *,
    kept: frozenset[bytes] = frozenset(),
) -> Headers:
    """Return the headers to forward, without hop-by-hop and reserved ones.

    Headers to be kept are no hop-by-hop headers, even if a Connection header names them.
    """
    dropped = set(HOP_BY_HOP_HEADERS)
    for name, value in headers:
        if name.lower() == b"connection":
            dropped.update(token.strip().lower() for token in value.split(b","))
    dropped = dropped - kept | reserved
    return [(name, value) for name, value in headers if name.lower() not in dropped]


def header_values(headers: Sequence[tuple[bytes, bytes]], name: bytes) -> list[bytes]:
    """Return all values of a header; the name must be in lower case."""
    return [value for key, value in headers if key.lower() == name]


def header(headers: Headers, name: bytes) -> bytes | None:
    """Return a header's first value or None; the name must be in lower case."""
    for key, value in headers:
        if key.lower() == name:
            return value
    return None
