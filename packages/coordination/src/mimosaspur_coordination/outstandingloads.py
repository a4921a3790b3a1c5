"""Remember the loads that engines may still carry out.

An order that got no answer may be carried out seconds later, also by the next process under the
engine's identity: a restart sets the count of accepted orders to zero, and once it is what the
order expects, the order fits again. So what is outstanding belongs to the identity, and outlives
registrations, restarts and the instance that gave the order.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from mimosaspur_state.clock import Clock

# An order may be carried out this much later than it was sent.
LATE_ORDER_TIMEOUT_MS = 12_500


@dataclass(slots=True, frozen=True)
class OrderedLoad:
    """Identify a load that was ordered, of a model or of an adapter of one."""

    # The engine, and the start time of the process that the order was meant for.
    identity: str
    started_ms: int
    model: str
    adapter: str
    # The engine carries it out only when it has accepted this many orders.
    expected_sequence: int

    def may_be_carried_out(self, *, started_ms: int, sequence: int) -> bool:
        """Return whether an engine that has accepted so many orders may still carry it out.

        A model had room in the state that the order was meant for, which the count identifies
        within one lifetime of the engine.
        """
        if started_ms == self.started_ms and not self.adapter:
            return sequence < self.expected_sequence
        return sequence <= self.expected_sequence


@dataclass(slots=True)
class _Outstanding:
    until_ms: int
    # Whether an order got no answer; otherwise it is about to be sent or awaits its answer.
    unanswered: bool = False


class OutstandingLoads:
    """Hold the loads that engines may still carry out, and what to tell other instances."""

    __slots__ = ("clock", "complete", "loads", "unreported")

    def __init__(self, *, clock: Clock) -> None:
        self.clock = clock
        # Whether another instance has told what it knows since this process started.
        self.complete = False
        self.loads: dict[OrderedLoad, _Outstanding] = {}
        self.unreported: set[OrderedLoad] = set()

    def announce(self, load: OrderedLoad) -> None:
        """Record a load before it is ordered, so that it is known if this instance is lost.

        Other instances are told of adapters only once an order is unanswered: there are many.
        """
        self._record(load)
        if not load.adapter:
            self.unreported.add(load)

    def _record(self, load: OrderedLoad) -> None:
        until_ms = self.clock.now_ms() + LATE_ORDER_TIMEOUT_MS
        known = self.loads.get(load)
        if known is None:
            self.loads[load] = _Outstanding(until_ms)
        else:
            known.until_ms = until_ms

    def mark_unanswered(self, load: OrderedLoad) -> None:
        """Record that an order got no answer."""
        self._record(load)
        self.loads[load].unanswered = True
        self.unreported.add(load)

    def settle(self, load: OrderedLoad) -> None:
        """Drop a load that won't be ordered or was answered, unless it was ever unanswered."""
        known = self.loads.get(load)
        if known and not known.unanswered:
            del self.loads[load]
            if not load.adapter:
                self.unreported.add(load)

    def of(self, identity: str, *, started_ms: int, sequence: int) -> list[OrderedLoad]:
        """Return the loads that an engine may still carry out in its present lifetime."""
        self._expire()
        return [
            load
            for load in self.loads
            if load.identity == identity
            and load.may_be_carried_out(started_ms=started_ms, sequence=sequence)
        ]

    def merge(self, load: OrderedLoad, remaining_ms: int, *, report: bool) -> bool:
        """Apply what another instance knows; return whether that is new.

        Without remaining time the load is settled.
        """
        if remaining_ms <= 0:
            return self.loads.pop(load, None) is not None
        until_ms = self.clock.now_ms() + min(remaining_ms, LATE_ORDER_TIMEOUT_MS)
        known = self.loads.get(load)
        if known is None:
            self.loads[load] = _Outstanding(until_ms, unanswered=True)
        elif until_ms > known.until_ms:
            known.until_ms = until_ms
        if report:
            self.unreported.add(load)
        return known is None

    def take_unreported(self) -> dict[OrderedLoad, int]:
        """Return the changes since the last call, each with the remaining time."""
        changed = {load: self._remaining_ms(load) for load in self.unreported}
        self.unreported.clear()
        return changed

    def all(self) -> dict[OrderedLoad, int]:
        """Return all that is known, each with the remaining time."""
        self._expire()
        return {load: self._remaining_ms(load) for load in self.loads}

    def report_all(self) -> None:
        """Report all that is known with the next call of `take_unreported`."""
        self._expire()
        self.unreported.update(self.loads)

    def _remaining_ms(self, load: OrderedLoad) -> int:
        known = self.loads.get(load)
        return max(0, known.until_ms - self.clock.now_ms()) if known else 0

    def _expire(self) -> None:
        now_ms = self.clock.now_ms()
        for load in [load for load, each in self.loads.items() if each.until_ms <= now_ms]:
            del self.loads[load]


def load_names(loads: Iterable[OrderedLoad]) -> list[str]:
    """Return short names of loads for log lines."""
    return sorted(f"{each.model}/{each.adapter}" if each.adapter else each.model for each in loads)
