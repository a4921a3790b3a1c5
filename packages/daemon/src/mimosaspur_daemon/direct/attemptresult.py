"""Name the outcomes of a request at one target."""

from dataclasses import dataclass
from enum import Enum

from mimosaspur_transport.httpchannel import ResponseHead


class AttemptResult(Enum):
    """List the outcomes of an attempt."""

    DONE = "done"
    # The target did not run the request.
    NOT_RUN = "not_run"
    # The request may have run; a resumable stream can be continued elsewhere.
    BROKEN = "broken"
    # The run was stopped and continues at another target from its memory.
    MOVED = "moved"
    # The target responded with an error, which may be forwarded.
    FAILED = "failed"
    # Another run of the request answered first.
    LEFT = "left"


@dataclass(slots=True, frozen=True)
class TargetResponse:
    """Hold a target's response, and whether its framing marked its end."""

    head: ResponseHead
    body: bytes
    marked: bool
