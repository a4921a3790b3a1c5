"""Make small records of a soak that break a rule, or only just keep it."""

from collections.abc import Callable
from functools import partial
from typing import Any

from soak.record import CUT_OFF
from soak.record import KILL
from soak.record import RELOAD
from soak.record import STALL
from soak.record import STOP
from soak.record import Arrival
from soak.record import Attempt
from soak.record import Disturbance
from soak.record import Ending
from soak.record import Kind
from soak.record import Order
from soak.record import Piece
from soak.record import Readiness
from soak.record import Record
from soak.record import TargetLife
from soak.targets import EVENT_COUNT

SENT_S = 100.0
ENTRY = "entry-0"
OTHER_ENTRY = "entry-1"


class RecordBuilder:
    """Add tries with their runs to a record."""

    def __init__(self) -> None:
        self.record = Record()
        self.count = 0

    def attempt(self, kind: Kind, *, service: str = "calm", **fields: Any) -> Attempt:
        """Add a try that was answered 200 after 0.1 s, changed by the fields."""
        self.count += 1
        name = f"q{self.count}"
        path = f"/{kind.value}-{service}/x"
        attempt = Attempt(f"{name}-1", name, kind, ENTRY, path, SENT_S, 4.0)
        attempt.status, attempt.complete = 200, True
        for field, value in fields.items():
            setattr(attempt, field, value)
        if attempt.end_s is None:
            attempt.end_s = attempt.sent_s + 0.1
        attempt.head_s = attempt.end_s if attempt.status else None
        self.record.attempts.append(attempt)
        return attempt

    def run(self, attempt: Attempt, **fields: Any) -> Arrival:
        """Add a run of a try, and its answer where none is set."""
        run = Arrival(
            attempt.identity, "calm-1", "calm", "v1", attempt.request, attempt.path, attempt.sent_s
        )
        run.ran, run.status, run.deadline_ms = True, attempt.status, attempt.limit_s * 1000
        for field, value in fields.items():
            setattr(run, field, value)
        run.service = run.target.partition("-")[0]
        run.signature = f"{run.target}.{len(self.record.arrivals)}.{run.identity}"
        run.text = f"{run.signature} answers"
        run.ended_s = run.ended_s or run.at_s + 0.05
        self.record.arrivals.append(run)
        if attempt.succeeded and not attempt.signature:
            attempt.signature, attempt.text = run.signature, run.text
        return run

    def served(self, kind: Kind, *, service: str = "calm", **fields: Any) -> Attempt:
        """Add a try that ran."""
        attempt = self.attempt(kind, service=service, **fields)
        self.run(attempt, target=f"{service}-1")
        return attempt

    def cut(self, **fields: Any) -> Attempt:
        """Add a try that was passed on and not answered."""
        return self.served(Kind.UNSAFE, status=0, complete=False, error="closed", **fields)

    def stream(self, kind: Kind, *runs: tuple[str, str, range], **fields: Any) -> Attempt:
        """Add a stream of events of runs, each with its target, version and events."""
        attempt = self.attempt(kind, service="streams", **fields)
        for target, version, numbers in runs:
            first = numbers[0] - 1 if kind is Kind.RESUMABLE else attempt.last_event
            at_s = attempt.sent_s + numbers[0] / 10
            run = self.run(attempt, target=target, version=version, last_event=first, at_s=at_s)
            for number in numbers:
                piece = Piece(attempt.sent_s + number / 10, number, run.signature)
                attempt.pieces.append(piece)
        return attempt

    def disturb(self, kind: str, start_s: float, end_s: float, where: str = ENTRY) -> None:
        """Add a disturbance."""
        self.record.disturbances.append(Disturbance(kind, where, start_s, end_s))


EXAMPLES: dict[str, Callable[[RecordBuilder], None]] = {}


def build(name: str) -> Record:
    """Return the record of an example."""
    builder = RecordBuilder()
    EXAMPLES[name](builder)
    return builder.record


def _example(name: str) -> Callable[[Callable[..., None]], Callable[..., None]]:
    def add(function: Callable[..., None]) -> Callable[..., None]:
        EXAMPLES[name] = function
        return function

    return add


def _examples(function: Callable[..., None], **names: Any) -> None:
    """Add examples that differ in one argument."""
    for name, value in names.items():
        EXAMPLES[name.replace("_", " ")] = partial(_call, function, value)


def _call(function: Callable[..., None], value: Any, builder: RecordBuilder) -> None:
    function(builder, value)


