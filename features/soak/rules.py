"""Check the rules about one request: REFUSED, TWICE, ORDER, MIXED and UNASKED."""

from collections import defaultdict
from itertools import pairwise

from soak.record import PROMISES
from soak.record import Arrival
from soak.record import Attempt
from soak.record import Kind
from soak.record import Record
from soak.targets import EVENT_COUNT

STILL_WORKS_S = 0.4
MIXED_STREAMS_AT_MOST = 2


def check_refused(record: Record) -> list[str]:
    """Return what was answered as not run, may run once at most, and ran."""
    runs = _runs(record)
    return [
        f"{describe(each)} ran: {_describe_runs(runs[each.identity])}"
        for each in record.attempts
        if not each.kind.is_idempotent and each.status in PROMISES and runs[each.identity]
    ]


def check_twice(record: Record) -> list[str]:
    """Return what may run once and ran again, and what went on while the run before worked."""
    runs = _runs(record)
    again = [
        f"{describe(each)} ran {len(runs[each.identity])} times: "
        f"{_describe_runs(runs[each.identity])}"
        for each in record.attempts
        if not each.kind.is_idempotent and len(runs[each.identity]) > 1
    ]
    return again + _still_at_work(record)


def _still_at_work(record: Record) -> list[str]:
    signed = record.runs_by_signature()
    cases = []
    for attempt in record.attempts:
        for one, other in pairwise(attempt.pieces):
            before, after = signed.get(one.run), signed.get(other.run)
            if not before or not after or before.target == after.target:
                continue
            worked_s = (before.ended_s or float("inf")) - after.at_s
            until_s = after.at_s + STILL_WORKS_S
            if worked_s > STILL_WORKS_S and record.is_in_touch(attempt.entry, one.at_s, until_s):
                cases.append(
                    f"{describe(attempt)} went on at {after.target} while {before.target} "
                    f"worked on for {worked_s:.3f} s"
                )
    return cases


def check_order(record: Record) -> list[str]:
    """Return streams with a wrong order of events, and those of two versions beyond two."""
    signed = record.runs_by_signature()
    cases = [
        f"{describe(each)}: {wrong}"
        for each in record.attempts
        if each.kind.is_stream and (wrong := _wrong_order(each, signed))
    ]
    mixed = _mixed_streams(record, signed)
    return cases + (mixed if len(mixed) > MIXED_STREAMS_AT_MOST else [])


def _wrong_order(attempt: Attempt, signed: dict[str, Arrival]) -> str:
    numbers = [piece.number for piece in attempt.pieces]
    expected = list(range(attempt.last_event + 1, attempt.last_event + 1 + len(numbers)))
    if numbers != expected:
        return f"events {numbers} after {attempt.last_event}"
    if attempt.complete and attempt.succeeded and max([attempt.last_event, *numbers]) < EVENT_COUNT:
        return f"complete after {numbers}"
    for one, other in pairwise(attempt.pieces):
        if one.run == other.run:
            continue
        run = signed.get(other.run)
        if attempt.kind is Kind.STREAM:
            return f"event {other.number} is of another run, {other.run} after {one.run}"
        if not run or run.last_event != one.number:
            return f"event {other.number} is of a run that began elsewhere: {other.run}"
    return ""


def _mixed_streams(record: Record, signed: dict[str, Arrival]) -> list[str]:
    """Return the streams that hold events of two versions over all tries."""
    versions: dict[str, dict[str, None]] = defaultdict(dict)
    last: dict[str, Attempt] = {}
    for attempt in record.attempts:
        for piece in attempt.pieces:
            if run := signed.get(piece.run):
                versions[attempt.request][run.version] = None
                last[attempt.request] = attempt
    return [
        f"{describe(last[request])} holds events of versions {', '.join(found)}"
        for request, found in versions.items()
        if len(found) > 1
    ]


def check_mixed(record: Record) -> list[str]:
    """Return answers that aren't the whole answer of a target, or belong to another request."""
    signed = record.runs_by_signature()
    return [
        f"{describe(each)}: {wrong}"
        for each in record.attempts
        if (wrong := _wrong_answer(each, signed))
    ]


def _wrong_answer(attempt: Attempt, signed: dict[str, Arrival]) -> str:
    if attempt.stray:
        return f"bytes that nobody asked for: {attempt.stray[:80]!r}"
    if attempt.error.startswith("no HTTP"):
        return f"bytes that are no answer, {attempt.error}"
    run = signed.get(attempt.signature)
    if not attempt.signature:
        return "a success without proof" if attempt.succeeded else ""
    if not run:
        return f"the proof of no run, {attempt.signature}"
    if run.identity != attempt.identity:
        return f"the answer to {run.identity}"
    if run.status != attempt.status:
        return f"the target had answered {run.status}"
    whole = attempt.complete and not attempt.kind.is_stream
    if whole and attempt.text != run.text:
        return f"the body isn't the target's: {attempt.text[:80]!r}"
    return ""


def check_unasked(record: Record) -> list[str]:
    """Return runs that no caller asked for, or that were changed on the way."""
    sent = {each.identity: each for each in record.attempts}
    cases = []
    for run in record.arrivals:
        attempt = sent.get(run.identity)
        if not run.ran:
            continue
        if attempt is None:
            cases.append(f"{run.target} ran {run.identity!r}, which nobody sent")
        elif (run.path, run.request) != (attempt.path, attempt.request):
            cases.append(f"{describe(attempt)} ran as {run.request!r} at path {run.path}")
    return cases


def describe(attempt: Attempt) -> str:
    """Return a line about one try."""
    end_s = attempt.end_s if attempt.end_s is not None else float("nan")
    outcome = f"answered {attempt.status}" if attempt.status else "not answered"
    if not attempt.complete:
        outcome += f", broken off ({attempt.error or 'the caller left'})"
    return (
        f"{attempt.identity} {attempt.kind.value} at {attempt.entry} sent {attempt.sent_s:.3f} "
        f"limit {attempt.limit_s:.3f} {outcome} at {end_s:.3f}"
    )


def _runs(record: Record) -> dict[str, list[Arrival]]:
    runs: dict[str, list[Arrival]] = defaultdict(list)
    for arrival in record.arrivals:
        if arrival.ran:
            runs[arrival.identity].append(arrival)
    return runs


def _describe_runs(runs: list[Arrival]) -> str:
    return "; ".join(
        f"{each.target} from {each.at_s:.3f} to {each.ended_s or float('nan'):.3f} "
        f"status {each.status}"
        for each in runs
    )
