"""Cut a relayed event stream at the ends of its events, so that no half event is passed on."""

_BLANK_LINE = b"\n\n"
_ID_FIELD = b"id:"


class EventBuffer:
    """Keep the begun event back, and the number of the last whole one."""

    __slots__ = ("incomplete", "last_id")

    def __init__(self, last_id: int | None) -> None:
        self.incomplete = b""
        # The number of the last whole event, None before the first: a resumed stream goes on
        # after it.
        self.last_id = last_id

    def feed(self, data: bytes) -> bytes:
        """Return the whole events; those that came before already are left out."""
        text = self.incomplete + data
        end = text.rfind(_BLANK_LINE)
        if end < 0:
            self.incomplete = text
            return b""
        end += len(_BLANK_LINE)
        self.incomplete = text[end:]
        return b"".join(self._new_events(text[:end]))

    def discard_incomplete(self) -> None:
        """Drop the begun event: the stream goes on from its start at another target."""
        self.incomplete = b""

    def _new_events(self, text: bytes) -> list[bytes]:
        kept = []
        for block in text.split(_BLANK_LINE)[:-1]:
            number = event_number(block)
            if number is not None:
                if self.last_id is not None:
                    if number <= self.last_id:
                        continue
                    if number != self.last_id + 1:
                        raise EventMissing(self.last_id, number)
                self.last_id = number
            kept.append(block + _BLANK_LINE)
        return kept


class EventMissing(Exception):
    """Say that a stream goes on after a gap."""

    def __init__(self, last_id: int, number: int) -> None:
        super().__init__(f"event {number} came after {last_id}")


def event_number(block: bytes) -> int | None:
    """Return an event's number, None when it has none."""
    for line in block.split(b"\n"):
        if line.startswith(_ID_FIELD):
            value = line[len(_ID_FIELD) :].strip()
            return int(value) if value.isdigit() else None
    return None
