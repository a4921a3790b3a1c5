"""Check the rules about entries as a whole: ONE, DRAIN, BUDGET, and that none ends by itself."""

from collections import defaultdict
from itertools import pairwise

from soak.record import BUDGET_RATIO
from soak.record import BUDGET_SLACK
from soak.record import BUDGET_WINDOW_S
from soak.record import DRAIN_S
from soak.record import LEASE_S
from soak.record import OWN_END
from soak.record import PLANNED
from soak.record import RELOAD
from soak.record import STALL
from soak.record import STOP
from soak.record import THAW_S
from soak.record import Arrival
from soak.record import Attempt
from soak.record import Order
from soak.record import Record
from soak.rules import describe

OVER_ATTEMPTS_AT_MOST = 3
DEADLINE_SLACK_S = 0.5
OVER_DEADLINE_AT_MOST = 20
OVER_DEADLINE_SHARE = 0.2
REST_SLACK_S = 0.5
REST_AT_MOST = 2
STILL_READY_S = 4.0
STILL_READY_AT_LEAST = 2
STILL_READY_SHARE = 0.25
# An end within this time of a fault counts as its effect.
END_SLACK_S = 1.0
OWN_ENDS = (RELOAD, OWN_END)
# Signals this close belong to one roll.
ROLL_S = 4.0


def check_one(record: Record) -> list[str]:
    """Return orders that show two holders of the lease at a time."""
    by_target: dict[str, list[Order]] = defaultdict(list)
    for order in record.orders:
        if not _was_held_up(record, order):
            by_target[order.target].append(order)
    cases = []
    for orders in by_target.values():
        for one, other in pairwise(orders):
            if other.token < one.token:
                cases.append(f"{_describe(other)} after {_describe(one)}: a lower token")
    return cases + _shared_tokens(record) + _turns(record)


def _was_held_up(record: Record, order: Order) -> bool:
    """Return whether its sender had just been thawed as it arrived."""
    return any(
        each.kind == STALL
        and each.where == order.holder
        and each.end_s <= order.at_s <= each.end_s + THAW_S
        for each in record.disturbances
    )


def _shared_tokens(record: Record) -> list[str]:
    holders: dict[int, str] = {}
    cases = []
    for order in record.orders:
        if holders.setdefault(order.token, order.holder) != order.holder:
            cases.append(f"{_describe(order)}: the token is also that of {holders[order.token]}")
    return cases


def _turns(record: Record) -> list[str]:
    """Return orders whose holder is back within the lease, after another one's order."""
    cases = []
    orders = [each for each in record.orders if not _was_held_up(record, each)]
    for number, order in enumerate(orders):
        before = [each for each in orders[:number] if order.at_s - each.at_s <= LEASE_S]
        back = [each for each in before if each.holder == order.holder]
        between = [each for each in before if back and each.at_s >= back[0].at_s]
        if any(each.holder != order.holder for each in between):
            cases.append(f"{_describe(order)}: holders take turns")
    return cases


def _describe(order: Order) -> str:
    return f"order of {order.holder} token {order.token} at {order.target} at {order.at_s:.3f}"


def check_drain(record: Record) -> list[str]:
    """Return requests to targets that left, and entries that stop and still count as ready."""
    return _after_notice(record) + _after_draining(record) + _still_ready(record)


def _after_notice(record: Record) -> list[str]:
    """Return what an entry sent to a target after it had passed on that the target leaves."""
    arrivals = record.arrivals_by_identity()
    signed = record.runs_by_signature()
    told: dict[tuple[str, str], float] = {}
    cases = []
    for attempt in sorted(record.attempts, key=lambda each: each.sent_s):
        for arrival in arrivals[attempt.identity]:
            since_s = told.get((attempt.entry, arrival.target), float("inf"))
            late = attempt.sent_s > since_s + DRAIN_S and arrival.status != 421
            if late and not record.is_disturbed(attempt.entry, since_s, arrival.at_s):
                cases.append(
                    f"{describe(attempt)} reached {arrival.target} {arrival.at_s - since_s:.3f} s "
                    f"after its notice was passed on"
                )
        run = signed.get(attempt.signature)
        if attempt.leaving and run and attempt.head_s:
            told.setdefault((attempt.entry, run.target), attempt.head_s)
    return cases


def _after_draining(record: Record) -> list[str]:
    """Return what reached a target later than it may after the store accepted its leaving."""
    arrivals = record.arrivals_by_identity()
    left = {each.name: each.draining_s for each in record.targets if each.draining_s}
    cases = []
    for attempt in record.attempts:
        for arrival in arrivals[attempt.identity]:
            since_s = left.get(arrival.target, float("inf"))
            if arrival.status == 421 or arrival.at_s <= since_s + DRAIN_S:
                continue
            if record.is_in_touch(attempt.entry, min(since_s, attempt.sent_s), arrival.at_s):
                cases.append(
                    f"{describe(attempt)} reached {arrival.target} {arrival.at_s - since_s:.3f} s "
                    f"after its leaving was accepted"
                )
    return cases


def _still_ready(record: Record) -> list[str]:
    """Return the entries that still count as ready long after SIGTERM, by roll."""
    stops = [each for each in record.disturbances if each.kind == STOP]
    cases = []
    for first in stops:
        roll = [each for each in stops if first.start_s <= each.start_s < first.start_s + ROLL_S]
        late = [
            each.where
            for each in roll
            if each.end_s > each.start_s + STILL_READY_S
            and _counts_as_ready(record, each.where, each.start_s + STILL_READY_S)
            and not record.is_disturbed(
                each.where, each.start_s, each.start_s + STILL_READY_S, but=PLANNED
            )
        ]
        ready = {each.entry for each in record.readiness if each.ready}
        if len(late) >= STILL_READY_AT_LEAST and len(late) > STILL_READY_SHARE * len(ready):
            cases.append(
                f"{', '.join(late)} still count as ready {STILL_READY_S:g} s after SIGTERM"
            )
    return cases


