"""Decide which trait of requests has crashed several targets, among all that were there."""

from collections.abc import Iterable
from collections.abc import Iterator
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


@dataclass(slots=True)
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
    # Derived from `parts`: the digests of the requests that hold each part; None until needed.
    part_holders: dict[bytes, set[bytes]] | None = None

    def holders(self, trait: bytes) -> Set[bytes]:
        """Return the digests of the requests that hold a trait."""
        if not is_part(trait):
            return {trait}
        if self.part_holders is None:
            self.part_holders = {}
            for digest, parts in self.parts.items():
                for part in parts:
                    self.part_holders.setdefault(part, set()).add(digest)
        return self.part_holders.get(trait, frozenset())

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
    if not is_part(trait):
        return True, True, 0, trait
    position = max(list(crash.parts[each]).index(trait) for each in crash.holders(trait))
    return False, trait not in crash.served, position, trait


def find_culprit(crashes: Sequence[Evidence]) -> bytes | None:
    """Return the trait that most likely caused its crashes, None if that can't be told."""
    return _Review(crashes).culprit()


class _Review:
    """Judge the traits that were at some crashes."""

    __slots__ = ("crashes", "present", "served")

    def __init__(self, crashes: Sequence[Evidence]) -> None:
        self.crashes = crashes
        # The crashes at which each trait was, as a bit set of their indices; those at one are
        # left out.
        present: dict[bytes, int] = {}
        for index, crash in enumerate(crashes):
            for trait in crash.suspects:
                present[trait] = present.get(trait, 0) | 1 << index
        self.present = {key: bits for key, bits in present.items() if bits & (bits - 1)}
        self.served = {
            trait for trait in self.present if any(trait in crash.served for crash in crashes)
        }

    def culprit(self) -> bytes | None:
        """Return the trait that is to be blamed next, if any."""
        often = [
            key for key, bits in self.present.items() if bits.bit_count() >= QUARANTINE_THRESHOLD
        ]
        return next(filter(self._is_culprit, sorted(often, key=self._rank)), None)

    def _rank(self, trait: bytes) -> tuple[bool, int, bytes]:
        return trait in self.served, -self.present[trait].bit_count(), trait

    def _is_culprit(self, trait: bytes) -> bool:
        own = [
            index for index in _indices(self.present[trait]) if self.crashes[index].may_blame(trait)
        ]
        complete = [index for index in own if self.crashes[index].complete]
        threshold = UNCERTAIN_THRESHOLD if trait in self.served else QUARANTINE_THRESHOLD
        if self._explains(trait, complete, threshold=threshold):
            return True
        if is_part(trait):
            # One sound request with the part may have been sent again and again.
            holders = set().union(*(self.crashes[index].holders(trait) for index in own))
            if trait in self.served or len(holders) < UNCERTAIN_THRESHOLD:
                return False
        return self._explains(trait, own, threshold=UNCERTAIN_THRESHOLD)

    def _explains(self, trait: bytes, indices: Sequence[int], *, threshold: int) -> bool:
        """Return whether a trait explains enough crashes, and nothing else explains them."""
        own = [self.crashes[index] for index in indices]
        if all(crash.blamed for crash in own) or _count(trait, own) < threshold:
            return False
        own_bits = sum(1 << index for index in indices)
        least = len(own) - MIN_UNSHARED_CRASHES + 1
        return not any(
            other != trait
            and (bits & own_bits).bit_count() >= least
            and self._may_explain(other, trait, own)
            for other, bits in self.present.items()
        )

    def _may_explain(self, other: bytes, trait: bytes, own: Sequence[Evidence]) -> bool:
        """Return whether another trait may be behind the crashes of a suspect instead.

        A request that hadn't come as far as the suspect explains a crash less well, so that it
        counts only if it was there at all of them.
        """
        if is_narrower(trait, other, own):
            return False
        shared = [crash for crash in own if other in crash.suspects]
        if len(shared) == len(own):
            return True
        as_far = [crash for crash in shared if crash.suspects[other] >= crash.suspects[trait]]
        unshared_count = len(own) - len(as_far)
        if trait not in self.served and is_narrower(other, trait, shared):
            return unshared_count < MIN_UNSHARED_BY_NARROWER
        return unshared_count < MIN_UNSHARED_CRASHES


def _indices(bits: int) -> Iterator[int]:
    """Return the positions of the bits that are set."""
    while bits:
        yield (bits & -bits).bit_length() - 1
        bits &= bits - 1


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
