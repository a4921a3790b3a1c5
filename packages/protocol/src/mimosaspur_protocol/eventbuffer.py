"""Buffer a relayed event stream, so that only complete events are passed on."""

import re

from mimosaspur_protocol.numbers import parse_number

_ID_FIELD = b"id:"
_COMMENT = b":"
# A blank line after a line, each of which ends with CRLF, LF or CR. A final CR after a CRLF or LF
# may be half of a CRLF. One after a CR is not waited for, which would delay each event until the
# next; a LF that still follows then counts as an empty line.
_EVENT_END = re.compile(rb"(?:\r\n|\n)(?:\r\n|\n|\r(?!\n|\Z))|\r\r\n?")
# The end of an event that has been searched already may be the first bytes of an event's end.
_MAX_PARTIAL_END = 3
# Limit on what is held back: an incomplete event, and the comments and blank lines before it.
MAX_HELD_BYTES = 262_144
# Limit on events that come again, as a stream does from its start, without a new one.
MAX_REPEATED_BYTES = 1_048_576


class EventBuffer:
    """Hold back an incomplete event and track the id of the last complete one.

    Comments and blank lines are held back too, until the next event: a target that sends nothing
    else doesn't answer.
    """

    __slots__ = ("can_resume", "comments", "incomplete", "last_id", "repeated_bytes")

    def __init__(self, last_id: int | None) -> None:
        # Arrays, since both may grow in many small pieces.
        self.incomplete = bytearray()
        self.comments = bytearray()
        # Of events that have come again since the last new one.
        self.repeated_bytes = 0
        # A resumed stream continues after this event; None before the first.
        self.last_id = last_id
        # False after an event without an id, which a resumed stream would bring again.
        self.can_resume = True

    def feed(self, data: bytes) -> bytes:
        """Return the complete events, without those already passed on.

        Raise EventMissing, or EventTooLong once too much has come without a complete event.
        """
        text = self.incomplete
        # Searched from the start each time, a long event in small pieces would take far longer.
        searched = max(0, len(text) - _MAX_PARTIAL_END)
        text += data
        blocks = []
        start = 0
        for match in _EVENT_END.finditer(text, searched):
            blocks.append(bytes(text[start : match.end()]))
            start = match.end()
        self.incomplete = text[start:] if start else text
        last_id = self.last_id
        try:
            new_blocks = [block for block in blocks if self._is_new(block)]
        except EventMissing:
            # None of these events is passed on.
            self.last_id = last_id
            raise
        # What follows the last event isn't passed on before the next one.
        count = max((n for n, block in enumerate(new_blocks, 1) if _has_field(block)), default=0)
        new = b"".join(new_blocks[:count])
        if count:
            new = bytes(self.comments) + new
            self.comments.clear()
        self.comments += b"".join(new_blocks[count:])
        held_bytes = len(self.comments) + len(self.incomplete)
        if held_bytes > MAX_HELD_BYTES or self.repeated_bytes > MAX_REPEATED_BYTES:
            raise EventTooLong
        return new

    def held(self) -> bytes:
        """Return what has come after the last complete event."""
        return bytes(self.comments + self.incomplete)

    def ends_inside_event(self) -> bool:
        """Return whether the data so far ends inside an event, not in a comment or blank line."""
        return _has_field(self.incomplete)

    def discard_incomplete(self) -> None:
        """Discard the incomplete event, which another target sends again from its start."""
        self.incomplete = bytearray()
        self.comments.clear()

    def _is_new(self, block: bytes) -> bool:
        number = event_number(block)
        if number is None:
            self.can_resume &= not _has_field(block)
            return True
        if self.last_id is not None:
            if number <= self.last_id:
                self.repeated_bytes += len(block)
                return False
            if number != self.last_id + 1:
                raise EventMissing(self.last_id, number)
        self.last_id = number
        self.repeated_bytes = 0
        self.can_resume = True
        return True


def _has_field(text: bytes | bytearray) -> bool:
    return any(line and not line.startswith(_COMMENT) for line in text.splitlines())


class EventMissing(Exception):
    """Raised when an event id is not the successor of the previous one."""

    def __init__(self, last_id: int, number: int) -> None:
        super().__init__(f"received event {number} after event {last_id}")


class EventTooLong(Exception):
    """Raised when an event, or what comes in place of one, exceeds the limit."""

    def __init__(self) -> None:
        super().__init__("the stream brings more than the size limit without a new event")


def event_number(block: bytes) -> int | None:
    """Return the numeric id of an event, or None if it has none."""
    for line in block.splitlines():
        if line.startswith(_ID_FIELD):
            return parse_number(line[len(_ID_FIELD) :].strip())
    return None
