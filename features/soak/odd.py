"""Make registrations as another writer leaves them."""

import msgspec

from harness.listening_target import target_registration
from soak.targets import STREAMS

NOBODY = ("127.0.0.1", 9)
DEPTHS = (500, 100_000)
DIGITS = (30, 5_000)
PORTS = ("0", "-1", "99999", "9" * 5_000)


def odd_registration(pick: float, version: str) -> msgspec.Raw:
    """Return a registration, sound but for one field, that `pick` chooses; nobody listens there."""
    base = target_registration(STREAMS, NOBODY, version=version, slots=1)
    texts = {name: msgspec.json.encode(value) for name, value in base.items()}
    changes = _changes()
    name, value = changes[int(pick * len(changes))]
    texts[name] = value
    fields = b",".join(b'"%s":%s' % (name.encode(), text) for name, text in texts.items())
    return msgspec.Raw(b"{%s}" % fields)


def _changes() -> list[tuple[str, bytes]]:
    nested = [b"[" * depth + b"]" * depth for depth in DEPTHS]
    nested += [b'{"a":' * depth + b"0" + b"}" * depth for depth in DEPTHS]
    changes = [(name, text) for name in ("models", "unknown") for text in nested]
    huge = [b"9" * digits for digits in DIGITS] + [b"1e309", b"-1", b"9007199254740993"]
    fields = ("slots", "sequence", "born", "cold_remaining_ms")
    changes += [(name, text) for name in fields for text in huge]
    return changes + [("address", f'"{NOBODY[0]}:{port}"'.encode()) for port in PORTS]
