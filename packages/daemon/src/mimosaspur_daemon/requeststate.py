"""Follow one request over its attempts, and tell truly how it ended."""

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

# What ends by itself when a target has started again or a model has been loaded.
TRANSIENT_REFUSALS = frozenset({ResultCode.DRAINING, ResultCode.NOT_READY_HERE})

# Another target would say the same.
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
    """Follow one request over its attempts."""

    work: Work
    deadline: Deadline
    caller_disconnected: Callable[[], bool]
    attempts: int = 0
    generation: int = 0
    tried: set[str] = field(default_factory=set)
    last_refusal: Refused | None = None
    retry_after_ms: int | None = None
    # After an attempt whose outcome is unknown, no refusal may say "not run" any more.
    may_have_run: bool = False
    wait_deadline: Deadline | None = None

    def can_wait_for_target(self) -> bool:
        """Tell whether it lacks a ready target only, so that a little patience may help."""
        refusal = self.last_refusal
        return not self.may_have_run and (refusal is None or refusal.code in TRANSIENT_REFUSALS)


def error_from_refusal(journey: RequestState, code: ResultCode | None = None) -> MimosaspurError:
    """Return the refusal of a request that no target took on."""
    refusal = journey.last_refusal
    if refusal and code in (None, ResultCode.RETRIES_EXHAUSTED):
        code = refusal.code
    return MimosaspurError(
        code or ResultCode.NO_READY_TARGET,
        refusal.detail if refusal else "",
        retry_after_ms=_retry_after_ms(journey, code),
    )


def _retry_after_ms(journey: RequestState, code: ResultCode | None) -> int | None:
    if code is ResultCode.KEY_REUSED:
        return None
    return journey.retry_after_ms or DEFAULT_RETRY_AFTER_MS


def correct_outcome(journey: RequestState, error: MimosaspurError) -> MimosaspurError:
    """Return what may be told: a refusal's code says "not run", and so do its words."""
    if not journey.may_have_run or error.outcome is not Outcome.NOT_RUN:
        return error
    return MimosaspurError(
        ResultCode.OUTCOME_UNKNOWN,
        "An earlier try may have run and no other was taken on.",
        retry_after_ms=error.retry_after_ms,
        outcome=Outcome.UNKNOWN,
    )


def error_from_failure(event: Failed) -> MimosaspurError:
    """Return the error that a failed attempt tells."""
    return MimosaspurError(event.code, event.detail, outcome=event.outcome)
