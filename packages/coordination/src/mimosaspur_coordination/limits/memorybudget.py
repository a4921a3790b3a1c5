"""Share the memory of a process among what its callers send and are sent."""

from collections.abc import Callable

from mimosaspur_state.clock import Clock

# The share of a machine's memory for what callers send and are sent; the rest is the process's own.
MACHINE_SHARE = 1 / 3
# Holdings of up to SMALL_BYTES may use all of the budget, others leave a part of it to them.
SMALL_BYTES = 65_536
SMALL_SHARE = 0.25
# A holding gives way once its caller has kept it waiting for this long.
MIN_STALL_MS = 1_000
BYTES_PER_MB = 1_000_000


class MemoryHolding:
    """Hold memory for one caller's connection."""

    __slots__ = ("budget", "give_way", "held_bytes", "stalled_since_ms")

    def __init__(self, budget: "MemoryBudget", give_way: Callable[[], None]) -> None:
        self.budget = budget
        # Asks the owner to end what it does, and to release the memory.
        self.give_way = give_way
        self.held_bytes = 0
        # Since when it waits for its caller; None while it doesn't.
        self.stalled_since_ms: int | None = None

    def add(self, count: int) -> bool:
        """Hold more bytes; return whether there was room for them."""
        return self.budget.take(self, count)

    def add_anyway(self, count: int) -> None:
        """Hold more bytes, also beyond the budget."""
        self.budget.used_bytes += count
        self.held_bytes += count

    def put_back(self, count: int) -> None:
        """Release some of the bytes."""
        self.add_anyway(-min(count, self.held_bytes))

    def release(self) -> None:
        """Release all bytes."""
        self.put_back(self.held_bytes)

    def close(self) -> None:
        """Release all bytes, and leave the budget."""
        self.release()
        self.budget.holdings.discard(self)

    def wait_for_caller(self) -> None:
        """Record that it waits for its caller from now on."""
        self.stalled_since_ms = self.budget.clock.now_ms()

    def stop_waiting(self) -> None:
        """Record that its caller has sent or taken something."""
        self.stalled_since_ms = None


class MemoryBudget:
    """Grant memory up to a limit; the holding that has stalled for the longest gives way."""

    __slots__ = ("clock", "given_way", "holdings", "limit_bytes", "used_bytes")

    def __init__(self, limit_bytes: float, *, clock: Clock) -> None:
        self.limit_bytes = limit_bytes
        self.clock = clock
        self.used_bytes = 0
        self.holdings: set[MemoryHolding] = set()
        # How many holdings have given way.
        self.given_way = 0

    def open(self, give_way: Callable[[], None]) -> MemoryHolding:
        """Return an empty holding."""
        holding = MemoryHolding(self, give_way)
        self.holdings.add(holding)
        return holding

    def take(self, holding: MemoryHolding, count: int) -> bool:
        """Grant bytes to a holding; return whether there was room, if need be made by others."""
        is_small = holding.held_bytes + count <= SMALL_BYTES
        limit_bytes = self.limit_bytes * (1.0 if is_small else 1.0 - SMALL_SHARE)
        if self.used_bytes + count > limit_bytes:
            self._make_room(self.used_bytes + count - limit_bytes, holding)
        if self.used_bytes + count > limit_bytes:
            return False
        holding.add_anyway(count)
        return True

    def free_longest_stalled(self) -> bool:
        """Let the holding that has stalled the longest give way; return whether there was one."""
        for holding in self._stalled()[:1]:
            self._free(holding)
            return True
        return False

    def _make_room(self, wanted_bytes: float, besides: MemoryHolding) -> None:
        """Let stalled holdings give way, if that makes enough room."""
        stalled = [each for each in self._stalled() if each is not besides and each.held_bytes]
        if sum(each.held_bytes for each in stalled) < wanted_bytes:
            return
        for holding in stalled:
            if wanted_bytes <= 0:
                return
            wanted_bytes -= holding.held_bytes
            self._free(holding)

    def _stalled(self) -> list[MemoryHolding]:
        """Return the holdings that may have to give way, the longest wait first."""
        now_ms = self.clock.now_ms()
        since_ms = {
            each: each.stalled_since_ms
            for each in self.holdings
            if each.stalled_since_ms is not None and now_ms - each.stalled_since_ms >= MIN_STALL_MS
        }
        return sorted(since_ms, key=since_ms.__getitem__)

    def _free(self, holding: MemoryHolding) -> None:
        self.given_way += 1
        holding.close()
        holding.give_way()


def process_budget(memory_mb: float, *, clock: Clock) -> MemoryBudget:
    """Return the budget of a process on a machine with this much memory, in MB."""
    return MemoryBudget(memory_mb * BYTES_PER_MB * MACHINE_SHARE, clock=clock)
