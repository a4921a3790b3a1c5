"""Share with other entries which software versions began this entry's streams."""

import asyncio
import contextlib
import itertools
import math
import secrets
from collections.abc import Collection
from collections.abc import Coroutine
from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field

from mimosaspur_coordination.fleetports import VersionRecord
from mimosaspur_coordination.streams.lookup import VersionLookup
from mimosaspur_coordination.streams.lookup import VersionSource
from mimosaspur_coordination.streams.streamrecords import StreamRecord
from mimosaspur_coordination.streams.streamrecords import StreamRecords
from mimosaspur_coordination.streams.unnotedrecords import UnnotedRecords
from mimosaspur_coordination.streams.versionhistory import VersionHistory
from mimosaspur_coordination.streams.witnesses import choose_witnesses
from mimosaspur_daemon.direct.changenotifier import ChangeNotifier
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
# A datagram is sent again after each of these times without an answer. The process may stand still
# meanwhile: what it has waited too long in one of them is not taken from the next.
SEND_INTERVALS_S = (0.015, 0.03, 0.06, 0.12, 0.24, 0.48)
# What wasn't acknowledged by then is sent again at this pace, to all entries together.
SENT_AGAIN_BYTES_PER_S = 4_000
OVERHEAD_BYTES = 28
# While nothing is heard of any entry one datagram is sent in this time.
SILENT_INTERVAL_S = 0.5
# The same while a caller waits, who is to be rejected at once if nobody can answer.
ANSWER_INTERVALS_S = (0.015, 0.03, 0.045, 0.06)
ANSWER_TIMEOUT_S = sum(ANSWER_INTERVALS_S)
# An entry that nobody has answered by then is out of touch itself: another one may know.
OUT_OF_TOUCH_SENDS = 3
# How long a resumption waits for the first read of the record.
RECORD_TIMEOUT_S = sum(ANSWER_INTERVALS_S[:OUT_OF_TOUCH_SENDS])
# Entries that a new coordinator doesn't know yet are still asked for this long.
ENTRY_GRACE_MS = 5_000
# For a configuration without streams.
MIN_LIFETIME_MS = 15_000
FIRST_NUMBER_BITS = 62


@dataclass(slots=True)
class Delivery:
    """Hold records that are sent to one entry until it acknowledges them."""

    entry: str
    records: Mapping[bytes, StreamRecord]
    noted: asyncio.Event = field(default_factory=asyncio.Event)


@dataclass(slots=True)
class Question:
    """Hold what is asked of other entries about one stream."""

    lookup: VersionLookup
    asked_ms: int
    decided: asyncio.Event = field(default_factory=asyncio.Event)
    # By entry, the time until its answer was read here.
    answered_ms: dict[str, int] = field(default_factory=dict)
    rounds: int = 0
    # The longest time by which this process was late meanwhile.
    late_ms: int = 0


