"""Read bundle files: JSON with comments."""

from pathlib import Path

import pyjson5

from mimosaspur_state.bundle import Bundle
from mimosaspur_state.bundle import bundle_from_value
from mimosaspur_state.codes import ResultCode
from mimosaspur_state.errors import MimosaspurError


def read_bundle_file(path: Path) -> Bundle:
    """Return the bundle in a file; raise MimosaspurError (BAD_BUNDLE) if it is invalid."""
    try:
        value = pyjson5.decode(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        raise _bad_bundle(path, f"cannot read the file ({error})") from error
    except pyjson5.Json5Exception as error:
        raise _bad_bundle(path, f"not valid JSON with comments ({error.message})") from error
    try:
        return bundle_from_value(value)
    except MimosaspurError as error:
        raise _bad_bundle(path, error.detail.rstrip(".")) from error


def _bad_bundle(path: Path, fault: str) -> MimosaspurError:
    return MimosaspurError(ResultCode.BAD_BUNDLE, f"{path}: {fault}.")