ALL = range(1, EVENT_COUNT + 1)
HEAD = range(1, 4)
TAIL = range(4, EVENT_COUNT + 1)


def _answered(builder: RecordBuilder, status: int) -> None:
    builder.served(Kind.UNSAFE, status=status)


_examples(_answered, an_unsafe_run_answered_503=503, an_unsafe_run_answered_504=504)


def _runs_twice(builder: RecordBuilder, kind: Kind) -> None:
    builder.run(builder.served(kind), target="calm-2")


_examples(_runs_twice, two_runs_of_an_unsafe_request=Kind.UNSAFE)
_examples(_runs_twice, two_runs_of_a_safe_request=Kind.SAFE)


def _works_on(builder: RecordBuilder, seconds: float) -> None:
    runs = (("streams-1", "v1", HEAD), ("streams-2", "v1", TAIL))
    builder.stream(Kind.RESUMABLE, *runs)
    first, second = builder.record.arrivals
    first.ended_s = second.at_s + seconds


_examples(_works_on, a_stream_that_goes_on_500_ms_before_the_end=0.5)
_examples(_works_on, a_stream_that_goes_on_300_ms_before_the_end=0.3)


def _events(builder: RecordBuilder, numbers: list[int]) -> None:
    attempt = builder.stream(Kind.STREAM, ("streams-1", "v1", ALL))
    run = attempt.pieces[0].run
    attempt.pieces = [Piece(SENT_S, number, run) for number in numbers]


_examples(
    _events,
    a_stream_without_its_third_event=[1, 2, 4, 5, 6, 7, 8],
    a_stream_with_an_event_twice=[1, 2, 2, 3, 4, 5, 6, 7, 8],
    a_stream_that_is_complete_after_three_events=[1, 2, 3],
    a_whole_stream=list(ALL),
)


@_example("a stream that is broken off after three events")
def _broken_stream(builder: RecordBuilder) -> None:
    builder.stream(Kind.STREAM, ("streams-1", "v1", HEAD), complete=False, error="closed")


@_example("a stream joined of two runs")
def _joined(builder: RecordBuilder) -> None:
    attempt = builder.stream(Kind.STREAM, ("streams-1", "v1", ALL))
    attempt.pieces[-1].run = "another"


@_example("a resumed stream")
def _resumed(builder: RecordBuilder) -> None:
    builder.stream(Kind.RESUMABLE, ("streams-1", "v1", HEAD), ("streams-2", "v1", TAIL))


@_example("a stream that goes on at another event")
def _goes_on_elsewhere(builder: RecordBuilder) -> None:
    _resumed(builder)
    builder.record.arrivals[-1].last_event = 2


def _versions(builder: RecordBuilder, count: int) -> None:
    for _ in range(count):
        first = builder.stream(Kind.RESUMABLE, ("streams-1", "v1", HEAD), complete=False)
        runs = ("streams-2", "v2", TAIL)
        builder.stream(Kind.RESUMABLE, runs, last_event=3, request=first.request)


_examples(_versions, three_streams_of_two_versions=3, two_streams_of_two_versions=2)


def _cut_at(builder: RecordBuilder, what: tuple[str, float, float]) -> None:
    kind, start_s, end_s = what
    builder.cut()
    builder.disturb(kind, start_s, end_s)


_examples(
    _cut_at,
    an_answer_cut_after_SIGTERM=(STOP, SENT_S - 1, SENT_S + 5),
    an_answer_cut_after_SIGHUP=(RELOAD, SENT_S - 1, SENT_S - 1),
    an_answer_cut_by_a_kill=(KILL, SENT_S + 0.05, SENT_S + 5),
    an_answer_cut_20_s_after_SIGTERM=(STOP, SENT_S - 20, SENT_S - 15),
)


@_example("an answer cut at its time limit after SIGTERM")
def _cut_at_limit(builder: RecordBuilder) -> None:
    builder.cut(limit_s=0.1)
    builder.disturb(STOP, SENT_S - 1, SENT_S + 5)


@_example("an answer that its target broke off after SIGTERM")
def _broken_by_target(builder: RecordBuilder) -> None:
    builder.cut()
    builder.record.arrivals[0].broke = True
    builder.disturb(STOP, SENT_S - 1, SENT_S + 5)


def _cut_beside_configuration(builder: RecordBuilder, others_cut: int) -> None:
    builder.record.configured_s.append(SENT_S - 0.5)
    builder.cut()
    for number in range(10):
        builder.served(Kind.SAFE, sent_s=SENT_S + 20 + number)
    for number in range(others_cut):
        builder.cut(sent_s=SENT_S + 40 + number)


