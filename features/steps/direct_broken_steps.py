"""Steps for responses that targets break off."""

import asyncio
import itertools
import signal
from collections.abc import Awaitable
from collections.abc import Callable

import msgspec
from behave import given
from behave import then
from behave import when
from behave.runner import Context
from hypothesis import given as given_any
from hypothesis import settings
from hypothesis import strategies as st

from harness.direct_entry import null_log
from harness.direct_store import StoreStandIn
from harness.entry_processes import EntryProcess
from harness.entry_processes import EntryProcesses
from harness.entry_site import Answer
from harness.framed_site import MARKS
from harness.framed_site import REPEATABLE_PATHS
from harness.framed_site import FramedSite
from harness.framed_site import Result
from harness.framed_site import every_cut_head
from harness.framed_site import every_cut_resumption
from harness.framed_site import every_play
from harness.framed_target import Completeness
from harness.framed_target import Play
from harness.loop import run
from mimosaspur_platform.engines import PlatformEngines
from mimosaspur_platform.store import PlatformStore
from mimosaspur_protocol.eventbuffer import EventBuffer
from mimosaspur_state.clock import SystemClock
from mimosaspur_state.errors import StoreUnavailable
from mimosaspur_state.fleet import TargetRecord

SHOWN = 6
# Each promises that the request has not run.
NOT_RUN_STATUSES = (408, 421, 429, 503)
LEASE = {"holder": "entry-1", "ip": "127.0.0.1", "port": 1, "token": 3}
# Sound requests that allow two repeats within the retry budget.
SOUND_FOR_TWO_REPEATS = 24
SLOW_PART_S = 0.5
# Long enough for the events before the one in which an entry ends.
BEGUN_S = 1.2
# Data, comment, and whether the event has an id.
EVENTS = st.lists(
    st.tuples(st.text(alphabet="ab: ", max_size=4), st.sampled_from(("", ": note")), st.booleans()),
    max_size=5,
)
EVENT_ENDS = st.sampled_from(("\n", "\r\n", "\r"))
TAILS = st.sampled_from(("", "{e}", ": bye{e}", ": bye", "{e}{e}"))


@given("{entries:d} entry processes before targets that frame and end responses in every way")
def start_processes(context: Context, entries: int) -> None:
    context.site = FramedSite(EntryProcesses(context.processes, entries), store=StoreStandIn())
    context.add_cleanup(context.site.stop)
    run(context, context.site.start())


@given("{entries:d} entry processes before {targets:d} targets whose responses' heads are cut")
def start_before_cut_heads(context: Context, entries: int, targets: int) -> None:
    processes = EntryProcesses(context.processes, entries)
    context.site = FramedSite(processes, store=StoreStandIn(), targets=targets)
    context.add_cleanup(context.site.stop)
    run(context, context.site.start())


@when("the first responses to requests of {path}, framed by {framing}, are cut in their heads")
def play_cut_heads(context: Context, path: str, framing: str) -> None:
    run(context, context.site.play_all([(path, play) for play in every_cut_head(path, framing)]))


@when("streams framed by {framing} are broken off, and taken up by responses cut in their heads")
def play_cut_resumptions(context: Context, framing: str) -> None:
    plays = [("stream", play) for play in every_cut_resumption(framing)]
    run(context, context.site.play_all(plays, sound=SOUND_FOR_TWO_REPEATS))


@then("no request that ran was answered as one that hasn't, or with a success of no target's")
def check_statuses(context: Context) -> None:
    _check_none(
        context,
        lambda each: each.runs > 0
        and each.path in ("single", "once")
        and each.answer.status in NOT_RUN_STATUSES,
    )
    _check_none(context, lambda each: each.answer.status < 300 and not each.is_served)
    _check_none(context, lambda each: each.runs == 0)


@then("those that may run again got whole answers, and the others an error")
def check_cut_answers(context: Context) -> None:
    _check_none(
        context,
        lambda each: each.path in REPEATABLE_PATHS
        and not (each.is_marked and each.content == each.play.content),
    )
    _check_none(
        context,
        lambda each: each.path not in REPEATABLE_PATHS
        and (each.answer.status != 502 or each.runs != 1),
    )


@when("the requests of {path} are answered in every way")
def play_all(context: Context, path: str) -> None:
    run(context, context.site.play_all([(path, play) for play in every_play(path)]))


