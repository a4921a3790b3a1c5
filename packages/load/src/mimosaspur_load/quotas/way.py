"""Say what a way to hold quotas over many entries does, for all ways alike."""

from typing import Protocol

from mimosaspur_state.workspaces import Workspace


class HandClock:
    """Be set by hand."""

    def __init__(self) -> None:
        self.ms = 100_000

    def now_ms(self) -> int:
        """Return the time that was set."""
        return self.ms

    def wall_ms(self) -> int:
        """Return the same."""
        return self.ms


class Way(Protocol):
    """Hold quotas at entries that report to a coordinator, which tells them news."""

    def admit(self, entry: int, workspace: str, cost: float) -> bool:
        """Tell whether an entry lets a request in."""
        ...

    def report(self, entry: int) -> object:
        """Return what an entry sends to the coordinator."""
        ...

    def hear(self, entry: int, report: object) -> None:
        """Have the coordinator take an entry's report."""
        ...

    def news(self) -> object:
        """Return what the coordinator tells all entries now."""
        ...

    def tell(self, entry: int, news: object) -> None:
        """Have an entry take the coordinator's news."""
        ...

    def lose_coordinator(self) -> None:
        """Have all entries lose the coordinator; another one begins with what it knows itself."""
        ...

    def lose(self, entry: int, *, silent_ms: int) -> None:
        """Have the coordinator take note that an entry is not heard any more."""
        ...

    def find(self, entry: int) -> None:
        """Have an entry follow anew that was cut off."""
        ...

    def restart(self, entry: int) -> None:
        """Have an entry begin anew."""
        ...

    def configure(self, workspaces: list[Workspace]) -> None:
        """Put other quotas in force everywhere."""
        ...

    def bytes_of(self, sent: object) -> int:
        """Return how much longer a message gets by what it says of quotas."""
        ...