_examples(_cut_beside_configuration, an_answer_cut_beside_a_configuration=0)
_examples(_cut_beside_configuration, answers_cut_as_often_at_other_times=9)


def _cut_kept(builder: RecordBuilder, count: int) -> None:
    for _ in range(count):
        builder.cut(kept=True)


_examples(_cut_kept, four_answers_lost_on_kept_connections=4)
_examples(_cut_kept, three_answers_lost_on_kept_connections=3)


def _taken_up(builder: RecordBuilder, going_on: int) -> None:
    builder.record.targets += [TargetLife(f"streams-{n}", "streams", "v1", 0.0) for n in (1, 2)]
    for number in range(12):
        first = builder.stream(Kind.RESUMABLE, ("streams-1", "v1", HEAD), complete=False)
        again: dict[str, Any] = {"last_event": 3, "request": first.request}
        if number < going_on:
            builder.stream(Kind.RESUMABLE, ("streams-2", "v1", TAIL), **again)
        else:
            builder.attempt(Kind.RESUMABLE, status=503, **again)


_examples(_taken_up, five_of_twelve_streams_go_on=5, six_of_twelve_streams_go_on=6)


def _taken_up_beside_others(builder: RecordBuilder, leaving_s: float) -> None:
    """Let five of twelve streams go on, while another service has targets of their version."""
    _taken_up(builder, 5)
    for target in builder.record.targets:
        target.draining_s = leaving_s
    builder.record.targets += [TargetLife(f"calm-{n}", "calm", "v1", 0.0) for n in (1, 2)]


_examples(
    _taken_up_beside_others,
    five_of_twelve_streams_go_on_whose_targets_have_left=SENT_S - 1,
    five_of_twelve_streams_go_on_whose_targets_leave_a_minute_later=SENT_S + 60,
)


def _moved(builder: RecordBuilder, going_on: int) -> None:
    _taken_up(builder, going_on)
    for attempt in builder.record.attempts:
        if attempt.last_event and attempt.pieces:
            attempt.gave_up = attempt.moves = True


_examples(_moved, five_of_twelve_streams_that_move_go_on=5, six_of_twelve_streams_that_move_go_on=6)


def _served_with(builder: RecordBuilder, changes: dict[str, Any]) -> None:
    attempt = builder.served(Kind.SAFE)
    for field, value in changes.items():
        setattr(attempt, field, value)


_examples(
    _served_with,
    a_success_without_proof={"signature": ""},
    a_success_with_another_body={"text": "another"},
    a_success_where_the_target_had_answered_otherwise={"status": 206},
    a_connection_with_bytes_before_the_request={"stray": "HTTP/1.1 200 OK"},
    a_success_with_the_whole_body={},
    a_success_with_half_the_body_that_was_broken_off={"text": "half", "complete": False},
)


@_example("a success with another request's answer")
def _another_answer(builder: RecordBuilder) -> None:
    mine, other = builder.served(Kind.SAFE), builder.served(Kind.SAFE)
    mine.signature, mine.text = other.signature, other.text


def _ran_as(builder: RecordBuilder, changes: dict[str, Any]) -> None:
    run = builder.run(builder.attempt(Kind.SAFE, status=504))
    for field, value in changes.items():
        setattr(run, field, value)


_examples(
    _ran_as,
    a_run_that_nobody_asked_for={"identity": "q9-9"},
    a_run_at_another_path={"path": "/other/x"},
    a_run_of_another_body={"request": "other"},
    a_run_as_it_was_sent={},
)


def _orders(builder: RecordBuilder, orders: list[tuple[float, str, int]]) -> None:
    for at_s, holder, token in orders:
        builder.record.orders.append(Order(at_s, "engine-1", holder, token, 202))


_examples(
    _orders,
    a_lower_token_after_a_higher_one=[(1.0, ENTRY, 2), (9.0, OTHER_ENTRY, 1)],
    two_holders_with_one_token=[(1.0, ENTRY, 1), (9.0, OTHER_ENTRY, 1)],
    holders_that_take_turns=[(1.0, ENTRY, 1), (2.0, OTHER_ENTRY, 2), (3.0, ENTRY, 3)],
    holders_one_after_another=[(1.0, ENTRY, 1), (9.0, OTHER_ENTRY, 2)],
)


@_example("a lower token just after a thaw")
def _thawed(builder: RecordBuilder) -> None:
    _orders(builder, [(1.0, OTHER_ENTRY, 2), (9.0, ENTRY, 1)])
    builder.disturb(STALL, 0.5, 8.9)


