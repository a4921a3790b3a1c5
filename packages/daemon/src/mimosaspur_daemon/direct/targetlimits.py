"""Track the request limits that targets name in their responses."""

from collections.abc import Collection
from collections.abc import Sequence

from mimosaspur_coordination.limits.sendhistory import SendHistory
from mimosaspur_state.clock import Clock
from mimosaspur_state.eventlog import EventLog
from mimosaspur_state.fleet import TargetRecord


class TargetLimits:
    """Log the limits that targets name, and count what is sent to each target."""

    __slots__ = ("history", "log", "named")

    def __init__(self, *, clock: Clock, log: EventLog) -> None:
        self.log = log
        self.history = SendHistory(clock=clock)
        # The values of the header in the last response of each target that sent any.
        self.named: dict[str, list[str]] = {}

    def on_sent(self, target: TargetRecord) -> None:
        """Count a request that is sent to a target."""
        self.history.record(target.incarnation)

    def on_response(self, target: TargetRecord, values: Sequence[bytes]) -> None:
        """Log a change of the limit that a target names."""
        named = [value.decode("latin-1") for value in values]
        before = self.named.get(target.incarnation, [])
        if named == before:
            return
        self.log.always(
            "target_limit",
            target=target.incarnation,
            named=named,
            before=before,
            sent_recently=self.history.count(target.incarnation),
        )
        if named:
            self.named[target.incarnation] = named
        else:
            del self.named[target.incarnation]

    def retain(self, incarnations: Collection[str]) -> None:
        """Drop what is known of all other targets."""
        self.history.retain(incarnations)
        self.named = {key: value for key, value in self.named.items() if key in incarnations}
