"""Choose the target that a request is sent to."""

import random
from dataclasses import dataclass

import xxhash

from mimosaspur_coordination.hints import TargetHint
from mimosaspur_state.bundle import Served
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
    served: Served,
    record: PlacementRecord | None,
    hints: dict[str, TargetHint],
) -> list[Candidate]:
    """Return who may hold it: those with the wanted version, or else with an older one."""
    wanted = served.resident()
    current: list[Candidate] = []
    older: list[Candidate] = []
    for name, hint in hints.items():
        resident = _held(served, record, hint)
        if resident == wanted:
            current.append(Candidate(hint, resident))
        elif resident:
            older.append(Candidate(hints[name], resident))
    return current or older


def _held(served: Served, record: PlacementRecord | None, hint: TargetHint) -> str | None:
    wanted = served.resident()
    if wanted in hint.residents:
        return wanted
    # What the target itself said goes before the record, which may be older.
    older = _older_resident(wanted, hint)
    if hint.residents:
        return older
    for replica in record.on(hint.name) if record else []:
        if replica.state is ReplicaState.LOAD:
            continue
        if replica.version == served.model.version:
            return wanted
        if served.adapter is None:
            return f"{served.model.name}@{replica.version}"
    return None


def _older_resident(wanted: str, hint: TargetHint) -> str | None:
    prefix = wanted.rpartition("@")[0] + "@"
    return next((name for name in hint.residents if name.startswith(prefix)), None)


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
        reachable = [candidate for candidate in left if candidate.hint.reachable(now_ms)]
        left = reachable or left
        # The instance list lags, so "leaving" only matters where there is a choice.
        staying = [candidate for candidate in left if not candidate.hint.leaving]
        left = staying or left
        if not left:
            return None
        if self.naive:
            return self.random.choice(left)
        return self._better(left, prefix)

    def _better(self, left: list[Candidate], prefix: str) -> Candidate:
        pair = self.random.sample(left, min(2, len(left)))
        home = max(left, key=lambda candidate: _affinity(prefix, candidate.hint.name))
        if prefix and home not in pair:
            pair.append(home)
        return min(pair, key=lambda candidate: self._cost(candidate, home, prefix))

    def _cost(self, candidate: Candidate, home: Candidate, prefix: str) -> float:
        cost = candidate.hint.pressure()
        if prefix and candidate is home:
            cost -= PREFIX_BONUS
        if candidate.hint.failure_domain == self.failure_domain:
            cost -= DOMAIN_BONUS
        return cost


def _affinity(prefix: str, target: str) -> int:
    """Rank targets for a prefix by rendezvous hashing, the same at every entry."""
    return xxhash.xxh64_intdigest(f"{prefix}\0{target}".encode())
