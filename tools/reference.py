"""Write the reference pages that are made from the code: settings and result codes."""

import argparse
import json
import sys
from collections.abc import Iterator
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from enum import IntEnum
from pathlib import Path
from typing import Any
from typing import get_args

import msgspec

from mimosaspur_state.codes import CODE_TABLE
from mimosaspur_state.codes import ResultCode
from mimosaspur_state.settings import EXAMPLES
from mimosaspur_state.settings import Settings
from mimosaspur_state.settingsdoc import KEY_DOCS

FOLDER = Path("docs/reference")
SETTINGS_PAGE = "settings.md"
CODES_PAGE = "result-codes.md"
MADE_BY = "<!-- Made by tools/reference.py; change the code, then run `make reference`. -->"
TOP_SECTION = "the whole file"

SIMPLE_TYPES: dict[type, str] = {
    str: "text",
    int: "whole number",
    float: "number",
    bool: "true or false",
}
SETTINGS_INTRO = """\
A daemon is given one file: `mimosaspurd --settings FILE`. It is JSON with comments, read by
`pyjson5`. An unknown key, a wrong type, a number below 0 or a missing section is refused with the
key's name, what was expected and an example; `mimosaspur settings check FILE` tells the same
without starting anything. Settings are read once, at the start. Times are in milliseconds,
addresses are `ip:port` with an IP number. Whole files with comments are in
[docs/examples](../examples)."""
CODES_INTRO = """\
Every error that a caller or an operator is told bears a number and a name. The first digit tells
the kind: 1 a wrong request, 2 refused, 3 unknown or cut, 4 operators' steps. "Known of the run" is
what the field `outcome` says. `not_run` is said only where it is proved: once an earlier try of the
same request may have run, a refusal (2xxx) is told as `OUTCOME_UNKNOWN` instead."""


class ExitCode(IntEnum):
    """Name the exit codes of this tool."""

    OK = 0
    STALE = 1


class UndocumentedKeys(Exception):
    """Name the keys that lack a meaning, or have one without being settings."""


@dataclass(slots=True, frozen=True)
class KeyRow:
    """Describe one settings key."""

    section: str
    key: str
    kind: str
    default: str
    unit: str
    meaning: str
    example: str


NOTHING_CHANGED = "nothing was changed"
NOT_RUN = "`not_run`"
UNKNOWN = "`unknown`"
KNOWN_OF_RUN: dict[ResultCode, str] = {
    ResultCode.CLAIM_IN_PROGRESS: f"{UNKNOWN}: the request that holds the key may run or have run",
    ResultCode.CANCELLED: f"{UNKNOWN}, or {NOT_RUN} if it still waited",
    ResultCode.ANSWER_NOT_KEPT: "`done`",
    ResultCode.OUTCOME_UNSETTLED: "unknown whether the change took effect",
}


def known_of_run(code: ResultCode) -> str:
    """Return what is known of the run or change when this code is told."""
    if code in KNOWN_OF_RUN:
        return KNOWN_OF_RUN[code]
    if code >= ResultCode.BAD_BUNDLE:
        return NOTHING_CHANGED
    return UNKNOWN if code >= ResultCode.OUTCOME_UNKNOWN else NOT_RUN


def key_rows() -> list[KeyRow]:
    """Return every settings key, section by section; raise UndocumentedKeys."""
    rows = list(_rows_of(Settings, ""))
    unmatched = {row.key for row in rows} ^ KEY_DOCS.keys()
    if unmatched:
        raise UndocumentedKeys(f"Bring settingsdoc.py in line with: {sorted(unmatched)}.")
    return rows


def settings_page() -> str:
    """Return the page of settings."""
    rows = key_rows()
    parts = ["# Settings", MADE_BY, SETTINGS_INTRO]
    for section in dict.fromkeys(row.section for row in rows):
        parts.append(f"## {f'`{section}`' if section else TOP_SECTION.capitalize()}")
        if section:
            parts.append(KEY_DOCS[section].meaning)
        parts.append(_key_table([row for row in rows if row.section == section]))
    return "\n\n".join(parts) + "\n"


