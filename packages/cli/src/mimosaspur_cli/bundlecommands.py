"""Define the bundle commands."""

from pathlib import Path
from typing import Annotated

import msgspec
import typer

from mimosaspur_cli import bundleoperations
from mimosaspur_cli.options import AsJson
from mimosaspur_cli.options import ObjectApi
from mimosaspur_cli.options import Operator
from mimosaspur_cli.options import connect_or_exit
from mimosaspur_cli.options import require_operator
from mimosaspur_cli.output import format_lines
from mimosaspur_cli.output import format_table
from mimosaspur_cli.output import format_time
from mimosaspur_cli.output import print_result
from mimosaspur_cli.output import to_json
from mimosaspur_coordination.bundlestatus import BundleStatus
from mimosaspur_coordination.bundlestatus import Difference
from mimosaspur_coordination.bundlestatus import WaitingBundle
from mimosaspur_coordination.rolls import RollResult
from mimosaspur_state.records import Approval
from mimosaspur_state.records import WrittenBundle

JSON_INDENT = 2

app = typer.Typer(help="Write, approve and roll bundles.", no_args_is_help=True)

Name = Annotated[str, typer.Argument(help="The bundle's name.")]
File = Annotated[Path, typer.Argument(help="A bundle as JSON with comments.")]
WithoutFitCheck = Annotated[
    bool,
    typer.Option("--without-fit-check", help="Roll the bundle even if no target status is known."),
]


@app.command()
def write(
    file: File, object_api: ObjectApi = "", operator: Operator = "", as_json: AsJson = False
) -> None:
    """Write a bundle; it is not in force until it is approved and rolled."""
    platform = connect_or_exit(object_api)
    print_result(
        bundleoperations.write(platform, file, require_operator(operator)), as_json=as_json
    )


@app.command()
def approve(
    name: Name, object_api: ObjectApi = "", operator: Operator = "", as_json: AsJson = False
) -> None:
    """Approve a bundle that another operator wrote."""
    platform = connect_or_exit(object_api)
    print_result(
        bundleoperations.approve(platform, name, require_operator(operator)), as_json=as_json
    )


@app.command()
def roll(
    name: Name,
    object_api: ObjectApi = "",
    operator: Operator = "",
    without_fit_check: WithoutFitCheck = False,
    as_json: AsJson = False,
) -> None:
    """Put an approved bundle in force."""
    platform = connect_or_exit(object_api)
    result = bundleoperations.roll(
        platform, name, require_operator(operator), without_fit_check=without_fit_check
    )
    print_result(result, as_json=as_json)


@app.command()
def show(
    name: Annotated[str, typer.Argument(help="A bundle; the one in force if omitted.")] = "",
    object_api: ObjectApi = "",
    as_json: AsJson = False,
) -> None:
    """Show a written bundle."""
    print_result(bundleoperations.show(connect_or_exit(object_api), name), as_json=as_json)


@app.command()
def diff(
    first: Annotated[str, typer.Argument(help="A bundle.")],
    second: Annotated[str, typer.Argument(help="Another bundle.")] = "",
    object_api: ObjectApi = "",
    as_json: AsJson = False,
) -> None:
    """Compare two bundles, or the bundle in force with one bundle."""
    print_result(bundleoperations.diff(connect_or_exit(object_api), first, second), as_json=as_json)


@app.command()
def status(object_api: ObjectApi = "", as_json: AsJson = False) -> None:
    """Show the bundle in force and the bundles that are not rolled yet."""
    print_result(bundleoperations.status(connect_or_exit(object_api)), as_json=as_json)


@format_lines.register
def _(value: WrittenBundle) -> list[str]:
    bundle = msgspec.json.format(to_json(value.bundle), indent=JSON_INDENT)
    written = f"Written by {value.operator} at {format_time(value.at_ms)}."
    return [*bundle.splitlines(), written, f"Digest {value.digest}."]


@format_lines.register
def _(value: Approval) -> list[str]:
    return [
        f"Approved by {value.operator} at {format_time(value.at_ms)}.",
        f"Digest {value.digest}.",
    ]


@format_lines.register
def _(value: RollResult) -> list[str]:
    roll = value.roll
    summary = f"{roll.bundle} is in force as generation {roll.generation}"
    if value.already:
        return [f"{summary} already; {roll.operator} rolled it at {format_time(roll.at_ms)}."]
    return [f"{summary}."]


@format_lines.register
def _(value: BundleStatus) -> list[str]:
    roll = value.current
    if roll is None:
        return ["No bundle is in force.", *_waiting_lines(value.waiting)]
    return [
        f"In force: generation {roll.generation}, bundle {roll.bundle}.",
        f"Rolled by {roll.operator} at {format_time(roll.at_ms)}.",
        *_waiting_lines(value.waiting),
    ]


@format_lines.register
def _(value: Difference) -> list[str]:
    if value.before is None:
        return [f"+ {value.entry}: {to_json(value.after)}"]
    if value.after is None:
        return [f"- {value.entry}: {to_json(value.before)}"]
    return [f"~ {value.entry} {value.field}: {to_json(value.before)} -> {to_json(value.after)}"]


def _waiting_lines(bundles: list[WaitingBundle]) -> list[str]:
    if not bundles:
        return ["No bundle is waiting to be rolled."]
    rows = [["not rolled", "written by", "approved by", "against", ""]]
    for bundle in bundles:
        note = "superseded, write it again" if bundle.superseded else ""
        approved_by = bundle.approved_by or "-"
        against = str(bundle.base_generation)
        rows.append([bundle.name, bundle.written_by, approved_by, against, note])
    return format_table(rows)
