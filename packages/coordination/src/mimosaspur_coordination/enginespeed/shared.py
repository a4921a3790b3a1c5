"""Combine the speeds of engines that all entries have measured, at the coordinator."""

from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass

from mimosaspur_coordination.enginespeed.estimate import UNKNOWN_SPEED
from mimosaspur_coordination.enginespeed.estimate import Estimate
from mimosaspur_coordination.enginespeed.estimate import Speed
from mimosaspur_coordination.enginespeed.estimate import SpeedUpdate
from mimosaspur_coordination.enginespeed.estimate import update_of

# Smaller changes of a factor's logarithm are not worth a message.
MIN_CHANGE = 0.05
# Bounds the size of an update: about 60 bytes each, once a second, to each entry.
MAX_UPDATES = 50


@dataclass(slots=True)
class _Lifetime:
    """Hold the combined speed of one lifetime of an engine."""

    started_ms: int
    speed: Speed = UNKNOWN_SPEED
    # What the entries were last told.
    sent: Speed = UNKNOWN_SPEED


class SharedEngineSpeeds:
    """Add up the entries' measurements of the engines' present lifetimes.

    An entry's first report on a link holds what the last coordinator told it, together with what
    that one may not have counted; later ones hold what it has measured since. The load: up to 365
    targets, and one report with speeds per entry and second.
    """

    __slots__ = ("lifetimes", "numbers", "started_ms")

    def __init__(self, started_ms: Callable[[str], int | None]) -> None:
        # Returns the start of a target's present lifetime, None if there is no such target.
        self.started_ms = started_ms
        self.lifetimes: dict[str, _Lifetime] = {}
        # The number of each linked entry's last report.
        self.numbers: dict[str, int] = {}

    def on_link_changed(self, instance: str) -> None:
        """Take the next report of an entry as the first one on its link."""
        self.numbers.pop(instance, None)

    def add_report(self, instance: str, number: int, updates: Iterable[SpeedUpdate]) -> int:
        """Add what an entry reports; return the number of updates that were ignored."""
        last = self.numbers.get(instance)
        updates = list(updates)
        if last is not None and number <= last:
            return len(updates)
        self.numbers[instance] = number
        return sum(not self._add(update, is_first=last is None) for update in updates)

    def _add(self, update: SpeedUpdate, *, is_first: bool) -> bool:
        """Add one update; return whether it was used."""
        speed = update.speed()
        if speed is None or self.started_ms(update.target) != update.started_ms:
            return False
        lifetime = self.lifetimes.get(update.target)
        if lifetime is None or lifetime.started_ms != update.started_ms:
            lifetime = self.lifetimes[update.target] = _Lifetime(update.started_ms)
        if not is_first:
            lifetime.speed = lifetime.speed.plus(speed)
        elif speed.measurements() > lifetime.speed.measurements():
            # What the entries bring from the last coordinator is mostly the same.
            lifetime.speed = speed
        return True

    def take_changes(self) -> list[SpeedUpdate]:
        """Return the speeds that have changed since they were sent, those that changed most first.

        Those beyond the limit on an update are returned by the next call.
        """
        self._drop_ended()
        due = [
            (change, target)
            for target, each in self.lifetimes.items()
            if (change := _change(each.sent, each.speed)) > MIN_CHANGE
        ]
        due.sort(reverse=True)
        targets = [target for _, target in due[:MAX_UPDATES]]
        for target in targets:
            self.lifetimes[target].sent = self.lifetimes[target].speed
        return self._updates(targets)

    def all(self) -> list[SpeedUpdate]:
        """Return all speeds, for an entry that was sent nothing yet."""
        self._drop_ended()
        return self._updates(self.lifetimes)

    def _drop_ended(self) -> None:
        for target, lifetime in list(self.lifetimes.items()):
            if self.started_ms(target) != lifetime.started_ms:
                del self.lifetimes[target]

    def _updates(self, targets: Iterable[str]) -> list[SpeedUpdate]:
        known = self.lifetimes
        return [update_of(each, known[each].started_ms, known[each].speed) for each in targets]


def _change(old: Speed, new: Speed) -> float:
    """Return the larger change of what entries derive from the two factors."""
    return max(_difference(old.prefill, new.prefill), _difference(old.decode, new.decode))


def _difference(old: Estimate, new: Estimate) -> float:
    return abs(new.shrunk_log() - old.shrunk_log())
