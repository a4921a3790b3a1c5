"""Play streams that callers take up at entries that stand still at random."""

import asyncio
import itertools
import os
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from harness.stalling_processes import ProcessWorld
from mimosaspur_coordination.streams.streamrecords import StreamRecord
from mimosaspur_coordination.streams.streamrecords import stream_key
from mimosaspur_daemon.direct.streamversions import OVERHEAD_BYTES
from mimosaspur_daemon.direct.streamversions import StreamVersions
from mimosaspur_protocol.streammessages import StreamsBegun
from mimosaspur_protocol.streammessages import decode_stream_message
from mimosaspur_state.eventlog import EventLog
from mimosaspur_transport.datagrams import Address

SERVICE = "service"
LAG_MS = 2_000
ENTRY_COUNT = 12
STREAM_COUNT = 40
PLAY_S = 4.0
SETTLE_S = 6.0
# From a stream's beginning to the moment at which its caller takes it up.
BROKEN_AFTER_S = (0.02, 0.2)
# How long a read of the list of targets takes, and the pause between two.
READ_S = 0.002
READ_INTERVAL_S = 0.4
SAMPLE_S = 0.05
# The share of the time for which each process stands still.
STALLED_SHARE = 0.2
# What a caller waits for a stream's next event, at most.
PATIENCE_S = 2.0
# By then all entries know the first version.
KNOWN_AFTER_S = 3.0
# For how long an entry is cut off, and how long after that streams that began there are taken up.
CUT_S = (2.0, 6.0)
TAKEN_UP_AFTER_S = (0.0, 5.0)
# From the end of the cut to the moment at which the entry stops.
STOPPED_AFTER_S = 2.0
# How many streams begin at that entry, as at the target size.
CUT_STREAMS_PER_S = 8
# How often each of the others begins a stream meanwhile.
BEGIN_INTERVAL_S = 0.5
JOINING = "v2"


@dataclass(slots=True)
class Try:
    """Record what an entry found of a stream that a caller takes up."""

    began_s: float
    # The version that began it; None if no entry knows the stream.
    began_at: str | None
    found: str | None = None
    # None while the entry has not answered, on any clock.
    took_s: float | None = None

    def went_on(self) -> bool:
        """Return whether the caller was still there and the version was found."""
        in_time = self.took_s is not None and self.took_s <= PATIENCE_S
        return in_time and self.found is not None


class WorldClock:
    """Return the time that all processes share."""

    def __init__(self, world: ProcessWorld) -> None:
        self.world = world

    def now_ms(self) -> int:
        """Return the time."""
        return round(self.world.now_s * 1000)

    def wall_ms(self) -> int:
        """Return the time."""
        return self.now_ms()


