"""Compare variants of the settings on the same demand, interleaved."""

import sys
from dataclasses import asdict
from pathlib import Path

from mimosaspur_load.measures import Figures
from mimosaspur_load.report import plot_bars
from mimosaspur_load.report import spread
from mimosaspur_load.report import table
from mimosaspur_load.report import write
from mimosaspur_load.runs import Plan
from mimosaspur_load.runs import run_once
from mimosaspur_load.scenarios import Scenario
from mimosaspur_load.shapes import Shape
from mimosaspur_load.variants import Variant

Results = dict[str, list[Figures]]


def compare(
    shape: Shape,
    scenario: Scenario,
    variants: list[Variant],
    seeds: list[int],
    seconds: float,
    out: Path | None,
) -> None:
    """Run each variant on each seed, in turn on fresh sites (A B A B), and report."""
    results: Results = {variant.name: [] for variant in variants}
    for seed in seeds:
        for variant in variants:
            figures = run_once(Plan(shape, scenario, seconds, seed), variant)
            results[variant.name].append(figures)
            print(_line(variant.name, seed, figures), file=sys.stderr, flush=True)
    name = f"{shape.name}-{scenario.name}-{'-'.join(results)}"
    heading = (
        f"{shape.name}, {scenario.name} ({scenario.about}), {seconds:g} s, seeds {seeds}; "
        "variants in turn on fresh sites, each filled without the weight store's rate; "
        "mean (min..max); latencies between places left out"
    )
    text = f"{heading}\n{table(_rows(results))}"
    value = {
        "command": sys.argv[1:],
        "seeds": seeds,
        "seconds": seconds,
        "overrides": {variant.name: variant.overrides for variant in variants},
        "runs": {key: [asdict(item) for item in runs] for key, runs in results.items()},
    }
    write(out, name, text, value)
    if out:
        values = {key: [item.attainment for item in runs] for key, runs in results.items()}
        plot_bars(out, name, f"Attainment: {shape.name}, {scenario.name}", values)


def _line(name: str, seed: int, figures: Figures) -> str:
    return (
        f"{name} seed {seed}: attainment {figures.attainment:.3f} moves {figures.moves} "
        f"{figures.classes} refusals {figures.refusals} failures {figures.failures} "
        f"at second {figures.refused_at_s} "
        f"{figures.notes} {figures.examples}"
    )


def _rows(results: Results) -> list[list[str]]:
    rows = [["", *results]]

    def add(title: str, digits: int, values: dict[str, list[float]]) -> None:
        rows.append([title, *(spread(values[name], digits=digits) for name in results)])

    def each(title: str, digits: int, field: str) -> None:
        add(
            title,
            digits,
            {name: [float(getattr(run, field)) for run in runs] for name, runs in results.items()},
        )

    def level(title: str, field: str, key: str) -> None:
        add(
            title,
            1,
            {name: [getattr(run, field)[key] for run in runs] for name, runs in results.items()},
        )

    each("requests", 0, "requests")
    each("attainment", 3, "attainment")
    each("attainment per accelerator", 4, "attainment_per_accelerator")
    each("moves (loads + unloads)", 1, "moves")
    each("moves of models alone", 1, "model_moves")
    each("lost+cut+wrong+doubled+ran", 1, "broken_promises")
    each("overcommitted engines", 0, "overcommitted")
    classes = sorted({key for runs in results.values() for run in runs for key in run.classes})
    for key in classes:
        counts = {
            name: [float(run.classes.get(key, 0)) for run in runs] for name, runs in results.items()
        }
        add(f"  {key}", 1, counts)
    for kind in ("refusals", "failures"):
        found = {code for runs in results.values() for run in runs for code in getattr(run, kind)}
        for code in sorted(found):
            counts = {
                name: [float(getattr(run, kind).get(code, 0)) for run in runs]
                for name, runs in results.items()
            }
            add(f"  {kind} with code {code}", 1, counts)
    for key in ("p50", "p95", "p99"):
        level(f"first token {key} ms", "first_ms", key)
    each("first token within 1500 ms", 3, "first_within_limit")
    level("between tokens p95 ms", "gap_ms", "p95")
    each("tokens/s", 0, "tokens_per_second")
    each("engine runs per whole answer", 3, "chat_runs_per_answer")
    each("sent late p99 ms (our own lag)", 1, "sent_late_p99_ms")
    rows.append(["load average", *(_notes(runs, "load_average") for runs in results.values())])
    rows.append(["fill s", *(_notes(runs, "fill_s") for runs in results.values())])
    return rows


def _notes(runs: list[Figures], key: str) -> str:
    return ", ".join(f"{run.notes.get(key, 0):g}" for run in runs)
