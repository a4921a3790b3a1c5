"""Write events as JSON lines to standard output without blocking requests."""

import fcntl
import os
import sys
from collections import deque

import msgspec

from mimosaspur_state.clock import Clock
from mimosaspur_state.clock import SystemClock
from mimosaspur_state.counters import Counters

# Excess lines are counted and reported in one summary line.
MAX_LINES_PER_KIND_PER_S = 40
# Lines are dropped when a slow reader of standard output lags by more than this.
MAX_PENDING_BYTES = 262_144


class EventLog:
    """Write one line per event, rate-limited per kind, with a count of suppressed lines."""

    __slots__ = (
        "clock",
        "counters",
        "dropped",
        "fd",
        "instance",
        "suppressed",
        "current_second",
        "pending",
        "lines_by_kind",
    )

    def __init__(self, instance: str, *, clock: Clock | None = None, fd: int | None = None) -> None:
        self.instance = instance
        self.clock = clock or SystemClock()
        self.fd = sys.stdout.fileno() if fd is None else fd
        self.counters = Counters()
        self.current_second = 0
        self.lines_by_kind: dict[str, int] = {}
        self.suppressed: dict[str, int] = {}
        self.pending: deque[bytes] = deque()
        self.dropped = 0
        flags = fcntl.fcntl(self.fd, fcntl.F_GETFL)
        fcntl.fcntl(self.fd, fcntl.F_SETFL, flags | os.O_NONBLOCK)

    def write(self, kind: str, /, **fields: object) -> None:
        """Count an event and log it unless its kind exceeds the rate limit of this second."""
        self.counters.count(kind, _outcome_label(fields))
        now_ms = self.clock.now_ms()
        if now_ms // 1000 != self.current_second:
            self._start_second(now_ms // 1000)
        count = self.lines_by_kind.get(kind, 0) + 1
        self.lines_by_kind[kind] = count
        if count > MAX_LINES_PER_KIND_PER_S:
            self.suppressed[kind] = self.suppressed.get(kind, 0) + 1
            return
        self._append_line(kind, fields)

    def always(self, kind: str, /, **fields: object) -> None:
        """Count and log an event regardless of the rate limit."""
        self.counters.count(kind, _outcome_label(fields))
        self._append_line(kind, fields)

    def _start_second(self, second: int) -> None:
        self.current_second = second
        self.lines_by_kind.clear()
        if self.suppressed:
            counts = self.suppressed
            self.suppressed = {}
            self._append_line("left_out", {"counts": counts, "dropped": self.dropped})

    def _append_line(self, kind: str, fields: dict[str, object]) -> None:
        line = {"ms": self.clock.now_ms(), "instance": self.instance, "event": kind} | fields
        self.pending.append(msgspec.json.encode(line) + b"\n")
        self._flush()

    def _flush(self) -> None:
        data = b"".join(self.pending)
        self.pending.clear()
        try:
            sent = os.write(self.fd, data)
        except BlockingIOError:
            sent = 0
        except OSError:
            self.dropped += 1
            return
        if sent == len(data):
            return
        if len(data) - sent > MAX_PENDING_BYTES:
            self.dropped += 1
            # Keep the rest of a partly written line, so that the output has no partial lines.
            rest = data[sent:]
            data, sent = rest[: rest.index(b"\n") + 1] if sent else b"", 0
        if data[sent:]:
            self.pending.append(data[sent:])


def _outcome_label(fields: dict[str, object]) -> str:
    """Return the value of the field that holds the event's outcome, or an empty string."""
    for name in ("result", "outcome", "code", "what"):
        if name in fields:
            return str(fields[name])
    return ""
