"""Keep the answers of a target's attempts until their entries have them."""

import threading

from mimosaspur_protocol.messages import Chunk
from mimosaspur_protocol.messages import End
from mimosaspur_protocol.messages import Failed
from mimosaspur_protocol.messages import Message
from mimosaspur_protocol.messages import Refused
from mimosaspur_protocol.messages import Started
from mimosaspur_protocol.messages import Submit
from mimosaspur_state.clock import Clock
from mimosaspur_state.codes import Outcome
from mimosaspur_state.codes import ResultCode
from mimosaspur_state.errors import MimosaspurError
from mimosaspur_transport.wire import ConnectionLost
from mimosaspur_transport.wire import Wire

DEFAULT_RETRY_MS = 1000
# No caller waits longer than this for an answer to begin.
REMEMBER_MS = 900_000

AttemptKey = tuple[str, int]


class RunningAttempt:
    """Hold one attempt's answer and send it over whichever connection is the newest."""

    def __init__(
        self, submit: Submit, wire: Wire, clock: Clock, *, limit: int, connection: int = 0
    ) -> None:
        self.submit = submit
        self.wire: Wire | None = wire
        self.connection = connection
        self.clock = clock
        self.limit = limit
        self.lock = threading.Lock()
        self.started: Started | None = None
        self.buffer = bytearray()
        self.final: End | Failed | Refused | None = None
        self.ended_at_ms: int | None = None
        self.detached_at_ms: int | None = None
        self.cancelled = threading.Event()

    def start(self, status: int, content_type: str, *, replayed: bool = False) -> None:
        """Open the answer."""
        request_id, attempt = self.key()
        with self.lock:
            self.started = Started(request_id, attempt, status, content_type, replayed)
            self._send(self.started)

    def add(self, data: bytes) -> None:
        """Add a piece; raise MimosaspurError when the answer grows over the limit."""
        request_id, attempt = self.key()
        with self.lock:
            offset = len(self.buffer)
            if offset + len(data) > self.limit:
                raise MimosaspurError(
                    ResultCode.ANSWER_CUT,
                    f"The answer is over {self.limit} bytes (target.answer_bytes).",
                    outcome=Outcome.UNKNOWN,
                )
            self.buffer += data
            self._send(Chunk(request_id, attempt, offset, data))

    def end(self) -> None:
        """Close the answer as whole."""
        request_id, attempt = self.key()
        with self.lock:
            self._finish(End(request_id, attempt, len(self.buffer)))

    def fail(self, error: MimosaspurError) -> None:
        """Close the attempt with an error; one that was not run is refused."""
        request_id, attempt = self.key()
        with self.lock:
            if error.outcome is Outcome.NOT_RUN and self.started is None:
                retry_ms = error.retry_after_ms or DEFAULT_RETRY_MS
                final: Failed | Refused = Refused(
                    request_id, attempt, error.code, error.detail, retry_ms
                )
            else:
                final = Failed(request_id, attempt, error.code, error.detail, error.outcome)
            self._finish(final)

    def resume(self, wire: Wire, offset: int, *, connection: int) -> None:
        """Send what follows an offset over a new connection, and all that comes after."""
        with self.lock:
            # The task of an older connection may come late, when this process was paused.
            if connection < self.connection:
                return
            self.connection = connection
            self.wire = wire
            self.detached_at_ms = None
            if self.started:
                self._send(self.started)
            if offset < len(self.buffer):
                self._send(Chunk(*self.key(), offset, bytes(self.buffer[offset:])))
            if self.final:
                self._send(self.final)

    def detach(self, wire: Wire) -> None:
        """Note that a connection is gone."""
        with self.lock:
            if self.wire is wire:
                self._detach()

    def key(self) -> AttemptKey:
        """Return the request id and the attempt's number."""
        return self.submit.work.request_id, self.submit.attempt

    def _finish(self, final: "End | Failed | Refused") -> None:
        if self.final:
            return
        self.final = final
        self.ended_at_ms = self.clock.now_ms()
        self._send(final)

    def _send(self, message: Message) -> None:
        if self.wire is None:
            return
        try:
            self.wire.send(message)
        except ConnectionLost:
            self._detach()

    def _detach(self) -> None:
        self.wire = None
        self.detached_at_ms = self.clock.now_ms()


class AttemptRegistry:
    """Find attempts by request id and number, and let go of those nobody asks for."""

    def __init__(self, clock: Clock, *, keep_ms: int) -> None:
        self.clock = clock
        self.keep_ms = keep_ms
        self.lock = threading.Lock()
        self.attempts: dict[AttemptKey, RunningAttempt] = {}
        self.dropped: dict[AttemptKey, int] = {}

    def add(self, attempt: RunningAttempt) -> bool:
        """Register an attempt; tell whether it is new."""
        with self.lock:
            if attempt.key() in self.attempts:
                return False
            self.attempts[attempt.key()] = attempt
            return True

    def get(self, key: AttemptKey) -> RunningAttempt | None:
        """Return an attempt that is known."""
        with self.lock:
            return self.attempts.get(key)

    def knew(self, key: AttemptKey) -> bool:
        """Tell whether an attempt was here that may have run and has been dropped."""
        with self.lock:
            return key in self.dropped

    def release(self, attempt: RunningAttempt) -> None:
        """Let go of an ended attempt whose entry needs it no more."""
        self._drop(attempt, self.clock.now_ms())

    def detach(self, wire: Wire) -> None:
        """Note that a connection is gone."""
        for attempt in self._all():
            attempt.detach(wire)

    def sweep(self) -> None:
        """Drop ended attempts, and cancel those whose entry stayed away, after keep_ms."""
        now_ms = self.clock.now_ms()
        for attempt in self._all():
            ended_ms = attempt.ended_at_ms
            detached_ms = attempt.detached_at_ms
            if ended_ms is not None and now_ms - ended_ms > self.keep_ms:
                self._drop(attempt, now_ms)
            elif detached_ms is not None and now_ms - detached_ms > self.keep_ms:
                attempt.cancelled.set()
        self._forget(now_ms)

    def _drop(self, attempt: RunningAttempt, now_ms: int) -> None:
        with self.lock:
            self.attempts.pop(attempt.key(), None)
            if not isinstance(attempt.final, Refused):
                self.dropped[attempt.key()] = now_ms

    def _forget(self, now_ms: int) -> None:
        with self.lock:
            # The oldest come first.
            for key, dropped_ms in list(self.dropped.items()):
                if now_ms - dropped_ms <= REMEMBER_MS:
                    return
                del self.dropped[key]

    def _all(self) -> list[RunningAttempt]:
        with self.lock:
            return list(self.attempts.values())
