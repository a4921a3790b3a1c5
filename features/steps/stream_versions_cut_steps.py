"""Steps for records of streams that are sent again after a cut."""

import asyncio

from behave import given
from behave import then
from behave import when
from behave.runner import Context

from harness.direct_entry import null_log
from harness.direct_fleet import ManualClock
from harness.loop import run
from mimosaspur_coordination.streams.streamrecords import StreamRecord
from mimosaspur_coordination.streams.streamrecords import stream_key
from mimosaspur_daemon.direct.streamversions import StreamVersions
from mimosaspur_protocol.streammessages import RecordMessage
from mimosaspur_protocol.streammessages import StreamsBegun
from mimosaspur_protocol.streammessages import encode_stream_message
from mimosaspur_state.clock import Clock
from mimosaspur_state.clock import SystemClock

SERVICE = "service"
KEY = stream_key(SERVICE, "r-0")
LAG_MS = 2_000
OTHER = ("127.0.0.1", 9)


def _entry(name: str, clock: Clock) -> StreamVersions:
    return StreamVersions(instance=name, lag_ms=LAG_MS, clock=clock, log=null_log(name))


@given("an entry that knows of a stream {known}")
def know(context: Context, known: str) -> None:
    context.entry = _entry("a", ManualClock(100_000))
    if known != "nothing":
        version, change = known.split(", as change ")
        context.entry.records.note(KEY, StreamRecord(version, int(change)))


@when("it is sent again that the stream began at {version}, as change {change:d}")
def send_again(context: Context, version: str, change: int) -> None:
    message = StreamsBegun("b", 1, [RecordMessage(KEY, version, change)], late=True)
    context.entry.endpoint.on_datagram(encode_stream_message(message), OTHER)


@then("it finds {version} for the stream")
def check_version(context: Context, version: str) -> None:
    found = context.entry.records.find(KEY)
    assert found and found.version == version, found


@given("an entry that can reach none of {count:d} others")
def start_out_of_reach(context: Context, count: int) -> None:
    async def start() -> None:
        context.entries = [_entry(f"entry-{each}", SystemClock()) for each in range(count + 1)]
        for each in context.entries:
            await each.listen(("127.0.0.1", 0))
        addresses = [(each.instance, each.address) for each in context.entries]
        for each in context.entries:
            each.update_targets({SERVICE: {"v1", "v2"}})
            each.update_entries(addresses, [], complete=True)
        endpoint = context.entries[0].endpoint
        context.send = endpoint.send
        endpoint.send = lambda *_: None

    run(context, start())


@when("it begins a stream at v1 and would retry it at v2, and reaches them {seconds:g} s later")
def begin_and_retry(context: Context, seconds: float) -> None:
    async def begin() -> None:
        entry = context.entries[0]
        await entry.announce(KEY, StreamRecord("v1"), service=SERVICE, is_change=False)
        retry = StreamRecord("v2", change=1)
        assert not await entry.announce(KEY, retry, service=SERVICE, is_change=True)
        await asyncio.sleep(seconds)
        entry.endpoint.send = context.send

    run(context, begin())


@then("the others know nothing of the stream {seconds:g} s later")
def check_unknown(context: Context, seconds: float) -> None:
    run(context, asyncio.sleep(seconds))
    found = [each.records.find(KEY) for each in context.entries[1:]]
    for each in context.entries:
        each.close()
    assert not any(found), found
