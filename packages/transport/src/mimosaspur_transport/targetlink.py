"""Maintain an entry's connection to one target and the attempts on it."""

import contextlib
import itertools
import threading
from collections.abc import Callable
from functools import singledispatchmethod

from mimosaspur_coordination.generation import BundleHolder
from mimosaspur_coordination.hints import TargetHint
from mimosaspur_protocol.codec import ProtocolError
from mimosaspur_protocol.messages import BundleOffer
from mimosaspur_protocol.messages import BundleRequest
from mimosaspur_protocol.messages import Cancel
from mimosaspur_protocol.messages import Chunk
from mimosaspur_protocol.messages import Draining
from mimosaspur_protocol.messages import End
from mimosaspur_protocol.messages import Failed
from mimosaspur_protocol.messages import Generation
from mimosaspur_protocol.messages import Hello
from mimosaspur_protocol.messages import Message
from mimosaspur_protocol.messages import Ping
from mimosaspur_protocol.messages import Pong
from mimosaspur_protocol.messages import Refused
from mimosaspur_protocol.messages import Residents
from mimosaspur_protocol.messages import Started
from mimosaspur_protocol.messages import Submit
from mimosaspur_protocol.messages import Welcome
from mimosaspur_state.clock import Clock
from mimosaspur_state.log import log
from mimosaspur_state.settings import PeerSettings
from mimosaspur_transport.attempt import Attempt
from mimosaspur_transport.attempt import incomplete_answer
from mimosaspur_transport.wire import ConnectionLost
from mimosaspur_transport.wire import Wire
from mimosaspur_transport.wire import connect

PART = "LINK"
RECONNECT_DELAY_S = 0.1
# Multiplier of the heartbeat interval while no attempt is in flight.
IDLE_HEARTBEAT_FACTOR = 5


class _IdleTimeout(Exception):
    """Signal that a connection has been idle for long enough to be closed."""


