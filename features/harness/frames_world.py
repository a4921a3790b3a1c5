"""Provide scripted peers for both sides of the protocol between entries and targets."""

import contextlib
import socket
import threading

from mimosaspur_daemon.attempts import RunningAttempt
from mimosaspur_protocol.messages import Chunk
from mimosaspur_protocol.messages import End
from mimosaspur_protocol.messages import Hello
from mimosaspur_protocol.messages import Message
from mimosaspur_protocol.messages import Ping
from mimosaspur_protocol.messages import Pong
from mimosaspur_protocol.messages import Residents
from mimosaspur_protocol.messages import Resume
from mimosaspur_protocol.messages import Started
from mimosaspur_protocol.messages import Submit
from mimosaspur_protocol.messages import Welcome
from mimosaspur_state.clock import SystemClock
from mimosaspur_state.load import Load
from mimosaspur_transport.wire import ConnectionLost
from mimosaspur_transport.wire import Wire

ANSWER = b"0123456789"
ATTEMPT_KEY = ("r1", 1)
SILENT_MS = 300
HEARTBEAT_MS = 50


class ManualClock(SystemClock):
    """Advance the system clock by an offset that steps set."""

    def __init__(self) -> None:
        self.added_ms = 0

    def now_ms(self) -> int:
        """Return monotonic time plus the offset."""
        return super().now_ms() + self.added_ms


class FakeServing:
    """Record the attempts that are started."""

    draining = False

    def __init__(self) -> None:
        self.started: list[RunningAttempt] = []

    def start(self, attempt: RunningAttempt) -> None:
        """Record an attempt."""
        self.started.append(attempt)


class ScriptedTarget:
    """Simulate a target whose first connection misbehaves as `habit` says."""

    def __init__(self, habit: str) -> None:
        self.habit = habit
        self.socket = socket.create_server(("127.0.0.1", 0))
        host, port = self.socket.getsockname()
        self.address = f"{host}:{port}"
        self.connection_count = 0
        self.stopped = threading.Event()
        threading.Thread(target=self._accept_connections, daemon=True).start()

    def _accept_connections(self) -> None:
        while not self.stopped.is_set():
            sock, _ = self.socket.accept()
            self.connection_count += 1
            wire = Wire(sock, send_timeout_ms=10 * SILENT_MS)
            threading.Thread(
                target=self._serve, args=(wire, self.connection_count), daemon=True
            ).start()

    def _serve(self, wire: Wire, number: int) -> None:
        habit = self.habit if number == 1 else ""
        with contextlib.suppress(ConnectionLost, TimeoutError):
            while True:
                for message in wire.receive():
                    self._answer(message, wire, habit)

    def _answer(self, message: Message, wire: Wire, habit: str) -> None:
        if isinstance(message, Hello):
            if habit == "announces before it welcomes":
                wire.send(Residents(("m@1",)))
            wire.send(Welcome("t", "i", 0, False, ("m@1",)))
        elif isinstance(message, Submit | Resume):
            offset = message.offset if isinstance(message, Resume) else 0
            self._stream(wire, offset, habit)
        elif isinstance(message, Ping) and habit != "streams and never answers a Ping":
            wire.send(Pong(message.sequence, 0, False, Load(0, 0, 1, 0)))

    def _stream(self, wire: Wire, offset: int, habit: str) -> None:
        if offset == 0:
            wire.send(Started(*ATTEMPT_KEY, 200, "text/plain", False))
        match habit:
            case "streams and never answers a Ping":
                threading.Thread(target=self._repeat_chunk, args=(wire,), daemon=True).start()
            case "ends in the middle":
                wire.send(Chunk(*ATTEMPT_KEY, 0, ANSWER[:4]))
                wire.close()
            case _:
                wire.send(Chunk(*ATTEMPT_KEY, offset, ANSWER[offset:]))
                wire.send(End(*ATTEMPT_KEY, len(ANSWER)))

    def _repeat_chunk(self, wire: Wire) -> None:
        # Repeats the same chunk, so that the connection stays active without heartbeats.
        with contextlib.suppress(ConnectionLost):
            while not self.stopped.wait(HEARTBEAT_MS / 1000):
                wire.send(Chunk(*ATTEMPT_KEY, 0, ANSWER[:4]))