def _after_notice(builder: RecordBuilder, seconds: float) -> None:
    builder.served(Kind.SAFE, leaving=True)
    builder.served(Kind.SAFE, sent_s=SENT_S + 0.1 + seconds)


_examples(_after_notice, a_request_2100_ms_after_a_notice=2.1, a_request_1900_ms_after_a_notice=1.9)


@_example("a request 2100 ms after a notice and a stall")
def _notice_forgotten(builder: RecordBuilder) -> None:
    _after_notice(builder, 2.1)
    builder.disturb(STALL, SENT_S + 1, SENT_S + 1.1)


def _after_draining(builder: RecordBuilder, seconds: float) -> None:
    builder.record.targets.append(TargetLife("calm-1", "calm", "v1", 0.0, SENT_S - seconds))
    builder.served(Kind.SAFE)


_examples(_after_draining, a_request_2100_ms_after_the_leaving=2.1)
_examples(_after_draining, a_request_1900_ms_after_the_leaving=1.9)


@_example("a request 2100 ms after the leaving, cut off")
def _cut_off_at_leaving(builder: RecordBuilder) -> None:
    _after_draining(builder, 2.1)
    builder.disturb(CUT_OFF, SENT_S - 3, SENT_S - 1)


def _late_at_leaving(builder: RecordBuilder, late_s: float) -> None:
    _after_draining(builder, 2.1)
    builder.record.note_lateness(SENT_S - 2, SENT_S - 2 + late_s)


_examples(_late_at_leaving, a_request_2100_ms_after_the_leaving_and_a_store_500_ms_late=0.5)
_examples(_late_at_leaving, a_request_2100_ms_after_the_leaving_and_a_store_400_ms_late=0.4)


def _ready_after_stop(builder: RecordBuilder, count: int) -> None:
    for number in range(4):
        name = f"entry-{number}"
        for at_s in range(20):
            ready = number < count or at_s < 12
            builder.record.readiness.append(Readiness(float(at_s), name, ready))
        builder.disturb(STOP, 10.0, 19.0, name)


_examples(_ready_after_stop, two_of_four_ready_after_SIGTERM=2, one_of_four_ready_after_SIGTERM=1)


def _over_attempts(builder: RecordBuilder, count: int) -> None:
    for _ in range(count):
        attempt = builder.attempt(Kind.SAFE)
        for number in range(4):
            builder.run(attempt, target=f"calm-{number}")


_examples(_over_attempts, four_requests_at_four_targets=4, three_requests_at_four_targets=3)


def _handed(builder: RecordBuilder, count: int) -> None:
    for _ in range(count):
        builder.run(builder.attempt(Kind.SAFE), deadline_ms=4_600.0)


_examples(_handed, more_time_than_is_left_21_times=21, more_time_than_is_left_20_times=20)


def _handed_again(builder: RecordBuilder, count: int) -> None:
    for _ in range(count):
        attempt = builder.served(Kind.SAFE)
        builder.run(attempt, target="calm-2", at_s=SENT_S + 0.6, deadline_ms=4_000.0)


_examples(_handed_again, the_same_time_600_ms_later_21_times=21)
_examples(_handed_again, the_same_time_600_ms_later_20_times=20)


def _repeats(builder: RecordBuilder, count: int) -> None:
    for _ in range(10):
        builder.served(Kind.SAFE)
    for number in range(count):
        builder.run(builder.record.attempts[number % 10], target="calm-2")


_examples(_repeats, repeats_57_for_10_requests=57, repeats_56_for_10_requests=56)


def _in_rest(builder: RecordBuilder, count: int) -> None:
    builder.run(builder.attempt(Kind.SAFE, status=503), ran=False, retry_after_s=3.0)
    for _ in range(count):
        builder.served(Kind.SAFE, sent_s=SENT_S + 1)


_examples(_in_rest, three_requests_in_a_rest=3, two_requests_in_a_rest=2)


def _ended(builder: RecordBuilder, after_kill_s: float) -> None:
    builder.disturb(KILL, SENT_S - 5, SENT_S - after_kill_s)
    builder.record.ended.append(Ending(SENT_S, ENTRY, "ended with 1"))


_examples(_ended, an_entry_that_ended_by_itself=2.0, an_entry_that_ended_while_it_started=0.5)


@_example("an entry that outlived its grace")
def _overdue(builder: RecordBuilder) -> None:
    builder.disturb(STOP, SENT_S - 8, SENT_S + 1)
    builder.record.ended.append(Ending(SENT_S, ENTRY, "was still there", overdue=True))
