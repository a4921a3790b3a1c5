"""Issue permits for targets that name a limit, at the coordinator."""

import bisect
import itertools
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field

from mimosaspur_coordination.limits.permits import bucket_capacity
from mimosaspur_coordination.limits.permits import issue_rate_per_s
from mimosaspur_coordination.limits.requestlimit import RequestLimit
from mimosaspur_coordination.limits.sendhistory import WINDOW_MS
from mimosaspur_coordination.quota.quotabucket import QuotaBucket
from mimosaspur_state.clock import Clock

# Part of a limit that the coordinator's own calls may use, and the longest time without one.
REPORT_SHARE = 0.05
MAX_REPORT_INTERVAL_MS = 30_000
# Longer than the interval at which a deferred order is tried again.
RESERVATION_MS = 200


@dataclass(slots=True)
class PermitDemand:
    """Hold what an entry asks for at one target."""

    # Numbers of requests that wait, by rank.
    waiting: dict[int, int] = field(default_factory=dict)
    # Permits for requests that are likely to come while they are valid.
    ahead: int = 0

    def is_empty(self) -> bool:
        """Return whether nothing is asked for."""
        return not self.waiting and not self.ahead


@dataclass(slots=True)
class _Queue:
    """Hold an entry's place in the queue for one target."""

    # Rank and number of each waiting request, the next one first.
    tickets: list[tuple[int, int]] = field(default_factory=list)
    ahead: int = 0

    def update(self, demand: PermitDemand, numbers: Iterator[int]) -> None:
        """Add tickets for new requests, and drop the newest ones of those that are gone."""
        kept: dict[int, list[tuple[int, int]]] = {}
        for ticket in self.tickets:
            kept.setdefault(ticket[0], []).append(ticket)
        tickets = []
        for rank, count in demand.waiting.items():
            known = kept.get(rank, [])[:count]
            tickets += known
            tickets += [(rank, next(numbers)) for _ in range(count - len(known))]
        self.tickets = sorted(tickets)
        self.ahead = demand.ahead


@dataclass(slots=True)
class _Entry:
    queues: dict[str, _Queue] = field(default_factory=dict)
    # On the entry's clock, when it last reported its demand.
    asked_ms: int = 0
    # The number of the last message with permits.
    sent_number: int = 0
    # By target, the number of the issue that it last got a permit by.
    last_issue: dict[str, int] = field(default_factory=dict)


@dataclass(slots=True)
class _Bucket:
    limit: RequestLimit
    tokens: QuotaBucket
    # Requests that entries sent within a window before they knew the limit, and the debt for them.
    sent_before: int = 0
    debt: float = 0.0


@dataclass(slots=True, frozen=True)
class Permits:
    """Hold what one entry is sent in one message."""

    number: int
    # The time on the entry's clock from which the permits' validity counts.
    asked_ms: int
    counts: Mapping[str, int]
    # By target, the expected waits of the entry's requests, the next one first.
    waits_ms: Mapping[str, list[int]]


