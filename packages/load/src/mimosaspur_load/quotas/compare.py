"""Compare the ways to hold quotas: a line of data for each play, and a table of means."""

import json
from collections.abc import Iterable
from pathlib import Path
from statistics import mean
from statistics import stdev

from rich.progress import track

from mimosaspur_load.quotas.play import play
from mimosaspur_load.quotas.troubles import TROUBLES
from mimosaspur_load.quotas.ways import WAYS

ERRORS = 2.0


def compare(entries: Iterable[int], seeds: int, results: Path) -> str:
    """Play what has no result yet, and return the table."""
    known = {}
    if results.exists():
        for line in results.read_text(encoding="utf-8").splitlines():
            done = json.loads(line)
            known[done["way"], done["trouble"], done["entries"], done["seed"]] = done
    wanted = [
        (way, trouble, count, seed)
        for count in entries
        for trouble in TROUBLES
        for seed in range(seeds)
        for way in WAYS
    ]
    missing = [each for each in wanted if each not in known]
    with results.open("a", encoding="utf-8") as lines:
        for key in track(missing, description="plays"):
            way, trouble, count, seed = key
            outcome = play(way, trouble, entries=count, seed=seed)
            done = {
                "way": way,
                "trouble": trouble,
                "entries": count,
                "seed": seed,
                "worst_window": round(outcome.worst_window, 4),
                "refused_within": round(outcome.refused_within, 5),
                "bytes_per_s": round(outcome.bytes_per_s, 1),
            }
            known[key] = done
            lines.write(json.dumps(done) + "\n")
            lines.flush()
    return _table([known[each] for each in wanted])


def _table(plays: list[dict[str, float]]) -> str:
    head = "| entries | trouble | way | fullest window, most | refused within quota, % | bytes/s |"
    lines = [head, "| --- | --- | --- | --- | --- | --- |"]
    groups: dict[tuple[object, ...], list[dict[str, float]]] = {}
    for each in plays:
        groups.setdefault((each["entries"], each["trouble"], each["way"]), []).append(each)
    for (count, trouble, way), group in groups.items():
        refused = [100 * each["refused_within"] for each in group]
        error = ERRORS * stdev(refused) / len(refused) ** 0.5 if len(refused) > 1 else 0.0
        lines.append(
            f"| {count} | {trouble} | {way} | {max(each['worst_window'] for each in group):.2f} "
            f"| {mean(refused):.2f} ± {error:.2f} "
            f"| {mean(each['bytes_per_s'] for each in group):.0f} |"
        )
    return "\n".join(lines)
