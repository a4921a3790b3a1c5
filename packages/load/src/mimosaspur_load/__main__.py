"""Drive real daemons on loopback and measure them: `python -m mimosaspur_load`.

A measuring tool, so it may start processes; the daemons themselves start none.
"""

import signal
import sys
from pathlib import Path
from typing import Annotated

import typer

from mimosaspur_load import compare as comparing
from mimosaspur_load import overhead as measuring
from mimosaspur_load import slope_planner
from mimosaspur_load import slope_state
from mimosaspur_load import slope_traffic
from mimosaspur_load import slopes as fitting
from mimosaspur_load.arrivals import FINAL_SEEDS
from mimosaspur_load.arrivals import WORK_SEEDS
from mimosaspur_load.quotas import compare as quota_ways
from mimosaspur_load.scenarios import SCENARIOS
from mimosaspur_load.shapes import SHAPES
from mimosaspur_load.variants import variants as read_variants

TERMINATED = 143
DEFAULT_SECONDS = 60.0
DEFAULT_REPEATS = 3
DEFAULT_SAMPLES = 100

EXPERIMENTS = {
    "sizes": slope_state.sizes,
    "imports": slope_state.imports,
    "idle": slope_traffic.idle,
    "models": slope_state.models,
    "adapters": slope_state.adapters,
    "instances": slope_state.instances,
    "entry-connections": slope_traffic.entry_connections,
    "target-connections": slope_traffic.target_connections,
    "streams": slope_traffic.streams,
    "tokens": slope_traffic.tokens,
    "planner": slope_planner.planner,
}

app = typer.Typer(no_args_is_help=True, pretty_exceptions_enable=False)

Out = Annotated[Path | None, typer.Option(help="Also write text, JSON and plots here.")]
Seconds = Annotated[float, typer.Option(help="How long each run lasts.")]
SiteName = Annotated[str, typer.Option("--site", help=f"One of {', '.join(SHAPES)}.")]
RunName = Annotated[str, typer.Option("--run", help=f"One of {', '.join(SCENARIOS)}.")]
Names = Annotated[str, typer.Option(help="normal, naive or names of your own, by commas.")]
Override = Annotated[list[str], typer.Option(help="NAME:key=value, e.g. x:planner.move_cost=5.")]
Repeats = Annotated[int, typer.Option(help="Seeds per variant.")]
Samples = Annotated[int, typer.Option(help="Streams each way.")]
Only = Annotated[str, typer.Option(help=f"By commas, of {', '.join(EXPERIMENTS)}.")]
Entries = Annotated[str, typer.Option(help="How many entries share a quota, by commas.")]
Results = Annotated[Path, typer.Option(help="A line of data a play; a stopped run goes on.")]
Final = Annotated[bool, typer.Option("--final", help="Use the seeds kept for final figures.")]


@app.callback()
def about() -> None:
    """Drive real daemons on loopback and measure them."""


@app.command()
def compare(
    site: SiteName = "puravida",
    run: RunName = "bank",
    variants: Names = "normal,naive",
    override: Override = [],  # noqa: B006  typer copies it
    repeats: Repeats = DEFAULT_REPEATS,
    seconds: Seconds = DEFAULT_SECONDS,
    final: Final = False,
    out: Out = None,
) -> None:
    """Run variants in turn on the same seeds and print each figure with its spread."""
    if site not in SHAPES:
        raise typer.BadParameter(f"--site: choose one of {', '.join(SHAPES)}")
    if run not in SCENARIOS:
        raise typer.BadParameter(f"--run: choose one of {', '.join(SCENARIOS)}")
    try:
        chosen = read_variants(variants, override)
    except ValueError as error:
        raise typer.BadParameter(str(error)) from error
    seeds = list(FINAL_SEEDS if final else WORK_SEEDS)[:repeats]
    comparing.compare(SHAPES[site], SCENARIOS[run], chosen, seeds, seconds, out)


@app.command()
def overhead(samples: Samples = DEFAULT_SAMPLES, out: Out = None) -> None:
    """Compare the path with the engine alone, in turn, and weigh its processor time."""
    measuring.overhead(samples, out)


@app.command()
def slopes(only: Only = "", out: Out = None) -> None:
    """Measure what each role costs at a few sizes, for docs/CAPACITY.md."""
    chosen = only.split(",") if only else list(EXPERIMENTS)
    unknown = [name for name in chosen if name not in EXPERIMENTS]
    if unknown:
        raise typer.BadParameter(f"--only: choose from {', '.join(EXPERIMENTS)}")
    fitting.slopes({name: EXPERIMENTS[name] for name in chosen}, out)


@app.command()
def quotas(
    results: Results,
    entries: Entries = "4,24,68,360",
    repeats: Repeats = DEFAULT_REPEATS,
) -> None:
    """Compare ways to hold workspaces to their quotas over many entries, in virtual time."""
    counts = [int(count) for count in entries.split(",")]
    print(quota_ways.compare(counts, repeats, results))


def main() -> None:
    """Be the command."""
    # An ordinary end of the program ends the processes that it started, too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(TERMINATED))
    app()


if __name__ == "__main__":
    main()
