"""Steps that simulate one side of the protocol between entries and targets."""

import queue
import socket

from behave import given
from behave import then
from behave import when
from behave.runner import Context
from hypothesis import given as given_any
from hypothesis import settings
from hypothesis import strategies as st

from harness.frames_world import ANSWER
from harness.frames_world import ATTEMPT_KEY
from harness.frames_world import HEARTBEAT_MS
from harness.frames_world import SILENT_MS
from harness.frames_world import FakeServing
from harness.frames_world import ManualClock
from harness.frames_world import ScriptedTarget
from mimosaspur_coordination.generation import BundleHolder
from mimosaspur_coordination.hints import TargetHint
from mimosaspur_daemon.attempts import AttemptRegistry
from mimosaspur_daemon.targetserver import EntryConnection
from mimosaspur_daemon.targetserver import TargetServer
from mimosaspur_protocol.codec import ProtocolError
from mimosaspur_protocol.messages import Chunk
from mimosaspur_protocol.messages import End
from mimosaspur_protocol.messages import Failed
from mimosaspur_protocol.messages import Hello
from mimosaspur_protocol.messages import Message
from mimosaspur_protocol.messages import Refused
from mimosaspur_protocol.messages import Resume
from mimosaspur_protocol.messages import Started
from mimosaspur_protocol.messages import Submit
from mimosaspur_state.clock import SystemClock
from mimosaspur_state.codes import Outcome
from mimosaspur_state.codes import ResultCode
from mimosaspur_state.requests import RequestKind
from mimosaspur_state.requests import Work
from mimosaspur_state.settings import PeerSettings
from mimosaspur_state.settings import settings_from_text
from mimosaspur_transport.attempt import Attempt
from mimosaspur_transport.attempt import Event
from mimosaspur_transport.targetlink import TargetLink
from mimosaspur_transport.wire import Wire

WORK = Work("r1", RequestKind.CHAT, "m", "POST", "/", "", b"{}", False, 5, False, "", "")
SUBMIT = Submit(1, 0, 60_000, "m@1", WORK)
RETENTION_MS = 1000
TIMEOUT_S = 5.0
SERVER_SETTINGS = """{
  "role": "target",
  "instance": {"name": "t", "region": "r", "failure_domain": "d"},
  "platform": {"object_api": "127.0.0.1:1", "instance_list": "127.0.0.1:1"},
  "target": {"listen": "127.0.0.1:0", "kind": "engine", "address": "127.0.0.1:1"}
}"""

PIECES = st.tuples(st.integers(0, len(ANSWER)), st.integers(0, len(ANSWER))).map(
    lambda span: Chunk(*ATTEMPT_KEY, min(span), ANSWER[min(span) : max(span)])
)
FRAMES: st.SearchStrategy[Event] = st.one_of(
    PIECES,
    PIECES,
    st.just(Started(*ATTEMPT_KEY, 200, "text/plain", False)),
    st.just(End(*ATTEMPT_KEY, len(ANSWER))),
    st.just(Failed(*ATTEMPT_KEY, ResultCode.ENGINE_ERROR, "", Outcome.UNKNOWN)),
)


@then("an attempt takes in any frames as a naive reassembly does")
def check_frames(context: Context) -> None:
    @settings(derandomize=True, database=None, max_examples=2000, deadline=None)
    @given_any(st.lists(FRAMES, max_size=14))
    def check(frames: list[Event]) -> None:
        attempt = Attempt(SUBMIT, "i")
        for frame in frames:
            attempt.on_event(frame)
        passed = drain_events(attempt)
        data = b"".join(event.data for event in passed if isinstance(event, Chunk))
        ends = [event for event in passed if isinstance(event, End | Failed)]
        assert (data, [type(end) for end in ends]) == reassemble(frames), passed
        assert not ends or passed[-1:] == ends, "the attempt passed on events after the end"

    check()


def drain_events(attempt: Attempt) -> list[Event]:
    """Return the events that an attempt has passed on."""
    events: list[Event] = []
    while not attempt.events.empty():
        events.append(attempt.events.get())
    return events


def reassemble(frames: list[Event]) -> tuple[bytes, list[type]]:
    """Reassemble the frames byte by byte."""
    data: list[int] = []
    for frame in frames:
        if isinstance(frame, Failed):
            return bytes(data), [Failed]
        if isinstance(frame, End):
            return bytes(data), [End if len(data) == frame.total else Failed]
        if isinstance(frame, Chunk):
            for position, byte in enumerate(frame.data, frame.offset):
                if position == len(data):
                    data.append(byte)
    return bytes(data), []


