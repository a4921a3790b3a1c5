"""Make objects of the store that are too large to be used."""

import json
import random
from typing import Any

import msgspec

from harness.direct_registrations import server_entry


def oversized_specification(what: str, size: int) -> msgspec.Raw:
    """Return a server's registration of about a size in bytes."""
    if what == "many models":
        model = {"name": "notes", "adapters": ["a1", {"name": "a2"}]}
        return _with("models", [model] * (size // len(json.dumps(model))))
    if what == "many fields":
        fields = {f"field-{number}": number for number in range(size // 24)}
        return msgspec.Raw(json.dumps(server_entry() | fields).encode())
    texts = {
        "an unknown field": b'"' + b"x" * size + b'"',
        "a deep value": b"[" * (size // 2) + b"]" * (size // 2),
        "a long number": b"9" * size,
    }
    return msgspec.Raw(bytes(_with("note", 0))[:-2] + texts[what] + b"}")


def _with(field: str, value: Any) -> msgspec.Raw:
    return msgspec.Raw(json.dumps(server_entry() | {field: value}, separators=(",", ":")).encode())


def generated_list(chance: random.Random) -> tuple[list[dict[str, Any]], bytes]:
    """Return objects, and a list of them as a store may write it."""
    items = [
        {"metadata": {"name": f"i-{number}"}, "specification": _value(chance, chance.randrange(6))}
        for number in range(chance.randrange(4))
    ]
    body = {"items": items, "at": 7}
    return items, json.dumps(body, ensure_ascii=False, separators=(",", ":")).encode()


def _value(chance: random.Random, depth: int) -> Any:
    kind = chance.randrange(7)
    if not depth or kind < 2:
        texts = ["x" * chance.randrange(30), 'q"\\{[}],:', "é\n"]
        return chance.choice([1, -2.5, True, None, *texts])
    if kind < 5:
        return [_value(chance, depth - 1) for _ in range(chance.randrange(5))]
    return {
        chance.choice(["a", "}", "\\"]) + str(number): _value(chance, depth - 1)
        for number in range(chance.randrange(5))
    }
