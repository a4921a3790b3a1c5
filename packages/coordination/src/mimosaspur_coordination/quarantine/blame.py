"""Decide which request has crashed several targets, among all that were there."""

from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass

# A request that has crashed this many targets is not sent to another one.
QUARANTINE_THRESHOLD = 3
# The same while evidence of other entries may be missing: a sound request may then seem to have
# been alone at a crash.
UNCERTAIN_THRESHOLD = 5
# Crashes that no other request may explain as well. With one, a request whose evidence has been
# lost with an entry could leave a sound request behind as the only explanation.
MIN_UNSHARED_CRASHES = 2


@dataclass(slots=True, frozen=True)
class Evidence:
    """Hold what is known of one crash."""

    # How far each suspect had come at the target, by digest.
    suspects: Mapping[bytes, int]
    # Whether all entries have reported what they had there.
    complete: bool


def find_culprit(crashes: Sequence[Evidence]) -> bytes | None:
    """Return the request that most likely caused its crashes, None if that can't be told."""
    present: dict[bytes, list[Evidence]] = {}
    for crash in crashes:
        for digest in crash.suspects:
            present.setdefault(digest, []).append(crash)
    for digest, own in sorted(present.items(), key=lambda item: (-len(item[1]), item[0])):
        complete = [crash for crash in own if crash.complete]
        if _is_culprit(digest, complete, threshold=QUARANTINE_THRESHOLD):
            return digest
        if _is_culprit(digest, own, threshold=UNCERTAIN_THRESHOLD):
            return digest
    return None


def _is_culprit(digest: bytes, crashes: Sequence[Evidence], *, threshold: int) -> bool:
    return len(crashes) >= threshold and not _others_may_explain(digest, crashes)


def _others_may_explain(digest: bytes, own: Sequence[Evidence]) -> bool:
    """Return whether another request may be behind the crashes of a suspect.

    A request that hadn't come as far as the suspect explains a crash less well, so that it counts
    only if it was there at all of them.
    """
    shared: dict[bytes, int] = {}
    as_far: dict[bytes, int] = {}
    for crash in own:
        for other, stage in crash.suspects.items():
            if other == digest:
                continue
            shared[other] = shared.get(other, 0) + 1
            if stage >= crash.suspects[digest]:
                as_far[other] = as_far.get(other, 0) + 1
    if len(own) in shared.values():
        return True
    return max(as_far.values(), default=0) > len(own) - MIN_UNSHARED_CRASHES
