"""Share with other entries which software versions began this entry's streams."""

import asyncio
import contextlib
import itertools
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping

from mimosaspur_coordination.fleetports import VersionRecord
from mimosaspur_coordination.streams.lookup import VersionLookup
from mimosaspur_coordination.streams.lookup import VersionSource
from mimosaspur_coordination.streams.streamrecords import StreamRecord
from mimosaspur_coordination.streams.streamrecords import StreamRecords
from mimosaspur_coordination.streams.versionhistory import VersionHistory
from mimosaspur_coordination.streams.witnesses import choose_witnesses
from mimosaspur_protocol.streammessages import MAX_RECORDS_PER_DATAGRAM
from mimosaspur_protocol.streammessages import RecordMessage
from mimosaspur_protocol.streammessages import StreamAnswer
from mimosaspur_protocol.streammessages import StreamMessage
from mimosaspur_protocol.streammessages import StreamMessageInvalid
from mimosaspur_protocol.streammessages import StreamQuestion
from mimosaspur_protocol.streammessages import StreamsBegun
from mimosaspur_protocol.streammessages import StreamsNoted
from mimosaspur_protocol.streammessages import decode_stream_message
from mimosaspur_protocol.streammessages import encode_stream_message
from mimosaspur_state.clock import Clock
from mimosaspur_state.eventlog import EventLog
from mimosaspur_transport.datagrams import Address
from mimosaspur_transport.datagrams import DatagramEndpoint

# Entries besides this one that remember a stream.
WITNESS_COUNT = 2
# Entries that are asked: those whose list of entries differs have chosen other witnesses.
ASKED_COUNT = 8
# A datagram without an answer is sent again this often, at this interval.
SEND_COUNT = 4
SEND_INTERVAL_S = 0.015
# Limit on the wait for answers: a round trip takes a few milliseconds.
ANSWER_TIMEOUT_S = 0.06
# Entries that a new coordinator doesn't know yet are still asked for this long.
ENTRY_GRACE_MS = 5_000
# For a configuration without streams.
MIN_LIFETIME_MS = 15_000
TICK_INTERVAL_S = 0.1


