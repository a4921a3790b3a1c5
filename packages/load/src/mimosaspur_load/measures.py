"""Work out the figures of a run."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
from typing import Any

import numpy as np

from mimosaspur_load.arrivals import Arrival
from mimosaspur_load.arrivals import Kind
from mimosaspur_load.control import call
from mimosaspur_load.outcomes import Class
from mimosaspur_load.outcomes import Seen
from mimosaspur_load.outcomes import Wanted
from mimosaspur_load.outcomes import classify
from mimosaspur_load.shapes import MODEL_PREFIX
from mimosaspur_load.site import Site
from mimosaspur_standins.answers import expected_answer

MUST_BE_NONE = (
    Class.LOST,
    Class.CUT,
    Class.WRONG,
    Class.DOUBLED,
    Class.RAN_THOUGH_REFUSED,
)
MOVES = ("load", "unload")
EXAMPLES = 5
MS_PER_SECOND = 1000
FIRST_TOKEN_MS = 1500
PERCENTILES = (50, 95, 99)

Residents = dict[str, set[str]]


@dataclass(slots=True)
class EngineCounts:
    """Hold what one engine counts: loads and unloads, those of models alone, runs by request."""

    moves: int
    model_moves: int
    overcommitted: bool
    runs: Counter[str]


@dataclass(slots=True)
class Figures:
    """Hold a run's figures; times are milliseconds."""

    requests: int
    classes: dict[str, int]
    refusals: dict[str, int]
    failures: dict[str, int]
    attainment: float
    attainment_per_accelerator: float
    refused_at_s: dict[str, int]
    moves: int
    model_moves: int
    overcommitted: int
    broken_promises: int
    first_ms: dict[str, float]
    first_within_limit: float
    gap_ms: dict[str, float]
    tokens_per_second: float
    sent_late_p99_ms: float
    chat_runs_per_answer: float
    examples: list[dict[str, Any]]
    notes: dict[str, Any] = field(default_factory=dict)


def engine_counts(site: Site) -> dict[str, EngineCounts]:
    """Ask every engine that still runs; what a killed one counted is lost with it."""
    found: dict[str, EngineCounts] = {}
    for name, engine in site.engines.items():
        if engine.process.poll() is None:
            found[name] = _engine_counts(call(engine.address, "GET", "/log"))
    return found


def service_runs(site: Site) -> Counter[str]:
    """Return how often each body ran at the plain services."""
    runs: Counter[str] = Counter()
    for service in site.services.values():
        runs.update(call(service.address, "GET", "/log")["by_body"])
    return runs


def figures_of(
    site: Site,
    arrivals: list[Arrival],
    seen: list[Seen],
    residents: Residents,
    before: dict[str, EngineCounts],
) -> Figures:
    """Class every request and sum up."""
    after = engine_counts(site)
    chat_runs = _runs_by_request(after)
    bodies = service_runs(site)
    classes: Counter[str] = Counter()
    codes: dict[Class, Counter[str]] = {Class.REFUSED: Counter(), Class.FAILED: Counter()}
    refused_at_s: Counter[str] = Counter()
    examples: list[dict[str, Any]] = []
    for arrival, answer in zip(arrivals, seen, strict=True):
        keyed = arrival.kind is Kind.SERVICE
        runs = bodies[arrival.content] if keyed else chat_runs[answer.request_id]
        found = classify(answer, _wanted(arrival, residents), runs=runs, keyed=keyed)
        classes[found.value] += 1
        if found in codes:
            code = f"{answer.error_code} {arrival.kind.value}"
            codes[found][code] += 1
            refused_at_s[str(int(arrival.at_ms // MS_PER_SECOND))] += 1
        is_first = found in codes and codes[found][code] == 1
        if is_first or (found in MUST_BE_NONE and len(examples) < EXAMPLES):
            examples.append(_example(arrival, answer, found, runs))
    served = classes[Class.SERVED.value] / max(1, len(arrivals))
    answered = sum(1 for item in seen if item.whole and item.text)
    return Figures(
        requests=len(arrivals),
        classes=dict(classes),
        refusals=dict(codes[Class.REFUSED]),
        failures=dict(codes[Class.FAILED]),
        attainment=served,
        attainment_per_accelerator=served / site.shape.accelerators,
        refused_at_s=dict(refused_at_s),
        moves=sum(item.moves - before[name].moves for name, item in after.items()),
        model_moves=sum(
            item.model_moves - before[name].model_moves for name, item in after.items()
        ),
        overcommitted=sum(item.overcommitted for item in after.values()),
        broken_promises=sum(classes[item.value] for item in MUST_BE_NONE),
        first_ms=percentiles(item.first_ms for item in seen if item.first_ms is not None),
        first_within_limit=_share_within(seen),
        gap_ms=percentiles(gap for item in seen for gap in item.gaps_ms),
        tokens_per_second=_tokens_per_second(arrivals, seen),
        sent_late_p99_ms=percentiles(item.sent_ms for item in seen)["p99"],
        chat_runs_per_answer=sum(chat_runs.values()) / max(1, answered),
        examples=examples,
    )


def percentiles(values: Iterable[float]) -> dict[str, float]:
    """Return the percentiles that reports print, and the largest; 0 of nothing."""
    numbers = np.array(list(values) or [0.0])
    found = {f"p{level}": float(np.percentile(numbers, level)) for level in PERCENTILES}
    return {**found, "max": float(numbers.max())}


def _wanted(arrival: Arrival, residents: Residents) -> Wanted:
    if arrival.kind is Kind.SERVICE:
        return Wanted(frozenset({arrival.content}), arrival.deadline_ms)
    texts = {
        expected_answer(resident, arrival.content, arrival.max_tokens)
        for resident in residents[arrival.name]
    }
    return Wanted(frozenset(texts), arrival.deadline_ms)


def _engine_counts(log: dict[str, Any]) -> EngineCounts:
    orders = [order["id"] for order in log["orders"] if order["kind"] in MOVES]
    return EngineCounts(
        moves=log["loads"] + log["unloads"],
        model_moves=sum(1 for resident in orders if resident.startswith(MODEL_PREFIX)),
        overcommitted=bool(log["overcommitted"]),
        runs=Counter(log["runs"]),
    )


def _runs_by_request(counts: dict[str, EngineCounts]) -> Counter[str]:
    """Sum runs over a request's attempts; an engine knows them as REQUEST-ATTEMPT."""
    found: Counter[str] = Counter()
    for engine in counts.values():
        for run, count in engine.runs.items():
            found[run.rpartition("-")[0]] += count
    return found


def _example(arrival: Arrival, seen: Seen, found: Class, runs: int) -> dict[str, Any]:
    return {
        "class": found.value,
        "at_ms": round(arrival.at_ms),
        "name": arrival.name,
        "stream": arrival.stream,
        "status": seen.status,
        "code": seen.error_code,
        "detail": seen.detail,
        "end_ms": round(seen.end_ms),
        "runs": runs,
        "request_id": seen.request_id,
    }


def _share_within(seen: list[Seen]) -> float:
    firsts = [item.first_ms for item in seen if item.first_ms is not None]
    return sum(1 for first in firsts if first <= FIRST_TOKEN_MS) / max(1, len(firsts))


def _tokens_per_second(arrivals: list[Arrival], seen: list[Seen]) -> float:
    done = zip(arrivals, seen, strict=True)
    tokens = sum(item.max_tokens for item, answer in done if answer.whole and answer.text)
    last_ms = max((item.at_ms for item in arrivals), default=1)
    return tokens * MS_PER_SECOND / last_ms
