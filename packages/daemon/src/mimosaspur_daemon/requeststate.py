"""Track one request over its attempts and build the error that its caller receives."""

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field

from mimosaspur_protocol.messages import Failed
from mimosaspur_protocol.messages import Refused
from mimosaspur_state.clock import Deadline
from mimosaspur_state.codes import Outcome
from mimosaspur_state.codes import ResultCode
from mimosaspur_state.errors import MimosaspurError
from mimosaspur_state.requests import Work

DEFAULT_RETRY_AFTER_MS = 1000

# These end once a target has restarted or a model has been loaded.
TRANSIENT_REFUSALS = frozenset({ResultCode.DRAINING, ResultCode.NOT_READY_HERE})

# Every other target would refuse the request for the same reason.
FINAL_REFUSALS = frozenset(
    {
        ResultCode.KEY_REUSED,
        ResultCode.CLAIM_IN_PROGRESS,
        ResultCode.PLATFORM_DOWN,
        ResultCode.CLAIM_RATE,
        ResultCode.CANCELLED,
    }
)


@dataclass(slots=True)
class RequestState:
    """State of one request over its attempts."""

    work: Work
    deadline: Deadline
    caller_disconnected: Callable[[], bool]
    attempts: int = 0
    generation: int = 0
    tried: set[str] = field(default_factory=set)
    last_refusal: Refused | None = None
    retry_after_ms: int | None = None
    # Set after an attempt with an unknown outcome; no later refusal may then report "not run".
    may_have_run: bool = False
    wait_deadline: Deadline | None = None

    def can_wait_for_target(self) -> bool:
        """Return whether the request only lacks a ready target, so waiting may help."""
        refusal = self.last_refusal
        return not self.may_have_run and (refusal is None or refusal.code in TRANSIENT_REFUSALS)


def error_from_refusal(state: RequestState, code: ResultCode | None = None) -> MimosaspurError:
    """Return the error for a request that no target accepted."""
    refusal = state.last_refusal
    if refusal and code in (None, ResultCode.RETRIES_EXHAUSTED):
        code = refusal.code
    return MimosaspurError(
        code or ResultCode.NO_READY_TARGET,
        refusal.detail if refusal else "",
        retry_after_ms=_retry_after_ms(state, code),
    )


def _retry_after_ms(state: RequestState, code: ResultCode | None) -> int | None:
    if code is ResultCode.KEY_REUSED:
        return None
    return state.retry_after_ms or DEFAULT_RETRY_AFTER_MS


def correct_outcome(state: RequestState, error: MimosaspurError) -> MimosaspurError:
    """Replace a "not run" error by OUTCOME_UNKNOWN if an attempt may have run."""
    if not state.may_have_run or error.outcome is not Outcome.NOT_RUN:
        return error
    return MimosaspurError(
        ResultCode.OUTCOME_UNKNOWN,
        "An earlier attempt may have run and no later one was accepted.",
        retry_after_ms=error.retry_after_ms,
        outcome=Outcome.UNKNOWN,
    )


def error_from_failure(event: Failed) -> MimosaspurError:
    """Return the error that a failed attempt reported."""
    return MimosaspurError(event.code, event.detail, outcome=event.outcome)
