"""Define what an operator asks an entry of a choice, and the entry's explanation."""

from typing import Annotated

import msgspec

EXPLAIN_PATH = "/explain"

Count = Annotated[int, msgspec.Meta(ge=0, le=999_999_999)]


class ExplainRequest(msgspec.Struct, forbid_unknown_fields=True):
    """Describe a request as its caller would send it. Headers come first, then the fields."""

    host: Annotated[str, msgspec.Meta(min_length=1)]
    path: Annotated[str, msgspec.Meta(pattern="^/")]
    method: Annotated[str, msgspec.Meta(pattern="^[A-Z]+$")] = "POST"
    # A model, or a model and an adapter with a slash between them.
    model: str = ""
    prompt_tokens: Count = 0
    output_tokens: Count = 0
    # The parts of the prompt in order, the request's own one last.
    parts: list[Annotated[str, msgspec.Meta(pattern="^[^:,]+:[0-9]{1,9}$")]] = []
    # The name of a workspace, in place of an API key.
    workspace: str = ""
    time_limit_ms: Count = 0
    headers: list[tuple[str, str]] = []


class ExplainedTarget(msgspec.Struct):
    """Tell what the choice saw of one target."""

    target: str
    failure_domain: str
    software: str
    may_run: bool
    # The numbered reason why it may not, 0 if it may, and why it may not or is passed over.
    code: int = 0
    reason: str = ""
    # Of an engine, for the request; None for a plain service.
    first_event_ms: float | None = None
    longest_pause_ms: float | None = None
    # Requests of all entries at the target.
    requests: int = 0
    # None if it was not weighed. The parts add up to the cost.
    cost_ms: float | None = None
    cost_parts_ms: dict[str, float] = {}
    # The probability of its choice.
    probability: float = 0.0


class ExplainedRefusal(msgspec.Struct):
    """Tell how the request would be refused."""

    code: int
    name: str
    status: int
    meaning: str
    retry_after_s: float | None
    # What would have to be different for the request to be taken.
    would_change: str


class ExplainedWait(msgspec.Struct):
    """Tell what the request would wait for; times are None if unknown."""

    what: str
    expected_ms: int | None = None
    at_most_ms: int | None = None


class ExplainedStream(msgspec.Struct):
    """Tell where a stream that is taken up may go on."""

    # The software version that began it, empty if the entry doesn't know it, and how it does.
    version: str = ""
    known_by: str = ""
    # Some of the targets that can run it, for each version that serves.
    holders: dict[str, list[str]] = {}
    # The time until a load of its model at its version ends; None if none is planned.
    ready_in_ms: int | None = None


class Explanation(msgspec.Struct):
    """Tell where an entry would send a request now, and why."""

    entry: str
    configuration_version: int
    route: str = ""
    service: str = ""
    workspace: str = ""
    # The request's rank in queues, 0 first; None if no route was found.
    rank: int | None = None
    # The age of what is known of the other entries' work.
    load_age_ms: int = 0
    # The target that was chosen, and the one that would be if it refused the request.
    chosen: str | None = None
    next: str | None = None
    # By how much a target may cost more than the cheapest and be drawn too; 0 if none is drawn.
    spread_ms: float = 0.0
    refusal: ExplainedRefusal | None = None
    waits_for: ExplainedWait | None = None
    # None unless the request takes a stream up.
    stream: ExplainedStream | None = None
    targets: list[ExplainedTarget] = []


class ExplainError(msgspec.Struct):
    """Tell which field of the question is wrong."""

    code: int
    field: str
    detail: str