def codes_page() -> str:
    """Return the page of result codes."""
    head = ["code", "name", "HTTP", "meaning", "what to do", "known of the run"]
    body = [
        [
            str(int(code)),
            f"`{code.name}`",
            str(info.http_status),
            info.meaning,
            info.next_step,
            known_of_run(code),
        ]
        for code, info in sorted(CODE_TABLE.items())
    ]
    return "\n\n".join(["# Result codes", MADE_BY, CODES_INTRO, _table(head, body)]) + "\n"


PAGES = {SETTINGS_PAGE: settings_page, CODES_PAGE: codes_page}


def main(arguments: Sequence[str] | None = None) -> ExitCode:
    """Write the pages, or with --check say which of them are stale."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--check", action="store_true", help="write nothing; fail if stale")
    options = parser.parse_args(arguments)
    if not options.check:
        for name, make in PAGES.items():
            (FOLDER / name).write_text(make(), encoding="utf-8")
        return ExitCode.OK
    stale = stale_pages()
    for name in stale:
        print(f"reference.py: {FOLDER / name} is stale; run `make reference`", file=sys.stderr)
    return ExitCode.STALE if stale else ExitCode.OK


def stale_pages() -> list[str]:
    """Return the pages that differ from what the code gives."""
    return [name for name, make in PAGES.items() if _read(FOLDER / name) != make()]


def _read(path: Path) -> str:
    return path.read_text(encoding="utf-8") if path.exists() else ""


def _rows_of(section: type[msgspec.Struct], name: str) -> Iterator[KeyRow]:
    nested: list[tuple[type[msgspec.Struct], str]] = []
    for item in msgspec.structs.fields(section):
        key = f"{name}.{item.name}" if name else item.name
        yield _row(name, key, item)
        inner = _struct_in(item.type)
        if inner:
            nested.append((inner, key))
    for inner, key in nested:
        yield from _rows_of(inner, key)


def _row(section: str, key: str, item: msgspec.structs.FieldInfo) -> KeyRow:
    doc = KEY_DOCS.get(key)
    return KeyRow(
        section=section,
        key=key,
        kind=_kind(item.type),
        default=_default(item),
        unit=doc.unit if doc else "",
        meaning=doc.meaning if doc else "",
        example=EXAMPLES.get(key) or _json(_usual(item)),
    )


def _struct_in(kind: Any) -> type[msgspec.Struct] | None:
    for candidate in (kind, *get_args(kind)):
        if isinstance(candidate, type) and issubclass(candidate, msgspec.Struct):
            return candidate
    return None


def _kind(kind: Any) -> str:
    if _struct_in(kind):
        return "section"
    if isinstance(kind, type) and issubclass(kind, Enum):
        return " or ".join(f"`{_json(member)}`" for member in kind)
    return SIMPLE_TYPES[kind]


def _default(item: msgspec.structs.FieldInfo) -> str:
    if item.required:
        return "required"
    if _struct_in(item.type):
        return "none" if item.default is None else "its defaults"
    return f"`{_json(item.default)}`"


def _usual(item: msgspec.structs.FieldInfo) -> Any:
    """Return the default, or what a section that is left out by default would hold."""
    section = _struct_in(item.type)
    return section() if section and item.default is None else item.default


def _json(value: Any) -> str:
    return json.dumps(msgspec.to_builtins(value))


def _key_table(rows: list[KeyRow]) -> str:
    head = ["key", "type", "default", "unit", "meaning", "example"]
    return _table(head, [_cells(row) for row in rows])


def _cells(row: KeyRow) -> list[str]:
    name = row.key.rpartition(".")[2]
    return [f"`{name}`", row.kind, row.default, row.unit, row.meaning, f"`{row.example}`"]


def _table(head: list[str], body: list[list[str]]) -> str:
    rows = [head, ["---"] * len(head), *body]
    return "\n".join(
        "| " + " | ".join(cell.replace("|", "\\|") for cell in row) + " |" for row in rows
    )


if __name__ == "__main__":
    sys.exit(main())
