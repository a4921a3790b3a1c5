"""Steps for what an entry knows of the versions that began streams."""

import asyncio
import collections
import random
import time
from dataclasses import replace

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from hypothesis import example
from hypothesis import given as given_any
from hypothesis import settings
from hypothesis import strategies as st

from harness.direct_entry import DirectEntry
from harness.direct_entry import null_log
from harness.direct_fleet import ManualClock
from harness.direct_target import EVENT_NUMBERS
from harness.direct_target import ScriptedTarget
from harness.loop import run
from harness.record_model import ENTRIES
from harness.record_model import LAG_MS
from harness.record_model import LIFETIME_MS
from harness.record_model import RECORD_STEPS
from harness.record_model import SERVICE
from harness.record_model import RecordModel
from harness.record_model import Step
from mimosaspur_coordination.fleetports import VersionRecord
from mimosaspur_coordination.storefreshness import answer_age_ms
from mimosaspur_coordination.streams.lookup import VersionLookup
from mimosaspur_coordination.streams.lookup import VersionSource
from mimosaspur_coordination.streams.streamrecords import StreamRecord
from mimosaspur_coordination.streams.streamrecords import StreamRecords
from mimosaspur_coordination.streams.streamrecords import stream_key
from mimosaspur_coordination.streams.versionhistory import VersionHistory
from mimosaspur_coordination.streams.witnesses import choose_witnesses
from mimosaspur_daemon.direct.streamversions import WITNESS_COUNT
from mimosaspur_daemon.direct.streamversions import StreamVersions
from mimosaspur_protocol.streammessages import RecordMessage
from mimosaspur_protocol.streammessages import StreamsBegun
from mimosaspur_protocol.streammessages import encode_stream_message
from mimosaspur_state.clock import SystemClock
from mimosaspur_transport.datagrams import Address

ROUTE = "resumable-stream"
ROOT = "r-0"
VERSIONS = ("v1", "v2")
# The target size.
ALL_ENTRIES = [f"entry-{number}" for number in range(360)]
STREAMS_PER_S = 2_900
STREAM_LIFETIME_S = 20
DATAGRAM_OVERHEAD_BYTES = 28
RESUMED_AFTER = 2
# For how long the store waits for a change before it answers.
WAIT_MS = 400
LOST_SHARE = 0.3
# By then a datagram has arrived; by then none is sent again.
ARRIVED_S = 0.05
ALL_SENT_S = 0.3

# What happens next: an entry reads the list, one begins a stream, a version comes or goes, or an
# entry starts again; and how long after the last one.
STEPS = st.lists(
    st.tuples(
        st.sampled_from(("list", "list", "list", "begin", "come", "go", "restart")),
        st.integers(0, ENTRIES - 1),
        st.sampled_from(VERSIONS),
        st.sampled_from((10, 100, 400, 900, 1_900, 2_100)),
    ),
    min_size=4,
    max_size=25,
)


# What happens next in the play of answers that are late: an entry reads the list, or asks for
# changes and stands still or not, is answered, or gets the answer and runs again.
STALL_STEPS = st.lists(
    st.tuples(
        st.sampled_from(("list", "ask", "watch", "answer", "arrive", "begin", "begin", "come")),
        st.integers(0, ENTRIES - 1),
        st.sampled_from(VERSIONS),
        st.sampled_from((0, 10, 100, 190, 400, 1_900, 2_100, 3_000)),
    ),
    min_size=6,
    max_size=20,
)


