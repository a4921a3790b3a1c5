"""Buffer a relayed event stream, so that only complete events are passed on."""

_BLANK_LINE = b"\n\n"
_ID_FIELD = b"id:"


class EventBuffer:
    """Hold back an incomplete event and track the id of the last complete one."""

    __slots__ = ("incomplete", "last_id")

    def __init__(self, last_id: int | None) -> None:
        self.incomplete = b""
        # A resumed stream continues after this event; None before the first.
        self.last_id = last_id

    def feed(self, data: bytes) -> bytes:
        """Return the complete events, without those already passed on; raise EventMissing."""
        text = self.incomplete + data
        end = text.rfind(_BLANK_LINE)
        if end < 0:
            self.incomplete = text
            return b""
        end += len(_BLANK_LINE)
        self.incomplete = text[end:]
        return b"".join(self._new_events(text[:end]))

    def discard_incomplete(self) -> None:
        """Discard the incomplete event, which another target sends again from its start."""
        self.incomplete = b""

    def _new_events(self, text: bytes) -> list[bytes]:
        new = []
        for block in text.split(_BLANK_LINE)[:-1]:
            number = event_number(block)
            if number is not None:
                if self.last_id is not None:
                    if number <= self.last_id:
                        continue
                    if number != self.last_id + 1:
                        raise EventMissing(self.last_id, number)
                self.last_id = number
            new.append(block + _BLANK_LINE)
        return new


class EventMissing(Exception):
    """Raised when an event id is not the successor of the previous one."""

    def __init__(self, last_id: int, number: int) -> None:
        super().__init__(f"received event {number} after event {last_id}")


def event_number(block: bytes) -> int | None:
    """Return the numeric id of an event, or None if it has none."""
    for line in block.split(b"\n"):
        if line.startswith(_ID_FIELD):
            value = line[len(_ID_FIELD) :].strip()
            return int(value) if value.isdigit() else None
    return None
