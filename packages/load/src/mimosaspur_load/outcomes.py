"""Class what became of each request."""

from dataclasses import dataclass
from dataclasses import field
from enum import Enum

OK = 200
NOT_RUN = "not_run"


class Class(Enum):
    """Name the classes of outcomes, as reports print them."""

    SERVED = "served"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"
    LOST = "lost"
    CUT = "cut"
    WRONG = "wrong"
    DOUBLED = "doubled"
    RAN_THOUGH_REFUSED = "ran-though-refused"


@dataclass(slots=True)
class Seen:
    """Hold what a caller saw of its answer; times are milliseconds after the request was due."""

    number: int = 0
    request_id: str = ""
    sent_ms: float = 0
    status: int = 0
    whole: bool = False
    broken: bool = False
    text: str = ""
    error_code: int = 0
    error_outcome: str = ""
    first_ms: float | None = None
    end_ms: float = 0
    gaps_ms: list[float] = field(default_factory=list)
    detail: str = ""


@dataclass(slots=True, frozen=True)
class Wanted:
    """Say what a right answer is; any of the texts will do."""

    texts: frozenset[str]
    deadline_ms: float


def classify(seen: Seen, wanted: Wanted, *, runs: int, keyed: bool) -> Class:
    """Class one request; runs counts what the stand-ins saw of it."""
    if keyed and runs > 1:
        return Class.DOUBLED
    if seen.status == 0:
        return Class.LOST
    if seen.status != OK:
        return _refused(seen, runs)
    if seen.error_code or seen.broken or not seen.whole:
        return Class.CUT
    if seen.text not in wanted.texts:
        return Class.WRONG
    return Class.SERVED if seen.end_ms <= wanted.deadline_ms else Class.LATE


def _refused(seen: Seen, runs: int) -> Class:
    if not seen.error_code:
        return Class.LOST
    if seen.error_outcome != NOT_RUN:
        return Class.FAILED
    return Class.RAN_THOUGH_REFUSED if runs else Class.REFUSED