class PermitIssuer:
    """Issue permits to entries: the most urgent request first, of these the oldest."""

    __slots__ = (
        "buckets",
        "clock",
        "entries",
        "issues",
        "may_issue",
        "numbers",
        "reported_ms",
        "reserved_until_ms",
    )

    def __init__(self, *, clock: Clock, may_issue: Callable[[], bool]) -> None:
        # Counts the time while the machine is suspended, as the lease does.
        self.clock = clock
        # Whether no other instance issues permits now.
        self.may_issue = may_issue
        self.buckets: dict[str, _Bucket] = {}
        self.entries: dict[str, _Entry] = {}
        self.issues = 0
        self.numbers = itertools.count()
        # Until when a target's tokens are kept for an order.
        self.reserved_until_ms: dict[str, int] = {}
        # When each target was last asked for a report, also while it named no limit.
        self.reported_ms: dict[str, int] = {}

    def on_connect(self, instance: str) -> None:
        """Reset what is known of an entry, whose link is new."""
        self.entries[instance] = _Entry()

    def on_disconnect(self, instance: str) -> None:
        """Drop an entry; its permits lapse by themselves."""
        self.entries.pop(instance, None)

    def apply_limits(self, limits: Mapping[str, RequestLimit]) -> None:
        """Apply the limits that are known now.

        What may not issue has no buckets, so that they start empty once it may: another instance
        may have issued permits until then.
        """
        if not self.may_issue():
            self.buckets.clear()
            return
        limited = {key: limit for key, limit in limits.items() if limit.per_s is not None}
        for target in [each for each in self.buckets if each not in limited]:
            del self.buckets[target]
        now_ms = self.clock.now_ms()
        for target, limit in limited.items():
            bucket = self.buckets.get(target)
            if bucket is None:
                self.buckets[target] = _new_bucket(limit, now_ms)
            elif bucket.limit != limit:
                _change(bucket, limit, now_ms)

    def on_sent_before(self, target: str, requests: int) -> None:
        """Charge requests that an entry had sent in the last window before it knew the limit.

        What exceeds the limit delays the first permit, until a window has passed at most.
        """
        bucket = self.buckets.get(target)
        if bucket is None or bucket.limit.per_s is None:
            return
        bucket.sent_before += requests
        per_window = bucket.limit.per_s * WINDOW_MS / 1000
        max_debt = max(0.0, bucket.tokens.per_s * WINDOW_MS / 1000 - 1)
        debt = min(max(0.0, bucket.sent_before - per_window), max_debt)
        bucket.tokens.take(debt - bucket.debt, self.clock.now_ms())
        bucket.debt = debt

    def apply_demand(
        self,
        instance: str,
        demand: Mapping[str, PermitDemand],
        *,
        asked_ms: int,
        received_number: int,
    ) -> None:
        """Replace an entry's demand, unless permits are on their way that it doesn't know of."""
        entry = self.entries.setdefault(instance, _Entry())
        entry.asked_ms = asked_ms
        if received_number < entry.sent_number:
            return
        for target in [each for each in entry.queues if each not in demand]:
            del entry.queues[target]
        for target, each in demand.items():
            entry.queues.setdefault(target, _Queue()).update(each, self.numbers)

    def waiting(self) -> dict[str, dict[int, int]]:
        """Return the numbers of requests that wait at all entries, by target and rank."""
        totals: dict[str, dict[int, int]] = {target: {} for target in self.buckets}
        for entry in self.entries.values():
            for target, queue in entry.queues.items():
                ranks = totals.get(target)
                if ranks is None:
                    continue
                for rank, _ in queue.tickets:
                    ranks[rank] = ranks.get(rank, 0) + 1
        return totals

    def issue(self) -> dict[str, Permits]:
        """Issue what the limits allow now, by entry."""
        if not self.may_issue():
            return {}
        now_ms = self.clock.now_ms()
        counts: dict[str, dict[str, int]] = {}
        for target, bucket in self.buckets.items():
            while not self._is_reserved(target) and bucket.tokens.at(now_ms) >= 1:
                instance = self._next_entry(target)
                if instance is None:
                    break
                bucket.tokens.take(1, now_ms)
                issued = counts.setdefault(instance, {})
                issued[target] = issued.get(target, 0) + 1
        messages = {}
        for instance, issued in counts.items():
            entry = self.entries[instance]
            entry.sent_number += 1
            messages[instance] = Permits(entry.sent_number, entry.asked_ms, issued, {})
        return messages

    def expected_waits(self, instance: str) -> Permits | None:
        """Return the expected waits of an entry's requests, None if none waits."""
        entry = self.entries[instance]
        waits_ms = {
            target: self._waits_ms(target, queue.tickets)
            for target, queue in entry.queues.items()
            if queue.tickets and target in self.buckets
        }
        if not waits_ms:
            return None
        return Permits(entry.sent_number, entry.asked_ms, {}, waits_ms)

    def _waits_ms(self, target: str, tickets: Sequence[tuple[int, int]]) -> list[int]:
        bucket = self.buckets[target]
        others = sorted(
            ticket
            for entry in self.entries.values()
            if target in entry.queues
            for ticket in entry.queues[target].tickets
        )
        now_ms = self.clock.now_ms()
        return [
            round(bucket.tokens.wait_ms(bisect.bisect_left(others, ticket) + 1, now_ms))
            for ticket in tickets
        ]

    def try_report(self, target: str) -> bool:
        """Take a token for a report of a target with a limit; return whether one may be sent."""
        bucket = self.buckets.get(target)
        if bucket is None:
            return False
        now_ms = self.clock.now_ms()
        interval_ms = min(MAX_REPORT_INTERVAL_MS, 1000 / (bucket.tokens.per_s * REPORT_SHARE))
        reported_ms = self.reported_ms.get(target)
        if reported_ms is not None and now_ms - reported_ms < interval_ms:
            return False
        if not self.try_take(target):
            self.reserve(target)
            return False
        self.on_report(target)
        return True

    def need_report(self, target: str) -> None:
        """Permit a target's next report without regard to the last one."""
        self.reported_ms.pop(target, None)

    def on_report(self, target: str) -> None:
        """Record that a target is asked for a report."""
        self.reported_ms[target] = self.clock.now_ms()

    def try_take(self, target: str) -> bool:
        """Take a token for a call of the coordinator's own; return whether there was one."""
        bucket = self.buckets.get(target)
        now_ms = self.clock.now_ms()
        if bucket is None or not self.may_issue() or bucket.tokens.at(now_ms) < 1:
            return False
        bucket.tokens.take(1, now_ms)
        return True

    def reserve(self, target: str) -> None:
        """Keep a target's tokens for a call of the coordinator's own that is tried again soon."""
        self.reserved_until_ms[target] = self.clock.now_ms() + RESERVATION_MS

    def _is_reserved(self, target: str) -> bool:
        return self.clock.now_ms() < self.reserved_until_ms.get(target, 0)

    def _next_entry(self, target: str) -> str | None:
        """Return the entry that gets the next permit, and take the request off its queue."""
        first: tuple[tuple[int, int], str] | None = None
        ahead: tuple[int, str] | None = None
        for instance, entry in self.entries.items():
            queue = entry.queues.get(target)
            if queue is None:
                continue
            if queue.tickets and (first is None or queue.tickets[0] < first[0]):
                first = queue.tickets[0], instance
            if queue.ahead:
                issued = entry.last_issue.get(target, 0), instance
                ahead = issued if ahead is None else min(ahead, issued)
        if first is not None:
            instance = first[1]
            self._remove_request(self.entries[instance], first[0][0])
        elif ahead is not None:
            instance = ahead[1]
            self.entries[instance].queues[target].ahead -= 1
        else:
            return None
        self.issues += 1
        self.entries[instance].last_issue[target] = self.issues
        return instance

    def _remove_request(self, entry: _Entry, rank: int) -> None:
        """Remove an entry's next request of a rank.

        It is likely to wait for several targets: permits of all of them would be one request's.
        The entry's next report corrects that.
        """
        for queue in entry.queues.values():
            of_rank = [ticket for ticket in queue.tickets if ticket[0] == rank]
            if of_rank:
                queue.tickets.remove(of_rank[0])


def _new_bucket(limit: RequestLimit, now_ms: int) -> _Bucket:
    assert limit.per_s is not None
    tokens = QuotaBucket(
        capacity=bucket_capacity(limit.per_s),
        per_s=issue_rate_per_s(limit.per_s),
        content=0.0,
        at_ms=now_ms,
    )
    return _Bucket(limit, tokens)


def _change(bucket: _Bucket, limit: RequestLimit, now_ms: int) -> None:
    assert limit.per_s is not None
    bucket.tokens.resize(
        capacity=bucket_capacity(limit.per_s),
        per_s=issue_rate_per_s(limit.per_s),
        now_ms=now_ms,
    )
    bucket.limit = limit
    bucket.sent_before, bucket.debt = 0, 0.0
