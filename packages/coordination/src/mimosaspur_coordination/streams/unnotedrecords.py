"""Hold which stream records other entries haven't acknowledged, and when to send them again."""

import itertools
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field

from mimosaspur_coordination.streams.streamrecords import StreamRecord
from mimosaspur_coordination.streams.streamrecords import StreamRecords

# An entry that stays silent is tried after the first of these intervals, then after twice the time
# each, up to the second.
FIRST_INTERVAL_MS = 500
MAX_INTERVAL_MS = 2_000
# One that is heard of is tried no sooner than this after the last time.
MIN_INTERVAL_MS = 100
# Whoever hears nothing of any entry for this long may have been cut off from all.
SILENCE_MS = 500


@dataclass(slots=True)
class Unnoted:
    """Hold what one entry has not acknowledged."""

    records: dict[bytes, StreamRecord] = field(default_factory=dict)
    sent_ms: int = 0
    interval_ms: int = FIRST_INTERVAL_MS
    due_ms: int = 0


class UnnotedRecords:
    """Hold the records that are to be sent again, by the entry that is to remember them.

    A record is held no longer than it is the latest of its stream in `records`.
    """

    __slots__ = ("entries", "heard_ms", "records")

    def __init__(self, records: StreamRecords) -> None:
        self.records = records
        self.entries: dict[str, Unnoted] = {}
        # When a datagram of any entry last arrived.
        self.heard_ms = records.clock.now_ms()

    def add(self, entry: str, sent: Mapping[bytes, StreamRecord]) -> None:
        """Add records that an entry was sent in vain."""
        now_ms = self.records.clock.now_ms()
        known = self.entries.get(entry)
        if known is None:
            due_ms = now_ms + FIRST_INTERVAL_MS
            known = self.entries[entry] = Unnoted(sent_ms=now_ms, due_ms=due_ms)
        known.records.update(sent)

    def on_noted(self, entry: str, sent: Mapping[bytes, StreamRecord]) -> None:
        """Remove records that an entry has acknowledged, and let the rest follow at once."""
        known = self.entries.get(entry)
        if known is None:
            return
        rest = {
            key: record
            for key, record in known.records.items()
            if key not in sent or sent[key].change < record.change
        }
        if len(rest) < len(known.records):
            known.due_ms = self.records.clock.now_ms()
            known.interval_ms = FIRST_INTERVAL_MS
        known.records = rest
        if not rest:
            del self.entries[entry]

    def on_heard(self, entry: str) -> None:
        """Let an entry be tried soon, and all of them after a silence."""
        now_ms = self.records.clock.now_ms()
        was_silent = self.is_silent()
        self.heard_ms = now_ms
        for name in list(self.entries) if was_silent else [entry]:
            known = self.entries.get(name)
            if known:
                known.interval_ms = FIRST_INTERVAL_MS
                known.due_ms = min(known.due_ms, max(now_ms, known.sent_ms + MIN_INTERVAL_MS))

    def is_silent(self) -> bool:
        """Return whether nothing has been heard of any entry for some time."""
        return self.records.clock.now_ms() - self.heard_ms >= SILENCE_MS

    def drop(self, entry: str) -> None:
        """Forget what an entry that has left was to be sent."""
        self.entries.pop(entry, None)

    def next_due_ms(self) -> int | None:
        """Return when the next entry is due, None if there is nothing to send."""
        return min((each.due_ms for each in self.entries.values()), default=None)

    def take_due(self, limit: int) -> tuple[str, dict[bytes, StreamRecord]] | None:
        """Return the entry that is due for longest and its oldest records, None if none is due."""
        now_ms = self.records.clock.now_ms()
        for entry in sorted(self.entries, key=lambda each: self.entries[each].due_ms):
            known = self.entries[entry]
            if known.due_ms > now_ms:
                return None
            # A later record of a stream has been sent by itself.
            known.records = {
                key: record
                for key, record in known.records.items()
                if self.records.find(key) == record
            }
            if not known.records:
                del self.entries[entry]
                continue
            known.sent_ms = now_ms
            known.due_ms = now_ms + known.interval_ms
            known.interval_ms = min(2 * known.interval_ms, MAX_INTERVAL_MS)
            return entry, dict(itertools.islice(known.records.items(), limit))
        return None
