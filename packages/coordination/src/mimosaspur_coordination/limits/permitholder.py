"""Hold an entry's permits for targets that name a limit, and tell what it needs."""

import itertools
import math
from collections import deque
from collections.abc import Mapping
from collections.abc import Sequence

from mimosaspur_coordination.limits.permitissuer import PermitDemand
from mimosaspur_coordination.limits.permits import PERMIT_VALIDITY_MS
from mimosaspur_coordination.limits.permits import issue_rate_per_s
from mimosaspur_state.clock import Clock

# Without an update for this long, nothing is known of the other entries' waiting requests.
MAX_UPDATE_AGE_MS = 1_000
# The coordinator tells by then when a request that has begun to wait gets its permit.
MAX_REPLY_MS = 400
# Time over which the requests that a target could have taken are averaged.
DEMAND_WINDOW_MS = 1_000
# A permit that is less likely to be used is not asked for before there is a request for it.
MIN_EXPECTED_USES = 0.5
NEVER_MS = math.inf
DISTANT_PAST_MS = -1_000_000_000


class PermitWaiter:
    """Represent a request that waits for a permit of one of several targets."""

    __slots__ = ("due_ms", "number", "rank", "started_ms", "targets")

    def __init__(self, rank: int, number: int, *, started_ms: int) -> None:
        self.rank = rank
        self.number = number
        self.started_ms = started_ms
        self.targets: frozenset[str] = frozenset()
        # By target, when the coordinator expects to issue its permit.
        self.due_ms: dict[str, int] = {}

    def precedes(self, rank: int, number: float) -> bool:
        """Return whether this one is served before a request of a rank and number."""
        return (self.rank, self.number) < (rank, number)