class StreamVersions:
    """Know the version that began each stream that may be resumed here."""

    def __init__(self, *, instance: str, lag_ms: int, clock: Clock, log: EventLog) -> None:
        self.instance = instance
        self.clock = clock
        self.log = log
        self.history = VersionHistory(clock=clock, lag_ms=lag_ms, lifetime_ms=MIN_LIFETIME_MS)
        self.records = StreamRecords(clock=clock, max_age_ms=MIN_LIFETIME_MS)
        self.endpoint = DatagramEndpoint(self._on_datagram)
        # Where other entries reach this one; None while it doesn't listen.
        self.address: Address | None = None
        # The other entries, and until when those are kept that a new coordinator doesn't know.
        self.entries: dict[str, Address] = {}
        self.kept_until_ms: dict[str, int] = {}
        self.numbers = itertools.count(1)
        # By the number of a datagram with records, set once it is acknowledged.
        self.deliveries: dict[int, asyncio.Event] = {}
        self.lookups: dict[int, tuple[VersionLookup, asyncio.Event]] = {}
        self.tasks: set[asyncio.Task[None]] = set()

    async def listen(self, address: Address) -> None:
        """Accept datagrams of other entries; raise OSError."""
        self.address = await self.endpoint.listen(address)

    async def run(self) -> None:
        """Notice whenever this process was suspended."""
        while True:
            self.history.tick()
            await asyncio.sleep(TICK_INTERVAL_S)

    def close(self) -> None:
        """Stop sending and receiving."""
        self.endpoint.close()
        for task in self.tasks:
            task.cancel()

    def set_lifetime(self, lifetime_ms: int) -> None:
        """Set the longest time from the beginning of a stream to a resumption."""
        self.history.lifetime_ms = self.records.max_age_ms = max(MIN_LIFETIME_MS, lifetime_ms)

    def update_targets(self, versions: Mapping[str, Collection[str]]) -> None:
        """Apply the versions of all registered targets by service."""
        self._on_grown(self.history.update(versions))

    def apply_record(self, record: VersionRecord | None, *, asked_ms: int) -> None:
        """Apply the store's record of versions as of asked_ms."""
        self._on_grown(self.history.apply_record(record, asked_ms=asked_ms))

    def _on_grown(self, services: Collection[str]) -> None:
        """Tell of all streams as soon as a service may have a further version."""
        for service in sorted(services):
            known = sorted(self.history.recent(service))
            self.log.always("versions", service=service, versions=known)
        if services:
            self._send_all_records()

    def update_entries(
        self, joined: Iterable[tuple[str, Address]], left: Iterable[str], *, complete: bool
    ) -> None:
        """Apply which entries there are: changes, or all of them."""
        now_ms = self.clock.now_ms()
        if complete:
            for name in self.entries:
                self.kept_until_ms.setdefault(name, now_ms + ENTRY_GRACE_MS)
        for name in left:
            self.entries.pop(name, None)
        for name, address in joined:
            if name != self.instance:
                self.entries[name] = address
                self.kept_until_ms.pop(name, None)
        for name, until_ms in list(self.kept_until_ms.items()):
            if name not in self.entries or now_ms >= until_ms:
                self.entries.pop(name, None)
                del self.kept_until_ms[name]

    async def announce(
        self, key: bytes, record: StreamRecord, *, service: str, is_change: bool
    ) -> bool:
        """Remember a stream here and at its witnesses.

        Return whether no entry can know an earlier version of it. Only for a change of the
        version this waits for the witnesses.
        """
        self.records.note(key, record)
        if not is_change and not self.history.may_have_several(service):
            return True
        witnesses = choose_witnesses(key, self.entries, count=WITNESS_COUNT)
        deliveries = [self._deliver(name, {key: record}) for name in witnesses]
        if is_change:
            await asyncio.gather(*(self._wait(each) for each in deliveries))
        return not is_change or all(each.is_set() for each in deliveries)

    async def find(self, key: bytes, *, service: str) -> tuple[str, VersionSource] | None:
        """Return the version that began a stream and how it is known, None if it is unknown."""
        known = self.find_here(key, service=service)
        if known is not None:
            return known
        asked = self._asked(key)
        versions = self.history.recent(service)
        lookup = VersionLookup(asked, versions=versions)
        if not lookup.is_decided():
            await self._ask(lookup, service, key)
        return lookup.result()

    def find_here(self, key: bytes, *, service: str) -> tuple[str, VersionSource] | None:
        """Return what `find` does without asking other entries, None if it is unknown here."""
        record = self.records.find(key)
        if record:
            return record.version, VersionSource.RECORD
        sole = self.history.sole_version(service)
        return (sole, VersionSource.ONLY_VERSION) if sole is not None else None

    def asks_others(self, key: bytes, *, service: str) -> bool:
        """Return whether `find` asks other entries for a stream's version."""
        return self.find_here(key, service=service) is None and bool(self._asked(key))

    def _asked(self, key: bytes) -> Collection[str]:
        """Return the entries to ask for a stream's version."""
        return choose_witnesses(key, self.entries, count=ASKED_COUNT)

    def listing(self) -> dict[str, object]:
        """Return the versions that serve, and what is remembered, for operators."""
        history = self.history
        return {
            "services": {service: sorted(history.recent(service)) for service in history.services},
            "complete": sorted(each for each in history.services if history.is_complete(each)),
            "list_is_current": history.is_current(),
            "records": len(self.records.recent()),
            "entries": sorted(self.entries),
        }

    async def _ask(self, lookup: VersionLookup, service: str, key: bytes) -> None:
        number = next(self.numbers)
        decided = asyncio.Event()
        self.lookups[number] = lookup, decided
        data = encode_stream_message(StreamQuestion(self.instance, number, service, key))
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                while not decided.is_set():
                    for name in lookup.unanswered:
                        self._send(name, data)
                    with contextlib.suppress(TimeoutError):
                        async with asyncio.timeout(SEND_INTERVAL_S):
                            await decided.wait()
        except TimeoutError:
            pass
        finally:
            del self.lookups[number]

    async def _wait(self, event: asyncio.Event) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                await event.wait()

    def _send_all_records(self) -> None:
        """Tell the witnesses of all streams that began while nobody else had to know them."""
        batches: dict[str, dict[bytes, StreamRecord]] = {}
        for key, record in self.records.recent().items():
            for name in choose_witnesses(key, self.entries, count=WITNESS_COUNT):
                batches.setdefault(name, {})[key] = record
        for name, records in batches.items():
            items = list(records.items())
            for start in range(0, len(items), MAX_RECORDS_PER_DATAGRAM):
                self._deliver(name, dict(items[start : start + MAX_RECORDS_PER_DATAGRAM]))

    def _deliver(self, name: str, records: Mapping[bytes, StreamRecord]) -> asyncio.Event:
        """Send records to one entry until it acknowledges them, which sets the event."""
        number = next(self.numbers)
        delivery = self.deliveries[number] = asyncio.Event()
        messages = [
            RecordMessage(key, record.version, record.change) for key, record in records.items()
        ]
        data = encode_stream_message(StreamsBegun(self.instance, number, messages))
        self._send(name, data)
        task = asyncio.get_running_loop().create_task(self._repeat(number, name, data))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return delivery

    async def _repeat(self, number: int, name: str, data: bytes) -> None:
        delivery = self.deliveries[number]
        try:
            for _ in range(SEND_COUNT - 1):
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(SEND_INTERVAL_S):
                        await delivery.wait()
                        return
                self._send(name, data)
            await self._wait(delivery)
        finally:
            del self.deliveries[number]

    def _send(self, name: str, data: bytes) -> None:
        address = self.entries.get(name)
        if address:
            self.endpoint.send(data, address)

    def _on_datagram(self, data: bytes, address: Address) -> None:
        try:
            message = decode_stream_message(data)
        except StreamMessageInvalid as error:
            self.log.write("bad_stream_message", error=str(error))
            return
        reply = self._answer(message)
        if reply:
            self.endpoint.send(encode_stream_message(reply), address)

    def _answer(self, message: StreamMessage) -> StreamMessage | None:
        if isinstance(message, StreamsBegun):
            for each in message.records:
                self.records.note(each.key, StreamRecord(each.version, each.change))
            return StreamsNoted(self.instance, message.number)
        if isinstance(message, StreamQuestion):
            record = self.records.find(message.key)
            known = RecordMessage(message.key, record.version, record.change) if record else None
            versions = sorted(self.history.recent(message.service))
            complete = self.history.is_complete(message.service)
            return StreamAnswer(self.instance, message.number, known, versions, complete)
        if isinstance(message, StreamsNoted):
            delivery = self.deliveries.get(message.number)
            if delivery:
                delivery.set()
        else:
            self._on_answer(message)
        return None

    def _on_answer(self, answer: StreamAnswer) -> None:
        lookup, decided = self.lookups.get(answer.number, (None, None))
        if lookup is None or decided is None:
            return
        record = answer.record
        lookup.add_answer(
            answer.sender,
            StreamRecord(record.version, record.change) if record else None,
            versions=answer.versions,
            complete=answer.complete,
        )
        if lookup.is_decided():
            decided.set()