def _counts_as_ready(record: Record, entry: str, at_s: float) -> bool:
    known = [each for each in record.readiness if each.entry == entry and each.at_s <= at_s]
    return bool(known) and known[-1].ready


def check_budget(record: Record) -> list[str]:
    """Return sends beyond what attempts, time, the retry budget and rests allow."""
    return (
        _over_attempts(record)
        + _over_deadline(record)
        + _over_retry_budget(record)
        + _within_rests(record)
    )


def _over_attempts(record: Record) -> list[str]:
    arrivals = record.arrivals_by_identity()
    gone = {each.name for each in record.targets if each.end_s}
    cases = []
    for attempt in record.attempts:
        ran = {each.target for each in arrivals[attempt.identity] if each.ran} - gone
        if len(ran) > attempt.max_attempts:
            cases.append(f"{describe(attempt)} ran at {', '.join(sorted(ran))}")
    return cases if len(cases) > OVER_ATTEMPTS_AT_MOST else []


def _over_deadline(record: Record) -> list[str]:
    arrivals = record.arrivals_by_identity()
    cases = []
    counted = 0
    for attempt in record.attempts:
        if attempt.kind.is_stream:
            continue
        for arrival in arrivals[attempt.identity]:
            if not record.is_in_touch(attempt.entry, attempt.sent_s, arrival.at_s):
                continue
            counted += 1
            if _has_more_time(attempt, arrival, arrivals[attempt.identity][0]):
                cases.append(
                    f"{describe(attempt)} was handed {arrival.deadline_ms} ms at {arrival.target}"
                )
    over = len(cases) > max(OVER_DEADLINE_AT_MOST, OVER_DEADLINE_SHARE * counted)
    return cases if over else []


def _has_more_time(attempt: Attempt, arrival: Arrival, first: Arrival) -> bool:
    """Return whether a target may work for longer than the caller or the first target."""
    if arrival.deadline_ms is None or first.deadline_ms is None:
        return True
    if arrival.deadline_ms / 1000 > attempt.limit_s + DEADLINE_SLACK_S:
        return True
    ends_s = max(attempt.sent_s + attempt.limit_s, first.at_s + first.deadline_ms / 1000)
    later = arrival.at_s > first.at_s + DEADLINE_SLACK_S
    return later and arrival.at_s + arrival.deadline_ms / 1000 > ends_s + DEADLINE_SLACK_S


def _over_retry_budget(record: Record) -> list[str]:
    """Return the windows in which a service got too many repeats, one of each service."""
    cases = []
    services = {each.service for each in record.arrivals}
    for service in sorted(services):
        sent = sorted(each.sent_s for each in record.attempts if f"-{service}/" in each.path)
        repeats = _repeats(record, service)
        for at_s in repeats:
            count = _count(repeats, at_s, at_s + BUDGET_WINDOW_S)
            starts = (at_s, at_s - BUDGET_WINDOW_S / 2, at_s - BUDGET_WINDOW_S)
            asked = max(_count(sent, each, each + BUDGET_WINDOW_S) for each in starts)
            if count > BUDGET_RATIO * asked + BUDGET_SLACK:
                cases.append(
                    f"{service} got {count} repeats in {BUDGET_WINDOW_S:g} s from {at_s:.3f} on, "
                    f"for {asked} requests"
                )
                break
    return cases


def _repeats(record: Record, service: str) -> list[float]:
    """Return when a request reached the service again."""
    seen: set[str] = set()
    repeats = []
    for arrival in record.arrivals:
        if arrival.service == service:
            if arrival.identity in seen:
                repeats.append(arrival.at_s)
            seen.add(arrival.identity)
    return sorted(repeats)


def _count(times: list[float], since_s: float, until_s: float) -> int:
    return sum(since_s <= each < until_s for each in times)


def _within_rests(record: Record) -> list[str]:
    """Return the rests in which an entry sent more than two requests."""
    sender = {each.identity: each.entry for each in record.attempts}
    by_pair: dict[tuple[str, str], list[Arrival]] = defaultdict(list)
    for arrival in record.arrivals:
        if arrival.identity in sender:
            by_pair[sender[arrival.identity], arrival.target].append(arrival)
    cases = []
    for (entry, target), arrivals in by_pair.items():
        for asked in arrivals:
            if asked.retry_after_s is None or asked.ended_s is None:
                continue
            since_s, until_s = asked.ended_s, asked.ended_s + asked.retry_after_s
            late = [each for each in arrivals if since_s + REST_SLACK_S < each.at_s < until_s]
            if len(late) > REST_AT_MOST and not record.is_disturbed(entry, since_s, until_s):
                cases.append(
                    f"{entry} sent {len(late)} requests to {target} in the rest of "
                    f"{asked.retry_after_s:.2f} s that it asked for at {since_s:.3f}"
                )
                break
    return cases


def check_ended(record: Record) -> list[str]:
    """Return the entries that ended by themselves, or did not end when they were told to."""
    return [
        f"{each.entry} {each.words} at {each.at_s:.3f}"
        for each in record.ended
        if each.overdue
        or not record.is_disturbed(each.entry, each.at_s - END_SLACK_S, each.at_s, but=OWN_ENDS)
    ]