class StreamVersions:
    """Know the version that began each stream that may be resumed here."""

    def __init__(self, *, instance: str, lag_ms: int, clock: Clock, log: EventLog) -> None:
        self.instance = instance
        self.clock = clock
        self.log = log
        self.history = VersionHistory(clock=clock, lag_ms=lag_ms, lifetime_ms=MIN_LIFETIME_MS)
        self.records = StreamRecords(clock=clock, max_age_ms=MIN_LIFETIME_MS)
        self.unnoted = UnnotedRecords(self.records)
        # Set when an entry may have become due, while the task that sends records again waits.
        self.unnoted_changed = asyncio.Event()
        self.is_sending_again = False
        self.endpoint = DatagramEndpoint(self._on_datagram)
        # Where other entries reach this one; None while it doesn't listen.
        self.address: Address | None = None
        # The other entries, and until when those are kept that a new coordinator doesn't know.
        self.entries: dict[str, Address] = {}
        self.kept_until_ms: dict[str, int] = {}
        # Random, since replies to an earlier process of this instance may arrive late.
        self.numbers = itertools.count(secrets.randbits(FIRST_NUMBER_BITS))
        # By the number of a datagram with records.
        self.deliveries: dict[int, Delivery] = {}
        # By the number of its datagrams.
        self.questions: dict[int, Question] = {}
        self.record_reads = ChangeNotifier()
        self.tasks: set[asyncio.Task[None]] = set()

    async def listen(self, address: Address) -> None:
        """Accept datagrams of other entries; raise OSError."""
        self.address = await self.endpoint.listen(address)

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
        self.record_reads.notify()

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
        for name in self.unnoted.entries.keys() - self.entries.keys():
            self.unnoted.drop(name)

    async def announce(
        self, key: bytes, record: StreamRecord, *, service: str, is_change: bool
    ) -> bool:
        """Remember a stream here and at its witnesses.

        Return whether no entry that is asked can know an earlier version of it. Only for a change
        of the version this tells all that are asked, and waits for them.
        """
        self.records.note(key, record)
        if not is_change and not self.history.may_have_several(service):
            return True
        # After entries have joined, one that isn't a witness any more knows the earlier version.
        count = ASKED_COUNT if is_change else WITNESS_COUNT
        witnesses = choose_witnesses(key, self.entries, count=count)
        # A change that isn't acknowledged at once isn't carried out.
        deliveries = [
            self._deliver(name, {key: record}, is_kept=not is_change) for name in witnesses
        ]
        if not is_change:
            return True
        asked_ms = self.clock.now_ms()
        await asyncio.gather(*(self._wait(each) for each in deliveries))
        pending = [each.entry for each in deliveries if not each.noted.is_set()]
        self.log.write(
            "version_change",
            service=service,
            key=key.hex(),
            version=record.version,
            witnesses=witnesses,
            silent=pending,
            took_ms=self.clock.now_ms() - asked_ms,
        )
        return not pending

    async def find(
        self, key: bytes, *, service: str, until_s: float = math.inf
    ) -> tuple[str, VersionSource] | None:
        """Return the version that began a stream and how it is known, None if it is unknown.

        Other entries are asked, and the first read of the record is waited for, until `until_s` of
        the event loop at most.
        """
        known = self.find_here(key, service=service)
        if known is not None:
            return known
        due_s = min(until_s, asyncio.get_running_loop().time() + RECORD_TIMEOUT_S)
        asked = self._asked(key)
        versions = self.history.recent(service)
        lookup = VersionLookup(asked, versions=versions)
        if not lookup.is_decided():
            await self._ask(lookup, service, key, until_s)
        if lookup.result() is None:
            await self._wait_for_record(due_s)
        # What came meanwhile without being asked for counts as well.
        return self.find_here(key, service=service) or lookup.result()

    async def _wait_for_record(self, due_s: float) -> None:
        """Wait for the first read of the record, until a time of the event loop."""
        loop = asyncio.get_running_loop()
        while not self.history.has_read_record() and (left_s := due_s - loop.time()) > 0:
            await self.record_reads.wait(left_s)

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

    async def _ask(self, lookup: VersionLookup, service: str, key: bytes, until_s: float) -> None:
        number = next(self.numbers)
        question = self.questions[number] = Question(lookup, self.clock.now_ms())
        data = encode_stream_message(StreamQuestion(self.instance, number, service, key))
        loop = asyncio.get_running_loop()
        try:
            for interval_s in ANSWER_INTERVALS_S:
                for name in lookup.unanswered:
                    self._send(name, data)
                question.rounds += 1
                due_s = loop.time() + interval_s
                decided = await _is_set_by(question.decided, due_s)
                late_s = loop.time() - due_s
                question.late_ms = max(question.late_ms, round(late_s * 1000))
                # After a stall what has arrived meanwhile is read first.
                if loop.time() >= until_s and late_s < interval_s:
                    break
                if decided or self.entries.keys().isdisjoint(lookup.unanswered):
                    break
                if question.rounds >= OUT_OF_TOUCH_SENDS and not question.answered_ms:
                    break
        finally:
            del self.questions[number]
            self._log_question(question, service, key)

    def _log_question(self, question: Question, service: str, key: bytes) -> None:
        lookup = question.lookup
        self.log.write(
            "version_asked",
            service=service,
            key=key.hex(),
            asked=len(question.answered_ms) + len(lookup.unanswered),
            answered_ms=question.answered_ms,
            silent=sorted(lookup.unanswered),
            rounds=question.rounds,
            took_ms=self.clock.now_ms() - question.asked_ms,
            late_ms=question.late_ms,
            versions=sorted(lookup.versions),
            **self.history.list_state(),
        )

    async def _wait(self, delivery: Delivery) -> None:
        loop = asyncio.get_running_loop()
        for interval_s in ANSWER_INTERVALS_S:
            if await _is_set_by(delivery.noted, loop.time() + interval_s):
                return

    def _send_all_records(self) -> None:
        """Tell the witnesses of all streams that began while nobody else had to know them."""
        batches: dict[str, dict[bytes, StreamRecord]] = {}
        for key, record in self.records.recent().items():
            for name in choose_witnesses(key, self.entries, count=WITNESS_COUNT):
                batches.setdefault(name, {})[key] = record
        for name, records in batches.items():
            items = list(records.items())
            for start in range(0, len(items), MAX_RECORDS_PER_DATAGRAM):
                batch = dict(items[start : start + MAX_RECORDS_PER_DATAGRAM])
                self._deliver(name, batch, is_kept=True)

    def _deliver(
        self, name: str, records: Mapping[bytes, StreamRecord], *, is_kept: bool
    ) -> Delivery:
        """Send records to one entry until it acknowledges them.

        What it doesn't acknowledge for long is kept for when it is in touch again, or given up.
        """
        number = next(self.numbers)
        delivery = self.deliveries[number] = Delivery(name, records)
        data = self._encode(number, records, late=False)
        self._send(name, data)
        self._spawn(self._repeat(number, delivery, data, is_kept=is_kept))
        return delivery

    def _encode(self, number: int, records: Mapping[bytes, StreamRecord], *, late: bool) -> bytes:
        messages = [
            RecordMessage(key, record.version, record.change) for key, record in records.items()
        ]
        return encode_stream_message(StreamsBegun(self.instance, number, messages, late))

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _repeat(self, number: int, delivery: Delivery, data: bytes, *, is_kept: bool) -> None:
        loop = asyncio.get_running_loop()
        try:
            for interval_s in SEND_INTERVALS_S:
                if await _is_set_by(delivery.noted, loop.time() + interval_s):
                    return
                self._send(delivery.entry, data)
            if is_kept and delivery.entry in self.entries:
                self.unnoted.add(delivery.entry, delivery.records)
                self._start_sending_again()
        finally:
            del self.deliveries[number]

    def _start_sending_again(self) -> None:
        if not self.is_sending_again:
            self.is_sending_again = True
            self._spawn(self._send_again())

    async def _send_again(self) -> None:
        """Send what wasn't acknowledged, at a bounded pace, until nothing is left."""
        # By entry, the number of its last datagram.
        numbers: dict[str, int] = {}
        loop = asyncio.get_running_loop()
        try:
            while (due_ms := self.unnoted.next_due_ms()) is not None:
                taken = self.unnoted.take_due(MAX_RECORDS_PER_DATAGRAM)
                self.unnoted_changed.clear()
                if taken is None:
                    wait_s = max(0, due_ms - self.clock.now_ms()) / 1000
                    await _is_set_by(self.unnoted_changed, loop.time() + wait_s)
                    continue
                name, records = taken
                self.deliveries.pop(numbers.get(name, -1), None)
                number = numbers[name] = next(self.numbers)
                self.deliveries[number] = Delivery(name, records)
                data = self._encode(number, records, late=True)
                self._send(name, data)
                await asyncio.sleep((len(data) + OVERHEAD_BYTES) / SENT_AGAIN_BYTES_PER_S)
                if self.unnoted.is_silent():
                    await _is_set_by(self.unnoted_changed, loop.time() + SILENT_INTERVAL_S)
        finally:
            self.is_sending_again = False
            for number in numbers.values():
                self.deliveries.pop(number, None)

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
        self.unnoted.on_heard(message.sender)
        self.unnoted_changed.set()
        reply = self._answer(message)
        if reply:
            self.endpoint.send(encode_stream_message(reply), address)

    def _answer(self, message: StreamMessage) -> StreamMessage | None:
        if isinstance(message, StreamsBegun):
            for each in message.records:
                begun = StreamRecord(each.version, each.change)
                self.records.note(each.key, begun, late=message.late)
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
                delivery.noted.set()
                self.unnoted.on_noted(delivery.entry, delivery.records)
        else:
            self._on_answer(message)
        return None

    def _on_answer(self, answer: StreamAnswer) -> None:
        question = self.questions.get(answer.number)
        if question is None:
            return
        waited_ms = self.clock.now_ms() - question.asked_ms
        question.answered_ms.setdefault(answer.sender, waited_ms)
        record = answer.record
        question.lookup.add_answer(
            answer.sender,
            StreamRecord(record.version, record.change) if record else None,
            versions=answer.versions,
            complete=answer.complete,
        )
        if question.lookup.is_decided():
            question.decided.set()


async def _is_set_by(event: asyncio.Event, due_s: float) -> bool:
    """Wait for an event until a time of the event loop; return whether it is set."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout_at(due_s):
            await event.wait()
    return event.is_set()
