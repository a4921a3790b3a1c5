"""Buffer the answers of a target's attempts until the entries have received them."""

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
# Longer than any caller waits for the first byte of an answer.
DROPPED_ATTEMPT_TTL_MS = 900_000

AttemptKey = tuple[str, int]


class RunningAttempt:
    """Buffer one attempt's answer and send it over the newest connection of its entry."""

    def __init__(
        self,
        submit: Submit,
        wire: Wire,
        clock: Clock,
        *,
        max_answer_bytes: int,
        connection_number: int = 0,
    ) -> None:
        self.submit = submit
        self.wire: Wire | None = wire
        self.connection_number = connection_number
        self.clock = clock
        self.max_answer_bytes = max_answer_bytes
        self.lock = threading.Lock()
        self.started: Started | None = None
        self.buffer = bytearray()
        self.final_message: End | Failed | Refused | None = None
        self.ended_at_ms: int | None = None
        self.detached_at_ms: int | None = None
        self.cancelled = threading.Event()

    def start(self, status: int, content_type: str, *, replayed: bool = False) -> None:
        """Start the answer with a status and a content type."""
        request_id, attempt = self.key()
        with self.lock:
            self.started = Started(request_id, attempt, status, content_type, replayed)
            self._send(self.started)

    def append(self, data: bytes) -> None:
        """Append data to the answer; raise MimosaspurError if it exceeds max_answer_bytes."""
        request_id, attempt = self.key()
        with self.lock:
            offset = len(self.buffer)
            if offset + len(data) > self.max_answer_bytes:
                raise MimosaspurError(
                    ResultCode.ANSWER_CUT,
                    f"The answer exceeds {self.max_answer_bytes} bytes (target.answer_bytes).",
                    outcome=Outcome.UNKNOWN,
                )
            self.buffer += data
            self._send(Chunk(request_id, attempt, offset, data))

    def finish(self) -> None:
        """Mark the answer as complete."""
        request_id, attempt = self.key()
        with self.lock:
            self._set_final_message(End(request_id, attempt, len(self.buffer)))

    def fail(self, error: MimosaspurError) -> None:
        """End the attempt with an error, as Refused if it has not run and as Failed otherwise."""
        request_id, attempt = self.key()
        with self.lock:
            if error.outcome is Outcome.NOT_RUN and self.started is None:
                retry_ms = error.retry_after_ms or DEFAULT_RETRY_MS
                final: Failed | Refused = Refused(
                    request_id, attempt, error.code, error.detail, retry_ms
                )
            else:
                final = Failed(request_id, attempt, error.code, error.detail, error.outcome)
            self._set_final_message(final)

    def resume(self, wire: Wire, offset: int, *, connection_number: int) -> None:
        """Resend the answer from an offset over a new connection and continue there."""
        with self.lock:
            # A thread of an older connection may run late, after a pause of this process.
            if connection_number < self.connection_number:
                return
            self.connection_number = connection_number
            self.wire = wire
            self.detached_at_ms = None
            if self.started:
                self._send(self.started)
            if offset < len(self.buffer):
                self._send(Chunk(*self.key(), offset, bytes(self.buffer[offset:])))
            if self.final_message:
                self._send(self.final_message)

    def detach(self, wire: Wire) -> None:
        """Stop sending over a closed connection."""
        with self.lock:
            if self.wire is wire:
                self._detach()

    def key(self) -> AttemptKey:
        """Return the request id and the attempt number."""
        return self.submit.work.request_id, self.submit.attempt

    def _set_final_message(self, final: "End | Failed | Refused") -> None:
        if self.final_message:
            return
        self.final_message = final
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
    """Index attempts by request id and number, and drop expired ones."""

    def __init__(self, clock: Clock, *, retention_ms: int) -> None:
        self.clock = clock
        self.retention_ms = retention_ms
        self.lock = threading.Lock()
        self.attempts: dict[AttemptKey, RunningAttempt] = {}
        self.dropped_at_ms: dict[AttemptKey, int] = {}

    def add(self, attempt: RunningAttempt) -> bool:
        """Register an attempt and return whether it is new."""
        with self.lock:
            if attempt.key() in self.attempts:
                return False
            self.attempts[attempt.key()] = attempt
            return True

    def get(self, key: AttemptKey) -> RunningAttempt | None:
        """Return a registered attempt."""
        with self.lock:
            return self.attempts.get(key)

    def was_dropped(self, key: AttemptKey) -> bool:
        """Return whether an attempt that may have run has been dropped."""
        with self.lock:
            return key in self.dropped_at_ms

    def release(self, attempt: RunningAttempt) -> None:
        """Drop a finished attempt whose entry has the whole answer."""
        self._drop(attempt, self.clock.now_ms())

    def detach(self, wire: Wire) -> None:
        """Stop sending all attempts' answers over a closed connection."""
        for attempt in self._list_attempts():
            attempt.detach(wire)

    def sweep(self) -> None:
        """Drop finished attempts, and cancel detached ones, after retention_ms."""
        now_ms = self.clock.now_ms()
        for attempt in self._list_attempts():
            ended_ms = attempt.ended_at_ms
            detached_ms = attempt.detached_at_ms
            if ended_ms is not None and now_ms - ended_ms > self.retention_ms:
                self._drop(attempt, now_ms)
            elif detached_ms is not None and now_ms - detached_ms > self.retention_ms:
                attempt.cancelled.set()
        self._expire_dropped(now_ms)

    def _drop(self, attempt: RunningAttempt, now_ms: int) -> None:
        with self.lock:
            self.attempts.pop(attempt.key(), None)
            if not isinstance(attempt.final_message, Refused):
                self.dropped_at_ms[attempt.key()] = now_ms

    def _expire_dropped(self, now_ms: int) -> None:
        with self.lock:
            # The dictionary is in the order of dropping.
            for key, dropped_ms in list(self.dropped_at_ms.items()):
                if now_ms - dropped_ms <= DROPPED_ATTEMPT_TTL_MS:
                    return
                del self.dropped_at_ms[key]

    def _list_attempts(self) -> list[RunningAttempt]:
        with self.lock:
            return list(self.attempts.values())
