"""Describe requests that end with an error response of the entry itself."""

import traceback
from pathlib import Path

from mimosaspur_state.codes import CODE_TABLE
from mimosaspur_state.codes import ResultCode

# Statuses that promise callers that a request has not run and never will.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
# An exception's text may quote a caller's headers.
MAX_ERROR_CHARACTERS = 300


class RequestFailed(Exception):
    """Raised when a request ends with an error of the entry, with an optional Retry-After."""

    def __init__(
        self, code: ResultCode, *, retry_after_s: float | None = None, detail: str = ""
    ) -> None:
        super().__init__(detail or CODE_TABLE[code].meaning)
        self.code = code
        self.retry_after_s = retry_after_s
        self.detail = detail

    @property
    def status(self) -> int:
        """Return the HTTP status."""
        return CODE_TABLE[self.code].http_status


def internal_failure(error: BaseException) -> RequestFailed:
    """Return the failure of a request that an unexpected exception has ended."""
    frame = traceback.extract_tb(error.__traceback__)[-1]
    place = f"{Path(frame.filename).name}:{frame.lineno} in {frame.name}"
    text = repr(error)[:MAX_ERROR_CHARACTERS]
    return RequestFailed(ResultCode.INTERNAL, detail=f"{text} at {place}")
