"""Name the variants of the settings that a comparison runs."""

import json
from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
from typing import Any

Overrides = dict[str, Any]
PRESETS: dict[str, Overrides] = {"normal": {"policy": "normal"}, "naive": {"policy": "naive"}}


@dataclass(slots=True)
class Variant:
    """Hold a variant's overrides by dotted key of the settings."""

    name: str
    overrides: Overrides = field(default_factory=dict)

    def apply(self, settings: dict[str, Any]) -> dict[str, Any]:
        """Return settings with the overrides that concern their role."""
        changed = json.loads(json.dumps(settings))
        for key, value in self.overrides.items():
            section, _, rest = key.partition(".")
            if section in ("entry", "target") and section != settings["role"]:
                continue
            if rest:
                changed.setdefault(section, {})[rest] = value
            else:
                changed[section] = value
        return dict(changed)


def variants(names: str, overrides: Iterable[str]) -> list[Variant]:
    """Read `a,b` and `NAME:key=value` options; raise ValueError."""
    found = {name: Variant(name, dict(PRESETS.get(name, {}))) for name in names.split(",")}
    for text in overrides:
        name, colon, assignment = text.partition(":")
        key, equals, value = assignment.partition("=")
        if not colon or not equals or name not in found:
            raise ValueError(f"{text!r}: write NAME:key=value with a NAME of --variants")
        found[name].overrides[key] = _value(value)
    unknown = [variant.name for variant in found.values() if not variant.overrides]
    if unknown:
        raise ValueError(f"give {', '.join(unknown)} an --override NAME:key=value")
    return list(found.values())


def _value(text: str) -> Any:
    try:
        return json.loads(text)
    except json.JSONDecodeError:
        return text
