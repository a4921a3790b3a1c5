"""Measure what the path through entry and target adds to the engine alone."""

import sys
import time
from dataclasses import asdict
from dataclasses import dataclass
from pathlib import Path

import numpy as np

from mimosaspur_load.bench import ENTRY
from mimosaspur_load.bench import MODEL
from mimosaspur_load.bench import RESIDENT
from mimosaspur_load.bench import TARGET
from mimosaspur_load.bench import bench_site
from mimosaspur_load.procfs import cpu_ms
from mimosaspur_load.procfs import load_average
from mimosaspur_load.report import table
from mimosaspur_load.report import write
from mimosaspur_load.site import Site
from mimosaspur_load.timing import Streams
from mimosaspur_load.timing import Timed
from mimosaspur_load.timing import time_stream

PREFILL_MS = 20
TOKEN_MS = 5
WARM_UP = 5
TOKENS = 60
COST_TOKENS = (2, 60, 200)
COST_STREAMS = 8
COST_S = 8.0
MS_PER_SECOND = 1000


@dataclass(slots=True, frozen=True)
class Compared:
    """Hold one measure direct and through the path, in milliseconds."""

    name: str
    direct_p50: float
    path_p50: float
    direct_p99: float
    path_p99: float


@dataclass(slots=True, frozen=True)
class Cost:
    """Hold a role's processor time in ms, as measured per request by its tokens, and fitted."""

    role: str
    measured_ms: dict[int, float]
    per_request_ms: float
    per_token_ms: float
    tokens_per_second_per_core: float


def overhead(samples: int, out: Path | None) -> None:
    """Time streams direct and through the path in turn, then weigh the processor time."""
    with bench_site(prefill_ms=PREFILL_MS, token_ms=TOKEN_MS) as site:
        compared = _compare(site, samples)
        costs = stream_costs(site)
    rows = [["", "direct p50", "path p50", "added p50", "ratio p50", "direct p99", "path p99"]]
    rows += [_row(item) for item in compared]
    cost_rows = [["processor time", "ms per request", "ms per token", "tokens/s per core"]]
    cost_rows += [_cost_row(item) for item in costs]
    heading = (
        f"{samples} streams of {TOKENS} tokens each way, in turn, one at a time; engine: prefill "
        f"{PREFILL_MS} ms, {TOKEN_MS} ms a token; costs at {COST_STREAMS} streams; "
        f"load average {load_average():.1f}"
    )
    text = f"{heading}\n{table(rows)}\n\n{table(cost_rows)}"
    value = {
        "command": sys.argv[1:],
        "latency_ms": [asdict(item) for item in compared],
        "costs": [asdict(item) for item in costs],
        "load_average": load_average(),
    }
    write(out, "overhead", text, value)


def _compare(site: Site, samples: int) -> list[Compared]:
    engine = site.engines[TARGET].address
    entry = site.daemons[ENTRY].started.address
    for _ in range(WARM_UP):
        time_stream(engine, RESIDENT, TOKENS)
        time_stream(entry, MODEL, TOKENS)
    direct: list[Timed] = []
    path: list[Timed] = []
    for _ in range(samples):
        direct.append(time_stream(engine, RESIDENT, TOKENS))
        path.append(time_stream(entry, MODEL, TOKENS))
    return [
        _compared("first token", [t.first_ms for t in direct], [t.first_ms for t in path]),
        _compared("per token", [t.per_token_ms for t in direct], [t.per_token_ms for t in path]),
        _compared("between tokens", _gaps(direct), _gaps(path)),
        _compared("last token", [t.token_ms[-1] for t in direct], [t.token_ms[-1] for t in path]),
    ]


def stream_costs(site: Site) -> list[Cost]:
    """Fit each role's processor time per request to the tokens in it."""
    roles = {"entry": ENTRY, "target": TARGET}
    spent: dict[str, list[float]] = {role: [] for role in roles}
    pids = {role: site.daemons[name].started.pid for role, name in roles.items()}
    idle_ms = {role: _idle_ms(pid) for role, pid in pids.items()}
    for tokens in COST_TOKENS:
        streams = Streams(
            site.daemons[ENTRY].started.address, MODEL, count=COST_STREAMS, tokens=tokens
        )
        before = {role: cpu_ms(pid) for role, pid in pids.items()}
        began = time.monotonic()
        streams.start()
        time.sleep(COST_S)
        streams.stop()
        took_s = time.monotonic() - began
        for role, pid in pids.items():
            used_ms = cpu_ms(pid) - before[role] - idle_ms[role] * took_s
            spent[role].append(used_ms / streams.done)
    return [_cost(role, values) for role, values in spent.items()]


def _idle_ms(pid: int) -> float:
    before = cpu_ms(pid)
    time.sleep(COST_S)
    return (cpu_ms(pid) - before) / COST_S


def _cost(role: str, values: list[float]) -> Cost:
    slope, intercept = np.polyfit(np.array(COST_TOKENS), np.array(values), 1)
    measured = dict(zip(COST_TOKENS, values, strict=True))
    return Cost(role, measured, float(intercept), float(slope), float(MS_PER_SECOND / slope))


def _gaps(timed: list[Timed]) -> list[float]:
    return [float(gap) for item in timed for gap in np.diff(item.token_ms)]


def _compared(name: str, direct: list[float], path: list[float]) -> Compared:
    levels = [float(np.percentile(values, q)) for q in (50, 99) for values in (direct, path)]
    return Compared(name, *levels)


def _row(item: Compared) -> list[str]:
    numbers = [
        item.direct_p50,
        item.path_p50,
        item.path_p50 - item.direct_p50,
        item.path_p50 / item.direct_p50,
        item.direct_p99,
        item.path_p99,
    ]
    return [f"{item.name} ms", *(f"{number:.2f}" for number in numbers)]


def _cost_row(item: Cost) -> list[str]:
    carried = f"{item.tokens_per_second_per_core:.0f}"
    return [item.role, f"{item.per_request_ms:.2f}", f"{item.per_token_ms:.4f}", carried]
