"""Track one attempt of a request at a target."""

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
    """Track one attempt's answer; drop frames that don't continue it."""

    submit: Submit
    incarnation: str
    sent_at_ms: int = 0
    events: "queue.SimpleQueue[Event]" = field(default_factory=queue.SimpleQueue)
    offset: int = 0
    started: bool = False
    ended: bool = False

    def on_event(self, event: Event) -> None:
        """Queue an event if it continues the answer."""
        if self.ended:
            return
        if isinstance(event, Started):
            if self.started:
                return
            self.started = True
        elif isinstance(event, Chunk):
            new_data = event.data[self.offset - event.offset :]
            if event.offset > self.offset or not new_data:
                return
            event = replace(event, offset=self.offset, data=new_data)
            self.offset += len(new_data)
        elif isinstance(event, End) and event.total != self.offset:
            event = incomplete_answer(
                self, f"Ended at {event.total} bytes, received {self.offset}."
            )
        self.ended = isinstance(event, End | Refused | Failed)
        self.events.put(event)

    def resume_message(self, now_ms: int) -> Resume:
        """Return the Resume message with the time left until the caller's deadline."""
        left_ms = max(0, self.submit.deadline_ms - (now_ms - self.sent_at_ms))
        return Resume(self.incarnation, self.offset, replace(self.submit, deadline_ms=left_ms))


def incomplete_answer(attempt: Attempt, detail: str) -> Failed:
    """Return the Failed event of an answer that can't be completed."""
    work = attempt.submit.work
    code = ResultCode.ANSWER_CUT if attempt.started else ResultCode.OUTCOME_UNKNOWN
    return Failed(work.request_id, attempt.submit.attempt, code, detail, Outcome.UNKNOWN)
