"""Print results as text or JSON."""

import sys
from datetime import UTC
from datetime import datetime
from functools import singledispatch
from typing import NoReturn
from typing import TypeVar

import msgspec
import typer
from expression import Result

from mimosaspur_cli.exitcodes import ExitCode
from mimosaspur_cli.exitcodes import exit_code_of
from mimosaspur_state.errors import MimosaspurError

T = TypeVar("T")

MS_PER_SECOND = 1000
COLUMN_GAP = "  "


def print_result(result: Result[T, MimosaspurError], *, as_json: bool) -> None:
    """Print a value to standard output, or an error to standard error and exit."""
    if result.is_error():
        exit_with_error(result.error, as_json=as_json)
    value = result.ok
    text = to_json(value) if as_json else "\n".join(format_lines(value))
    sys.stdout.write(f"{text}\n" if text else "")


def exit_with_error(error: MimosaspurError, *, as_json: bool) -> NoReturn:
    """Print an error to standard error and exit with its exit code."""
    sys.stderr.write(f"{_error_text(error, as_json=as_json)}\n")
    raise typer.Exit(exit_code_of(error.code))


def exit_with_usage_error(message: str) -> NoReturn:
    """Print a usage error and exit."""
    sys.stderr.write(f"error: {message}\n")
    raise typer.Exit(ExitCode.BAD_INPUT)


@singledispatch
def format_lines(value: object) -> list[str]:
    """Format a value as lines of text."""
    return [str(value)]


@format_lines.register
def _(value: str) -> list[str]:
    return value.splitlines()


@format_lines.register
def _(value: list) -> list[str]:  # type: ignore[type-arg]  # singledispatch takes plain classes
    return [line for item in value for line in format_lines(item)]


def to_json(value: object) -> str:
    """Return a value as one line of JSON."""
    return msgspec.json.encode(value).decode()


def format_table(rows: list[list[str]]) -> list[str]:
    """Format rows as lines with aligned columns."""
    widths = [max(len(cell) for cell in column) for column in zip(*rows, strict=True)]
    return [
        COLUMN_GAP.join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in rows
    ]


def format_time(at_ms: int) -> str:
    """Format a Unix time in milliseconds as ISO 8601 in UTC."""
    return datetime.fromtimestamp(at_ms / MS_PER_SECOND, UTC).isoformat(timespec="milliseconds")


def _error_text(error: MimosaspurError, *, as_json: bool) -> str:
    if not as_json:
        return f"error {error.code.value} ({error.code.name}): {error}"
    fields = {"code": error.code.value, "name": error.code.name, "message": str(error)}
    return to_json({"error": {**fields, "detail": error.detail}})
