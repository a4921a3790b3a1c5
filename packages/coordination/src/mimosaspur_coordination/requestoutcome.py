"""Track what is known of a request's runs."""

from enum import Enum


class RunEnd(Enum):
    """List what tells how a run at a target has ended."""

    # Nothing yet: it may run, or may have run.
    OPEN = "open"
    # The target has stated that it did not run the request: the only proof of that.
    NOT_RUN = "not_run"
    # A whole response, or an error response.
    ANSWERED = "answered"
    # The connection or its response broke, or another run took its place.
    BROKEN = "broken"
    # It was stopped, to continue elsewhere.
    MOVED = "moved"


class SentRun:
    """Describe a request that was sent to a target."""

    __slots__ = ("connection", "continues", "end", "target")

    def __init__(self, target: str, *, connection: int, continues: bool) -> None:
        self.target = target
        # The local port, which tells a target's connections apart.
        self.connection = connection
        # Whether it goes on with a run that was moved.
        self.continues = continues
        self.end = RunEnd.OPEN


class RequestOutcome:
    """Record each send of a request and each proof of how it ended, as they happen.

    The task that sends, or that reads the proof, records it in the same step. So whatever cancels
    that task, or another one that waits for it, finds what is known.
    """

    __slots__ = ("runs",)

    def __init__(self) -> None:
        self.runs: list[SentRun] = []

    def on_sent(self, target: str, *, connection: int, continues: bool = False) -> SentRun:
        """Record that the request is sent to a target, before its first byte is."""
        run = SentRun(target, connection=connection, continues=continues)
        self.runs.append(run)
        return run

    def may_have_run(self) -> bool:
        """Return whether a target may have run the request, or may still run it.

        Only a target's proof takes a send back, and only that one send.
        """
        return any(run.end is not RunEnd.NOT_RUN for run in self.runs)

    def run_count(self) -> int:
        """Return how often the request may have run, a run that was moved counted once."""
        return sum(run.end is not RunEnd.NOT_RUN and not run.continues for run in self.runs)

    def listing(self) -> list[dict[str, object]]:
        """Return the runs for the log."""
        return [
            {"target": run.target, "connection": run.connection, "end": run.end.value}
            for run in self.runs
        ]
