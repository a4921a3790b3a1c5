"""Check LOST: answers cut off around planned work, on kept connections, and streams taken up."""

from collections import Counter
from collections.abc import Iterable

from soak.record import CONFIGURATION_S
from soak.record import GRACE_S
from soak.record import LOSS_SLACK_S
from soak.record import PLANNED
from soak.record import RELOAD
from soak.record import STABILITY_S
from soak.record import STOP
from soak.record import Arrival
from soak.record import Attempt
from soak.record import Disturbance
from soak.record import Kind
from soak.record import Record
from soak.rules import describe

# A request with a configuration counts only below this share of its time.
USED_SHARE = 0.7
MORE_OFTEN = 3.0
CUT_AT_MOST = 3
LAST_GRACE_SHARE = 5 / 6
SENT_AFTER_STOP_S = 3.0
# The end of the caller's limit, beyond which an answer counts as late.
LIMIT_SLACK_S = 0.02
RESUMED_AT_LEAST = 12
SERVERS_OF_VERSION = 2


def check_lost(record: Record) -> list[str]:
    """Return answers that were lost around planned work and otherwise."""
    arrivals = record.arrivals_by_identity()
    cut = [each for each in record.attempts if _is_cut(each, arrivals[each.identity])]
    planned = [
        f"{describe(each)}, around {work}"
        for each in cut
        if (work := _planned_work(record, each, arrivals[each.identity]))
    ]
    return planned + _lost_beside_configurations(record, cut) + _lost_any_time(
        record, cut, arrivals
    ) + _not_taken_up(record)  # fmt: skip


def _is_cut(attempt: Attempt, arrivals: Iterable[Arrival]) -> bool:
    """Return whether an entry ended a connection without a complete answer, for no good reason."""
    if attempt.end_s is None or attempt.gave_up or attempt.complete or not attempt.error:
        return False
    lasted_s = attempt.end_s - attempt.sent_s
    if lasted_s >= attempt.limit_s - LIMIT_SLACK_S or any(each.broke for each in arrivals):
        return False
    return any(each.status != 421 for each in arrivals) or lasted_s > LOSS_SLACK_S


def _planned_work(record: Record, attempt: Attempt, arrivals: list[Arrival]) -> str:
    """Return the signal around which an answer was lost, empty if there is none."""
    assert attempt.end_s is not None
    since_s = attempt.sent_s - STABILITY_S
    if record.is_disturbed(attempt.entry, since_s, attempt.end_s, but=PLANNED):
        return ""
    for work in record.disturbances:
        if work.where != attempt.entry or not work.is_planned:
            continue
        if work.kind == STOP and _counts_at_stop(work, attempt, arrivals):
            return f"a SIGTERM at {work.start_s:.3f}"
        sent_by_then = attempt.sent_s <= work.start_s + CONFIGURATION_S
        if work.kind == RELOAD and sent_by_then and attempt.end_s >= work.start_s:
            return f"a SIGHUP at {work.start_s:.3f}"
    return ""


def _counts_at_stop(work: Disturbance, attempt: Attempt, arrivals: list[Arrival]) -> bool:
    assert attempt.end_s is not None
    if not work.start_s <= attempt.end_s <= work.start_s + GRACE_S + 1.0:
        return False
    last_s = work.start_s + GRACE_S * LAST_GRACE_SHARE
    if attempt.sent_s > work.start_s + SENT_AFTER_STOP_S:
        return True
    return not any((each.ended_s or float("inf")) >= last_s for each in arrivals)


def _lost_beside_configurations(record: Record, cut: list[Attempt]) -> list[str]:
    """Return what was cut beside configurations, where an entry cuts more than at other times."""
    cases = []
    for entry in {each.entry for each in cut}:
        all_of = [each for each in record.attempts if each.entry == entry and each.end_s]
        beside = [each for each in all_of if _is_beside_configuration(record, each)]
        lost = [each for each in cut if each.entry == entry and _is_new_loss(record, each)]
        other_cut = sum(1 for each in cut if each.entry == entry) - len(lost)
        others = max(1, len(all_of) - len(beside))
        if lost and len(lost) / len(beside) > MORE_OFTEN * other_cut / others:
            cases += [f"{describe(each)}, beside a configuration" for each in lost]
    return cases


def _is_beside_configuration(record: Record, attempt: Attempt) -> bool:
    end_s = attempt.end_s or attempt.sent_s
    return any(at_s <= end_s <= at_s + CONFIGURATION_S + 1.0 for at_s in record.configured_s)


def _is_new_loss(record: Record, attempt: Attempt) -> bool:
    assert attempt.end_s is not None
    since_s = attempt.sent_s - STABILITY_S
    return (
        _is_beside_configuration(record, attempt)
        and attempt.end_s - attempt.sent_s < USED_SHARE * attempt.limit_s
        and not record.is_disturbed(attempt.entry, since_s, attempt.end_s)
    )


def _lost_any_time(
    record: Record, cut: list[Attempt], arrivals: dict[str, list[Arrival]]
) -> list[str]:
    """Return what was passed on from kept connections and never answered, beyond three."""
    lost = [
        each
        for each in cut
        if each.kept
        and not each.status
        and any(run.ran for run in arrivals[each.identity])
        and record.is_in_touch(each.entry, each.sent_s, each.end_s or each.sent_s)
    ]
    cases = [f"{describe(each)}, on a kept connection" for each in lost]
    return cases if len(cases) > CUT_AT_MOST else []


def _not_taken_up(record: Record) -> list[str]:
    """Return the share of streams that went on where it is under half of those that begin."""
    signed = record.runs_by_signature()
    runs: dict[str, Arrival] = {}
    counts: Counter[tuple[bool, bool]] = Counter()
    for attempt in record.attempts:
        if attempt.kind is not Kind.RESUMABLE:
            continue
        if _counts_as_taken_up(record, attempt, runs.get(attempt.request)):
            counts[bool(attempt.last_event), bool(attempt.pieces)] += 1
        for piece in attempt.pieces[:1]:
            if piece.run in signed:
                runs[attempt.request] = signed[piece.run]
    resumed = counts[True, True] + counts[True, False]
    new = counts[False, True] + counts[False, False]
    if resumed < RESUMED_AT_LEAST or not new:
        return []
    if counts[True, True] / resumed >= counts[False, True] / new / 2:
        return []
    return [
        f"{counts[True, True]} of {resumed} streams that callers took up went on, "
        f"{counts[False, True]} of {new} new ones began"
    ]


def _counts_as_taken_up(record: Record, attempt: Attempt, begun: Arrival | None) -> bool:
    end_s = attempt.end_s or attempt.sent_s
    left = attempt.gave_up and not (attempt.moves and attempt.pieces)
    if left or not record.is_in_touch(attempt.entry, attempt.sent_s, end_s):
        return False
    if not attempt.last_event:
        return True
    if begun is None:
        return False
    # Services name their versions independently of one another.
    serving = [
        each
        for each in record.targets
        if each.service == begun.service
        and each.version == begun.version
        and each.start_s <= attempt.sent_s
        and (each.draining_s or float("inf")) > end_s
        and (each.end_s or float("inf")) > end_s
    ]
    return len(serving) >= SERVERS_OF_VERSION
