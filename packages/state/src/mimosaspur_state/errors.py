"""Define the exceptions that processes share."""

from mimosaspur_state.codes import CODE_TABLE
from mimosaspur_state.codes import Outcome
from mimosaspur_state.codes import ResultCode


class MimosaspurError(Exception):
    """Carry a result code, the request's outcome and an optional retry delay."""

    def __init__(
        self,
        code: ResultCode,
        detail: str = "",
        *,
        retry_after_ms: int | None = None,
        outcome: Outcome = Outcome.NOT_RUN,
    ) -> None:
        super().__init__(detail)
        self.code = code
        self.detail = detail
        self.retry_after_ms = retry_after_ms
        self.outcome = outcome

    def __str__(self) -> str:
        info = CODE_TABLE[self.code]
        parts = [info.meaning, self.detail, info.next_step]
        return " ".join(part for part in parts if part)


class StoreUnavailable(Exception):
    """Raised when the object API does not answer; the call may still take effect."""


class StoreRestored(StoreUnavailable):
    """Raised when the object API was restored from a copy older than a known revision."""


class VersionConflict(Exception):
    """Raised when a conditional write finds another version."""

    def __init__(self, key: str, version: int) -> None:
        super().__init__(f"conditional write failed: {key} is at version {version}")
        self.key = key
        self.version = version


class RevisionTooOld(Exception):
    """Raised when a watch no longer has the changes since a revision; list again."""
