"""Steps for what an entry that has just been started knows of streams."""

import asyncio
import collections
from functools import partial

from behave import given
from behave import then
from behave import when
from behave.runner import Context

from harness.direct_entry import null_log
from harness.loop import run
from mimosaspur_coordination.fleetports import VersionRecord
from mimosaspur_coordination.streams.streamrecords import StreamRecord
from mimosaspur_coordination.streams.streamrecords import stream_key
from mimosaspur_daemon.direct.streamversions import StreamVersions
from mimosaspur_state.clock import SystemClock
from mimosaspur_transport.datagrams import Address

SERVICE = "service"
LAG_MS = 2_000
READER = "reader"
OTHER = "other"
# Questions or records before the restart.
EARLIER_COUNT = 40
POLL_S = 0.001
READ_AFTER_S = 0.05
JOINED_COUNT = 5


class HeldDatagrams:
    """Hold what an entry sends, while asked to, and deliver it later."""

    def __init__(self, entry: StreamVersions) -> None:
        self.held: list[tuple[bytes, Address]] = []
        self.is_holding = True
        self.send = entry.endpoint.send
        entry.endpoint.send = self._send  # type: ignore[method-assign]

    def _send(self, data: bytes, address: Address) -> None:
        if self.is_holding:
            self.held.append((data, address))
        else:
            self.send(data, address)

    async def wait_for(self, count: int) -> None:
        """Wait until so many datagrams are held."""
        while len(self.held) < count:
            await asyncio.sleep(POLL_S)

    def deliver(self) -> None:
        """Deliver what is held."""
        for data, address in self.held:
            self.send(data, address)
        self.held.clear()


async def _start(
    name: str, address: Address = ("127.0.0.1", 0), *, versions: str = "v1 v2"
) -> StreamVersions:
    entry = StreamVersions(instance=name, lag_ms=LAG_MS, clock=SystemClock(), log=null_log("entry"))
    await entry.listen(address)
    entry.update_targets({SERVICE: versions.split()})
    return entry


def _introduce(entry: StreamVersions, other: StreamVersions) -> None:
    assert other.address
    entry.update_entries([(other.instance, other.address)], [], complete=True)


@given("an entry that is started again while {what} is under way to it")
def restart_reader(context: Context, what: str) -> None:
    async def restart() -> None:
        context.other = await _start(OTHER)
        context.add_cleanup(context.other.close)
        first = await _start(READER)
        _introduce(first, context.other)
        _introduce(context.other, first)
        context.held = HeldDatagrams(context.other)
        count = EARLIER_COUNT if what.startswith("answers") else 1
        keys = [stream_key(SERVICE, f"earlier {number}") for number in range(count)]
        if "acknowledgement" in what:
            await first.announce(keys[0], StreamRecord("v1"), service=SERVICE, is_change=False)
        else:
            for key in keys:
                context.other.records.note(key, StreamRecord("v1"))
            lookups = [asyncio.create_task(first.find(key, service=SERVICE)) for key in keys]
        await context.held.wait_for(count)
        address = first.address
        assert address
        first.close()
        if "acknowledgement" not in what:
            await asyncio.gather(*lookups)
        # The port is closed in the next turn of the event loop.
        await asyncio.sleep(POLL_S)
        context.reader = await _start(READER, address)
        context.add_cleanup(context.reader.close)
        _introduce(context.reader, context.other)

    run(context, restart())


@when("{count:d} streams of {version} are looked up at once after the restart, and then it arrives")
def look_up(context: Context, count: int, version: str) -> None:
    keys = [stream_key(SERVICE, f"later {number}") for number in range(count)]
    held: HeldDatagrams = context.held
    for key in keys:
        context.other.records.note(key, StreamRecord(version))

    async def find() -> None:
        earlier = len(held.held)
        lookups = [asyncio.create_task(context.reader.find(key, service=SERVICE)) for key in keys]
        await held.wait_for(earlier + count)
        # What was sent to the killed process arrives first.
        held.is_holding = False
        held.deliver()
        context.found = await asyncio.gather(*lookups)

    context.version = version
    run(context, find())


@then("no stream is taken for one of another version")
def check_found(context: Context) -> None:
    versions = [found and found[0] for found in context.found]
    assert set(versions) <= {context.version, None}, versions
    assert context.version in versions, versions


