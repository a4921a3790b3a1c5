"""Judge from the end of a response's body whether the response is complete."""

from enum import Enum


class Completeness(Enum):
    """List what the end of a response tells."""

    COMPLETE = "complete"
    BROKEN = "broken"
    # The body has neither a length nor chunks, and its connection was closed in order.
    UNKNOWN = "unknown"


def stream_completeness(
    *, marked: bool, inside_event: bool, has_events: bool, may_be_empty: bool
) -> Completeness:
    """Judge an event stream whose body has ended without an error.

    `marked` tells whether its framing marks the end, `has_events` whether an event has come, and
    `may_be_empty` whether a stream that resumes another one may have nothing to add.
    """
    if inside_event:
        return Completeness.BROKEN
    if marked:
        return Completeness.COMPLETE
    return Completeness.UNKNOWN if has_events or may_be_empty else Completeness.BROKEN
