"""Serve the entries' connections at a target, in one thread each."""

import socket
import threading
from collections.abc import Callable
from functools import singledispatchmethod

from mimosaspur_coordination.generation import BundleHolder
from mimosaspur_daemon.attempts import AttemptRegistry
from mimosaspur_daemon.attempts import RunningAttempt
from mimosaspur_daemon.serving import Serving
from mimosaspur_protocol.codec import ProtocolError
from mimosaspur_protocol.messages import BundleOffer
from mimosaspur_protocol.messages import BundleRequest
from mimosaspur_protocol.messages import Cancel
from mimosaspur_protocol.messages import Draining
from mimosaspur_protocol.messages import Generation
from mimosaspur_protocol.messages import Hello
from mimosaspur_protocol.messages import Message
from mimosaspur_protocol.messages import Ping
from mimosaspur_protocol.messages import Pong
from mimosaspur_protocol.messages import Residents
from mimosaspur_protocol.messages import Resume
from mimosaspur_protocol.messages import Submit
from mimosaspur_protocol.messages import Welcome
from mimosaspur_state.clock import Clock
from mimosaspur_state.codes import Outcome
from mimosaspur_state.codes import ResultCode
from mimosaspur_state.errors import MimosaspurError
from mimosaspur_state.log import log
from mimosaspur_state.settings import Settings
from mimosaspur_state.settings import TargetSettings
from mimosaspur_transport.wire import ConnectionLost
from mimosaspur_transport.wire import Wire
from mimosaspur_transport.wire import listen

PART = "TARGET"
ACCEPT_POLL_S = 0.5
# An entry that misses this many heartbeats in a row is disconnected.
MAX_MISSED_HEARTBEATS = 10


class EntryConnection:
    """Store an entry's connection, its number and whether a newer one supersedes it."""

    __slots__ = ("entry", "number", "superseded", "wire")

    def __init__(self, wire: Wire) -> None:
        self.wire = wire
        self.entry = ""
        self.number = 0
        self.superseded = False


