"""Carry a numbered result from where it arises to who must be told."""

from mimosaspur_state.codes import CODE_TABLE
from mimosaspur_state.codes import Outcome
from mimosaspur_state.codes import ResultCode


class MimosaspurError(Exception):
    """Report a numbered result, what is known of the request, and when to come back."""

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
    """Say that the object API gave no answer; the call may still have taken effect."""


class StoreRestored(StoreUnavailable):
    """Say that the object API has come back from an older copy since a revision was told."""


class VersionConflict(Exception):
    """Say that a conditional write found another version."""

    def __init__(self, key: str, version: int) -> None:
        super().__init__(f"{key} is at version {version}")
        self.key = key
        self.version = version


class RevisionTooOld(Exception):
    """Say that a watch can't tell what happened since a revision; list again."""
