"""Parse the headers that describe a request's model, prompt and time limit."""

from mimosaspur_coordination.fleetview import Prompt
from mimosaspur_protocol.numbers import parse_number
from mimosaspur_state.routes import Route
from mimosaspur_transport.callerconnection import CallerRequest
from mimosaspur_transport.dialect import Dialect
from mimosaspur_transport.dialect import Headers
from mimosaspur_transport.dialect import header

# A longer number isn't a count of tokens; sums of many must fit into messages between entries.
MAX_COUNT_DIGITS = 9


def read_prompt(headers: Headers, dialect: Dialect) -> Prompt:
    """Return the prompt's description; treat malformed values as missing."""
    model, _, adapter = _header_text(headers, dialect.model).partition("/")
    prompt_tokens, _, output_tokens = _header_text(headers, dialect.token_counts).partition(",")
    return Prompt(
        model=model,
        adapter=adapter,
        prompt_tokens=_parse_number(prompt_tokens),
        output_tokens=_parse_number(output_tokens),
        parts=_parse_parts(_header_text(headers, dialect.prompt_prefix)),
    )


def _parse_parts(text: str) -> tuple[tuple[str, int], ...]:
    parts = []
    for part in filter(None, text.split(",")):
        identity, _, tokens = part.strip().partition(":")
        parts.append((identity, _parse_number(tokens)))
    return tuple(parts)


def _header_text(headers: Headers, name: bytes) -> str:
    return (header(headers, name) or b"").decode("latin-1").strip()


def _parse_number(text: str) -> int:
    text = text.strip()
    is_count = text.isascii() and text.isdigit() and len(text) <= MAX_COUNT_DIGITS
    return int(text) if is_count else 0


def time_limit_ms(request: CallerRequest, route: Route, dialect: Dialect) -> int:
    """Return the time limit of a request in ms: its own, up to its route's."""
    limit_ms = parse_number(header(request.headers, dialect.deadline_ms) or b"")
    return route.timeout_ms if limit_ms is None else min(limit_ms, route.timeout_ms)