@given("a target's server for an entry's connections 1 and 2")
def start_server(context: Context) -> None:
    parsed = settings_from_text(SERVER_SETTINGS, file="test")
    assert parsed.target
    context.clock = ManualClock()
    context.serving = FakeServing()
    context.registry = AttemptRegistry(context.clock, retention_ms=RETENTION_MS)
    context.server = TargetServer(
        parsed,
        parsed.target,
        incarnation="i",
        clock=context.clock,
        holder=BundleHolder(),
        serving=context.serving,
        registry=context.registry,
        residents=tuple,
    )
    context.connections = {}
    context.entry_wires = {}


def open_connection(context: Context, number: int) -> None:
    """Open an entry's connection and complete the handshake."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        entry_socket = socket.create_connection(listener.getsockname())
        server_socket, _ = listener.accept()
    context.connections[number] = EntryConnection(Wire(server_socket, send_timeout_ms=SILENT_MS))
    context.entry_wires[number] = Wire(entry_socket, send_timeout_ms=SILENT_MS)
    handle(context, number, Hello("e", "x", number, 0))


def handle(context: Context, number: int, message: Message) -> None:
    """Pass a message of a connection to the server, as its own task does."""
    context.server._handle(message, context.connections[number])


@when("on the server, {steps}")
def run_server_steps(context: Context, steps: str) -> None:
    open_connection(context, 1)
    for step in steps.split(", "):
        match step.split():
            case ["submit", "on", number]:
                handle(context, int(number), SUBMIT)
            case ["resume", "on", number]:
                if int(number) not in context.connections:
                    open_connection(context, int(number))
                handle(context, int(number), Resume("i", 0, SUBMIT))
            case ["answered"]:
                finish_all(context.serving)
            case ["forgotten"]:
                context.clock.added_ms += RETENTION_MS + 1
                context.registry.sweep()


def finish_all(serving: FakeServing) -> None:
    """Complete the answers of all started attempts."""
    for attempt in serving.started:
        attempt.start(200, "text/plain")
        attempt.append(ANSWER)
        attempt.finish()


def received(context: Context, number: int) -> list[Message]:
    """Return the messages that the entry received on a connection, up to the last one."""
    wire = context.entry_wires[number]
    messages: list[Message] = []
    while not messages or not isinstance(messages[-1], End | Failed | Refused):
        messages += wire.receive()
    return messages


@then("it began once and the answer comes on connection {number:d}")
def check_answered_on(context: Context, number: int) -> None:
    messages = received(context, number)
    assert len(context.serving.started) == 1, context.serving.started
    data = [message.data for message in messages if isinstance(message, Chunk)]
    assert (data, messages[-1]) == ([ANSWER], End(*ATTEMPT_KEY, len(ANSWER))), messages


@then("it began once and connection {number:d} is told that the outcome is unknown")
def check_told_unknown(context: Context, number: int) -> None:
    last = received(context, number)[-1]
    assert isinstance(last, Failed) and last.outcome is Outcome.UNKNOWN, last
    assert len(context.serving.started) == 1, context.serving.started


@then("on the server, an older connection that says Hello again is refused")
def check_refused(context: Context) -> None:
    try:
        handle(context, 1, Hello("e", "x", 1, 0))
    except ProtocolError:
        return
    raise AssertionError("the server accepted an older connection")


@given("a scripted target whose first connection {habit}")
def start_scripted(context: Context, habit: str) -> None:
    context.target = ScriptedTarget(habit)


@when("an entry's link submits a request")
def submit(context: Context) -> None:
    context.link = TargetLink(
        TargetHint("t", context.target.address, "d"),
        instance="e",
        incarnation="x",
        settings=PeerSettings(heartbeat_ms=HEARTBEAT_MS, silent_ms=SILENT_MS),
        idle_ms=30_000,
        clock=SystemClock(),
        holder=BundleHolder(),
    )
    context.attempt = context.link.submit(SUBMIT, wait_ms=2000)


@then("the answer comes whole over connection {number:d}")
def check_link_answer(context: Context, number: int) -> None:
    assert context.attempt, "the link sent no request"
    data = b""
    event: Event | None = None
    try:
        while not isinstance(event, End | Failed | Refused):
            event = context.attempt.events.get(timeout=TIMEOUT_S)
            data += event.data if isinstance(event, Chunk) else b""
    except queue.Empty:
        raise AssertionError(f"the answer did not end; received {data!r}") from None
    finally:
        context.target.stopped.set()
        context.link.stop()
    assert (data, event) == (ANSWER, End(*ATTEMPT_KEY, len(ANSWER)))
    assert context.target.connection_count == number, context.target.connection_count
