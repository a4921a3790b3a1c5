"""Run admitted requests on an engine or a plain service."""

import threading
from collections.abc import Iterator

from mimosaspur_daemon.attempts import RunningAttempt
from mimosaspur_daemon.serving import run_id
from mimosaspur_protocol.sse import DONE_EVENT
from mimosaspur_protocol.sse import CompletionBuilder
from mimosaspur_protocol.sse import EngineEvent
from mimosaspur_protocol.sse import event_for_caller
from mimosaspur_state.clock import Clock
from mimosaspur_state.clock import Deadline
from mimosaspur_state.codes import Outcome
from mimosaspur_state.codes import ResultCode
from mimosaspur_state.errors import MimosaspurError
from mimosaspur_transport.chat import EngineChat
from mimosaspur_transport.chat import EngineRejected
from mimosaspur_transport.plainservice import PlainService

HTTP_OK = 200
EVENT_STREAM_TYPE = "text/event-stream"
JSON_TYPE = "application/json"


class EngineRunner:
    """Run chat requests; the engine always streams, so that a stall is detected early."""

    def __init__(self, chat: EngineChat, clock: Clock) -> None:
        self.chat = chat
        self.clock = clock

    def run(self, attempt: RunningAttempt, deadline: Deadline) -> None:
        """Run a request and send its answer."""
        submit = attempt.submit
        events = self.chat.stream(submit.work, run_id(attempt), submit.resident)
        try:
            self._write_answer(attempt, events, deadline)
        except EngineRejected as error:
            attempt.start(error.status, error.content_type)
            attempt.append(error.body)

    def adopt(self, attempt: RunningAttempt) -> None:
        """Fetch the answer of a run that a predecessor of this process started."""
        deadline = Deadline(self.clock, attempt.submit.deadline_ms)
        self._write_answer(attempt, self.chat.adopt(run_id(attempt)), deadline)

    def cancel(self, attempt: RunningAttempt) -> None:
        """Cancel the run at the engine without waiting for the result."""
        # The calling thread also reads an entry's connection and must not block on the engine.
        threading.Thread(target=self.chat.cancel, args=(run_id(attempt),), daemon=True).start()

    def _write_answer(
        self, attempt: RunningAttempt, events: Iterator[EngineEvent], deadline: Deadline
    ) -> None:
        checked = self._check_each_event(attempt, events, deadline)
        name = attempt.submit.work.name
        if attempt.submit.work.stream:
            _write_stream(attempt, checked, name)
        else:
            _write_whole(attempt, checked, name)

    def _check_each_event(
        self, attempt: RunningAttempt, events: Iterator[EngineEvent], deadline: Deadline
    ) -> Iterator[EngineEvent]:
        # A stream that has started is not cut at its deadline; a whole answer is useless after it.
        bounded = not attempt.submit.work.stream
        for event in events:
            if attempt.cancelled.is_set():
                raise self._abort(attempt, ResultCode.CANCELLED)
            if bounded and deadline.has_passed():
                raise self._abort(attempt, ResultCode.DEADLINE_PASSED)
            yield event

    def _abort(self, attempt: RunningAttempt, code: ResultCode) -> MimosaspurError:
        self.cancel(attempt)
        return MimosaspurError(code, outcome=Outcome.UNKNOWN)


class ServiceRunner:
    """Run calls to a plain service."""

    def __init__(self, service: PlainService) -> None:
        self.service = service

    def run(self, attempt: RunningAttempt, deadline: Deadline) -> None:
        """Run a call and send its answer."""
        work = attempt.submit.work
        answer = self.service.call(work, work.request_id, deadline.remaining_ms())
        attempt.start(answer.status, answer.content_type)
        attempt.append(answer.body)

    def adopt(self, attempt: RunningAttempt) -> None:
        """Raise MimosaspurError: it is unknown whether the call ran."""
        raise MimosaspurError(
            ResultCode.OUTCOME_UNKNOWN,
            "The target process restarted during the call.",
            outcome=Outcome.UNKNOWN,
        )

    def cancel(self, attempt: RunningAttempt) -> None:
        """Do nothing: a plain service cannot cancel a call."""


def _write_stream(attempt: RunningAttempt, events: Iterator[EngineEvent], name: str) -> None:
    for event in events:
        if attempt.started is None:
            attempt.start(HTTP_OK, EVENT_STREAM_TYPE)
        attempt.append(event_for_caller(event.data, name))
    if attempt.started is None:
        attempt.start(HTTP_OK, EVENT_STREAM_TYPE)
    attempt.append(DONE_EVENT)


def _write_whole(attempt: RunningAttempt, events: Iterator[EngineEvent], name: str) -> None:
    whole = CompletionBuilder()
    for event in events:
        whole.add_chunk(event.data)
    attempt.start(HTTP_OK, JSON_TYPE)
    attempt.append(whole.body(name))
