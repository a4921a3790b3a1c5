"""Decide which trait of requests has crashed several targets, among all that were there."""

from collections import Counter
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from collections.abc import Set
from dataclasses import dataclass
from dataclasses import field

from mimosaspur_coordination.quarantine.traits import is_part

# Requests with a trait that has crashed this many targets are not sent to another one.
QUARANTINE_THRESHOLD = 3
# The same while evidence of other entries may be missing: a sound request may then seem to have
# been alone at a crash. Also for a part that was served before.
UNCERTAIN_THRESHOLD = 5
# Crashes that no other trait may explain as well. With one, a request whose evidence has been
# lost with an entry could leave a sound request behind as the only explanation.
MIN_UNSHARED_CRASHES = 2
# The same where the other trait is narrower, and the part was never served.
MIN_UNSHARED_BY_NARROWER = 1
# Targets that crash within this time may have lost something that they share, such as power.
COMMON_CAUSE_MS = 50


@dataclass(slots=True, frozen=True)
class Evidence:
    """Hold what is known of one crash."""

    # How far the requests with each trait had come at the target, for traits that aren't cleared.
    suspects: Mapping[bytes, int]
    # Whether all entries have reported what they had there.
    complete: bool
    known_ms: int = 0
    # The parts of each request's prompt in order, by digest.
    parts: Mapping[bytes, Sequence[bytes]] = field(default_factory=dict)
    # Parts that targets had served before.
    served: Set[bytes] = frozenset()
    # Traits that are blamed for it already.
    blamed: Set[bytes] = frozenset()

    def holders(self, trait: bytes) -> set[bytes]:
        """Return the digests of the requests that hold a trait."""
        if not is_part(trait):
            return {trait}
        return {digest for digest, parts in self.parts.items() if trait in parts}

    def may_blame(self, trait: bytes) -> bool:
        """Return whether a trait may be behind the crash, whatever else is blamed for it.

        What is blamed may be one request, or a narrower part, while all requests with the trait
        crash targets: unless some of them were served before.
        """
        if trait not in self.suspects:
            return False
        if self.blamed and trait in self.served:
            return trait in self.blamed
        return all(other == trait or is_narrower(other, trait, [self]) for other in self.blamed)


def is_narrower(trait: bytes, other: bytes, crashes: Iterable[Evidence]) -> bool:
    """Return whether all requests with a trait hold the other one, as far as is known.

    The other one can't crash targets then without the first one doing so. Of traits that the same
    requests hold, a digest is narrower than a part, a part never served than one served before,
    and a later part than an earlier one.
    """
    same = True
    last: Evidence | None = None
    for crash in crashes:
        own, others = crash.holders(trait), crash.holders(other)
        if not own or not own <= others:
            return False
        same &= own == others
        last = crash
    if last is None:
        return False
    return not same or _order(trait, last) > _order(other, last)


def _order(trait: bytes, crash: Evidence) -> tuple[bool, bool, int, bytes]:
    """Return a trait's place among those that the same requests hold, the broadest one first."""
    positions = [list(parts).index(trait) for parts in crash.parts.values() if trait in parts]
    return not is_part(trait), trait not in crash.served, max(positions, default=0), trait


def find_culprit(crashes: Sequence[Evidence]) -> bytes | None:
    """Return the trait that most likely caused its crashes, None if that can't be told."""
    counts = Counter(trait for crash in crashes for trait in crash.suspects)
    often = [trait for trait, count in counts.items() if count >= QUARANTINE_THRESHOLD]
    served = {trait for trait in often if any(trait in crash.served for crash in crashes)}
    for trait in sorted(often, key=lambda each: (each in served, -counts[each], each)):
        own = [crash for crash in crashes if crash.may_blame(trait)]
        complete = [crash for crash in own if crash.complete]
        threshold = UNCERTAIN_THRESHOLD if trait in served else QUARANTINE_THRESHOLD
        if _is_culprit(trait, complete, threshold=threshold):
            return trait
        if is_part(trait) and (trait in served or _holder_count(trait, own) < UNCERTAIN_THRESHOLD):
            # One sound request with the part may have been sent again and again.
            continue
        if _is_culprit(trait, own, threshold=UNCERTAIN_THRESHOLD):
            return trait
    return None


def rivals(trait: bytes, crashes: Sequence[Evidence]) -> dict[bytes, int]:
    """Return the other traits that were at a trait's crashes, with the number of these."""
    return Counter(other for crash in crashes for other in crash.suspects if other != trait)


def _is_culprit(trait: bytes, crashes: Sequence[Evidence], *, threshold: int) -> bool:
    if all(crash.blamed for crash in crashes) or _count(trait, crashes) < threshold:
        return False
    often = len(crashes) - MIN_UNSHARED_CRASHES
    return not any(
        count > often and _may_explain(other, trait, crashes)
        for other, count in rivals(trait, crashes).items()
    )


def _count(trait: bytes, crashes: Sequence[Evidence]) -> int:
    """Return the number of crashes; for a part, those at the same moment count once."""
    if not is_part(trait):
        return len(crashes)
    count = 0
    last_ms: int | None = None
    for known_ms in sorted(crash.known_ms for crash in crashes):
        if last_ms is None or known_ms - last_ms > COMMON_CAUSE_MS:
            count += 1
            last_ms = known_ms
    return count


def _holder_count(trait: bytes, crashes: Iterable[Evidence]) -> int:
    """Return the number of different requests with a trait."""
    return len(set().union(*(crash.holders(trait) for crash in crashes)))


def _may_explain(other: bytes, trait: bytes, own: Sequence[Evidence]) -> bool:
    """Return whether another trait may be behind the crashes of a suspect instead.

    A request that hadn't come as far as the suspect explains a crash less well, so that it counts
    only if it was there at all of them.
    """
    shared = [crash for crash in own if other in crash.suspects]
    as_far = [crash for crash in shared if crash.suspects[other] >= crash.suspects[trait]]
    if is_narrower(trait, other, own):
        return False
    if len(shared) == len(own):
        return True
    unshared_count = len(own) - len(as_far)
    was_served = any(trait in crash.served for crash in own)
    if not was_served and is_narrower(other, trait, shared):
        return unshared_count < MIN_UNSHARED_BY_NARROWER
    return unshared_count < MIN_UNSHARED_CRASHES
