"""Judge a play of silences by rules that hold for any implementation."""

import math
from collections.abc import Callable
from collections.abc import Iterator

from harness.generated_plans import EVENT_COUNT
from harness.generated_records import Call
from harness.generated_records import Played
from harness.generated_records import Sent
from harness.planned_target import Run
from harness.planned_target import answer_of
from harness.planned_target import event_of

Rule = Callable[[Played], Iterator[str]]

# Statuses that say that a request hasn't run.
NOT_RUN_STATUSES = (408, 421, 429, 503)
UNKNOWN_STATUS = 502
LATE_STATUS = 504
FAILED_STATUS = 500
# How much earlier than its time limit a request may end for that.
TIMER_MARGIN_S = 0.05
# For how long two runs may go on once one of them has brought an event.
OVERLAP_S = 0.4


def check_ends(played: Played) -> Iterator[str]:
    """Find requests that ended without an answer for another reason than a rule allows."""
    for call in played.calls:
        if call.read and not call.left and (found := _end_fault(played, call)):
            yield f"{call.identity} {found}: {_describe(played, call)}"


def check_events(played: Played) -> Iterator[str]:
    """Find streams with events missing, repeated or out of order, and wrong whole answers."""
    for call in played.calls:
        if call.status != 200:
            continue
        expected = _expected(call)
        right = call.body == expected if is_marked(call) else expected.startswith(call.body)
        if not right:
            yield f"{call.identity} got {call.body!r}: {_describe(played, call)}"
        elif call.plan.kind.is_stream and call.body and not call.body.endswith(b"\n\n"):
            yield f"{call.identity} got a part of an event: {_describe(played, call)}"


def check_runs(played: Played) -> Iterator[str]:
    """Find requests that ran too often, and those that ran and were told that they hadn't."""
    for call in played.calls:
        runs = [run for run in played.runs(call) if not run.refused]
        lasting = [run for run in runs if run.crashed_s() == math.inf]
        may_have_run = _may_have_run(played, call)
        if len(lasting) > played.plan.max_attempts:
            yield f"{call.identity} ran {len(lasting)} times: {_describe(played, call)}"
        if not call.plan.kind.is_repeatable and may_have_run > 1:
            yield f"{call.identity} may have run {may_have_run} times: {_describe(played, call)}"
        if may_have_run and call.status in NOT_RUN_STATUSES:
            yield f"{call.identity} ran and got {call.status}: {_describe(played, call)}"


def check_held(played: Played) -> Iterator[str]:
    """Find repeats that were spent but not sent, and what an entry still holds."""
    repeated = sum(max(0, len(played.sent_for(call)) - 1) for call in played.calls)
    if played.spent != repeated:
        yield f"{played.spent} repeats spent, {repeated} sent"
    yield from played.leftovers


def check_overlaps(played: Played) -> Iterator[str]:
    """Find requests at two targets for long after an event of one, or at one after their end."""
    for call in played.calls:
        runs = [run for run in played.runs(call) if not run.refused]
        late = [run for run in runs if run.ended_s() > call.ended_s + OVERLAP_S]
        if late:
            yield f"{call.identity} outlived at {late[0].target.name}: {_describe(played, call)}"
        for event_s in sorted(at_s for run in runs for at_s in run.brought_s):
            # At the moment of the event, both have to be under way already.
            both = [
                run
                for run in runs
                if run.began_s <= event_s and run.ended_s() > event_s + OVERLAP_S
            ]
            if len(both) > 1:
                names = [run.target.name for run in both]
                yield f"{call.identity} ran on at {names}: {_describe(played, call)}"
                break


RULES: dict[str, Rule] = {
    "ends with an answer, a rejection, its time limit or its own target's end": check_ends,
    "brings its caller each event once and in order": check_events,
    "runs as often as it may, and is never refused once it has run": check_runs,
    "takes a repeat for each further attempt, and leaves nothing behind": check_held,
    "is at one target soon after an event of either, and at none after its end": check_overlaps,
}


def is_marked(call: Call) -> bool:
    """Return whether a caller takes an answer to be complete by its framing."""
    return call.whole and call.marked


