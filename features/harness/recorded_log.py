"""Keep an entry's log lines in memory."""

import os

from mimosaspur_state.eventlog import EventLog


class RecordedLog(EventLog):
    """Keep the lines, with their fields."""

    def __init__(self, instance: str) -> None:
        super().__init__(instance, fd=os.open(os.devnull, os.O_WRONLY))
        self.lines: list[tuple[str, dict[str, object]]] = []

    def of_kind(self, kind: str) -> list[dict[str, object]]:
        """Return the fields of all lines of a kind."""
        return [fields for each, fields in self.lines if each == kind]

    def _append_line(self, kind: str, fields: dict[str, object]) -> None:
        self.lines.append((kind, fields))
        super()._append_line(kind, fields)
