"""Decide which trait of requests has crashed several targets, among all that were there."""

from collections.abc import Hashable
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
    # Derived from `parts`; None until needed.
    cached_holdings: "PartHoldings | None" = None

    def holders(self, trait: bytes) -> frozenset[bytes]:
        """Return the digests of the requests that hold a trait."""
        return self.holdings().holders(trait) if is_part(trait) else frozenset((trait,))

    def holdings(self) -> "PartHoldings":
        """Return which requests hold each part, and where."""
        if self.cached_holdings is None:
            self.cached_holdings = PartHoldings(self.parts)
        return self.cached_holdings

    def mentioned(self, traits: Set[bytes]) -> Set[bytes]:
        """Return those of some traits that were there, cleared or not."""
        held = self.holdings().held & traits
        self.holdings().find_holders(held)
        return held | (self.suspects.keys() & traits)

    def likeness(self, trait: bytes) -> Hashable:
        """Return a value that is equal for traits that differ in their positions at most."""
        holders = self.holders(trait)
        return self.suspects.get(trait), holders, trait in self.served, trait in self.blamed

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


class PartHoldings:
    """Tell which requests hold each part of their prompts, and where."""

    __slots__ = ("held", "known_holders", "parts", "positions", "sets")

    def __init__(self, parts: Mapping[bytes, Sequence[bytes]]) -> None:
        self.parts = dict(parts)
        self.sets = {digest: frozenset(own) for digest, own in parts.items()}
        self.held = frozenset[bytes]().union(*self.sets.values())
        # Derived, for the parts that were asked for: most are at one crash only.
        self.known_holders: dict[bytes, frozenset[bytes]] = {}
        # Derived: the last position of each part in a prompt; None until needed.
        self.positions: dict[bytes, int] | None = None

    def holders(self, part: bytes) -> frozenset[bytes]:
        """Return the digests of the requests that hold a part."""
        if part not in self.held:
            return frozenset()
        if part not in self.known_holders:
            self.find_holders(frozenset((part,)))
        return self.known_holders[part]

    def find_holders(self, parts: Set[bytes]) -> None:
        """Find the requests that hold some parts, faster than one part after another."""
        missing = parts - self.known_holders.keys()
        found: dict[bytes, list[bytes]] = {}
        for digest, own in self.sets.items() if missing else ():
            for part in own & missing:
                found.setdefault(part, []).append(digest)
        self.known_holders.update((part, frozenset(own)) for part, own in found.items())

    def position(self, part: bytes) -> int:
        """Return the last position of a part in the prompts that hold it, -1 if none does."""
        if self.positions is None:
            self.positions = {}
            for own in self.parts.values():
                for position, each in enumerate(own):
                    self.positions[each] = max(position, self.positions.get(each, 0))
        return self.positions.get(part, -1)


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
    return False, trait not in crash.served, crash.holdings().position(trait), trait


def find_culprit(crashes: Sequence[Evidence]) -> bytes | None:
    """Return the trait that most likely caused its crashes, None if that can't be told."""
    return _Review(crashes).culprit()


class _Review:
    """Judge the traits that were at some crashes."""

    __slots__ = ("crashes", "groups", "present", "served")

    def __init__(self, crashes: Sequence[Evidence]) -> None:
        self.crashes = crashes
        # The crashes at which each trait was, as a bit set of their indices; those at one are
        # left out.
        present: dict[bytes, int] = {}
        for index, crash in enumerate(crashes):
            for trait in crash.suspects:
                present[trait] = present.get(trait, 0) | 1 << index
        self.present = {key: bits for key, bits in present.items() if bits & (bits - 1)}
        served = frozenset[bytes]().union(*(crash.served for crash in crashes))
        self.served = self.present.keys() & served
        self.groups = list(self._groups())

    def _groups(self) -> Iterator[list[bytes]]:
        """Yield the traits in groups that differ in their positions at most.

        Most parts of a long prompt are alike in all else.
        """
        together: dict[int, list[bytes]] = {}
        for trait, bits in self.present.items():
            together.setdefault(bits, []).append(trait)
        many = [traits for traits in together.values() if len(traits) > 1]
        likeness: dict[bytes, list[Hashable]] = {trait: [] for traits in many for trait in traits}
        names = frozenset(likeness)
        for index, crash in enumerate(self.crashes if names else ()):
            for trait in crash.mentioned(names):
                likeness[trait].append((index, crash.likeness(trait)))
        groups: dict[Hashable, list[bytes]] = {}
        for trait, own in likeness.items():
            groups.setdefault(tuple(own), []).append(trait)
        yield from groups.values()
        yield from (traits for traits in together.values() if len(traits) == 1)

    def culprit(self) -> bytes | None:
        """Return the trait that is to be blamed next, if any."""
        often = {
            trait
            for group in self.groups
            if self.present[group[0]].bit_count() >= QUARANTINE_THRESHOLD
            for trait in self._narrowest(group)
        }
        return next(filter(self._is_culprit, sorted(often, key=self._rank)), None)

    def _narrowest(self, group: Sequence[bytes]) -> Iterator[bytes]:
        """Yield the traits of a group that no other one of it stands in the way of everywhere."""
        for index in _indices(self.present[group[0]]):
            crash = self.crashes[index]
            yield max(group, key=lambda trait: _order(trait, crash))

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
            other != trait and self._may_explain(other, trait, own)
            for group in self.groups
            if (self.present[group[0]] & own_bits).bit_count() >= least
            for other in _rivals(group, trait, own)
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


def _rivals(group: Sequence[bytes], trait: bytes, own: Sequence[Evidence]) -> Sequence[bytes]:
    """Return those of a group that may differ in whether they explain the crashes of a suspect."""
    if len(group) == 1 or all(crash.holders(group[0]) == crash.holders(trait) for crash in own):
        return group
    # Positions matter only among traits that the same requests hold.
    shared = [crash for crash in own if group[0] in crash.suspects]
    if all(crash.holders(group[0]) == crash.holders(trait) for crash in shared):
        return group
    return group[:1]


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
