"""Give turns for suspected traits to entries, at the coordinator.

A request that may crash its target is sent by one entry at a time: the turn is for all traits that
it is suspected by, so that no two requests under way share one.
"""

from collections import Counter
from collections.abc import Iterable
from collections.abc import Sequence
from collections.abc import Set
from dataclasses import dataclass
from dataclasses import field

from mimosaspur_state.clock import Clock

# An entry whose link was lost is back within this time, or what it had sent has ended.
LOST_TURN_MS = 500
# By then entries have told a new coordinator what is under way.
START_GRACE_MS = 500
# A turn is used within this time of the report that asked for it, as counted by the entry.
TURN_VALIDITY_MS = 500
# While a turn with ISOLATION is under way, none is given without it for so long after it was given,
# nor the other way round. A run that crashes its target mostly ends sooner, and a request waits for
# its turn for longer.
APART_MS = 500
# A turn with ISOLATION that has waited for so long comes before those without it, unless one was
# given within APART_MS: both together take less time than a request waits for its turn.
ISOLATION_DUE_MS = 250
# An entry that has not told by then what it has under way, since it was told of a crash, is likely
# frozen, or of an earlier version. Requests wait for their turns for longer.
ACKNOWLEDGED_WITHIN_MS = 250

Traits = tuple[bytes, ...]
# Stands for an engine of its own: with it in their turns, requests don't run beside one another,
# nor begin beside other suspected ones.
ISOLATION = b"isolation"


@dataclass(slots=True, frozen=True)
class TurnDemand:
    """Hold what an entry reports of its suspected requests."""

    # The traits of those that wait for a turn, each combination once, the oldest first.
    waiting: Sequence[Traits] = ()
    # The traits of those that have a turn, or are at targets.
    sent: frozenset[bytes] = frozenset()


@dataclass(slots=True, frozen=True)
class Turns:
    """Hold what one entry is sent in one message."""

    number: int
    # The time on the entry's clock from which the turns' validity counts.
    asked_ms: int
    traits: Sequence[Traits]


@dataclass(slots=True)
class _Entry:
    sent: frozenset[bytes] = frozenset()
    # Turns that the entry may not have received yet, with the numbers of their messages.
    issued: dict[Traits, int] = field(default_factory=dict)
    asked_ms: int = 0
    # The number of the last message with turns.
    number: int = 0
    # The number of the last update of crashes that it knew of as it reported what is under way.
    crashes_number: int = 0

    def busy(self) -> Iterable[bytes]:
        """Return the traits of its requests that are, or may be, under way."""
        yield from self.sent
        for traits in self.issued:
            yield from traits


@dataclass(slots=True, frozen=True)
class _Asked:
    """Hold when a turn was asked for, and the number of the last update of crashes by then."""

    at_ms: int
    crashes_number: int


