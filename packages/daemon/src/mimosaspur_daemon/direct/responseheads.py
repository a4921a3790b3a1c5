"""Read from the head of a target's response what it tells of the request and of the target."""

from mimosaspur_transport.dialect import RETRY_AFTER
from mimosaspur_transport.dialect import Dialect
from mimosaspur_transport.dialect import header
from mimosaspur_transport.httpchannel import ResponseHead

EVENT_STREAM_TYPE = b"text/event-stream"


def is_event_stream(head: ResponseHead) -> bool:
    """Return whether a successful response is a stream of events."""
    content_type = header(head.headers, b"content-type") or EVENT_STREAM_TYPE
    return 200 <= head.status < 300 and content_type.lower().startswith(EVENT_STREAM_TYPE)


def is_not_run(head: ResponseHead, dialect: Dialect) -> bool:
    """Return whether a target states that it has not run the request."""
    return head.status == 421 or header(head.headers, dialect.not_run) is not None


def is_authentic(head: ResponseHead, dialect: Dialect) -> bool:
    """Return whether a successful response comes from the target itself."""
    encoded = header(head.headers, b"content-encoding")
    return not encoded and (not dialect.proof or header(head.headers, dialect.proof) is not None)


def target_notices(head: ResponseHead, dialect: Dialect) -> dict[str, str]:
    """Return the headers by which the target tells of itself, for the log."""
    names = (dialect.request_limit, dialect.leaving, RETRY_AFTER)
    return {
        name.decode(): value.decode("latin-1")
        for name in names
        if (value := header(head.headers, name)) is not None
    }
