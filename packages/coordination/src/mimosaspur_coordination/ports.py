"""Define what the callers' side asks of the entry's decisions."""

from collections.abc import Callable
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Protocol

from mimosaspur_state.requests import Work


@dataclass(slots=True)
class Answer:
    """Hold an answer that has begun; chunks raises MimosaspurError if it can't be completed."""

    status: int
    content_type: str
    replayed: bool
    chunks: Iterator[bytes]


@dataclass(slots=True, frozen=True)
class ModelCard:
    """Describe a served model or adapter to a caller."""

    name: str
    version: str
    base: str


class Dispatcher(Protocol):
    """Serve callers' requests."""

    def dispatch(self, work: Work, deadline_ms: int, gone: Callable[[], bool]) -> Answer:
        """Have a request run and return its answer; raise MimosaspurError.

        `gone` tells whether the caller has left; then the work is cancelled. Closing the
        chunks iterator before its end cancels too.
        """
        ...

    def models(self) -> list[ModelCard]:
        """Return what the bundle in force serves."""
        ...

    def generation(self) -> int:
        """Return the generation in force here, 0 before the first."""
        ...

    def ready(self) -> bool:
        """Tell whether callers may be sent here."""
        ...
