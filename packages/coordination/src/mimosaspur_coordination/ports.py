"""Define the interface between the callers' connections and the dispatcher."""

from collections.abc import Callable
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Protocol

from mimosaspur_state.requests import Work


@dataclass(slots=True)
class Answer:
    """Hold a started response; iterating chunks raises MimosaspurError if it fails midway."""

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
    """Dispatch callers' requests to targets."""

    def dispatch(self, work: Work, deadline_ms: int, gone: Callable[[], bool]) -> Answer:
        """Run a request and return its response; raise MimosaspurError.

        The work is cancelled once `gone` returns true, as the caller has disconnected, or when
        the chunks iterator is closed before its end.
        """
        ...

    def models(self) -> list[ModelCard]:
        """Return the models and adapters of the current bundle."""
        ...

    def generation(self) -> int:
        """Return the generation of the current bundle, 0 before the first."""
        ...

    def ready(self) -> bool:
        """Return whether this entry can serve callers."""
        ...