@when("a stream is retried at v2 out of reach of its witnesses, and then it arrives")
def retry(context: Context) -> None:
    reader: StreamVersions = context.reader
    reader.endpoint.send = lambda *_: None  # type: ignore[method-assign]

    async def announce() -> None:
        key = stream_key(SERVICE, "later")
        record = StreamRecord("v2", change=1)
        change = asyncio.create_task(reader.announce(key, record, service=SERVICE, is_change=True))
        await asyncio.sleep(POLL_S)
        context.held.is_holding = False
        context.held.deliver()
        context.is_sent = await change

    run(context, announce())


@then("the retry is held back")
def check_retry(context: Context) -> None:
    assert context.is_sent is False


@given("{count:d} entries that have just been started and know {version} from their lists")
def start_entries(context: Context, count: int, version: str) -> None:
    async def start() -> None:
        context.entries = [await _start(f"{number}", versions=version) for number in range(count)]
        for entry in context.entries:
            context.add_cleanup(entry.close)
            entry.history.confirm(age_ms=0)
            addresses = [(each.instance, each.address) for each in context.entries]
            entry.update_entries(addresses, [], complete=True)

    run(context, start())


@when("a stream is looked up at each, and the record is {what}")
def look_up_before_read(context: Context, what: str) -> None:
    services = {SERVICE: {"v1": True}} if what.endswith("names v1") else {}
    record = VersionRecord(services, 1)
    context.lookups = []

    async def look_up(entry: StreamVersions) -> None:
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        if what.startswith("read"):
            asked_ms = entry.history.clock.now_ms()
            loop.call_later(READ_AFTER_S, partial(entry.apply_record, record, asked_ms=asked_ms))
        found = await entry.find(stream_key(SERVICE, "stream"), service=SERVICE)
        lasted_ms = (loop.time() - began_s) * 1000
        context.lookups.append((found[0] if found else "nothing", lasted_ms))

    async def look_up_at_each() -> None:
        await asyncio.gather(*map(look_up, context.entries))

    run(context, look_up_at_each())


@then("each answers {version} within {ms:d} ms")
def check_lookups(context: Context, version: str, ms: int) -> None:
    assert len(context.lookups) == len(context.entries)
    assert all(found == version and took <= ms for found, took in context.lookups), context.lookups


@given("an entry that tells two others of {count:d} streams at v1, before two more entries join")
def tell_before_join(context: Context, count: int) -> None:
    async def tell() -> None:
        context.entries = [await _start(f"{number}") for number in range(JOINED_COUNT)]
        for entry in context.entries:
            context.add_cleanup(entry.close)
        _list_entries(context.entries[:-2])
        context.keys = [stream_key(SERVICE, str(number)) for number in range(count)]
        for key in context.keys:
            await context.entries[0].announce(
                key, StreamRecord("v1"), service=SERVICE, is_change=False
            )
        await asyncio.sleep(READ_AFTER_S)
        _list_entries(context.entries)

    run(context, tell())


def _list_entries(entries: list[StreamVersions]) -> None:
    addresses = [(each.instance, each.address) for each in entries if each.address]
    for entry in entries:
        entry.update_entries(addresses, [], complete=True)


@when("it tells of their retries at v2")
def tell_of_retries(context: Context) -> None:
    async def tell() -> None:
        record = StreamRecord("v2", change=1)
        told = [
            context.entries[0].announce(key, record, service=SERVICE, is_change=True)
            for key in context.keys
        ]
        context.sent = dict(zip(context.keys, await asyncio.gather(*told), strict=True))

    run(context, tell())


@then("no entry finds v1 for a stream whose retry was sent")
def check_retries(context: Context) -> None:
    async def find(entry: StreamVersions, key: bytes) -> str:
        found = await entry.find(key, service=SERVICE)
        return found[0] if found else "nothing"

    async def find_all() -> dict[str, int]:
        sent = [key for key, is_sent in context.sent.items() if is_sent]
        assert len(sent) > len(context.keys) / 2, len(sent)
        lookups = [find(entry, key) for entry in context.entries for key in sent]
        return collections.Counter(await asyncio.gather(*lookups))

    found = run(context, find_all())
    assert found["v2"] and not found["v1"], found
