"""Run the operators' command line."""

import sys
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Annotated

import typer

from mimosaspur_cli import bundlecommands
from mimosaspur_cli import explaincommand
from mimosaspur_cli import instancecommands
from mimosaspur_cli import placementcommands
from mimosaspur_cli.exitcodes import ExitCode
from mimosaspur_cli.options import AsJson
from mimosaspur_cli.options import ObjectApi
from mimosaspur_cli.options import connect_or_exit
from mimosaspur_cli.output import format_lines
from mimosaspur_cli.output import format_time
from mimosaspur_cli.output import print_result
from mimosaspur_cli.platform import run_operation
from mimosaspur_coordination import audit as audit_trail
from mimosaspur_coordination.audit import AuditedStep
from mimosaspur_state.codes import ResultCode
from mimosaspur_state.errors import MimosaspurError
from mimosaspur_state.settings import load_settings

DEFAULT_AUDIT_LIMIT = 50

app = typer.Typer(
    help="Operate mimosaspur: write, approve and roll bundles, and drain instances.",
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
    rich_markup_mode=None,
)
settings_app = typer.Typer(help="Check settings.", no_args_is_help=True)
app.add_typer(bundlecommands.app, name="bundle")
app.add_typer(instancecommands.app, name="instance")
app.add_typer(placementcommands.app, name="placement")
app.add_typer(settings_app, name="settings")
app.command()(explaincommand.explain)


@dataclass(slots=True, frozen=True)
class CheckedSettings:
    """Represent a valid settings file and its role."""

    file: str
    role: str


@app.command()
def audit(
    limit: Annotated[
        int, typer.Option("--limit", min=1, help="Maximum number of actions to show.")
    ] = DEFAULT_AUDIT_LIMIT,
    object_api: ObjectApi = "",
    as_json: AsJson = False,
) -> None:
    """Show operators' actions and their outcomes, newest first."""
    platform = connect_or_exit(object_api)
    print_result(run_operation(lambda: audit_trail.read(platform.store, limit)), as_json=as_json)


@settings_app.callback()
def settings() -> None:
    """Check settings."""


@settings_app.command()
def check(
    files: Annotated[list[Path], typer.Argument(help="Settings files.")],
    as_json: AsJson = False,
) -> None:
    """Check settings files without starting a process."""
    failed = False
    for file in files:
        try:
            print_result(run_operation(partial(_check_file, file)), as_json=as_json)
        except typer.Exit:
            # Check the remaining files too, so that one run reports every error.
            failed = True
    if failed:
        raise typer.Exit(ExitCode.BAD_INPUT)


def _check_file(file: Path) -> CheckedSettings:
    return CheckedSettings(str(file), load_settings(file).role.value)


@format_lines.register
def _(value: CheckedSettings) -> list[str]:
    return [f"{value.file}: valid settings for the role {value.role}"]


@format_lines.register
def _(value: AuditedStep) -> list[str]:
    summary = f"{format_time(value.at_ms)}  {value.operator}  {value.action} {value.subject}"
    return [f"{summary}: {value.outcome}" + (f" ({value.detail})" if value.detail else "")]


def main() -> None:
    """Run one command and exit with its exit code."""
    try:
        app(prog_name="mimosaspur")
    except Exception as error:  # noqa: BLE001  # every failure must map to an exit code
        internal = MimosaspurError(ResultCode.INTERNAL, f"{type(error).__name__}: {error}")
        sys.stderr.write(f"error {internal.code.value} ({internal.code.name}): {internal}\n")
        sys.exit(ExitCode.INTERNAL)


if __name__ == "__main__":
    main()
