"""Generate the reference pages of settings and result codes from the code."""

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
PAGE_NOTICE = "<!-- Made by tools/reference.py; change the code, then run `make reference`. -->"
TOP_SECTION = "the whole file"

SIMPLE_TYPES: dict[type, str] = {
    str: "text",
    int: "whole number",
    float: "number",
    bool: "true or false",
}
SETTINGS_INTRO = """\
A daemon reads one settings file: `mimosaspurd --settings FILE`. It is JSON with comments, parsed by
`pyjson5`. An unknown key, a wrong type, a number below 0 or a missing section is rejected with the
key's name, the expected value and an example; `mimosaspur settings check FILE` reports the same
without starting a daemon. Settings are read once, at startup. Times are in milliseconds,
addresses are `ip:port` with an IP number. Whole files with comments are in
[docs/examples](../examples)."""
CODES_INTRO = """\
Every error returned to a caller or an operator has a number and a name. The first digit is the
kind: 1 invalid request, 2 refused, 3 unknown or interrupted, 4 operators' actions. "Known of the
run" is the value of the field `outcome`. `not_run` is returned only where it is certain: once an
earlier attempt of the same request may have run, a refusal (2xxx) is returned as `OUTCOME_UNKNOWN`
instead."""


class ExitCode(IntEnum):
    """Define the exit codes of this tool."""

    OK = 0
    STALE = 1


class UndocumentedKeys(Exception):
    """Report settings keys without documentation, or documented keys that don't exist."""


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
RUN_OUTCOMES: dict[ResultCode, str] = {
    ResultCode.CLAIM_IN_PROGRESS: f"{UNKNOWN}: the request that holds the key may run or have run",
    ResultCode.CANCELLED: f"{UNKNOWN}, or {NOT_RUN} if it was still waiting",
    ResultCode.ANSWER_NOT_KEPT: "`done`",
    ResultCode.OUTCOME_UNSETTLED: "unknown whether the change took effect",
}


def run_outcome(code: ResultCode) -> str:
    """Return what this code says about whether the request ran or the change was made."""
    if code in RUN_OUTCOMES:
        return RUN_OUTCOMES[code]
    if code >= ResultCode.BAD_BUNDLE:
        return NOTHING_CHANGED
    return UNKNOWN if code >= ResultCode.OUTCOME_UNKNOWN else NOT_RUN


def key_rows() -> list[KeyRow]:
    """Return every settings key by section; raise UndocumentedKeys if KEY_DOCS doesn't match."""
    rows = list(_rows_of(Settings, ""))
    unmatched = {row.key for row in rows} ^ KEY_DOCS.keys()
    if unmatched:
        raise UndocumentedKeys(f"update KEY_DOCS for the unmatched keys: {sorted(unmatched)}")
    return rows


def settings_page() -> str:
    """Render the page of settings."""
    rows = key_rows()
    parts = ["# Settings", PAGE_NOTICE, SETTINGS_INTRO]
    for section in dict.fromkeys(row.section for row in rows):
        parts.append(f"## {f'`{section}`' if section else TOP_SECTION.capitalize()}")
        if section:
            parts.append(KEY_DOCS[section].meaning)
        parts.append(_key_table([row for row in rows if row.section == section]))
    return "\n\n".join(parts) + "\n"


def codes_page() -> str:
    """Render the page of result codes."""
    head = ["code", "name", "HTTP", "meaning", "what to do", "known of the run"]
    body = [
        [
            str(int(code)),
            f"`{code.name}`",
            str(info.http_status),
            info.meaning,
            info.next_step,
            run_outcome(code),
        ]
        for code, info in sorted(CODE_TABLE.items())
    ]
    return "\n\n".join(["# Result codes", PAGE_NOTICE, CODES_INTRO, _table(head, body)]) + "\n"


PAGES = {SETTINGS_PAGE: settings_page, CODES_PAGE: codes_page}


def main(arguments: Sequence[str] | None = None) -> ExitCode:
    """Write the pages, or with --check report which are stale."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--check", action="store_true", help="write nothing; fail if stale")
    options = parser.parse_args(arguments)
    if not options.check:
        for name, render in PAGES.items():
            (FOLDER / name).write_text(render(), encoding="utf-8")
        return ExitCode.OK
    stale = stale_pages()
    for name in stale:
        print(f"reference.py: {FOLDER / name} is stale; run `make reference`", file=sys.stderr)
    return ExitCode.STALE if stale else ExitCode.OK


def stale_pages() -> list[str]:
    """Return the pages that differ from their generated text."""
    return [name for name, render in PAGES.items() if _read(FOLDER / name) != render()]


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
        example=EXAMPLES.get(key) or _json(_effective_default(item)),
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


def _effective_default(item: msgspec.structs.FieldInfo) -> Any:
    """Return the default, or the section's own defaults if it is omitted by default."""
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
