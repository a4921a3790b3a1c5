"""Decide which request has crashed several targets, among all that were there."""

from collections.abc import Mapping
from collections.abc import Sequence

# A request that has crashed this many targets is not sent to another one.
QUARANTINE_THRESHOLD = 3
# Crashes that no other request may explain as well. With one, a request whose evidence has been
# lost with an entry could leave a sound request behind as the only explanation.
MIN_UNSHARED_CRASHES = 2


def find_culprit(crashes: Sequence[Mapping[bytes, int]]) -> bytes | None:
    """Return the request that most likely caused its crashes, None if that can't be told.

    Each crash maps the digests of its suspects to how far they had come at the target.
    """
    present: dict[bytes, list[Mapping[bytes, int]]] = {}
    for crash in crashes:
        for digest in crash:
            present.setdefault(digest, []).append(crash)
    for digest, own in sorted(present.items(), key=lambda item: (-len(item[1]), item[0])):
        if len(own) < QUARANTINE_THRESHOLD:
            return None
        if not _others_may_explain(digest, own):
            return digest
    return None


def _others_may_explain(digest: bytes, own: Sequence[Mapping[bytes, int]]) -> bool:
    """Return whether another request may be behind the crashes of a suspect.

    A request that hadn't come as far as the suspect explains a crash less well, so that it counts
    only if it was there at all of them.
    """
    shared: dict[bytes, int] = {}
    as_far: dict[bytes, int] = {}
    for crash in own:
        for other, stage in crash.items():
            if other == digest:
                continue
            shared[other] = shared.get(other, 0) + 1
            if stage >= crash[digest]:
                as_far[other] = as_far.get(other, 0) + 1
    if len(own) in shared.values():
        return True
    return max(as_far.values(), default=0) > len(own) - MIN_UNSHARED_CRASHES