class _Model:
    """Play entries that read a list of versions, and hold all streams that were begun."""

    def __init__(self) -> None:
        self.clock = ManualClock(100_000)
        self.present = {"v1"}
        self.entries = [self._entry() for _ in range(ENTRIES)]
        # Times and versions of the streams.
        self.begun: list[tuple[int, str]] = []
        # By then all entries know for sure that there was no other version.
        for _ in range(LIFETIME_MS // LAG_MS * 2 + 2):
            self.advance(LAG_MS // 2)
            for history in self.entries:
                self.read(history)

    def _entry(self) -> VersionHistory:
        history = VersionHistory(clock=self.clock, lag_ms=LAG_MS, lifetime_ms=LIFETIME_MS)
        self.read(history)
        return history

    def read(self, history: VersionHistory) -> None:
        """Let an entry read the list as it is now."""
        history.update({SERVICE: set(self.present)})
        history.confirm(age_ms=0)

    def step(self, kind: str, number: int, version: str) -> None:
        """Play one step."""
        history = self.entries[number]
        if kind == "list":
            self.read(history)
        elif kind == "come":
            self.present.add(version)
        elif kind == "go" and len(self.present) > 1:
            self.present.discard(version)
        elif kind == "restart":
            self.entries[number] = self._entry()
        elif kind == "begin" and self._may_begin(history, version):
            self.begun.append((self.clock.ms, version))

    def advance(self, ms: int) -> None:
        """Let time pass."""
        self.clock.ms += ms

    def _may_begin(self, history: VersionHistory, version: str) -> bool:
        is_present = version in history.services[SERVICE].present
        return is_present and history.may_begin(SERVICE, version)


class _LateModel(_Model):
    """Play entries that stand still, or before which the network does, while they are answered."""

    def __init__(self) -> None:
        self.frozen = [False] * ENTRIES
        # By entry, when it asked, and the answer that it has not read: the list, and whether
        # nothing had changed at the end of the wait.
        self.asked_ms: list[int | None] = [None] * ENTRIES
        self.unread: list[tuple[set[str], bool] | None] = [None] * ENTRIES
        super().__init__()

    def step(self, kind: str, number: int, version: str) -> None:
        """Play one step."""
        if kind == "answer":
            self.unread[number] = self.unread[number] or self._answer(number)
        elif kind == "arrive":
            self.frozen[number] = False
            self._read_answer(number)
        elif self.frozen[number] and kind != "come":
            pass
        elif kind in ("ask", "watch"):
            self.frozen[number] = kind == "ask"
            self.asked_ms[number], self.unread[number] = self.clock.ms, None
        else:
            super().step(kind, number, version)

    def _answer(self, number: int) -> tuple[set[str], bool] | None:
        """Return what the store answers now."""
        asked_ms = self.asked_ms[number]
        if asked_ms is None:
            return None
        is_unchanged = self.entries[number].services[SERVICE].present == self.present
        return set(self.present), is_unchanged and self.clock.ms - asked_ms >= WAIT_MS

    def _read_answer(self, number: int) -> None:
        asked_ms, unread = self.asked_ms[number], self.unread[number]
        if asked_ms is None or unread is None:
            return
        self.asked_ms[number] = self.unread[number] = None
        history = self.entries[number]
        versions, timed_out = unread
        history.update({SERVICE: versions})
        age_ms = answer_age_ms(
            asked_ms=asked_ms, wait_ms=WAIT_MS, timed_out=timed_out, now_ms=self.clock.ms
        )
        history.confirm(age_ms=age_ms)


def _old_list(
    asks: str, *, waited_ms: int = 0, stalled_ms: int, then_ms: int
) -> list[tuple[str, int, str, int]]:
    """Return steps in which a list is late while another entry learns of a version."""
    return [
        (asks, 0, "v1", waited_ms),
        ("answer", 0, "v1", 0),
        ("come", 0, "v2", 0),
        ("list", 1, "v1", stalled_ms),
        ("arrive", 0, "v1", then_ms),
        ("begin", 1, "v2", 0),
    ]


@then("no entry that gets late what it asked for takes the wrong version for the only one")
def check_stalled_lists(context: Context) -> None:
    @settings(max_examples=3_000, deadline=None, derandomize=True, database=None)
    @given_any(STALL_STEPS)
    @example(_old_list("ask", stalled_ms=1_900, then_ms=400))
    @example(_old_list("watch", stalled_ms=1_900, then_ms=400))
    @example(_old_list("watch", waited_ms=400, stalled_ms=1_900, then_ms=400))
    @example(_old_list("watch", stalled_ms=190, then_ms=1_900))
    @example(_old_list("watch", stalled_ms=400, then_ms=1_900))
    def check(steps: list[tuple[str, int, str, int]]) -> None:
        _check_sole_versions(_LateModel(), steps)

    check()


@then("in any history of versions and lists, no entry takes the wrong version for the only one")
def check_sole_version(context: Context) -> None:
    @settings(max_examples=3_000, deadline=None, derandomize=True, database=None)
    @given_any(STEPS)
    def check(steps: list[tuple[str, int, str, int]]) -> None:
        _check_sole_versions(_Model(), steps)

    check()


def _check_sole_versions(model: _Model, steps: list[tuple[str, int, str, int]]) -> None:
    for kind, number, version, ms in steps:
        model.step(kind, number, version)
        model.advance(ms)
        oldest_ms = model.clock.ms - LIFETIME_MS
        begun = {each for at_ms, each in model.begun if at_ms > oldest_ms}
        for history in model.entries:
            sole = history.sole_version(SERVICE)
            assert sole is None or begun <= {sole}, (sole, model.begun, model.clock.ms)


@then("in any history of versions, kills and records, no entry takes a wrong version for the only")
def check_after_kills(context: Context) -> None:
    @settings(max_examples=2_000, deadline=None, derandomize=True, database=None)
    @given_any(RECORD_STEPS)
    def check(steps: list[Step]) -> None:
        model = RecordModel()
        for step in steps:
            model.step(step)
            model.advance(step.ms)
            assert not model.wrong(), (model.wrong(), model.begun, model.clock.ms, model.record)

    check()


@then("after a kill of all entries their only version is known once they have read the record")
def check_known_after_kill(context: Context) -> None:
    model = RecordModel()
    model.change("kill all")
    assert model.soles() == {None}, model.soles()
    model.advance(10)
    for entry in model.entries:
        model.read(entry)
    assert model.soles() == {"v1"}, model.soles()


@then("after a kill of all entries a version that has left is forgotten {seconds:d} s later")
def check_forgotten(context: Context, seconds: int) -> None:
    model = RecordModel()
    model.change("come", "v2")
    model.change("live")
    model.change("go", "v2")
    model.change("kill all")
    for elapsed_s in range(seconds + 1):
        for entry in model.entries:
            model.list(entry)
            model.read(entry)
        assert model.soles() == ({"v1"} if elapsed_s == seconds else {None}), elapsed_s
        model.advance(1_000)


@then("after a kill of all entries without a record nothing is concluded for {seconds:d} s")
def check_without_record(context: Context, seconds: int) -> None:
    model = RecordModel()
    model.record = None
    model.change("kill all")
    for elapsed_s in range(seconds + 1):
        for entry in model.entries:
            model.list(entry)
            model.read(entry)
            model.write(entry)
        assert model.soles() == ({"v1"} if elapsed_s == seconds else {None}), elapsed_s
        model.advance(1_000)


@then("answers that name one version decide only if one of them is complete")
def check_answers(context: Context) -> None:
    young = VersionLookup(["a", "b"], versions={"v1"})
    young.add_answer("a", None, versions=["v1"], complete=False)
    young.add_answer("b", None, versions=["v1"], complete=False)
    assert young.is_decided() and young.result() is None, young.result()
    lived = VersionLookup(["a", "b"], versions={"v1"})
    lived.add_answer("a", None, versions=["v1"], complete=True)
    assert lived.result() is None, lived.result()
    lived.add_answer("b", None, versions=["v1"], complete=False)
    assert lived.result() == ("v1", VersionSource.ONLY_VERSION), lived.result()
    two = VersionLookup(["a"], versions={"v1"})
    two.add_answer("a", None, versions=["v2"], complete=True)
    assert two.result() is None, two.result()


@then("in any order of records and times, an entry finds the latest that is recent enough")
def check_records(context: Context) -> None:
    notes = st.lists(st.tuples(st.integers(0, 3), st.integers(0, 3), st.integers(0, 9_000)))

    @settings(max_examples=300, deadline=None, derandomize=True, database=None)
    @given_any(notes)
    def check(steps: list[tuple[int, int, int]]) -> None:
        clock = ManualClock(1_000)
        records = StreamRecords(clock=clock, max_age_ms=LIFETIME_MS)
        expected: dict[bytes, tuple[int, int]] = {}
        for stream, change, ms in steps:
            key = stream_key(SERVICE, str(stream))
            records.note(key, StreamRecord(f"v{change}", change))
            known, at_ms = expected.get(key, (-1, 0))
            if change >= known or clock.ms - at_ms >= LIFETIME_MS:
                expected[key] = change, clock.ms
            clock.ms += ms
            for each, (latest, noted_ms) in expected.items():
                found = records.find(each)
                is_recent = clock.ms - noted_ms < LIFETIME_MS
                assert (found and found.change) == (latest if is_recent else None), (steps, each)

    check()


@then(
    "with 360 entries the witnesses of {count:d} streams are spread evenly, "
    "and change only with an entry of theirs"
)
def check_witnesses(context: Context, count: int) -> None:
    keys = [stream_key(SERVICE, str(number)) for number in range(count)]
    began_s = time.process_time()
    chosen = {key: choose_witnesses(key, ALL_ENTRIES, count=WITNESS_COUNT) for key in keys}
    print(f"MEASURED {(time.process_time() - began_s) / count * 1e6:.0f} us a choice of 360")
    loads = collections.Counter(name for names in chosen.values() for name in names)
    mean = count * WITNESS_COUNT / len(ALL_ENTRIES)
    assert max(loads.values()) < 3 * mean and len(loads) > 0.9 * len(ALL_ENTRIES), loads
    fewer = ALL_ENTRIES[1:]
    for key, names in chosen.items():
        if ALL_ENTRIES[0] not in names:
            assert choose_witnesses(key, fewer, count=WITNESS_COUNT) == names


@then(
    "an entry of {entries:d} remembers at most {records:d} streams "
    "and sends at most {limit:d} bytes a second"
)
def check_size(context: Context, entries: int, records: int, limit: int) -> None:
    begun_per_s = STREAMS_PER_S / entries
    kept = begun_per_s * STREAM_LIFETIME_S * (1 + WITNESS_COUNT)
    message = StreamsBegun("entry-360", 2**62, [RecordMessage(b"8 bytes.", "v1.10", 0)])
    datagram = len(encode_stream_message(message)) + DATAGRAM_OVERHEAD_BYTES
    # Each datagram has an acknowledgement of about half its size.
    sent = begun_per_s * WITNESS_COUNT * 1.5 * datagram
    print(f"MEASURED {kept:.0f} records, {sent:.0f} B/s, {datagram} B a datagram")
    assert kept <= records and sent <= limit, (kept, sent)


@given("a direct entry before targets of versions {versions}")
def start_entry(context: Context, versions: str) -> None:
    async def start() -> None:
        entry = context.entry = DirectEntry()
        context.targets = {version: ScriptedTarget(version) for version in versions.split()}
        await entry.start(*context.targets.values())
        fleet = entry.state.fleet
        records = [
            replace(view.record, version=view.record.identity) for view in fleet.targets.values()
        ]
        entry.state.on_targets_changed(fleet.update(records, []))
        entry.state.stream_versions.history.confirm(age_ms=0)

    run(context, start())


@given("a record in the store that names {recorded}")
def apply_record(context: Context, recorded: str) -> None:
    versions = [] if recorded == "nothing" else recorded.split()
    services = {SERVICE: dict.fromkeys(versions, True)} if versions else {}
    context.entry.state.stream_versions.apply_record(
        VersionRecord(services, revision=1),
        asked_ms=context.entry.state.stream_versions.clock.now_ms(),
    )


@when("a caller resumes a stream that began at {began}, and {what}")
def resume(context: Context, began: str, what: str) -> None:
    if began != "unknown":
        key = stream_key(SERVICE, ROOT)
        context.entry.state.stream_versions.records.note(key, StreamRecord(began))
    headers = {"Last-Event-Id": str(RESUMED_AFTER)}
    named = {
        "names it": ROOT,
        "names nothing": None,
        "names another service's stream": "r-other",
        "names it twice": f"{ROOT}\r\nX-Resumes: {ROOT}",
        "names an empty ID": "",
        "names an ID of 10000 bytes": "x" * 10_000,
    }[what]
    if named is not None:
        headers["X-Resumes"] = named

    async def call() -> None:
        began_s = asyncio.get_running_loop().time()
        context.answer = await context.entry.call(ROUTE, headers=headers)
        context.lasted_s = asyncio.get_running_loop().time() - began_s

    run(context, call())


@then("the caller gets {answer} within {ms:d} ms")
def check_answer(context: Context, answer: str, ms: int) -> None:
    response = context.answer
    assert context.lasted_s * 1000 <= ms, context.lasted_s
    seen = {version: len(target.seen) for version, target in context.targets.items()}
    if answer.startswith("code "):
        assert response.body.startswith(answer.removeprefix("code ").encode()), response
        assert not any(seen.values()), seen
        return
    version = answer.removeprefix("the rest from ")
    numbers = [number for number in EVENT_NUMBERS if number > RESUMED_AFTER]
    expected = b"".join(b"id: %d\ndata: event %d\n\n" % (n, n) for n in numbers)
    assert (response.status, response.body) == (200, expected), response
    assert [name for name, count in seen.items() if count] == [version], seen


@then("a counter tells how the take-up ended, if the request is valid")
def check_outcome(context: Context) -> None:
    log = context.entry.state.log
    code = context.answer.body[:4].decode() if context.answer.status != 200 else "went_on"
    outcome = "2017_no_target" if code == "2017" else code

    async def find() -> dict[str, int]:
        async with asyncio.timeout(1.0):
            while True:
                counted = {
                    label: count
                    for (event, label), count in log.counters.counts.items()
                    if event == "stream_taken_up"
                }
                if counted or code == "1004":
                    return counted
                await asyncio.sleep(0.01)

    counted = run(context, find())
    assert counted == ({} if code == "1004" else {outcome: 1}), counted


@given("3 entries that tell one another of streams, and {network}")
def start_stream_entries(context: Context, network: str) -> None:
    async def start() -> None:
        log = null_log("entry")
        context.entries = [
            StreamVersions(instance=name, lag_ms=LAG_MS, clock=SystemClock(), log=log)
            for name in ("a", "b", "c")
        ]
        for each in context.entries:
            await each.listen(("127.0.0.1", 0))
        addresses = [(each.instance, each.address) for each in context.entries]
        for each in context.entries:
            each.update_targets({SERVICE: {"v1", "v2"}})
            each.update_entries(addresses, [], complete=True)
            if "lost" in network and network != "nothing is lost":
                _lose_datagrams(each)

    context.network = network
    run(context, start())


def _lose_datagrams(entry: StreamVersions) -> None:
    chooser = random.Random(entry.instance)
    send = entry.endpoint.send

    def send_some(data: bytes, address: Address) -> None:
        if chooser.random() >= LOST_SHARE:
            send(data, address)

    entry.endpoint.send = send_some  # type: ignore[method-assign]


@when("the first tells of a stream at v1, and then that it is retried at v2")
def announce_retry(context: Context) -> None:
    first: StreamVersions = context.entries[0]
    context.key = stream_key(SERVICE, ROOT)

    async def announce() -> None:
        await first.announce(context.key, StreamRecord("v1"), service=SERVICE, is_change=False)
        await asyncio.sleep(ARRIVED_S)
        if "can't be reached" in context.network:
            first.endpoint.send = lambda *_: None  # type: ignore[method-assign]
        retry = StreamRecord("v2", change=1)
        context.is_sent = await first.announce(context.key, retry, service=SERVICE, is_change=True)

    run(context, announce())


@then("the retry is {outcome}, and all others know {version}")
def check_retry(context: Context, outcome: str, version: str) -> None:
    assert context.is_sent == (outcome == "sent"), context.is_sent
    records = [each.records.find(context.key) for each in context.entries[1:]]
    assert all(record and record.version == version for record in records), records


@when("the first tells of {count:d} streams")
def announce_many(context: Context, count: int) -> None:
    first: StreamVersions = context.entries[0]
    context.keys = [stream_key(SERVICE, str(number)) for number in range(count)]

    async def announce() -> None:
        for key in context.keys:
            await first.announce(key, StreamRecord("v1"), service=SERVICE, is_change=False)
        await asyncio.sleep(ALL_SENT_S)

    run(context, announce())


@then("the others find at least {share:g} of them")
def check_found(context: Context, share: float) -> None:
    async def find_all() -> int:
        found = [
            await context.entries[1 + number % 2].find(key, service=SERVICE)
            for number, key in enumerate(context.keys)
        ]
        return sum(each is not None and each[0] == "v1" for each in found)

    # The first entry is gone.
    context.entries[0].close()
    found = run(context, find_all())
    print(f"MEASURED {found} of {len(context.keys)} found")
    assert found >= share * len(context.keys), found
