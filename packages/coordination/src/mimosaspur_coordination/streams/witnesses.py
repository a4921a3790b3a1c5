"""Choose the entries that remember a stream, so that each entry finds them by its key."""

import hashlib
import heapq
from collections.abc import Collection

SCORE_BYTES = 8


def choose_witnesses(key: bytes, entries: Collection[str], *, count: int) -> list[str]:
    """Return the entries with the highest rendezvous hashes of a key.

    When an entry comes or goes, only its own place among them changes.
    """
    if len(entries) <= count:
        return sorted(entries)
    return heapq.nlargest(count, entries, key=lambda entry: _score(key, entry))


def _score(key: bytes, entry: str) -> bytes:
    return hashlib.blake2b(entry.encode(), key=key, digest_size=SCORE_BYTES).digest()