@then("no caller got as complete what wasn't, or content of another answer")
def check_content(context: Context) -> None:
    _check_none(context, _is_content_foreign)
    _check_none(
        context, lambda each: each.is_served and each.is_marked and each.content != each.expected
    )


@then("nothing that isn't known to be complete was marked as complete")
def check_marks(context: Context) -> None:
    _check_none(
        context,
        lambda each: each.is_served
        and each.is_marked
        and each.completeness is not Completeness.WHOLE,
    )
    # A connection that just closes would look like the end of a response without a mark.
    _check_none(
        context,
        lambda each: each.is_served
        and each.answer.whole
        and each.completeness is Completeness.BROKEN,
    )


@then("whole answers reached their callers, marked if the target that began them marks its end")
def check_whole(context: Context) -> None:
    _check_none(
        context,
        lambda each: each.completeness is not Completeness.BROKEN
        and not (each.answer.whole and each.content == each.expected),
    )
    _check_none(
        context,
        lambda each: each.completeness is Completeness.WHOLE
        and each.can_be_marked
        and not each.is_marked,
    )


@then("streams that may be resumed were completed where their targets were known to break off")
def check_resumed(context: Context) -> None:
    _check_none(
        context,
        lambda each: each.path == "stream" and each.completeness is Completeness.BROKEN,
    )


@then("no request that may run once ran twice")
def check_runs(context: Context) -> None:
    _check_none(context, lambda each: each.path in ("single", "once") and each.runs > 1)


def _is_content_foreign(result: Result) -> bool:
    return result.is_served and not result.play.content.startswith(result.content)


def _check_none(context: Context, is_broken: Callable[[Result], bool]) -> None:
    results: list[Result] = context.site.results
    broken = [each for each in results if is_broken(each)]
    shown = [
        f"{each.play.framing} {each.play.sent}+{each.play.extra_bytes} {each.play.end} "
        f"{each.play.event_end!r} runs {each.runs}: {each.answer.status} "
        f"{'marked' if each.is_marked else 'whole' if each.answer.whole else 'broken'} "
        f"{each.answer.text!r}"
        for each in broken[:SHOWN]
    ]
    assert not broken, "\n".join([f"{len(broken)} of {len(results)} answers:", *shown])


@when("a stream in chunks is broken off and taken up by targets that mark no end")
def play_unmarked_resumption(context: Context) -> None:
    play = Play(framing="chunks", sent=2, extra_bytes=3, end="close", later="connection")
    run(context, context.site.play_all([("stream", play)], sound=SOUND_FOR_TWO_REPEATS))


@then("its caller got all of it, marked as complete, after {runs:d} runs")
def check_agreement(context: Context, runs: int) -> None:
    (result,) = context.site.results
    assert result.is_marked, result
    assert (result.content, result.runs) == (result.play.content, runs), result


@when("an entry gets {name} while it forwards a stream without a mark at its end")
def end_entry(context: Context, name: str) -> None:
    site: FramedSite = context.site
    play = Play(framing="connection", part_s=SLOW_PART_S)
    context.play = play

    async def play_and_end() -> Answer:
        call = asyncio.create_task(site.call(0, msgspec.json.encode(play), path="/single/x"))
        await asyncio.sleep(BEGUN_S)
        entry = site.entries.entries[0]
        assert isinstance(entry, EntryProcess)
        entry.process.send_signal(signal.Signals[name])
        return await call

    context.answer = run(context, play_and_end())


@then("the stream's caller sees a reset after whole events")
def check_reset(context: Context) -> None:
    answer: Answer = context.answer
    assert answer.status == 200, answer
    content = answer.text.encode()
    if answer.whole:
        # The entry let it end.
        assert content == context.play.content, answer
    else:
        assert content and context.play.content.startswith(content), answer


@when("a caller that speaks HTTP/1.0 gets {stream}")
def call_without_chunks(context: Context, stream: str) -> None:
    broken = "broken" in stream
    context.play = Play(sent=2, end="reset") if broken else Play()
    body = msgspec.json.encode(context.play)
    context.answer = run(context, context.site.call(0, body, path="/single/x", version="1.0"))


@then("its connection {ends}")
def check_end_without_chunks(context: Context, ends: str) -> None:
    answer: Answer = context.answer
    assert not any(mark in answer.headers for mark in MARKS), answer
    assert answer.whole == (ends == "is closed after all events"), answer
    if answer.whole:
        assert answer.text.encode() == context.play.content, answer