class TurnIssuer:
    """Give turns to entries in the order in which they asked."""

    __slots__ = ("clock", "entries", "given_ms", "lost", "queue", "started_ms")

    def __init__(self, *, clock: Clock, first: bool) -> None:
        self.clock = clock
        self.entries: dict[str, _Entry] = {}
        # What waits, with the entry where it does, the oldest first.
        self.queue: dict[tuple[str, Traits], _Asked | None] = {}
        # Traits that lost entries had under way, until when they count.
        self.lost: dict[bytes, int] = {}
        # When a turn was last given for each trait, no longer ago than APART_MS.
        self.given_ms: dict[bytes, int] = {}
        # Nothing is under way before the first coordinator.
        self.started_ms = clock.now_ms() - (START_GRACE_MS if first else 0)

    def on_connect(self, instance: str) -> None:
        """Add an entry that follows from now on."""
        self.on_disconnect(instance)
        self.entries[instance] = _Entry()

    def on_disconnect(self, instance: str) -> None:
        """Remove an entry whose link has ended."""
        entry = self.entries.pop(instance, None)
        if entry is None:
            return
        ends_ms = self.clock.now_ms() + LOST_TURN_MS
        self.lost.update(dict.fromkeys(entry.busy(), ends_ms))
        self.queue = {key: asked for key, asked in self.queue.items() if key[0] != instance}

    def apply_demand(
        self,
        instance: str,
        demand: TurnDemand,
        *,
        asked_ms: int,
        received_number: int,
        crashes_number: int = 0,
    ) -> None:
        """Apply an entry's report."""
        entry = self.entries[instance]
        entry.asked_ms = asked_ms
        entry.crashes_number = crashes_number
        entry.sent = demand.sent
        entry.issued = {
            traits: number for traits, number in entry.issued.items() if number > received_number
        }
        asked = {(instance, traits) for traits in demand.waiting}
        gone = [key for key in self.queue if key[0] == instance and key not in asked]
        for key in gone:
            del self.queue[key]
        for traits in demand.waiting:
            if traits not in entry.issued:
                self.queue.setdefault((instance, traits))

    def issue(self, crashes_number: int = 0) -> dict[str, Turns]:
        """Return the turns that are free now, by entry.

        `crashes_number` is that of the last update of crashes that entries were sent.
        """
        now_ms = self.clock.now_ms()
        if not self.queue or now_ms - self.started_ms < START_GRACE_MS:
            return {}
        self.lost = {trait: ends_ms for trait, ends_ms in self.lost.items() if ends_ms > now_ms}
        busy = set(self.lost)
        for entry in self.entries.values():
            busy.update(entry.busy())
        self.given_ms = {
            trait: at_ms for trait, at_ms in self.given_ms.items() if now_ms - at_ms < APART_MS
        }
        # All entries have told what they had under way when they knew of this update.
        acknowledged = min(entry.crashes_number for entry in self.entries.values())
        asked_now = _Asked(now_ms, crashes_number)
        begun = busy & self.given_ms.keys()
        isolation_due = self._is_isolation_due(busy)
        free: dict[str, list[Traits]] = {}
        # What waits at few entries is likely sound, and rules itself out as it is served. Requests
        # that were at one crash go first, as they needn't wait for one another.
        entries = Counter(traits for _, traits in self.queue)
        for instance, traits in sorted(
            self.queue, key=lambda key: (entries[key[1]], ISOLATION in key[1])
        ):
            asked = self.queue[instance, traits]
            if asked is None:
                asked = self.queue[instance, traits] = asked_now
            overdue = now_ms - asked.at_ms >= ACKNOWLEDGED_WITHIN_MS
            if not overdue and acknowledged < asked.crashes_number:
                # A request that was sent before its entry knew of the crash would be overlooked.
                continue
            if isolation_due and ISOLATION not in traits:
                continue
            if busy.isdisjoint(traits) and _may_begin_beside(traits, begun):
                busy.update(traits)
                begun.update(traits)
                for trait in traits:
                    self.given_ms[trait] = now_ms
                del self.queue[instance, traits]
                free.setdefault(instance, []).append(traits)
        return {instance: self._issue(instance, traits) for instance, traits in free.items()}

    def _is_isolation_due(self, busy: Set[bytes]) -> bool:
        """Return whether a turn with ISOLATION has waited for too long behind those without it."""
        if ISOLATION in self.given_ms:
            return False
        due_ms = self.clock.now_ms() - ISOLATION_DUE_MS
        return any(
            ISOLATION in traits and asked and asked.at_ms <= due_ms and busy.isdisjoint(traits)
            for (_, traits), asked in self.queue.items()
        )

    def _issue(self, instance: str, free: Sequence[Traits]) -> Turns:
        entry = self.entries[instance]
        entry.number += 1
        entry.issued.update(dict.fromkeys(free, entry.number))
        return Turns(entry.number, entry.asked_ms, free)


def _may_begin_beside(traits: Traits, begun: Set[bytes]) -> bool:
    """Return whether a turn may be given beside those that have just begun.

    A request that was at one crash, and is lost at the next one beside a request that was at two,
    leaves that without a verdict at three.
    """
    return not begun if ISOLATION in traits else ISOLATION not in begun