class TargetServer:
    """Accept entries' connections and handle their messages."""

    def __init__(
        self,
        settings: Settings,
        target: TargetSettings,
        *,
        incarnation: str,
        clock: Clock,
        holder: BundleHolder,
        serving: Serving,
        registry: AttemptRegistry,
        residents: Callable[[], tuple[str, ...]],
    ) -> None:
        self.settings = settings
        self.target = target
        self.incarnation = incarnation
        self.clock = clock
        self.holder = holder
        self.serving = serving
        self.registry = registry
        self.residents = residents
        self.socket: socket.socket | None = None
        self.lock = threading.Lock()
        self.newest_connections: dict[str, EntryConnection] = {}

    def bind(self) -> str:
        """Bind the address in the settings exclusively; raise OSError if it is in use."""
        self.socket = listen(self.target.listen)
        self.socket.settimeout(ACCEPT_POLL_S)
        host, port = self.socket.getsockname()
        return f"{host}:{port}"

    def run(self, stop: threading.Event) -> None:
        """Accept connections until `stop` is set."""
        assert self.socket is not None
        with self.socket:
            while not stop.is_set():
                try:
                    sock, _ = self.socket.accept()
                except TimeoutError:
                    continue
                wire = Wire(sock, send_timeout_ms=self.settings.peers.silent_ms)
                threading.Thread(target=self._serve_connection, args=(wire,), daemon=True).start()

    def sweep(self, stop: threading.Event) -> None:
        """Drop expired answers periodically until `stop` is set."""
        while not stop.wait(1):
            self.registry.sweep()

    def announce_draining(self) -> None:
        """Notify all entries that this target is draining."""
        self._broadcast(Draining(self.settings.instance.name))

    def announce_residents(self) -> None:
        """Send all entries the residents that can be served now."""
        self._broadcast(Residents(self.residents()))

    def announce_generation(self) -> None:
        """Send all entries the generation; those with an older one request the bundle."""
        self._broadcast(Generation(self.holder.generation()))

    def _broadcast(self, message: Message) -> None:
        with self.lock:
            connections = list(self.newest_connections.values())
        for connection in connections:
            try:
                connection.wire.send(message)
            except ConnectionLost:
                continue  # The connection's own thread handles the loss.

    def _serve_connection(self, wire: Wire) -> None:
        connection = EntryConnection(wire)
        timeout_ms = self.settings.peers.heartbeat_ms * MAX_MISSED_HEARTBEATS
        wire.sock.settimeout(timeout_ms / 1000)
        try:
            while True:
                for message in wire.receive():
                    self._handle(message, connection)
        except (ConnectionLost, TimeoutError) as error:
            log(PART, "Lost the connection to an entry.", entry=connection.entry, error=str(error))
        except ProtocolError as error:
            log(
                PART,
                "Closed the connection to an entry after a protocol error.",
                entry=connection.entry,
                error=str(error),
            )
        finally:
            self._close_connection(connection)

    def _close_connection(self, connection: EntryConnection) -> None:
        connection.wire.close()
        with self.lock:
            if self.newest_connections.get(connection.entry) is connection:
                del self.newest_connections[connection.entry]
        self.registry.detach(connection.wire)

    @singledispatchmethod
    def _handle(self, message: Message, connection: EntryConnection) -> None:
        raise ProtocolError(f"unexpected {type(message).__name__} from an entry")

    @_handle.register
    def _(self, message: Hello, connection: EntryConnection) -> None:
        connection.entry = f"{message.instance}/{message.incarnation}"
        connection.number = message.connection
        with self.lock:
            older = self.newest_connections.get(connection.entry)
            if older and older.number >= connection.number:
                raise ProtocolError("a newer connection of this entry is open")
            if older:
                older.superseded = True
            self.newest_connections[connection.entry] = connection
        if older:
            older.wire.close()
        connection.wire.send(
            Welcome(
                self.settings.instance.name,
                self.incarnation,
                self.holder.generation(),
                self.serving.draining,
                self.residents(),
            )
        )
        self._request_newer_bundle(message.generation, connection)

    @_handle.register
    def _(self, message: Submit, connection: EntryConnection) -> None:
        attempt = self._create_attempt(message, connection)
        if self._try_register(attempt, connection):
            self._request_newer_bundle(message.generation, connection)
            self.serving.start(attempt)

    @_handle.register
    def _(self, message: Resume, connection: EntryConnection) -> None:
        submit = message.submit
        known = self.registry.get((submit.work.request_id, submit.attempt))
        if known:
            known.resume(connection.wire, message.offset, connection_number=connection.number)
            return
        attempt = self._create_attempt(submit, connection)
        if self.registry.was_dropped(attempt.key()):
            attempt.fail(_answer_dropped_error())
        elif not self._try_register(attempt, connection):
            return
        elif message.incarnation == self.incarnation:
            # The Submit never arrived, and superseded connections are rejected: no double run.
            self._request_newer_bundle(submit.generation, connection)
            self.serving.start(attempt)
        else:
            self.serving.adopt(attempt)

    @_handle.register
    def _(self, message: Cancel, connection: EntryConnection) -> None:
        attempt = self.registry.get((message.request_id, message.attempt))
        if attempt and attempt.final_message:
            self.registry.release(attempt)
        elif attempt:
            self.serving.cancel(attempt)

    @_handle.register
    def _(self, message: Ping, connection: EntryConnection) -> None:
        connection.wire.send(
            Pong(
                message.sequence,
                self.holder.generation(),
                self.serving.draining,
                self.serving.load(),
            )
        )
        self._request_newer_bundle(message.generation, connection)

    @_handle.register
    def _(self, message: BundleRequest, connection: EntryConnection) -> None:
        packed = self.holder.encode_current()
        if packed and packed[0] > message.have:
            connection.wire.send(BundleOffer(*packed))

    @_handle.register
    def _(self, message: BundleOffer, connection: EntryConnection) -> None:
        self.holder.apply_encoded(message.generation, message.packed)

    def _create_attempt(self, submit: Submit, connection: EntryConnection) -> RunningAttempt:
        return RunningAttempt(
            submit,
            connection.wire,
            self.clock,
            max_answer_bytes=self.target.answer_bytes,
            connection_number=connection.number,
        )

    def _try_register(self, attempt: RunningAttempt, connection: EntryConnection) -> bool:
        """Register an attempt; return False if it is known or its connection is superseded."""
        with self.lock:
            return not connection.superseded and self.registry.add(attempt)

    def _request_newer_bundle(self, entry_generation: int, connection: EntryConnection) -> None:
        if self.holder.should_request(entry_generation, self.clock.now_ms()):
            connection.wire.send(BundleRequest(self.holder.generation()))


def _answer_dropped_error() -> MimosaspurError:
    return MimosaspurError(
        ResultCode.OUTCOME_UNKNOWN,
        "The answer was dropped after target.keep_answer_ms.",
        outcome=Outcome.UNKNOWN,
    )
