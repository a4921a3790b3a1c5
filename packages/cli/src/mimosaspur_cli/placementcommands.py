"""Offer the commands on placement."""

from typing import Annotated

import typer

from mimosaspur_cli.options import AsJson
from mimosaspur_cli.options import ObjectApi
from mimosaspur_cli.options import platform_at
from mimosaspur_cli.output import finish
from mimosaspur_cli.output import lines
from mimosaspur_cli.output import table
from mimosaspur_cli.placements import PlacementView
from mimosaspur_cli.placements import RegionCounts
from mimosaspur_cli.placements import view
from mimosaspur_cli.platform import attempt

app = typer.Typer(help="See where models are placed.", no_args_is_help=True)


@app.callback()
def placement() -> None:
    """See where models are placed."""


@app.command()
def show(
    model: Annotated[str, typer.Argument(help="A model; all if left out.")] = "",
    object_api: ObjectApi = "",
    as_json: AsJson = False,
) -> None:
    """Show the replicas of models in every region, and count them."""
    platform = platform_at(object_api)
    finish(attempt(lambda: view(platform.store, model)), as_json=as_json)


@lines.register
def _(value: PlacementView) -> list[str]:
    rows = [["region", "model", "target", "version", "state"]]
    for item in value.placements:
        record = item.record
        for replica in record.replicas:
            told = [replica.target, replica.version, replica.state.value]
            rows.append([item.region, record.model, *told])
        if not record.replicas:
            rows.append([item.region, record.model, "-", "-", "-"])
    counts = [line for region in value.counts for line in lines(region)]
    return [*table(rows), *counts]


@lines.register
def _(value: RegionCounts) -> list[str]:
    told = f"{value.region}: {value.models} models, {value.ready} replicas ready"
    missing = ", ".join(value.without_ready)
    note = [f"{value.region}: no ready replica of {missing}"] if missing else []
    return [f"{told}, {value.load} to load, {value.leaving} leaving", *note]
