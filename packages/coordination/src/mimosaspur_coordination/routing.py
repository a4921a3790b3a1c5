"""Choose the target that a request is sent to."""

import random
from dataclasses import dataclass

import xxhash

from mimosaspur_coordination.hints import TargetHint
from mimosaspur_state.bundle import ServedName
from mimosaspur_state.placement import PlacementRecord
from mimosaspur_state.placement import ReplicaState

PREFIX_BONUS = 0.5
DOMAIN_BONUS = 0.05


@dataclass(slots=True, frozen=True)
class Candidate:
    """Name a target that may serve a request and what it would serve it with."""

    hint: TargetHint
    resident: str


def candidates_for(
    served: ServedName,
    record: PlacementRecord | None,
    hints: dict[str, TargetHint],
) -> list[Candidate]:
    """Return who may hold it: those with the wanted version, or else with the newest older one."""
    wanted = served.resident_id()
    current: list[Candidate] = []
    older: list[Candidate] = []
    for hint in hints.values():
        resident = _held_resident(served, record, hint)
        if resident == wanted:
            current.append(Candidate(hint, resident))
        elif resident:
            older.append(Candidate(hint, resident))
    return current or _newest_only(older, _placed_residents(served, record))


def _held_resident(
    served: ServedName, record: PlacementRecord | None, hint: TargetHint
) -> str | None:
    wanted = served.resident_id()
    if wanted in hint.residents:
        return wanted
    placed = _placed_residents(served, record, hint.name)
    # What a connected target says goes before the record; what it said earlier may be older.
    if wanted in placed and not (hint.residents and hint.is_connected):
        return wanted
    prefix = wanted.rpartition("@")[0] + "@"
    said = [name for name in hint.residents if name.startswith(prefix)]
    if hint.residents:
        return max(said, key=lambda name: _version_order(name, placed), default=None)
    return placed[-1] if placed else None


def _newest_only(older: list[Candidate], placed: list[str]) -> list[Candidate]:
    # Two old versions may both be ready when rolls follow each other closely.
    rank = max((_version_order(candidate.resident, placed) for candidate in older), default=0)
    return [candidate for candidate in older if _version_order(candidate.resident, placed) == rank]


def _version_order(resident: str, placed: list[str]) -> int:
    return placed.index(resident) if resident in placed else -1


def _placed_residents(
    served: ServedName, record: PlacementRecord | None, target: str = ""
) -> list[str]:
    """Return the residents by a record, of one target or all, the newest last.

    A replica that becomes ready is put last in its record, and one that leaves is replaced.
    """
    ready: dict[str, None] = {}
    leaving: dict[str, None] = {}
    for replica in record.serving() if record else []:
        resident = _resident(served, replica.version)
        if resident and target in ("", replica.target):
            (ready if replica.state is ReplicaState.READY else leaving)[resident] = None
    return [*(name for name in leaving if name not in ready), *ready]


def _resident(served: ServedName, version: str) -> str | None:
    if version == served.model.version:
        return served.resident_id()
    # A record tells nothing of the versions of a model's adapters.
    return None if served.adapter else f"{served.model.name}@{version}"


class Router:
    """Compare two random candidates by load, with a bonus for a cached prefix."""

    __slots__ = ("failure_domain", "naive", "random")

    def __init__(
        self, *, failure_domain: str, random_source: random.Random, naive: bool = False
    ) -> None:
        self.failure_domain = failure_domain
        self.random = random_source
        self.naive = naive

    def choose(
        self, candidates: list[Candidate], *, tried: set[str], prefix: str, now_ms: int
    ) -> Candidate | None:
        """Return the target to try next, or None when none is left."""
        left = [
            candidate
            for candidate in candidates
            if candidate.hint.name not in tried and not candidate.hint.draining
        ]
        reachable = [candidate for candidate in left if candidate.hint.is_reachable(now_ms)]
        left = reachable or left
        # The instance list lags, so "leaving" only matters where there is a choice.
        staying = [candidate for candidate in left if not candidate.hint.leaving]
        left = staying or left
        if not left:
            return None
        if self.naive:
            return self.random.choice(left)
        return self._least_loaded(left, prefix)

    def _least_loaded(self, left: list[Candidate], prefix: str) -> Candidate:
        pair = self.random.sample(left, min(2, len(left)))
        home = max(left, key=lambda candidate: _rendezvous_weight(prefix, candidate.hint.name))
        if prefix and home not in pair:
            pair.append(home)
        return min(pair, key=lambda candidate: self._cost(candidate, home, prefix))

    def _cost(self, candidate: Candidate, home: Candidate, prefix: str) -> float:
        cost = candidate.hint.estimated_load()
        if prefix and candidate is home:
            cost -= PREFIX_BONUS
        if candidate.hint.failure_domain == self.failure_domain:
            cost -= DOMAIN_BONUS
        return cost


def _rendezvous_weight(prefix: str, target: str) -> int:
    """Rank targets for a prefix by rendezvous hashing, the same at every entry."""
    return xxhash.xxh64_intdigest(f"{prefix}\0{target}".encode())
