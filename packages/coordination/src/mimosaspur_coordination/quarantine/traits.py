"""Name what requests may have in common that crashes targets."""

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass

PART_PREFIX = b"part:"
# Longer identities of parts are replaced by a hash.
MAX_IDENTITY_BYTES = 32
# Further parts of a prompt are not suspected: the head of a request, 16 KiB by default, has no room
# for more.
MAX_PARTS = 4_096


@dataclass(slots=True, frozen=True)
class RequestTraits:
    """Hold the traits of a request: its digest, and the parts of its prompt but the last."""

    digest: bytes
    parts: tuple[bytes, ...] = ()

    def all(self) -> tuple[bytes, ...]:
        """Return all traits."""
        return (self.digest, *self.parts)

    def part_names(self) -> list[str]:
        """Return the parts' names for operators."""
        return [trait_name(part) for part in self.parts]


def part_traits(identities: Iterable[str]) -> tuple[bytes, ...]:
    """Return the traits of a prompt's parts, in order."""
    distinct = dict.fromkeys(identity for identity in identities if identity)
    return tuple(map(_part_trait, list(distinct)[:MAX_PARTS]))


def is_part(trait: bytes) -> bool:
    """Return whether a trait is a part of a prompt, not a request's digest."""
    return trait.startswith(PART_PREFIX)


def trait_name(trait: bytes) -> str:
    """Return a trait's name for operators."""
    return trait.decode() if is_part(trait) else trait.hex()


def parse_trait(name: str) -> bytes:
    """Return the trait with a name; raise ValueError if it names none."""
    trait = name.encode()
    return trait if is_part(trait) else bytes.fromhex(name)


def _part_trait(identity: str) -> bytes:
    name = identity.encode()
    if len(name) > MAX_IDENTITY_BYTES:
        name = hashlib.blake2b(name, digest_size=16).hexdigest().encode()
    return PART_PREFIX + name
