"""Check that every journal entry of the repository's history is still there."""

import subprocess
import sys
from enum import IntEnum
from pathlib import Path

# Git's `*` would match entries in subfolders too.
ENTRIES = ":(glob)journal/*.json"


class ExitCode(IntEnum):
    """Define the exit codes of this tool."""

    OK = 0
    MISSING = 1
    UNREADABLE = 2


class HistoryError(Exception):
    """Report a history that git can't read."""


def main() -> ExitCode:
    """Print the entries that are missing and return the exit code."""
    root = Path.cwd()
    if not (root / ".git").exists():
        print("journal: not checked, this is no git repository")
        return ExitCode.OK
    try:
        missing = find_missing(root)
    except HistoryError as error:
        print(f"journal_history.py: {error}", file=sys.stderr)
        return ExitCode.UNREADABLE
    for entry in missing:
        print(f"{entry} is missing: restore it, `git log --diff-filter=D -- {entry}` tells where")
    return ExitCode.MISSING if missing else ExitCode.OK


def find_missing(root: Path) -> list[str]:
    """Return the entries added in the history of HEAD that aren't in the work tree."""
    added = _git(root, "log", "-m", "--format=", "--name-only", "--no-renames", "--diff-filter=A")
    return [entry for entry in sorted(added) if not (root / entry).is_file()]


def _git(root: Path, *arguments: str) -> set[str]:
    command = ["git", "-c", f"safe.directory={root}", *arguments, "--", ENTRIES]
    try:
        run = subprocess.run(command, cwd=root, capture_output=True, text=True, check=True)
    except FileNotFoundError:
        raise HistoryError("git isn't installed: install it to check the journal") from None
    except subprocess.CalledProcessError as error:
        raise HistoryError(f"git can't read the history: {error.stderr.strip()}") from error
    return set(filter(None, run.stdout.splitlines()))


if __name__ == "__main__":
    sys.exit(main())
