"""Measure what each role costs at a few sizes and fit straight lines through it."""

import sys
import time
from collections.abc import Callable
from dataclasses import asdict
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import numpy as np

from mimosaspur_load.control import call
from mimosaspur_load.procfs import cpu_ms
from mimosaspur_load.procfs import load_average
from mimosaspur_load.procfs import rss_kb
from mimosaspur_load.report import table
from mimosaspur_load.report import write
from mimosaspur_load.site import Site
from mimosaspur_state.errors import MimosaspurError
from mimosaspur_state.errors import StoreUnavailable

SETTLE_S = 6.0
WINDOW_S = 12.0


@dataclass(slots=True, frozen=True)
class Line:
    """Hold one measure at some sizes, and the straight line through it."""

    experiment: str
    role: str
    measure: str
    per: str
    sizes: list[int]
    values: list[float]
    slope: float
    intercept: float


@dataclass(slots=True, frozen=True)
class Point:
    """Hold what one daemon costs: kB, milliseconds a second, and the object API's use."""

    rss_kb: float
    cpu_ms_per_s: float
    calls_per_s: dict[str, float]
    received_bytes_per_s: float
    sent_bytes_per_s: float


Experiment = Callable[[], list[Line]]


def watch(site: Site, names: list[str], *, settle_s: float = SETTLE_S) -> dict[str, Point]:
    """Let daemons settle, then watch what they cost for a while."""
    time.sleep(settle_s)
    pids = {name: site.daemons[name].started.pid for name in names}
    call(site.api, "DELETE", "/counts")
    before = {name: cpu_ms(pid) for name, pid in pids.items()}
    began = time.monotonic()
    time.sleep(WINDOW_S)
    took_s = time.monotonic() - began
    used = {name: (cpu_ms(pid) - before[name]) / took_s for name, pid in pids.items()}
    counts = call(site.api, "GET", "/counts")
    return {name: _point(name, pids[name], used[name], counts, took_s) for name in names}


def fit(experiment: str, role: str, measure: str, per: str, found: dict[int, float]) -> Line:
    """Fit a straight line; a single size gives the value alone."""
    sizes, values = list(found), list(found.values())
    slope, intercept = 0.0, values[0]
    if len(sizes) > 1:
        slope, intercept = (float(number) for number in np.polyfit(sizes, values, 1))
    return Line(experiment, role, measure, per, sizes, values, slope, intercept)


def fit_points(experiment: str, role: str, per: str, points: dict[int, Point]) -> list[Line]:
    """Fit memory, processor time and bytes of one role."""

    def line(measure: str, value: Callable[[Point], float]) -> Line:
        found = {size: value(point) for size, point in points.items()}
        return fit(experiment, role, measure, per, found)

    lines = [
        line("resident kB", lambda point: point.rss_kb),
        line("processor ms/s", lambda point: point.cpu_ms_per_s),
        line("bytes/s from the object API", lambda point: point.sent_bytes_per_s),
        line("bytes/s to the object API", lambda point: point.received_bytes_per_s),
    ]
    kinds = sorted({kind for point in points.values() for kind in point.calls_per_s})
    lines += [line(f"calls/s, {kind}", _calls(kind)) for kind in kinds]
    return lines


def slopes(experiments: dict[str, Experiment], out: Path | None) -> None:
    """Run experiments one after another and report their lines."""
    lines: list[Line] = []
    failed: dict[str, str] = {}
    for name, experiment in experiments.items():
        print(f"slopes: {name}", file=sys.stderr, flush=True)
        try:
            lines += experiment()
        except (RuntimeError, OSError, MimosaspurError, StoreUnavailable) as error:
            failed[name] = repr(error)
    rows = [["experiment", "role", "measure", "at size: value", "slope", "per", "at size 0"]]
    rows += [_row(line) for line in lines]
    heading = (
        f"Each window {WINDOW_S:g} s after {SETTLE_S:g} s; bodies' bytes without headers; "
        f"load average {load_average():.1f}; one experiment again: slopes --only EXPERIMENT"
    )
    text = f"{heading}\n{table(rows)}"
    for name, cause in failed.items():
        text += f"\nNOT MEASURED: {name}: {cause}"
    value: dict[str, Any] = {
        "command": sys.argv[1:],
        "lines": [
            {**asdict(line), "command": f"slopes --only {line.experiment}"} for line in lines
        ],
        "failed": failed,
        "load_average": load_average(),
    }
    write(out, "slopes", text, value)


def _point(name: str, pid: int, cpu: float, counts: dict[str, Any], took_s: float) -> Point:
    kinds: dict[str, int] = counts["by_caller"].get(name, {})
    sizes: dict[str, int] = counts["bytes_by_caller"].get(name, {})
    return Point(
        rss_kb=rss_kb(pid),
        cpu_ms_per_s=cpu,
        calls_per_s={kind: count / took_s for kind, count in kinds.items()},
        received_bytes_per_s=sizes.get("received", 0) / took_s,
        sent_bytes_per_s=sizes.get("sent", 0) / took_s,
    )


def _calls(kind: str) -> Callable[[Point], float]:
    return lambda point: point.calls_per_s.get(kind, 0.0)


def _row(line: Line) -> list[str]:
    values = ", ".join(
        f"{size}: {value:.6g}" for size, value in zip(line.sizes, line.values, strict=True)
    )
    slope = f"{line.slope:.4g}" if len(line.sizes) > 1 else "-"
    return [
        line.experiment,
        line.role,
        line.measure,
        values,
        slope,
        line.per,
        f"{line.intercept:.4g}",
    ]