def _expected(call: Call) -> bytes:
    """Return the complete answer to a request."""
    if call.plan.kind.is_stream:
        return b"".join(event_of(call.identity, n + 1) for n in range(EVENT_COUNT))
    return answer_of(call.identity)


def _end_fault(played: Played, call: Call) -> str:
    """Return what is wrong with a request's end, nothing if a rule allows it."""
    if call.hangs:
        return "has not ended"
    if call.whole and call.status == FAILED_STATUS:
        failed = any(run.failed_s() <= call.ended_s for run in played.runs(call))
        return "" if failed else "failed though no target did"
    if call.whole and call.status not in (200, UNKNOWN_STATUS, LATE_STATUS):
        return ""
    if call.status == 200 and (is_marked(call) or (call.whole and call.body == _expected(call))):
        # Whether a marked one is complete is another rule.
        return ""
    left = _left_for_nothing(played, call)
    if call.ended_s >= min(call.limit_s, played.stopped_s) - TIMER_MARGIN_S:
        # The runs that were under way were rightly ended then.
        early = [run for run in left if run.ended_s() < call.ended_s - TIMER_MARGIN_S]
        return f"was late after it left {early[0].target.name} for nothing" if early else ""
    if call.status == LATE_STATUS:
        return "was late before its time limit"
    if not call.status:
        return "got neither an answer nor a refusal"
    name = "got 502" if call.status == UNKNOWN_STATUS else "was cut"
    if not _target_ended(played, call):
        return f"{name} though none of its targets had ended"
    if call.status == 200 and call.whole:
        # Without a mark, a connection that its target closes can't be told from a complete answer.
        return ""
    return f"{name} though {left[0].target.name} would have gone on" if left else ""


def _target_ended(played: Played, call: Call) -> bool:
    """Return whether a target that had a request has ended it, crashed or gone dark by its end."""
    runs = played.runs(call)
    if any(min(run.failed_s(), run.crashed_s()) <= call.ended_s for run in runs):
        return True
    return any(
        each.target.is_dark or each.target.crashed_s <= call.ended_s
        for each in played.sent_for(call)
    )


def _left_for_nothing(played: Played, call: Call) -> list[Run]:
    """Return runs at sound targets that were left though no other run has brought an event."""
    runs = played.runs(call)
    return [
        run
        for run in runs
        if run.was_left()
        and not run.refused
        and not run.target.is_dark
        and not any(
            run.began_s <= at_s <= call.ended_s
            for other in runs
            if other is not run
            for at_s in other.brought_s
        )
    ]


def _may_have_run(played: Played, call: Call) -> int:
    """Return how often a request may have run as far as its entry can know."""
    refused = [run for run in played.runs(call) if run.refused and run.finished_s < math.inf]
    return len(played.sent_for(call)) - len(refused)


def _describe(played: Played, call: Call) -> str:
    """Return a request's history, for the reader of a failure."""
    start_s = call.sent_s
    end = "whole" if call.whole else "left" if call.left else "cut"
    lines = [
        f"{call.plan.kind.value}, sent at 0, limit {call.limit_s - start_s:.3f}, "
        f"{call.status} {end} at {call.ended_s - start_s:.3f}"
    ]
    lines += [_describe_sent(each, start_s) for each in played.sent_for(call)]
    for run in played.runs(call):
        events = ", ".join(f"{at_s - start_s:.3f}" for at_s in run.brought_s)
        lines.append(
            f"run at {run.target.name} from {run.began_s - start_s:.3f} to"
            f" {run.ended_s() - start_s:.3f}, events at {events or 'no time'}"
        )
    for at_s, kind, fields in played.log:
        if fields.get("request") == call.identity:
            told = {key: fields[key] for key in _TOLD if fields.get(key) not in (None, "")}
            lines.append(f"log {at_s - start_s:.3f} {kind} {told}")
    return "\n    ".join(lines)


def _describe_sent(sent: Sent, start_s: float) -> str:
    return f"sent to {sent.target.name} at {sent.at_s - start_s:.3f}"


_TOLD = ("target", "result", "cause", "code", "what", "outcome", "last_event", "started")
