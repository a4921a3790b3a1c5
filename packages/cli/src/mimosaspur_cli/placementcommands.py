"""Define the placement commands."""

from typing import Annotated

import typer

from mimosaspur_cli.options import AsJson
from mimosaspur_cli.options import ObjectApi
from mimosaspur_cli.options import connect_or_exit
from mimosaspur_cli.output import format_lines
from mimosaspur_cli.output import format_table
from mimosaspur_cli.output import print_result
from mimosaspur_cli.placements import PlacementView
from mimosaspur_cli.placements import RegionCounts
from mimosaspur_cli.placements import read_placement_view
from mimosaspur_cli.platform import run_operation

app = typer.Typer(help="Show where models are placed.", no_args_is_help=True)


@app.callback()
def placement() -> None:
    """Show where models are placed."""


@app.command()
def show(
    model: Annotated[str, typer.Argument(help="A model; all models if omitted.")] = "",
    object_api: ObjectApi = "",
    as_json: AsJson = False,
) -> None:
    """Show the replicas of models in every region and their counts."""
    platform = connect_or_exit(object_api)
    print_result(run_operation(lambda: read_placement_view(platform.store, model)), as_json=as_json)


@format_lines.register
def _(value: PlacementView) -> list[str]:
    rows = [["region", "model", "target", "version", "state"]]
    for item in value.placements:
        record = item.record
        for replica in record.replicas:
            cells = [replica.target, replica.version, replica.state.value]
            rows.append([item.region, record.model, *cells])
        if not record.replicas:
            rows.append([item.region, record.model, "-", "-", "-"])
    counts = [line for region in value.counts for line in format_lines(region)]
    return [*format_table(rows), *counts]


@format_lines.register
def _(value: RegionCounts) -> list[str]:
    summary = f"{value.region}: {value.models} models, {value.ready} replicas ready"
    missing = ", ".join(value.without_ready)
    note = [f"{value.region}: no ready replica of {missing}"] if missing else []
    return [f"{summary}, {value.load} to load, {value.leaving} leaving", *note]
