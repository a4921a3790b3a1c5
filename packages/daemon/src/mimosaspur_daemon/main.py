"""Command-line entry point of mimosaspurd."""

import json
import sys
from pathlib import Path
from typing import Annotated

import typer

from mimosaspur_daemon.application import Application
from mimosaspur_daemon.exitcodes import ExitCode
from mimosaspur_state.clock import SystemClock
from mimosaspur_state.log import log_to_stderr
from mimosaspur_state.settings import Role
from mimosaspur_state.settings import Settings
from mimosaspur_state.settings import SettingsError
from mimosaspur_state.settings import load_settings


def run(
    settings: Annotated[Path, typer.Option(help="The settings file: JSON with comments.")],
) -> None:
    """Serve in the role that the settings name, until SIGTERM."""
    log_to_stderr()
    try:
        checked = load_settings(settings)
    except SettingsError as error:
        print(f"error {error.code.value} ({error.code.name}): {error}", file=sys.stderr)
        raise typer.Exit(ExitCode.USAGE) from error
    app = Application()
    app.handle_signals()
    try:
        address = _start(app, checked)
    except OSError as error:
        print(f"error: can't listen on the configured address: {error}", file=sys.stderr)
        raise typer.Exit(ExitCode.ADDRESS_TAKEN) from error
    print(json.dumps({"name": checked.instance.name, "address": address}), flush=True)
    app.run()


def _start(app: Application, settings: Settings) -> str:
    # Imported here so that each role loads only the modules it uses, which saves memory.
    if settings.role is Role.ENTRY:
        from mimosaspur_daemon.entryrole import EntryRole

        return EntryRole(settings, SystemClock()).start(app)
    from mimosaspur_daemon.targetrole import TargetRole

    return TargetRole(settings, SystemClock()).start(app)


def main() -> None:
    """Run the mimosaspurd command."""
    typer.run(run)


if __name__ == "__main__":
    main()