class PermitHolder:
    """Hand out the permits at hand, the most urgent waiting request first."""

    __slots__ = (
        "chances_ms",
        "clock",
        "numbers",
        "permits",
        "queues",
        "received_number",
        "updated_ms",
        "waiters",
    )

    def __init__(self, *, clock: Clock) -> None:
        # Counts the time while the machine is suspended.
        self.clock = clock
        # By target, when each permit lapses, soonest first.
        self.permits: dict[str, deque[int]] = {}
        self.waiters: list[PermitWaiter] = []
        self.numbers = itertools.count()
        # Times of the requests that a target could have taken.
        self.chances_ms: dict[str, deque[int]] = {}
        # Requests that wait at all entries, by target and rank.
        self.queues: Mapping[str, Mapping[int, int]] = {}
        self.updated_ms = DISTANT_PAST_MS
        # The number of the last message with permits on the present link.
        self.received_number = 0

    def start_link(self) -> None:
        """Reset the count of messages for a new link to a coordinator."""
        self.received_number = 0

    def add_waiter(self, rank: int) -> PermitWaiter:
        """Add a request that waits; it names its targets in `targets`."""
        waiter = PermitWaiter(rank, next(self.numbers), started_ms=self.clock.now_ms())
        self.waiters.append(waiter)
        return waiter

    def remove_waiter(self, waiter: PermitWaiter) -> None:
        """Remove a request that no longer waits."""
        self.waiters.remove(waiter)

    def has_permit(self, target: str, *, rank: int, waiter: PermitWaiter | None = None) -> bool:
        """Return whether a request may take a permit now, behind more urgent ones that wait."""
        number = waiter.number if waiter else math.inf
        return self._count(target) > self._ahead(target, rank, number, waiter)

    def take(self, target: str) -> int | None:
        """Take a permit out; return when it lapses, None if there is none."""
        if not self._count(target):
            return None
        return self.permits[target].popleft()

    def is_valid(self, lapses_ms: int) -> bool:
        """Return whether a permit may still be used."""
        return self.clock.now_ms() < lapses_ms

    def put_back(self, target: str, lapses_ms: int) -> None:
        """Return an unused permit."""
        self.permits.setdefault(target, deque()).appendleft(lapses_ms)

    def record_chance(self, target: str) -> None:
        """Count a request that a target could take or could have taken."""
        times = self.chances_ms.setdefault(target, deque())
        times.append(self.clock.now_ms())
        self._expire_chances(times)

    def drop(self, target: str) -> None:
        """Drop all permits for a target, whose limit has changed."""
        self.permits.pop(target, None)

    def apply_permits(self, number: int, asked_ms: int, counts: Mapping[str, int]) -> None:
        """Add permits that the coordinator has issued."""
        self.received_number = number
        lapses_ms = asked_ms + PERMIT_VALIDITY_MS
        if not self.is_valid(lapses_ms):
            return
        for target, count in counts.items():
            self.permits.setdefault(target, deque()).extend([lapses_ms] * count)

    def apply_queues(self, queues: Mapping[str, Mapping[int, int]]) -> None:
        """Set the numbers of requests that wait at all entries."""
        self.queues = queues
        self.updated_ms = self.clock.now_ms()

    def apply_waits(self, waits_ms: Mapping[str, Sequence[int]]) -> None:
        """Set when the permits of waiting requests are expected, the next one first."""
        now_ms = self.clock.now_ms()
        for target, waits in waits_ms.items():
            behind = self._waiters_of(target)[self._count(target) :]
            for waiter, wait_ms in zip(behind, waits, strict=False):
                waiter.due_ms[target] = now_ms + wait_ms

    def expected_wait_ms(
        self, target: str, limit_per_s: float, *, rank: int, waiter: PermitWaiter | None = None
    ) -> float:
        """Return the expected wait for a permit, infinite while no coordinator issues any."""
        now_ms = self.clock.now_ms()
        if now_ms - self.updated_ms > MAX_UPDATE_AGE_MS:
            return NEVER_MS
        if waiter is None:
            return self._wait_of_new_ms(target, limit_per_s, rank)
        due_ms = waiter.due_ms.get(target)
        if due_ms is not None:
            return max(0, due_ms - now_ms)
        return 0.0 if now_ms - waiter.started_ms < MAX_REPLY_MS else NEVER_MS

    def _wait_of_new_ms(self, target: str, limit_per_s: float, rank: int) -> float:
        """Return the expected wait of a request that isn't known to the coordinator."""
        queue = self.queues.get(target, {})
        ahead = sum(number for each, number in queue.items() if each <= rank)
        ahead = max(ahead, self._ahead(target, rank, math.inf, None))
        return max(0.0, ahead + 1 - self._count(target)) * 1000 / issue_rate_per_s(limit_per_s)

    def demand(self, limits: Mapping[str, float]) -> dict[str, PermitDemand]:
        """Return what to ask for now, beside the permits at hand."""
        asked = {}
        for target in limits:
            demand = self._demand(target)
            if not demand.is_empty():
                asked[target] = demand
        return asked

    def _demand(self, target: str) -> PermitDemand:
        waiting: dict[int, int] = {}
        at_hand = self._count(target)
        waiters = self._waiters_of(target)
        for waiter in waiters[at_hand:]:
            waiting[waiter.rank] = waiting.get(waiter.rank, 0) + 1
        spare = max(0, at_hand - len(waiters))
        return PermitDemand(waiting, max(0, self._expected_uses(target) - spare))

    def _waiters_of(self, target: str) -> list[PermitWaiter]:
        """Return the requests that wait for a target, the next one first."""
        waiters = [each for each in self.waiters if target in each.targets]
        return sorted(waiters, key=lambda each: (each.rank, each.number))

    def _expected_uses(self, target: str) -> int:
        times = self.chances_ms.get(target)
        if not times:
            return 0
        self._expire_chances(times)
        expected = len(times) * PERMIT_VALIDITY_MS / DEMAND_WINDOW_MS
        return 0 if expected < MIN_EXPECTED_USES else max(1, round(expected))

    def _count(self, target: str) -> int:
        """Return the number of valid permits at hand."""
        permits = self.permits.get(target)
        if not permits:
            return 0
        now_ms = self.clock.now_ms()
        while permits and permits[0] <= now_ms:
            permits.popleft()
        return len(permits)

    def _ahead(self, target: str, rank: int, number: float, waiter: PermitWaiter | None) -> int:
        """Return how many of the requests that wait here are served before one."""
        return sum(
            each is not waiter and target in each.targets and each.precedes(rank, number)
            for each in self.waiters
        )

    def _expire_chances(self, times: deque[int]) -> None:
        oldest_ms = self.clock.now_ms() - DEMAND_WINDOW_MS
        while times and times[0] < oldest_ms:
            times.popleft()