class TargetLink:
    """Maintain the connection to one target; one thread connects, reads and pings.

    An unresponsive connection is replaced by a new one, on which every attempt is resumed at
    its offset. An idle connection is closed.
    """

    def __init__(
        self,
        hint: TargetHint,
        *,
        instance: str,
        incarnation: str,
        settings: PeerSettings,
        idle_ms: int,
        clock: Clock,
        holder: BundleHolder,
        on_residents: Callable[[], None] = lambda: None,
    ) -> None:
        self.hint = hint
        self.instance = instance
        self.incarnation = incarnation
        self.settings = settings
        self.idle_ms = idle_ms
        self.clock = clock
        self.holder = holder
        self.on_residents = on_residents
        self.lock = threading.Lock()
        self.changed = threading.Condition(self.lock)
        self.attempts: dict[tuple[str, int], Attempt] = {}
        self.wire: Wire | None = None
        self.target_incarnation = ""
        self.connection_numbers = itertools.count(1)
        self.ping_numbers = itertools.count(1)
        self.ping_pending_since_ms: int | None = None
        self.running = False
        self.stopped = False
        self.waiter_count = 0
        self.failure_count = 0
        self.last_used_ms = clock.now_ms()

    def submit(self, submit: Submit, *, wait_ms: int) -> Attempt | None:
        """Send a request; return None if it was never sent, and so did not run."""
        wire = self._await_connection(wait_ms)
        if wire is None:
            return None
        attempt = Attempt(submit, self.target_incarnation, self.clock.now_ms())
        key = (submit.work.request_id, submit.attempt)
        with self.lock:
            if self.wire is not wire:
                return None
            self.attempts[key] = attempt
            self.hint.in_flight += 1
        try:
            wire.send(submit)
        except ConnectionLost:
            # Part of it may have arrived: a Resume on the next connection resolves that.
            wire.close()
        return attempt

    def finish(self, attempt: Attempt) -> None:
        """Remove an attempt; the target drops its answer or cancels the run."""
        key = (attempt.submit.work.request_id, attempt.submit.attempt)
        with self.lock:
            if self.attempts.pop(key, None) is None:
                return
            self.hint.in_flight -= 1
            wire = self.wire
            self.last_used_ms = self.clock.now_ms()
        if wire is None:
            return
        # If the connection is lost, the target drops attempts that are not resumed in time.
        with contextlib.suppress(ConnectionLost):
            wire.send(Cancel(*key))

    def connect_in_background(self) -> None:
        """Start connecting in the background."""
        with self.lock:
            self._start_thread()

    def stop(self) -> None:
        """Close the connection permanently."""
        with self.lock:
            self.stopped = True
            wire = self.wire
            self.changed.notify_all()
        if wire:
            wire.close()

    def _await_connection(self, wait_ms: int) -> Wire | None:
        with self.lock:
            self.last_used_ms = self.clock.now_ms()
            self._start_thread()
            failures = self.failure_count
            self.waiter_count += 1
            self.changed.wait_for(
                lambda: self.wire is not None or self.failure_count > failures or self.stopped,
                wait_ms / 1000,
            )
            self.waiter_count -= 1
            return self.wire

    def _start_thread(self) -> None:
        if self.running or self.stopped:
            return
        self.running = True
        threading.Thread(target=self._run, name=f"link-{self.hint.name}", daemon=True).start()

    def _run(self) -> None:
        lost_at_ms = self.clock.now_ms()
        while self._should_run():
            try:
                self._serve_connection()
                lost_at_ms = self.clock.now_ms()
            except _IdleTimeout:
                self._on_idle_close()
                log(PART, "Closed an idle connection.", target=self.hint.name)
            except (ConnectionLost, ProtocolError, TimeoutError) as error:
                if self._on_disconnect():
                    lost_at_ms = self.clock.now_ms()
                log(PART, "Lost a connection.", target=self.hint.name, error=str(error))
            if self.clock.now_ms() - lost_at_ms > 2 * self.settings.silent_ms:
                self._fail_all()
            if not self.attempts:
                break
            threading.Event().wait(RECONNECT_DELAY_S)
        self._on_exit()

    def _should_run(self) -> bool:
        return not self.stopped

    def _on_exit(self) -> None:
        with self.lock:
            self.running = False
            # An attempt or waiter that arrived while this thread was ending needs a new one.
            if (self.attempts or self.waiter_count) and not self.stopped:
                self._start_thread()

    def _serve_connection(self) -> None:
        wire = connect(
            self.hint.address,
            connect_ms=self.settings.connect_ms,
            send_timeout_ms=self.settings.silent_ms,
        )
        try:
            self._handshake(wire)
            self._receive_loop(wire)
        finally:
            wire.close()

    def _handshake(self, wire: Wire) -> None:
        number = next(self.connection_numbers)
        wire.send(Hello(self.instance, self.incarnation, number, self.holder.generation()))
        welcome, others = _await_welcome(wire)
        with self.lock:
            self.wire = wire
            self.target_incarnation = welcome.incarnation
            pending = list(self.attempts.values())
            self.hint.on_connect(welcome.draining, welcome.residents)
            self.changed.notify_all()
        self.on_residents()
        self._compare_generation(wire, welcome.generation)
        for attempt in pending:
            self._resume(attempt, wire)
        for message in others:
            self._handle(message, wire)

    def _resume(self, attempt: Attempt, wire: Wire) -> None:
        """Resume an attempt on a new connection."""
        key = (attempt.submit.work.request_id, attempt.submit.attempt)
        wire.send(attempt.resume_message(self.clock.now_ms()))
        with self.lock:
            finished = key not in self.attempts
        if finished:
            # Its Cancel may have been sent first, and a target starts what it doesn't know.
            wire.send(Cancel(*key))

    def _receive_loop(self, wire: Wire) -> None:
        wire.sock.settimeout(self.settings.heartbeat_ms / 1000)
        self.ping_pending_since_ms = None
        pinged_at_ms = self.clock.now_ms()
        while True:
            try:
                for message in wire.receive():
                    self._handle(message, wire)
            except TimeoutError:
                pass
            now_ms = self.clock.now_ms()
            self._check_pong_timeout(now_ms)
            if now_ms - pinged_at_ms >= self._heartbeat_interval_ms():
                pinged_at_ms = now_ms
                self._ping(wire, now_ms)
            if self._is_idle(now_ms):
                raise _IdleTimeout

    def _heartbeat_interval_ms(self) -> int:
        return self.settings.heartbeat_ms * (1 if self.attempts else IDLE_HEARTBEAT_FACTOR)

    def _ping(self, wire: Wire, now_ms: int) -> None:
        if self.ping_pending_since_ms is None:
            self.ping_pending_since_ms = now_ms
        wire.send(Ping(next(self.ping_numbers), self.holder.generation()))

    def _check_pong_timeout(self, now_ms: int) -> None:
        # Only a Pong proves that both directions work; answers prove just one.
        since_ms = self.ping_pending_since_ms
        if since_ms is not None and now_ms - since_ms > self.settings.silent_ms:
            raise ConnectionLost("the target did not answer a ping in time")

    def _is_idle(self, now_ms: int) -> bool:
        with self.lock:
            return not self.attempts and now_ms - self.last_used_ms > self.idle_ms

    def _on_idle_close(self) -> None:
        with self.lock:
            self.wire = None
            self.hint.on_idle_close()

    def _on_disconnect(self) -> bool:
        with self.lock:
            was_connected = self.wire is not None
            self.wire = None
            self.failure_count += 1
            self.hint.on_disconnect(self.clock.now_ms())
            self.changed.notify_all()
            return was_connected

    def _fail_all(self) -> None:
        with self.lock:
            attempts = list(self.attempts.values())
        for attempt in attempts:
            attempt.on_event(incomplete_answer(attempt, "The target can't be reached."))

    @singledispatchmethod
    def _handle(self, message: Message, wire: Wire) -> None:
        raise ProtocolError(f"unexpected {type(message).__name__} from a target")

    @_handle.register
    def _(self, message: Started | Chunk | End | Refused | Failed, wire: Wire) -> None:
        with self.lock:
            attempt = self.attempts.get((message.request_id, message.attempt))
        if attempt:
            attempt.on_event(message)

    @_handle.register
    def _(self, message: Pong, wire: Wire) -> None:
        self.ping_pending_since_ms = None
        self.hint.on_load_report(message.load, message.draining, self.clock.now_ms())
        self._compare_generation(wire, message.generation)

    @_handle.register
    def _(self, message: Draining, wire: Wire) -> None:
        self.hint.draining = True

    @_handle.register
    def _(self, message: Residents, wire: Wire) -> None:
        self.hint.residents = frozenset(message.residents)
        self.on_residents()

    @_handle.register
    def _(self, message: Generation, wire: Wire) -> None:
        self._compare_generation(wire, message.generation)

    @_handle.register
    def _(self, message: BundleRequest, wire: Wire) -> None:
        packed = self.holder.encode_current()
        if packed and packed[0] > message.have:
            wire.send(BundleOffer(*packed))

    @_handle.register
    def _(self, message: BundleOffer, wire: Wire) -> None:
        self.holder.apply_encoded(message.generation, message.packed)

    def _compare_generation(self, wire: Wire, target_generation: int) -> None:
        if self.holder.should_request(target_generation, self.clock.now_ms()):
            wire.send(BundleRequest(self.holder.generation()))


def _await_welcome(wire: Wire) -> tuple[Welcome, list[Message]]:
    """Return Welcome and the messages received before or with it."""
    others: list[Message] = []
    welcome: Welcome | None = None
    while welcome is None:
        for message in wire.receive():
            if isinstance(message, Welcome):
                welcome = message
            else:
                others.append(message)
    return welcome, others
