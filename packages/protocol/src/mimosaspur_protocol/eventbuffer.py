"""Buffer a relayed event stream, so that only complete events are passed on."""

import re

from mimosaspur_protocol.numbers import parse_number

_ID_FIELD = b"id:"
_COMMENT = b":"
# A blank line after a line, each of which ends with CRLF, LF or CR. A final CR after a CRLF or LF
# may be half of a CRLF. One after a CR is not waited for, which would delay each event until the
# next; a LF that still follows then counts as an empty line.
_EVENT_END = re.compile(rb"(?:\r\n|\n)(?:\r\n|\n|\r(?!\n|\Z))|\r\r\n?")


class EventBuffer:
    """Hold back an incomplete event and track the id of the last complete one."""

    __slots__ = ("can_resume", "incomplete", "last_id")

    def __init__(self, last_id: int | None) -> None:
        self.incomplete = b""
        # A resumed stream continues after this event; None before the first.
        self.last_id = last_id
        # False after an event without an id, which a resumed stream would bring again.
        self.can_resume = True

    def feed(self, data: bytes) -> bytes:
        """Return the complete events, without those already passed on; raise EventMissing."""
        text = self.incomplete + data
        blocks = []
        start = 0
        for match in _EVENT_END.finditer(text):
            blocks.append(text[start : match.end()])
            start = match.end()
        self.incomplete = text[start:]
        last_id = self.last_id
        try:
            return b"".join([block for block in blocks if self._is_new(block)])
        except EventMissing:
            # None of these events is passed on.
            self.last_id = last_id
            raise

    def ends_inside_event(self) -> bool:
        """Return whether the data so far ends inside an event, not in a comment or blank line."""
        return _has_field(self.incomplete)

    def discard_incomplete(self) -> None:
        """Discard the incomplete event, which another target sends again from its start."""
        self.incomplete = b""

    def _is_new(self, block: bytes) -> bool:
        number = event_number(block)
        if number is None:
            self.can_resume &= not _has_field(block)
            return True
        if self.last_id is not None:
            if number <= self.last_id:
                return False
            if number != self.last_id + 1:
                raise EventMissing(self.last_id, number)
        self.last_id = number
        self.can_resume = True
        return True


def _has_field(text: bytes) -> bool:
    return any(line and not line.startswith(_COMMENT) for line in text.splitlines())


class EventMissing(Exception):
    """Raised when an event id is not the successor of the previous one."""

    def __init__(self, last_id: int, number: int) -> None:
        super().__init__(f"received event {number} after event {last_id}")


def event_number(block: bytes) -> int | None:
    """Return the numeric id of an event, or None if it has none."""
    for line in block.splitlines():
        if line.startswith(_ID_FIELD):
            return parse_number(line[len(_ID_FIELD) :].strip())
    return None
