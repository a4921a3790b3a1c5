"""Choose the target of a request."""

import random
from dataclasses import dataclass

import xxhash

from mimosaspur_coordination.hints import TargetHint
from mimosaspur_state.bundle import ServedName
from mimosaspur_state.placement import PlacementRecord
from mimosaspur_state.placement import ReplicaState

# Bonuses in requests per slot.
PREFIX_BONUS = 0.5
DOMAIN_BONUS = 0.05


@dataclass(slots=True, frozen=True)
class Candidate:
    """Pair a target that may serve a request with the resident it would use."""

    hint: TargetHint
    resident: str


def candidates_for(
    served: ServedName,
    record: PlacementRecord | None,
    hints: dict[str, TargetHint],
) -> list[Candidate]:
    """Return the targets with the wanted version, or else those with the newest older one."""
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
    # The state of a connected target takes precedence over the record; older state doesn't.
    if wanted in placed and not (hint.residents and hint.is_connected):
        return wanted
    prefix = wanted.rpartition("@")[0] + "@"
    reported = [name for name in hint.residents if name.startswith(prefix)]
    if hint.residents:
        return max(reported, key=lambda name: _version_order(name, placed), default=None)
    return placed[-1] if placed else None


def _newest_only(older: list[Candidate], placed: list[str]) -> list[Candidate]:
    # Two older versions may both be ready when rollouts overlap.
    rank = max((_version_order(candidate.resident, placed) for candidate in older), default=0)
    return [candidate for candidate in older if _version_order(candidate.resident, placed) == rank]


def _version_order(resident: str, placed: list[str]) -> int:
    return placed.index(resident) if resident in placed else -1


def _placed_residents(
    served: ServedName, record: PlacementRecord | None, target: str = ""
) -> list[str]:
    """Return the residents in a record, of one target or of all, newest last.

    Leaving replicas come first. Otherwise the record's order is used, as a replica is appended to
    it when it becomes ready.
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
    # A model's record does not contain the versions of its adapters.
    return None if served.adapter else f"{served.model.name}@{version}"


class Router:
    """Choose the less loaded of two random candidates, with a bonus for a cached prefix."""

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
        """Return the next target to try, or None if all were tried."""
        remaining = [
            candidate
            for candidate in candidates
            if candidate.hint.name not in tried and not candidate.hint.draining
        ]
        reachable = [candidate for candidate in remaining if candidate.hint.is_reachable(now_ms)]
        remaining = reachable or remaining
        # The instance list lags, so leaving targets are avoided but not excluded.
        staying = [candidate for candidate in remaining if not candidate.hint.leaving]
        remaining = staying or remaining
        if not remaining:
            return None
        if self.naive:
            return self.random.choice(remaining)
        return self._least_loaded(remaining, prefix)

    def _least_loaded(self, remaining: list[Candidate], prefix: str) -> Candidate:
        pair = self.random.sample(remaining, min(2, len(remaining)))
        preferred = max(
            remaining, key=lambda candidate: _rendezvous_weight(prefix, candidate.hint.name)
        )
        if prefix and preferred not in pair:
            pair.append(preferred)
        return min(pair, key=lambda candidate: self._cost(candidate, preferred, prefix))

    def _cost(self, candidate: Candidate, preferred: Candidate, prefix: str) -> float:
        cost = candidate.hint.estimated_load()
        if prefix and candidate is preferred:
            cost -= PREFIX_BONUS
        if candidate.hint.failure_domain == self.failure_domain:
            cost -= DOMAIN_BONUS
        return cost


def _rendezvous_weight(prefix: str, target: str) -> int:
    """Return a target's rendezvous hash weight for a prefix, the same at every entry."""
    return xxhash.xxh64_intdigest(f"{prefix}\0{target}".encode())