@then("any stream that is cut into pieces and broken off anywhere passes on its whole events, once")
def check_any_stream(context: Context) -> None:
    @settings(max_examples=400, deadline=None, derandomize=True, database=None)
    @given_any(EVENTS, EVENT_ENDS, TAILS, st.data())
    def check(
        events: list[tuple[str, str, bool]], line_end: str, tail: str, data: st.DataObject
    ) -> None:
        blocks = _blocks(events, line_end)
        stream = b"".join(blocks) + tail.replace("{e}", line_end).encode()
        cuts = data.draw(st.lists(st.integers(0, len(stream)), max_size=4))
        broken_at = data.draw(st.integers(0, len(stream)))
        buffer = EventBuffer(None)
        bounds = sorted({0, broken_at, *(cut for cut in cuts if cut < broken_at)})
        got = b"".join(buffer.feed(stream[a:b]) for a, b in itertools.pairwise(bounds))
        whole = [end for end in itertools.accumulate(map(len, blocks)) if end <= broken_at]
        expected = stream[: whole[-1]] if whole else b""
        # Blank lines after the last event may be passed on with it or held back.
        assert got.rstrip(b"\r\n") == expected.rstrip(b"\r\n"), (stream, bounds, got)
        assert stream.startswith(got), (stream, bounds, got)
        inside = len(whole) < len(blocks) and _has_field(stream[len(expected) : broken_at])
        assert buffer.ends_inside_event() == inside, (stream, bounds, got)
        # Another target goes on after the last event.
        buffer.discard_incomplete()
        rest = b"".join(blocks[len(whole) :])
        if events and all(has_id for _, _, has_id in events):
            rest = b"".join(blocks)
            assert (got + buffer.feed(rest)).startswith(b"".join(blocks)), (stream, bounds)

    check()


def _blocks(events: list[tuple[str, str, bool]], line_end: str) -> list[bytes]:
    blocks = []
    numbers = itertools.count(1)
    for text, comment, has_id in events:
        lines = [comment] if comment else []
        lines += [f"id: {next(numbers)}"] if has_id else []
        lines += [f"data: {text}", "", ""]
        blocks.append(line_end.join(lines).encode())
    return blocks


def _has_field(text: bytes) -> bool:
    return any(line and not line.startswith(b":") for line in text.splitlines())


@given("a store and an engine whose answers have no length and can be cut anywhere")
def start_cut_server(context: Context) -> None:
    # Path up to its query: the whole answer.
    stored = {"metadata": {"name": "orders", "revision": 7}, "specification": LEASE}
    context.bodies = {
        "/api/objects/servers": {"items": [], "at": 7, "has_more": False},
        "/api/objects/servers?watch": {"events": [], "at": 7},
        "/api/objects/mimosaspur-leases": stored,
        "/api/report": {"models": [], "busy": False, "sequence": 0, "waiting": 0, "running": 0},
    }
    context.cut_at = 0

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        request = (await reader.readuntil(b"\r\n\r\n")).decode()
        path = request.split()[1]
        known = [each for each in context.bodies if path.startswith(each)]
        body = msgspec.json.encode(context.bodies[max(known, key=len)])
        writer.write(b"HTTP/1.1 200 OK\r\n\r\n" + body[: context.cut_at])
        context.was_cut = context.cut_at < len(body)
        writer.close()

    async def start() -> None:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        context.cut_address = server.sockets[0].getsockname()[:2]

    run(context, start())


@then("no list, watch, lease or report that is cut short is read")
def check_cut_heads(context: Context) -> None:
    clock = SystemClock()
    store = PlatformStore(context.cut_address, clock=clock, log=null_log("entry"))
    engines = PlatformEngines(clock=clock)
    engine = TargetRecord("engine-0", "service", context.cut_address, "here")
    reads: dict[str, Callable[[], Awaitable[object]]] = {
        "list": store.list_targets,
        "watch": lambda: store.watch_targets(1, wait_ms=1),
        "lease": store.read_lease,
        "report": lambda: engines.report(engine),
    }

    async def is_read(read: Callable[[], Awaitable[object]]) -> bool:
        try:
            return await read() is not None
        except StoreUnavailable:
            return False

    async def check() -> None:
        for name, read in reads.items():
            context.cut_at = 0
            context.was_cut = True
            while context.was_cut:
                done = await is_read(read)
                assert done != context.was_cut, (name, context.cut_at)
                context.cut_at += 1

    run(context, check())
