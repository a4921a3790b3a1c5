"""End a request with an answer of our own."""

from mimosaspur_state.codes import CODE_TABLE
from mimosaspur_state.codes import ResultCode

# Callers honour a time to come back of up to this part of what they have left.
MAX_RETRY_AFTER_SHARE = 1 / 3
MIN_RETRY_AFTER_S = 0.05


class RequestFailed(Exception):
    """Say by which result a request ends, and when the caller may come back."""

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


def bounded_retry_after_s(wanted_s: float, *, left_s: float) -> float:
    """Return when a caller should come back: not so late that it would rather give up."""
    return round(max(MIN_RETRY_AFTER_S, min(wanted_s, left_s * MAX_RETRY_AFTER_SHARE)), 3)