class ResumptionPlay:
    """Run entries that begin streams, and take them up at another one."""

    def __init__(
        self,
        seed: int,
        *,
        versions: tuple[str, ...],
        stall_ms: int,
        lost_share: float = 0.0,
        count: int = ENTRY_COUNT,
    ) -> None:
        self.versions = versions
        self.stall_s = stall_ms / 1000
        self.random = random.Random(seed)
        self.world = ProcessWorld(seed, count=count, lost_share=lost_share)
        clock = WorldClock(self.world)
        self.fd = os.open(os.devnull, os.O_WRONLY)
        self.entries = [
            StreamVersions(
                instance=f"entry-{number}",
                lag_ms=LAG_MS,
                clock=clock,
                log=EventLog(f"entry-{number}", fd=self.fd, clock=clock),
            )
            for number in range(count)
        ]
        self.tries: list[Try] = []
        # By entry and second, the bytes of records that are sent again after a cut.
        self.late_bytes: Counter[tuple[str, int]] = Counter()

    def play(self) -> list[Try]:
        """Play all streams; return what became of those that callers took up."""
        self._start()
        world = self.world
        if self.stall_s:
            world.stall_at_random(
                stall_s=self.stall_s, share=STALLED_SHARE, until_s=world.now_s + PLAY_S
            )
        for number in range(STREAM_COUNT):
            begins_s = world.now_s + PLAY_S * (number + self.random.random()) / STREAM_COUNT
            world.at(begins_s, lambda number=number: self._begin(number))  # type: ignore[misc]
        return self._end()

    def play_unknown(self, *, gone: int) -> list[Try]:
        """Let a caller take up streams that no entry knows, while some entries have gone."""
        self._start()
        for entry in self.entries[ENTRY_COUNT - gone :]:
            entry.close()
        for number in range(STREAM_COUNT):
            key = stream_key(SERVICE, str(number))
            at_s = self.world.now_s + PLAY_S * number / STREAM_COUNT
            self.world.at(at_s, lambda key=key: self._take_up(0, key, None))  # type: ignore[misc]
        return self._end()

    def play_cut(self, *, stops: bool) -> list[Try]:
        """Let streams begin at an entry that is cut off while a version joins.

        Callers take them up at other entries after the cut; the entry may have stopped by then.
        """
        self._start()
        for each in self.entries:
            each.endpoint.send = partial(  # type: ignore[method-assign]
                self._send, each, each.endpoint.send
            )
        world, chooser = self.world, self.random
        world.run_until(world.now_s + KNOWN_AFTER_S)
        cut_s = chooser.uniform(*CUT_S)
        healed_s = world.now_s + cut_s
        world.processes[0].cut(cut_s)
        for number in range(len(self.entries)):
            joins_s = world.now_s + chooser.uniform(0, cut_s / 2)
            world.at(joins_s, lambda number=number: self._join(number))  # type: ignore[misc]
        for number in range(round(cut_s * CUT_STREAMS_PER_S)):
            begins_s = world.now_s + (number + chooser.random()) / CUT_STREAMS_PER_S
            after_s = chooser.uniform(*TAKEN_UP_AFTER_S)
            resumed_s = healed_s + max(after_s, STOPPED_AFTER_S if stops else 0.0)
            world.at(
                begins_s,
                lambda number=number, resumed_s=resumed_s: self._begin_cut(  # type: ignore[misc]
                    number, resumed_s
                ),
            )
        for process, entry in zip(world.processes[1:], self.entries[1:], strict=True):
            process.spawn(self._begin_others(entry, healed_s + TAKEN_UP_AFTER_S[1]))
        if stops:
            world.at(healed_s + STOPPED_AFTER_S, self._stop_first)
        world.run_until(healed_s + TAKEN_UP_AFTER_S[1])
        return self._end()

    def _send(
        self,
        entry: StreamVersions,
        send: Callable[[bytes, Address], None],
        data: bytes,
        address: Address,
    ) -> None:
        message = decode_stream_message(data)
        if isinstance(message, StreamsBegun) and message.late:
            second = int(self.world.now_s)
            self.late_bytes[entry.instance, second] += len(data) + OVERHEAD_BYTES
        send(data, address)

    def _join(self, number: int) -> None:
        """Let an entry learn of the version that joins."""

        async def learn() -> None:
            self.entries[number].update_targets({SERVICE: {*self.versions, JOINING}})

        self.world.processes[number].spawn(learn())

    def _begin_cut(self, number: int, resumed_s: float) -> None:
        """Begin a stream at the entry that is cut off; another one is asked for it later."""
        entry = self.entries[0]
        key = stream_key(SERVICE, str(number))
        history = entry.history
        present = sorted(history.services[SERVICE].present)
        allowed = [each for each in present if history.may_begin(SERVICE, each)]
        version = self.random.choice(allowed)
        other = self.random.randrange(1, len(self.entries))
        self.world.processes[0].spawn(
            entry.announce(key, StreamRecord(version), service=SERVICE, is_change=False)
        )
        self.world.at(resumed_s, lambda: self._take_up(other, key, version))

    def _stop_first(self) -> None:
        """Stop the first entry; all others learn that it has left."""
        self.entries[0].close()
        for process, entry in zip(self.world.processes[1:], self.entries[1:], strict=True):
            process.loop.call_soon(self._leave, entry)

    def _leave(self, entry: StreamVersions) -> None:
        entry.update_entries([], [self.entries[0].instance], complete=False)

    async def _begin_others(self, entry: StreamVersions, until_s: float) -> None:
        for number in itertools.count():
            await asyncio.sleep(BEGIN_INTERVAL_S * self.random.uniform(0.5, 1.5))
            if self.world.now_s >= until_s:
                return
            key = stream_key(SERVICE, f"{entry.instance} {number}")
            record = StreamRecord(self.versions[0])
            await entry.announce(key, record, service=SERVICE, is_change=False)

    def play_lists(self) -> list[bool]:
        """Return at which moments an entry that runs takes its list of targets for current."""
        self._start()
        seen: list[bool] = []
        self.world.stall_at_random(
            stall_s=self.stall_s, share=STALLED_SHARE, until_s=self.world.now_s + PLAY_S
        )
        for process, entry in zip(self.world.processes, self.entries, strict=True):
            process.spawn(self._sample_list(entry, seen))
        self._end()
        return seen

    async def _sample_list(self, entry: StreamVersions, seen: list[bool]) -> None:
        while True:
            seen.append(entry.history.is_current())
            await asyncio.sleep(SAMPLE_S)

    def _start(self) -> None:
        world = self.world
        for process, entry in zip(world.processes, self.entries, strict=True):
            process.spawn(entry.listen(("127.0.0.1", 0)))
        world.run_until(world.now_s + 1)
        addresses = [(each.instance, each.address) for each in self.entries if each.address]
        for process, entry in zip(world.processes, self.entries, strict=True):
            entry.update_targets({SERVICE: self.versions})
            entry.update_entries(addresses, [], complete=True)
            process.spawn(self._read_lists(entry))

    def _end(self) -> list[Try]:
        self.world.run_until(self.world.now_s + PLAY_S + SETTLE_S)
        self.world.close()
        os.close(self.fd)
        return self.tries

    async def _read_lists(self, entry: StreamVersions) -> None:
        """Read the list of targets again and again, and the record of versions, if it is due."""
        while True:
            asked_ms = entry.clock.now_ms()
            await asyncio.sleep(READ_S)
            entry.history.confirm(age_ms=entry.clock.now_ms() - asked_ms)
            if entry.history.is_record_due():
                entry.apply_record(None, asked_ms=entry.clock.now_ms())
            await asyncio.sleep(READ_INTERVAL_S)

    def _begin(self, number: int) -> None:
        """Begin a stream at one entry; it is broken off, and taken up at another one."""
        first, second = self.random.sample(range(ENTRY_COUNT), 2)
        key = stream_key(SERVICE, str(number))
        version = self.random.choice(self.versions)
        record = StreamRecord(version)
        broken_after_s = self.random.uniform(*BROKEN_AFTER_S)

        async def begin() -> None:
            await self.entries[first].announce(key, record, service=SERVICE, is_change=False)
            await asyncio.sleep(broken_after_s)
            self._take_up(second, key, version)

        self.world.processes[first].spawn(begin())

    def _take_up(self, entry: int, key: bytes, version: str | None) -> None:
        taken = Try(self.world.now_s, version)
        self.tries.append(taken)

        async def take_up() -> None:
            found = await self.entries[entry].find(key, service=SERVICE)
            taken.found = found[0] if found else None
            taken.took_s = self.world.now_s - taken.began_s

        self.world.processes[entry].spawn(take_up())
