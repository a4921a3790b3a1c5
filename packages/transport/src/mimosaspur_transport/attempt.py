"""Follow one attempt of a request at a target."""

import queue
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace

from mimosaspur_protocol.messages import Chunk
from mimosaspur_protocol.messages import End
from mimosaspur_protocol.messages import Failed
from mimosaspur_protocol.messages import Refused
from mimosaspur_protocol.messages import Resume
from mimosaspur_protocol.messages import Started
from mimosaspur_protocol.messages import Submit
from mimosaspur_state.codes import Outcome
from mimosaspur_state.codes import ResultCode

Event = Started | Chunk | End | Refused | Failed


@dataclass(slots=True)
class Attempt:
    """Follow one attempt's answer; frames that don't continue it are dropped."""

    submit: Submit
    incarnation: str
    sent_at_ms: int = 0
    events: "queue.SimpleQueue[Event]" = field(default_factory=queue.SimpleQueue)
    offset: int = 0
    started: bool = False
    ended: bool = False

    def on_event(self, event: Event) -> None:
        """Pass on an event if it is the next one of this answer."""
        if self.ended:
            return
        if isinstance(event, Started):
            if self.started:
                return
            self.started = True
        elif isinstance(event, Chunk):
            fresh = event.data[self.offset - event.offset :]
            if event.offset > self.offset or not fresh:
                return
            event = replace(event, offset=self.offset, data=fresh)
            self.offset += len(fresh)
        elif isinstance(event, End) and event.total != self.offset:
            event = incomplete_answer(self, f"It ended at {event.total} bytes, {self.offset} came.")
        self.ended = isinstance(event, End | Refused | Failed)
        self.events.put(event)

    def resume_message(self, now_ms: int) -> Resume:
        """Return what asks a target for the rest, with what is left of the caller's time."""
        left_ms = max(0, self.submit.deadline_ms - (now_ms - self.sent_at_ms))
        return Resume(self.incarnation, self.offset, replace(self.submit, deadline_ms=left_ms))


def incomplete_answer(attempt: Attempt, detail: str) -> Failed:
    """Return the end of an attempt whose answer can't be completed."""
    work = attempt.submit.work
    code = ResultCode.ANSWER_CUT if attempt.started else ResultCode.OUTCOME_UNKNOWN
    return Failed(work.request_id, attempt.submit.attempt, code, detail, Outcome.UNKNOWN)
