"""Remember which software version began each stream, for as long as the stream may be resumed."""

import hashlib
from collections import OrderedDict
from dataclasses import dataclass

from mimosaspur_state.clock import Clock

KEY_BYTES = 8
# Bounds the memory of an entry that is sent records without end.
MAX_RECORDS = 50_000


@dataclass(slots=True, frozen=True)
class StreamRecord:
    """Hold the version that runs, or began, a stream."""

    version: str
    # Increases when a retry before the first event changes the version.
    change: int = 0


def stream_key(service: str, request: str) -> bytes:
    """Return the key of the stream that a request began."""
    text = f"{service}\0{request}".encode()
    return hashlib.blake2b(text, digest_size=KEY_BYTES).digest()


class StreamRecords:
    """Hold records by the keys of their streams, until they are too old to be of use."""

    __slots__ = ("clock", "max_age_ms", "records")

    def __init__(self, *, clock: Clock, max_age_ms: int) -> None:
        self.clock = clock
        self.max_age_ms = max_age_ms
        # By key, with the time of the last note, the oldest first.
        self.records: OrderedDict[bytes, tuple[StreamRecord, int]] = OrderedDict()

    def note(self, key: bytes, record: StreamRecord, *, late: bool = False) -> None:
        """Remember a record, unless a later one of the same stream is known.

        One that comes late never replaces another, which may be of a newer attempt.
        """
        known = self.find(key)
        if known and (late or known.change > record.change):
            return
        self.records[key] = record, self.clock.now_ms()
        self.records.move_to_end(key)
        self._prune()

    def find(self, key: bytes) -> StreamRecord | None:
        """Return a stream's record, or None if there is none that is recent enough."""
        record, noted_ms = self.records.get(key, (None, 0))
        return record if self.clock.now_ms() - noted_ms < self.max_age_ms else None

    def recent(self) -> dict[bytes, StreamRecord]:
        """Return all records that are recent enough."""
        self._prune()
        return {key: record for key, (record, _) in self.records.items()}

    def _prune(self) -> None:
        oldest_ms = self.clock.now_ms() - self.max_age_ms
        while self.records:
            key, (_, noted_ms) = next(iter(self.records.items()))
            if noted_ms > oldest_ms and len(self.records) <= MAX_RECORDS:
                return
            del self.records[key]
