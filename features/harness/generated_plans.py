"""Generate what happens at an entry whose targets fall silent."""

from dataclasses import dataclass
from enum import Enum

from hypothesis import strategies
from hypothesis.strategies import SearchStrategy

EVENT_COUNT = 6
# Where in an answer something happens: before its head, or before this many events are sent.
BEFORE_HEAD = -1
MAX_TARGETS = 4
MAX_REQUESTS = 6
MAX_CHANGES = 4
# Runs at a target beyond those that are planned go well.
MAX_RUNS = 3
MAX_SILENCES = 2
# Requests and changes are in turn, so that no two of them are at the same time.
STEP_MS = 50
REQUEST_OFFSET_MS = 25
MAX_REQUEST_STEP = 40
MAX_CHANGE_STEP = 100
EVENT_MS = (50, 300, 700)
TIMEOUTS_MS = (12_000, 3_000, 6_000)


class Kind(Enum):
    """Name the kinds of requests, each with a route of its name."""

    RESUMABLE_STREAM = "resumable-stream"
    STREAM = "stream"
    IDEMPOTENT = "safe"
    ONCE = "once"

    @property
    def is_stream(self) -> bool:
        """Return whether its answer is an event stream."""
        return self in (Kind.RESUMABLE_STREAM, Kind.STREAM)

    @property
    def is_repeatable(self) -> bool:
        """Return whether a request that may have run may run again."""
        return self in (Kind.RESUMABLE_STREAM, Kind.IDEMPOTENT)


class Ending(Enum):
    """Name how a run ends."""

    ANSWERS = "answers"
    REFUSES = "refuses it as not run"
    MISDIRECTED = "is another target by now"
    FAILS = "fails"
    CLOSES = "closes the connection"
    RESETS = "resets the connection"


class What(Enum):
    """Name what happens beside the runs."""

    SILENCE = "the target is silent"
    CRASH_CLOSED = "the target crashes, and its connections are closed"
    CRASH_RESET = "the target crashes, and its connections are reset"
    DARK = "the target is silent for ever"
    LAPSE = "the target's registration lapses, and comes back"
    TIMEOUT = "the time limit of all routes changes"
    WEIGHTS = "the weights of the services change"
    REMOVE_ROUTE = "a route is removed"
    ADD_ROUTES = "all routes are there again"
    IDLE = "the idle limit of callers' connections changes"
    STOP = "the entry stops"


@dataclass(slots=True, frozen=True)
class Silence:
    """Describe a pause of one run."""

    at: int
    # Whether it is inside the event, or the body, that comes next.
    inside: bool
    ms: int


@dataclass(slots=True, frozen=True)
class RunPlan:
    """Describe one run at a target."""

    ending: Ending = Ending.ANSWERS
    # Where a run ends that closes or resets its connection.
    ends_at: int = BEFORE_HEAD
    # Whether that is inside the event that comes next.
    ends_inside: bool = False
    silences: tuple[Silence, ...] = ()


@dataclass(slots=True, frozen=True)
class TargetPlan:
    """Describe a target's runs in the order of their requests."""

    event_ms: int = EVENT_MS[0]
    runs: tuple[RunPlan, ...] = ()


@dataclass(slots=True, frozen=True)
class RequestPlan:
    """Describe a request of a caller."""

    step: int
    kind: Kind
    # After how long the caller leaves; 0 if it stays.
    leaves_ms: int = 0


@dataclass(slots=True, frozen=True)
class Change:
    """Describe what happens to a target, to the configuration or to the entry."""

    step: int
    what: What
    # The target's, the route's or the value's number, taken modulo how many there are.
    number: int = 0
    ms: int = 0


@dataclass(slots=True, frozen=True)
class Plan:
    """Describe a play."""

    targets: tuple[TargetPlan, ...]
    requests: tuple[RequestPlan, ...]
    changes: tuple[Change, ...] = ()
    max_attempts: int = 2
    # How many repeats the budget has room for.
    repeats: int = 1_000
    timeout_ms: int = TIMEOUTS_MS[0]
    # Whether the framing of the targets' answers marks their ends.
    framed: bool = True
    # Whether the targets are engines that hold the requests' model.
    engines: bool = False
    # Whether another entry takes the callers of one that stops.
    other_entry: bool = False


_places = strategies.integers(BEFORE_HEAD, EVENT_COUNT - 1)
_silent_ms = strategies.integers(1, 80).map(lambda steps: steps * 50)


def _tuples(
    element: SearchStrategy[object], *, least: int = 0, most: int
) -> SearchStrategy[object]:
    return strategies.lists(element, min_size=least, max_size=most).map(tuple)


_silences = strategies.builds(Silence, _places, strategies.booleans(), _silent_ms)
_runs = strategies.builds(
    RunPlan,
    # Most runs go on to their end, so that silences have time to show what they do.
    strategies.sampled_from([*[Ending.ANSWERS] * 3, *Ending]),
    _places,
    strategies.booleans(),
    _tuples(_silences, most=MAX_SILENCES),
)
_targets = strategies.builds(
    TargetPlan,
    strategies.sampled_from(EVENT_MS),
    _tuples(_runs, most=MAX_RUNS),
)
_requests = strategies.builds(
    RequestPlan,
    strategies.integers(0, MAX_REQUEST_STEP),
    strategies.sampled_from(Kind),
    # Most callers stay.
    strategies.sampled_from((0, 0, 0, 0, 0, 0, 400, 1_300, 2_500)),
)
_changes = strategies.builds(
    Change,
    strategies.integers(0, MAX_CHANGE_STEP),
    strategies.sampled_from([*[What.SILENCE] * 4, *What]),
    strategies.integers(0, MAX_TARGETS - 1),
    _silent_ms,
)

any_plan: SearchStrategy[Plan] = strategies.builds(
    Plan,
    targets=_tuples(_targets, least=1, most=MAX_TARGETS),
    requests=_tuples(_requests, least=1, most=MAX_REQUESTS),
    changes=_tuples(_changes, most=MAX_CHANGES),
    max_attempts=strategies.sampled_from((2, 1, 3)),
    repeats=strategies.sampled_from((1_000, 0, 2)),
    timeout_ms=strategies.sampled_from(TIMEOUTS_MS),
    framed=strategies.sampled_from((True, True, True, False)),
    engines=strategies.booleans(),
    other_entry=strategies.booleans(),
)
